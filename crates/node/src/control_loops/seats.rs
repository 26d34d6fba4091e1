//! Takes, recovers and hands over seats of the claim group.
//!
//! The settings assign each seat to a zone, and rendezvous hashing assigns it to a usable
//! member of that zone. A node that is responsible for a seat that it doesn't hold starts
//! a new incarnation of the seat and recovers its claims; once it votes, the votes of the
//! previous holder no longer count. No zone has a majority of the seats, so the nodes of a
//! partitioned zone can never form a quorum among themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use olivegate_claims::{
    Claim, ClaimKey, Claimant, Incarnation, IncarnationVector, RecoveryReply, Seat, SeatIndex, SeatMode, Vote,
};
use olivegate_membership::{HeldSeat, MemberRecord, Membership};
use olivegate_routing::rendezvous;
use olivegate_types::{Moment, ZoneName};

use crate::state::{Node, lock};
use olivegate_clock as clock;

/// Interval between two checks of the seats.
const INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for a recovery call.
const RECOVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// A node takes a seat only after it has been responsible for it for this time.
const SETTLING_TIME: Duration = Duration::from_millis(800);
/// Longest time for which any claim is remembered, as assumed while no bundle is in force. A recovering
/// seat's memory counts as complete after that time.
const DEFAULT_CLAIM_MEMORY: Duration = Duration::from_secs(600);

/// Seats held by this node, and the seat incarnations that it knows.
#[derive(Debug)]
pub struct SeatTable {
    held: BTreeMap<SeatIndex, Seat>,
    known: IncarnationVector,
    responsible_since: BTreeMap<SeatIndex, Moment>,
}

impl SeatTable {
    /// A table without held seats, for a claim group of `seats` seats.
    pub fn new(seats: usize) -> Self {
        SeatTable {
            held: BTreeMap::new(),
            known: IncarnationVector::unknown(seats),
            responsible_since: BTreeMap::new(),
        }
    }

    /// Known incarnations of all seats.
    pub fn known(&self) -> &IncarnationVector {
        &self.known
    }

    /// Merges incarnations learned from another node.
    pub fn merge_known(&mut self, vector: &IncarnationVector) {
        self.known.merge(vector);
    }

    /// The vote of a seat; `None` when this node does not hold it.
    pub fn on_claim(&mut self, seat: SeatIndex, claim: &Claim, now: Moment) -> Option<Vote> {
        let vote = self.held.get_mut(&seat)?.on_claim(claim, now);
        self.known.merge(&vote.vector);
        Some(vote)
    }

    /// Drops an unused claim from a seat, if this node holds it.
    pub fn on_abandon(&mut self, seat: SeatIndex, key: ClaimKey, claimant: &Claimant) {
        if let Some(seat) = self.held.get_mut(&seat) {
            seat.on_abandon(key, claimant);
        }
    }

    /// Handles another seat's recovery request at a seat held here.
    pub fn on_recover(
        &mut self,
        seat: SeatIndex,
        recovering: SeatIndex,
        incarnation: &Incarnation,
        now: Moment,
    ) -> RecoveryReply {
        match self.held.get_mut(&seat) {
            Some(held) => held.on_recover(recovering, incarnation, now),
            None => RecoveryReply::NotReady,
        }
    }

    /// Held seats that are not retired, for heartbeats.
    pub fn announced(&self) -> Vec<HeldSeat> {
        let live = self.held.values().filter(|seat| seat.mode() != SeatMode::Retired);
        let announced = |seat: &Seat| HeldSeat {
            index: seat.index().0,
            counter: seat.incarnation().counter,
            voting: seat.mode() == SeatMode::Voting,
        };
        live.map(announced).collect()
    }

    /// Held seats with their mode and number of claims, for the status page.
    pub fn status(&self) -> Vec<(SeatIndex, SeatMode, usize)> {
        self.held.values().map(|seat| (seat.index(), seat.mode(), seat.claim_count())).collect()
    }

    /// True when this node holds no voting seat.
    pub fn holds_no_voting_seat(&self) -> bool {
        self.held.values().all(|seat| seat.mode() != SeatMode::Voting)
    }

    /// Starts the seats for which this node has been responsible for the settling time.
    fn take_seats(&mut self, node: &Node, responsible: &[SeatIndex], now: Moment) {
        self.responsible_since.retain(|seat, _| responsible.contains(seat));
        for seat in responsible {
            let since = *self.responsible_since.entry(*seat).or_insert(now);
            let holds = self.held.get(seat).is_some_and(|held| held.mode() != SeatMode::Retired);
            if !holds && now.since(since) >= SETTLING_TIME {
                let started = self.start_seat(node, *seat, now);
                self.held.insert(*seat, started);
            }
        }
    }

    fn start_seat(&self, node: &Node, seat: SeatIndex, now: Moment) -> Seat {
        let known = self.known.get(seat).map_or(0, |incarnation| incarnation.counter);
        let counter = clock::unix_ms().max(known + 1);
        let incarnation = Incarnation { counter, holder: node.name().clone() };
        log::info!("event=seat_recovering seat={} incarnation={counter}", seat.0);
        let memory = node.bundle().map_or(DEFAULT_CLAIM_MEMORY, |bundle| {
            Duration::from_millis(u64::from(bundle.bundle().limits.claim_memory_ms))
        });
        Seat::recovering(seat, self.known.len(), incarnation, memory, node.settings.new_deployment, now)
    }

    /// Held seats that are recovering, with their incarnations.
    fn recovering(&self) -> Vec<(SeatIndex, Incarnation)> {
        let recovering = self.held.values().filter(|seat| seat.mode() == SeatMode::Recovering);
        recovering.map(|seat| (seat.index(), seat.incarnation().clone())).collect()
    }

    fn on_recovery_reply(&mut self, seat: SeatIndex, reply: RecoveryReply, now: Moment) {
        let Some(held) = self.held.get_mut(&seat) else {
            return;
        };
        let before = held.mode();
        held.on_recovery_reply(reply, now);
        self.known.merge(held.vector());
        if before != held.mode() {
            let claims = held.claim_count();
            log::info!("event=seat_changed seat={} mode={:?} claims={claims}", seat.0, held.mode());
        }
    }
}

/// The member responsible for a seat; `None` while this node knows no other member.
fn responsible_for<'a>(
    membership: &'a Membership,
    seat_zones: &[ZoneName],
    seat: SeatIndex,
) -> Option<&'a MemberRecord> {
    membership.others().next()?;
    let zone = seat_zones.get(usize::from(seat.0))?;
    let in_zone = membership.usable_in(zone);
    let key = format!("seat {}", seat.0);
    rendezvous::owner(&key, in_zone.iter(), |record| record.name.as_str()).copied()
}

/// The member that holds a seat. Of the members that announce it, a voting one comes first, then the one
/// with the latest incarnation. If none announces it, the holder is the member responsible for the seat.
pub fn holder_of(node: &Node, seat: SeatIndex) -> Option<MemberRecord> {
    let membership = lock(&node.membership);
    let members = std::iter::once(membership.own()).chain(membership.others());
    let announced = members.filter(|record| record.is_answering()).flat_map(|record| {
        let held = record.seats.iter().filter(|held| held.index == seat.0);
        held.map(move |held| (held.voting, held.counter, record))
    });
    let latest = announced.max_by_key(|(voting, counter, _)| (*voting, *counter));
    let holder = latest
        .map(|(_, _, record)| record)
        .or_else(|| responsible_for(&membership, &node.settings.seat_zones, seat));
    holder.cloned()
}

/// Periodically takes, expires and recovers this node's seats and updates its member record.
pub async fn maintain(node: Node) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        if !node.is_ready() {
            continue;
        }
        let now = clock::now();
        let responsible = own_seats(&node);
        let recovering = {
            let mut table = lock(&node.seats);
            table.take_seats(&node, &responsible, now);
            for seat in table.held.values_mut() {
                seat.expire(now);
            }
            table.recovering()
        };
        for (seat, incarnation) in recovering {
            recover(&node, seat, incarnation).await;
        }
        let announced = lock(&node.seats).announced();
        lock(&node.membership).set_seats(announced);
    }
}

fn own_seats(node: &Node) -> Vec<SeatIndex> {
    let membership = lock(&node.membership);
    let zones = &node.settings.seat_zones;
    let own = |seat: &SeatIndex| {
        responsible_for(&membership, zones, *seat).is_some_and(|record| record.name == *node.name())
    };
    group_seats(node).filter(own).collect()
}

/// All seats of the claim group.
fn group_seats(node: &Node) -> impl Iterator<Item = SeatIndex> + use<> {
    (0..node.settings.seat_zones.len()).map(|index| SeatIndex(index as u8))
}

async fn recover(node: &Node, recovering: SeatIndex, incarnation: Incarnation) {
    for seat in group_seats(node).filter(|seat| *seat != recovering) {
        let Some(holder) = holder_of(node, seat) else {
            continue;
        };
        let reply = request_recovery(node, &holder, seat, recovering, &incarnation).await;
        if let Some(reply) = reply {
            lock(&node.seats).on_recovery_reply(recovering, reply, clock::now());
        }
    }
}

async fn request_recovery(
    node: &Node,
    holder: &MemberRecord,
    seat: SeatIndex,
    recovering: SeatIndex,
    incarnation: &Incarnation,
) -> Option<RecoveryReply> {
    if holder.name == *node.name() {
        return Some(lock(&node.seats).on_recover(seat, recovering, incarnation, clock::now()));
    }
    let incarnation = incarnation.clone();
    let reply = node.control.call(node.dial_address(holder.control), RECOVERY_TIMEOUT, |client, rpc| async move {
        client.recover(rpc, seat, recovering, incarnation).await
    });
    reply.await.ok()
}
