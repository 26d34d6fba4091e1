//! Which bundles and deltas the store accepts and refuses.

mod support;

use olivegate_bundle::{BundleDelta, BundleError, BundleStore, OfferOutcome, SignedBundle};
use olivegate_types::Digest;
use support::{bundle, keys, sign_off, signed};

fn store() -> BundleStore {
    BundleStore::new("test", sign_off())
}

#[test]
fn newer_is_accepted_and_older_refused() {
    let mut store = store();
    let second = bundle(2, Digest::default(), 10);
    assert_eq!(store.offer(signed(second.clone())), Ok(OfferOutcome::Accepted(second.stamp())));
    let refused = store.offer(signed(bundle(1, Digest::default(), 10)));
    assert!(matches!(refused, Err(BundleError::OlderThanFloor { .. })));
    assert_eq!(store.stamp(), second.stamp());
}

#[test]
fn one_signature_of_two_is_not_enough() {
    let mut store = store();
    let once = SignedBundle::signed_by(bundle(1, Digest::default(), 10), &keys()[..1]);
    let mut twice_by_one = once.clone();
    twice_by_one.signatures.push(once.signatures[0].clone());
    let expected = Err(BundleError::NotSignedOff { valid: 1, required: 2 });
    assert_eq!(store.offer(once), expected);
    assert_eq!(store.offer(twice_by_one), expected);
}

#[test]
fn signatures_of_another_content_do_not_count() {
    let mut replayed = signed(bundle(1, Digest::default(), 10));
    replayed.bundle.version = 9;
    assert_eq!(store().offer(replayed), Err(BundleError::NotSignedOff { valid: 0, required: 2 }));
}

#[test]
fn another_deployment_is_refused() {
    let mut other = bundle(1, Digest::default(), 10);
    other.deployment = "other".into();
    let expected = BundleError::WrongDeployment { found: "other".into() };
    assert_eq!(store().offer(signed(other)), Err(expected));
}

#[test]
fn conflicting_bundles_of_one_version_settle_on_the_same_one_in_any_order() {
    let (left, right) = (bundle(1, Digest::default(), 10), bundle(1, Digest::default(), 20));
    let winner = left.stamp().max(right.stamp());
    for order in [[&left, &right], [&right, &left]] {
        let mut store = store();
        for bundle in order {
            let _ = store.offer(signed(bundle.clone()));
        }
        assert_eq!(store.stamp(), winner);
    }
}

#[test]
fn nothing_below_the_learnt_floor_is_served() {
    let mut store = store();
    let (first, second) = (bundle(1, Digest::default(), 10), bundle(2, Digest::default(), 10));
    store.raise_floor(second.stamp());
    assert!(store.offer(signed(first)).is_err());
    assert!(!store.may_serve());
    store.offer(signed(second)).unwrap();
    assert!(store.may_serve());
}

#[test]
fn delta_leads_to_the_same_bundle() {
    let mut store = store();
    let first = bundle(1, Digest::default(), 10);
    let second = bundle(2, first.stamp().digest, 20);
    store.offer(signed(first.clone())).unwrap();
    let delta = BundleDelta::between(&first, first.stamp(), &signed(second.clone()), second.stamp()).unwrap();
    assert_eq!(store.offer_delta(&delta), Ok(OfferOutcome::Accepted(second.stamp())));
    assert_eq!(store.bundle(), Some(&second));
}

#[test]
fn a_tampered_delta_is_refused() {
    let mut store = store();
    let first = bundle(1, Digest::default(), 10);
    let second = bundle(2, first.stamp().digest, 20);
    store.offer(signed(first.clone())).unwrap();
    let mut delta = BundleDelta::between(&first, first.stamp(), &signed(second.clone()), second.stamp()).unwrap();
    delta.changes.clear();
    assert_eq!(store.offer_delta(&delta), Err(BundleError::DigestMismatch));
}

#[test]
fn oversized_and_garbled_bundles_are_refused() {
    let large = vec![0; olivegate_bundle::sign::MAX_SIGNED_BUNDLE_BYTES + 1];
    assert!(matches!(SignedBundle::from_bytes(&large), Err(BundleError::TooLarge { .. })));
    assert_eq!(SignedBundle::from_bytes(b"garbage"), Err(BundleError::Malformed));
}
