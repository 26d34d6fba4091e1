//! What one configuration change costs a node, by size of the bundle.

use std::time::Instant;

use olivegate_bundle::{
    Bundle, BundleDelta, BundleStore, IndexedBundle, Kind, Limits, Objective, Service, SignOff, SignedBundle,
    SigningKeyPair,
};
use olivegate_types::{Digest, Importance, KindName, ServiceName};
use serde::{Deserialize, Serialize};

/// Kinds of request per service.
const KINDS_PER_SERVICE: usize = 3;
/// Changes over which the cost is averaged.
const CHANGES: u64 = 10;

/// Cost of one change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BundleCost {
    pub services: usize,
    pub bundle_bytes: usize,
    pub delta_bytes: usize,
    /// Time to apply and check a delta and to index the result, in microseconds.
    pub change_us: f64,
}

fn bundle(services: usize) -> Bundle {
    let service = |index: usize| Service {
        name: ServiceName::new(format!("service-{index:05}")),
        slots: 16,
        connections: 120,
    };
    let kind = |index: usize| Kind {
        name: KindName::new(format!("kind-{index:06}")),
        service: ServiceName::new(format!("service-{:05}", index / KINDS_PER_SERVICE)),
        method: "GET".into(),
        path_prefix: format!("/service-{:05}/kind-{index:06}", index / KINDS_PER_SERVICE),
        importance: Importance(1),
        repeat_safe: true,
        deadline_ms: 1_000,
        expected_ms: 20,
    };
    let mut bundle = Bundle {
        deployment: "scale".into(),
        version: 1,
        parent: Digest::default(),
        objective: Objective { max_queue_wait_ms: 100 },
        limits: Limits {
            retries_per_request: 3,
            max_hops: 12,
            max_deadline_ms: 5_000,
            claim_memory_ms: 10_000,
            max_request_body_bytes: 1 << 20,
        },
        groups: Vec::new(),
        services: (0..services).map(service).collect(),
        kinds: (0..services * KINDS_PER_SERVICE).map(kind).collect(),
    };
    bundle.sort();
    bundle
}

/// Costs at several sizes up to the target's 2,200 services.
pub fn measure() -> Vec<BundleCost> {
    [100, 300, 1_000, 2_200].into_iter().map(measure_size).collect()
}

fn measure_size(services: usize) -> BundleCost {
    let keys = vec![SigningKeyPair::from_secret([1; 32]), SigningKeyPair::from_secret([2; 32])];
    let sign_off = SignOff { keys: keys.iter().map(SigningKeyPair::public_key).collect(), required: 2 };
    let mut current = bundle(services);
    let mut store = BundleStore::new("scale", sign_off);
    let first = SignedBundle::signed_by(current.clone(), &keys);
    let bundle_bytes = first.to_bytes().len();
    let _ = store.offer(first);
    let mut spent = 0.0;
    let mut delta_bytes = 0;
    for change in 0..CHANGES {
        let mut next = current.clone();
        next.parent = current.stamp().digest;
        next.version += 1;
        next.kinds[change as usize].deadline_ms += 1;
        let signed = SignedBundle::signed_by(next.clone(), &keys);
        let Some(delta) = BundleDelta::between(&current, current.stamp(), &signed, next.stamp()) else {
            continue;
        };
        delta_bytes = borsh::object_length(&delta).unwrap_or(0);
        let started = Instant::now();
        let accepted = store.offer_delta(&delta).is_ok();
        let indexed = store.bundle().cloned().map(IndexedBundle::new);
        spent += started.elapsed().as_secs_f64();
        assert!(accepted && indexed.is_some(), "a valid change is accepted");
        current = next;
    }
    BundleCost { services, bundle_bytes, delta_bytes, change_us: spent * 1e6 / CHANGES as f64 }
}
