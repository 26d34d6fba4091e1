//! Control port: calls from other nodes about membership, claims, retry credits and bundles.

use futures::StreamExt;
use olivegate_bundle::Stamp;
use olivegate_claims::response_cache::CachedResponse;
use olivegate_claims::{Claim, ClaimKey, Claimant, Incarnation, RecoveryReply, SeatIndex, Vote};
use olivegate_control::Control;
use olivegate_control::transport::server_transport;
use olivegate_membership::MemberRecord;
use olivegate_types::RequestId;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};

use crate::ports::accept;
use crate::state::{Node, lock};
use olivegate_clock as clock;

/// Maximum number of calls of one connection that run concurrently.
const MAX_CONCURRENT_CALLS: usize = 256;

#[derive(Clone)]
struct Server {
    node: Node,
}

/// Serves the port until the process exits: during a stop, peers still need the control calls.
pub async fn serve(node: Node, listener: TcpListener) {
    let never_stops = crate::stop::StopSignal::default();
    accept(listener, never_stops, |stream| connection(node.clone(), stream)).await;
}

async fn connection(node: Node, stream: TcpStream) {
    let transport = server_transport(stream, node.settings.key.clone());
    let server = Server { node };
    let requests = BaseChannel::with_defaults(transport).execute(server.serve());
    requests.for_each_concurrent(MAX_CONCURRENT_CALLS, |request| request).await;
}

impl Control for Server {
    async fn members(self, _: Context) -> Vec<MemberRecord> {
        lock(&self.node.membership).snapshot()
    }

    async fn take_retry_credit(self, _: Context, request: RequestId) -> bool {
        lock(&self.node.retry_ledger).take(request)
    }

    async fn claim(self, _: Context, seat: SeatIndex, claim: Claim) -> Option<Vote> {
        if !self.node.is_view_fresh() {
            return None;
        }
        lock(&self.node.seats).on_claim(seat, &claim, clock::now())
    }

    async fn abandon(self, _: Context, seat: SeatIndex, key: ClaimKey, claimant: Claimant) {
        lock(&self.node.seats).on_abandon(seat, key, &claimant);
    }

    async fn recover(
        self,
        _: Context,
        seat: SeatIndex,
        recovering: SeatIndex,
        incarnation: Incarnation,
    ) -> RecoveryReply {
        lock(&self.node.seats).on_recover(seat, recovering, &incarnation, clock::now())
    }

    async fn cached_response(self, _: Context, key: ClaimKey) -> Option<CachedResponse> {
        lock(&self.node.response_cache).get(&key, clock::now())
    }

    async fn bundle_stamp(self, _: Context) -> Stamp {
        lock(&self.node.bundles).stamp()
    }

    async fn bundle(self, _: Context) -> Option<Vec<u8>> {
        let current = lock(&self.node.bundles).current();
        current.map(|signed| signed.to_bytes())
    }

    async fn explain(self, _: Context, request: RequestId) -> Vec<String> {
        lock(&self.node.decisions).lines(request, self.node.name())
    }
}
