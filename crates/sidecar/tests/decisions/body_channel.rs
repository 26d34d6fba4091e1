//! Tests that a body is complete only where its sender says so.

use bytes::Bytes;
use futures::StreamExt;
use olivegate_sidecar::body_channel::body_channel;
use olivegate_sidecar::reply::IncompleteBody;
use proptest::prelude::*;

/// What the sender does after the last chunk.
#[derive(Debug, Clone, Copy)]
enum End {
    Finished,
    Dropped,
}

/// Sends `chunks` and ends the body in this way; returns what the receiver reads.
async fn transfer(chunks: Vec<Bytes>, end: End) -> (Vec<Bytes>, bool) {
    let (mut sender, mut body) = body_channel();
    let sending = async move {
        for chunk in chunks {
            sender.send(chunk);
            while sender.is_blocked() {
                sender.forward_waiting().await;
            }
        }
        if matches!(end, End::Finished) {
            sender.finish();
            while sender.is_blocked() {
                sender.forward_waiting().await;
            }
        }
    };
    let receiving = async move {
        let mut received = Vec::new();
        while let Some(chunk) = body.next().await {
            match chunk {
                Ok(chunk) => received.push(chunk),
                Err(IncompleteBody) => return (received, false),
            }
        }
        (received, true)
    };
    futures::future::join(sending, receiving).await.1
}

proptest! {
    #[test]
    fn a_body_is_complete_only_if_its_sender_finishes_it(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..4), 0..12),
        is_finished in any::<bool>(),
    ) {
        let chunks: Vec<Bytes> = chunks.into_iter().map(Bytes::from).collect();
        let end = if is_finished { End::Finished } else { End::Dropped };
        let (received, is_complete) = futures::executor::block_on(transfer(chunks.clone(), end));
        prop_assert_eq!(received, chunks);
        prop_assert_eq!(is_complete, is_finished);
    }
}
