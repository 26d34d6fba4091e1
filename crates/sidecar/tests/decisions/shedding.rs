//! Admission levels for call chains while an instance sheds a random fraction of the requests.

use std::time::Duration;

use olivegate_http1::{Fields, RequestHead};
use olivegate_sidecar::gate::shedding::ShedTracker;
use olivegate_sidecar::gate_protocol::{Offer, OfferedBody, RootRequest};
use olivegate_sidecar::importance::importance_of;
use olivegate_sidecar::model::RetrySafety;
use olivegate_types::{InstanceName, Moment, SheddingRank};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Retries per second that the gate may let through.
const RETRY_RATE: f64 = 40.0;

fn root(route: &str, priority: u32, admitted: f64) -> RootRequest {
    RootRequest {
        route: route.into(),
        importance: importance_of(None, priority),
        rank: SheddingRank(0),
        admitted_fraction: admitted as f32,
    }
}

fn call(root: RootRequest, hop: u8) -> Offer {
    Offer {
        instance: InstanceName::new("i"),
        route: "ping".into(),
        head: RequestHead {
            method: "GET".into(),
            target: "/ping/".into(),
            minor_version: 1,
            fields: Fields::default(),
        },
        body: OfferedBody::Whole(Default::default()),
        request_id: Default::default(),
        time_left_ms: 500,
        max_slot_wait_ms: 50,
        target_latency_ms: 300,
        root,
        hop,
        safety: RetrySafety::Safe,
        is_retry: false,
        reported_ends: Vec::new(),
        parent_retry_probability: 0.0,
        needs_confirmation: false,
        declared: None,
    }
}

/// Counts of one second of emulated time.
#[derive(Debug, Default)]
struct EmulatedSecond {
    /// Reservation calls and browsing calls that began.
    reservations: f64,
    browsing: f64,
    /// Retries that these calls needed.
    retries: f64,
}

/// Emulates a gate at which 100 calls per second of each kind arrive as long as all of them may begin. The
/// instance sheds the fraction `shed` of them.
fn emulate_second(shedding: &ShedTracker, shed: f64, from_ms: u64, random: &mut SmallRng) -> EmulatedSecond {
    let mut seen = EmulatedSecond::default();
    for step in 0..100 {
        let now = Moment::from_millis(from_ms + step * 10);
        for (route, priority) in [("reserve", 0), ("browse", 2)] {
            let class = root(route, priority, 1.0).class();
            let level = shedding.level(&class, RETRY_RATE, now).min(1.0);
            if random.random::<f64>() >= level {
                continue;
            }
            let offer = call(root(route, priority, level), 2);
            shedding.record_demand(&offer, now);
            *(if priority == 0 { &mut seen.reservations } else { &mut seen.browsing }) += 1.0;
            for _ in 0..6 {
                let is_shed = random.random::<f64>() < shed;
                shedding.note(is_shed, now);
                if !is_shed {
                    break;
                }
                seen.retries += 1.0;
            }
        }
    }
    seen
}

#[rstest]
fn the_most_important_chains_begin_as_far_as_the_retry_rate_allows() {
    let (tracker, mut random) = (ShedTracker::default(), SmallRng::seed_from_u64(5));
    let calm = emulate_second(&tracker, 0.0, 1_000, &mut random);
    assert_eq!((calm.reservations, calm.browsing), (100.0, 100.0), "nothing is held back");
    emulate_second(&tracker, 0.55, 2_000, &mut random);
    let mut shedding = EmulatedSecond::default();
    for index in 0..5 {
        let seen = emulate_second(&tracker, 0.55, 3_000 + index * 1_000, &mut random);
        shedding.reservations += seen.reservations / 5.0;
        shedding.browsing += seen.browsing / 5.0;
        shedding.retries += seen.retries / 5.0;
    }
    assert!(shedding.retries <= RETRY_RATE * 1.2, "{shedding:?}");
    assert!(shedding.reservations >= 20.0 && shedding.browsing <= 10.0, "{shedding:?}");
    let after =
        (0..3).map(|index| emulate_second(&tracker, 0.0, 8_000 + index * 1_000, &mut random)).last().unwrap();
    assert_eq!(
        (after.reservations, after.browsing),
        (100.0, 100.0),
        "two seconds after its end nothing is held back"
    );
}

/// A client request that is sent directly to the instance belongs to no call chain: it has its chance to be
/// served without a retry.
#[rstest]
fn requests_without_a_chain_are_not_held_back() {
    let shedding = ShedTracker::default();
    let lookup = call(root("lookup", 2, 1.0), 0);
    for step in 0..200 {
        shedding.note(true, Moment::from_millis(step * 5));
        shedding.record_demand(&lookup, Moment::from_millis(step * 5));
    }
    let level = shedding.level(&lookup.root.class(), RETRY_RATE, Moment::from_millis(1_000));
    assert!(level >= 1.0, "{level}");
}

/// Single refusals don't count as shedding.
#[rstest]
fn a_few_refusals_hold_nothing_back() {
    let shedding = ShedTracker::default();
    let offer = call(root("reserve", 0, 1.0), 2);
    for step in 0..400_u64 {
        let now = Moment::START + Duration::from_millis(step * 5);
        shedding.note(step.is_multiple_of(40), now);
        shedding.record_demand(&offer, now);
    }
    assert!(shedding.level(&offer.root.class(), 0.0, Moment::from_millis(2_000)) >= 1.0);
}

/// Requests that are held back don't arrive, so too few arrivals may be left to show that the shedding is
/// over. The counts therefore decay.
#[rstest]
fn shedding_is_forgotten_where_hardly_anything_arrives() {
    let shedding = ShedTracker::default();
    let offer = call(root("reserve", 0, 1.0), 2);
    for step in 0..100_u64 {
        let now = Moment::from_millis(step * 10);
        shedding.note(step % 2 == 0, now);
        shedding.record_demand(&offer, now);
    }
    assert!(shedding.level(&offer.root.class(), 1.0, Moment::from_millis(1_000)) < 1.0, "it sheds");
    for step in 0..10_u64 {
        let now = Moment::from_millis(1_200 + step * 300);
        shedding.note(false, now);
        shedding.record_demand(&offer, now);
    }
    assert!(shedding.level(&offer.root.class(), 1.0, Moment::from_millis(4_200)) >= 1.0, "three seconds later");
}
