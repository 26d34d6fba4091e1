//! Stateful fuzzing of the bundle store against a simple model of the stamp in force and the
//! floor. Whole bundles and deltas arrive late, twice and out of order.

mod support;

use std::sync::OnceLock;

use olivegate_bundle::{Bundle, BundleDelta, BundleError, BundleStore, Stamp};
use olivegate_types::Digest;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::{bundle, sign_off, signed};

/// A tree of versions. Each version number has two conflicting bundles, and the parent of both is
/// the first bundle of the number below.
fn versions() -> &'static [Bundle] {
    static VERSIONS: OnceLock<Vec<Bundle>> = OnceLock::new();
    VERSIONS.get_or_init(make_versions)
}

fn make_versions() -> Vec<Bundle> {
    let mut parent = Digest::default();
    let mut versions = Vec::new();
    for version in 1..=6 {
        let conflicting = [bundle(version, parent, 10), bundle(version, parent, 20)];
        parent = conflicting[0].stamp().digest;
        versions.extend(conflicting);
    }
    versions
}

#[derive(Debug, Clone)]
enum Step {
    Whole(usize),
    Delta(usize),
    Floor(usize),
    Forged(usize),
}

#[derive(Debug, Clone)]
struct Model;

/// State that the model expects.
#[derive(Debug, Clone, Default)]
struct Expected {
    current: Stamp,
    floor: Stamp,
}

impl Expected {
    fn offer(&mut self, stamp: Stamp) {
        if stamp >= self.floor.max(self.current) {
            self.current = stamp;
        }
    }
}

fn parent_of(all: &[Bundle], index: usize) -> Option<&Bundle> {
    all.iter().find(|parent| parent.stamp().digest == all[index].parent)
}

impl ReferenceStateMachine for Model {
    type State = Expected;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Expected> {
        Just(Expected::default()).boxed()
    }

    fn transitions(_: &Expected) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (0..12_usize).prop_map(Step::Whole),
            4 => (0..12_usize).prop_map(Step::Delta),
            1 => (0..12_usize).prop_map(Step::Floor),
            1 => (0..12_usize).prop_map(Step::Forged),
        ]
        .boxed()
    }

    fn apply(mut expected: Expected, step: &Step) -> Expected {
        let all = versions();
        match step {
            Step::Whole(index) => expected.offer(all[*index].stamp()),
            Step::Floor(index) => expected.floor = expected.floor.max(all[*index].stamp()),
            Step::Delta(index) => {
                if parent_of(all, *index).is_some_and(|parent| parent.stamp() == expected.current) {
                    expected.offer(all[*index].stamp());
                }
            }
            Step::Forged(_) => {}
        }
        expected
    }
}

struct Store;

impl StateMachineTest for Store {
    type SystemUnderTest = BundleStore;
    type Reference = Model;

    fn init_test(_: &Expected) -> BundleStore {
        BundleStore::new("test", sign_off())
    }

    fn apply(mut store: BundleStore, expected: &Expected, step: Step) -> BundleStore {
        let all = versions();
        let before = store.stamp();
        match step {
            Step::Whole(index) => drop(store.offer(signed(all[index].clone()))),
            Step::Floor(index) => store.raise_floor(all[index].stamp()),
            Step::Delta(index) => {
                if let Some(parent) = parent_of(all, index) {
                    let target = signed(all[index].clone());
                    let stamp = target.bundle.stamp();
                    let delta = BundleDelta::between(parent, parent.stamp(), &target, stamp).unwrap();
                    let _ = store.offer_delta(&delta);
                }
            }
            Step::Forged(index) => {
                let mut forged = signed(all[index].clone());
                forged.bundle.version += 100;
                let refused = store.offer(forged);
                assert_eq!(refused, Err(BundleError::NotSignedOff { valid: 0, required: 2 }));
            }
        }
        assert!(store.stamp() >= before, "went back from {before} to {}", store.stamp());
        assert_eq!(store.stamp(), expected.current);
        store
    }

    fn check_invariants(store: &BundleStore, expected: &Expected) {
        let serves = expected.current.version > 0 && expected.current >= expected.floor;
        assert_eq!(store.may_serve(), serves);
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_version_in_force_never_goes_back(sequential 1..40 => Store);
}
