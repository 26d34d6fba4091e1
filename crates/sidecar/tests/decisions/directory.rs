//! Tests of the directory with a source whose lists and changes are read in any order, and across outages.

use std::collections::BTreeMap;
use std::time::Duration;

use olivegate_sidecar::directory::retention::RetentionPolicy;
use olivegate_sidecar::directory::{Directory, InstanceStatus};
use olivegate_sidecar::model::{Incarnation, Instance, InstanceState, Revision};
use olivegate_sidecar::source::{Change, ListedInstance};
use olivegate_types::{InstanceName, Moment, ServiceName, ZoneName};
use proptest::prelude::*;
use rstest::rstest;

const POLICY: RetentionPolicy = RetentionPolicy {
    rewritten_within: Duration::from_millis(2_000),
    confirmed_within: Duration::ZERO,
    listed_within: Duration::from_millis(3_000),
    expires_within: Duration::from_millis(5_000),
};
/// Gates have time to attest that their instances are alive.
const WITH_GATES: RetentionPolicy = RetentionPolicy { confirmed_within: Duration::from_millis(900), ..POLICY };

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn instance(name: &str, state: InstanceState) -> Instance {
    Instance {
        name: InstanceName::new(name),
        incarnation: Incarnation::UNKNOWN,
        service: ServiceName::new("books"),
        address: "127.0.0.1:8301".parse().unwrap(),
        zone: ZoneName::new("north"),
        slots: 4,
        state,
    }
}

fn listed(name: &str, state: InstanceState, revision: u64) -> ListedInstance {
    ListedInstance { instance: instance(name, state), revision: Revision::of(revision) }
}

fn ready(directory: &Directory) -> Vec<String> {
    let instances = directory.ready_instances(&ServiceName::new("books"));
    instances.iter().map(|instance| instance.name.to_string()).collect()
}

#[rstest]
fn a_healthy_source_is_followed_at_once() {
    let mut directory = Directory::new(POLICY);
    let both = [listed("a", InstanceState::Ready, 1), listed("b", InstanceState::Ready, 2)];
    assert!(directory.apply_snapshot(&both, Revision::of(2), at(0)));
    assert_eq!(ready(&directory), ["a", "b"]);
    assert!(directory.apply_snapshot(&both[1..], Revision::of(3), at(10)));
    assert_eq!(ready(&directory), ["b"]);
    assert_eq!(directory.status(&InstanceName::new("a")), InstanceStatus::Gone);
}

/// A node that notices the recovery of the source late, or is the only one that cannot reach it, must not
/// retain entries for longer than the nodes that it answered.
#[rstest]
fn retention_after_an_outage_counts_from_the_sources_first_answer_to_any_node() {
    let mut directory = Directory::new(POLICY);
    directory.apply_snapshot(&[listed("a", InstanceState::Ready, 1)], Revision::of(1), at(0));
    directory.note_source_unreachable();
    directory.note_source_answered_peer(at(10_000));
    directory.note_source_unreachable();
    directory.note_source_answered_peer(at(11_000));
    directory.apply_snapshot(&[], Revision::of(2), at(11_100));
    directory.note_source_answered(at(11_500));
    assert!(!directory.expire(at(11_900)), "the instance may still write its entry again");
    assert!(directory.expire(at(12_000)), "it is removed two seconds after the first answer");
}

#[rstest]
fn an_entry_missing_after_an_outage_is_retained_and_then_removed() {
    let mut directory = Directory::new(POLICY);
    let both = [listed("a", InstanceState::Ready, 1), listed("b", InstanceState::Ready, 2)];
    directory.apply_snapshot(&both, Revision::of(2), at(0));
    directory.note_source_unreachable();
    assert!(!directory.expire(at(30_000)), "nothing expires during an outage");
    directory.note_source_answered(at(31_000));
    directory.apply_snapshot(&[], Revision::of(4), at(31_000));
    assert_eq!(ready(&directory), ["a", "b"]);
    directory.apply_change(&Change::Instance(listed("b", InstanceState::Ready, 5)), at(32_000));
    assert!(!directory.expire(at(32_900)), "a may still come back");
    assert!(directory.expire(at(33_000)), "it is removed two seconds after the recovery");
    assert_eq!(ready(&directory), ["b"]);
}

#[rstest]
fn an_entry_that_goes_missing_long_after_an_outage_is_removed_at_once() {
    let mut directory = Directory::new(POLICY);
    directory.apply_snapshot(&[listed("a", InstanceState::Ready, 1)], Revision::of(1), at(0));
    directory.note_source_unreachable();
    directory.note_source_answered(at(1_000));
    let gone = Change::InstanceRemoved { name: InstanceName::new("a"), revision: Revision::of(2) };
    directory.apply_change(&gone, at(3_100));
    assert!(ready(&directory).is_empty());
}

#[rstest]
fn a_draining_instance_is_never_retained() {
    let mut directory = Directory::new(POLICY);
    directory.apply_snapshot(&[listed("a", InstanceState::Draining, 1)], Revision::of(1), at(0));
    directory.note_source_unreachable();
    directory.note_source_answered(at(10));
    directory.apply_snapshot(&[], Revision::of(2), at(20));
    assert_eq!(directory.status(&InstanceName::new("a")), InstanceStatus::Gone);
}

#[rstest]
fn an_older_revision_changes_nothing() {
    let mut directory = Directory::new(POLICY);
    directory.apply_snapshot(&[listed("a", InstanceState::Draining, 9)], Revision::of(9), at(0));
    directory.apply_snapshot(&[listed("a", InstanceState::Ready, 4)], Revision::of(4), at(1));
    directory.apply_change(&Change::Instance(listed("a", InstanceState::Ready, 5)), at(2));
    assert_eq!(directory.status(&InstanceName::new("a")), InstanceStatus::Draining);
    let gone = Change::InstanceRemoved { name: InstanceName::new("a"), revision: Revision::of(6) };
    directory.apply_change(&gone, at(3));
    assert_eq!(directory.status(&InstanceName::new("a")), InstanceStatus::Draining);
}

#[rstest]
fn an_observed_instance_is_used_until_the_source_should_list_it() {
    let mut directory = Directory::new(POLICY);
    directory.apply_snapshot(&[listed("a", InstanceState::Ready, 1)], Revision::of(1), at(0));
    directory.note_gone(&InstanceName::new("a"), at(100));
    assert!(directory.observe(instance("b", InstanceState::Ready), at(100)));
    assert_eq!(ready(&directory), ["b"]);
    directory.apply_snapshot(&[], Revision::of(2), at(200));
    assert_eq!(ready(&directory), ["b"]);
    assert!(!directory.observe(instance("a", InstanceState::Ready), at(300)), "a is known to be gone");
    assert!(directory.expire(at(3_200)));
    assert!(ready(&directory).is_empty());
}

#[rstest]
fn a_full_update_brings_another_node_to_the_same_state() {
    let mut directory = Directory::new(POLICY);
    directory.apply_snapshot(&[listed("a", InstanceState::Ready, 1)], Revision::of(5), at(0));
    let mut other = Directory::new(POLICY);
    assert!(other.apply_update(&directory.update_since(other.revision(), at(0)), at(0)));
    assert_eq!((ready(&other), other.revision()), (vec!["a".to_string()], Revision::of(5)));
    assert!(!other.apply_update(&directory.update_since(other.revision(), at(0)), at(1)), "nothing newer");
}

#[rstest]
fn an_incremental_update_has_changes_only_and_leads_to_the_same_state() {
    let mut directory = Directory::new(POLICY);
    let three = ["a", "b", "c"].map(|name| listed(name, InstanceState::Ready, 1));
    directory.apply_snapshot(&three, Revision::of(3), at(0));
    let mut other = Directory::new(POLICY);
    other.apply_update(&directory.update_since(Revision::default(), at(0)), at(0));
    directory.apply_change(
        &Change::InstanceRemoved { name: InstanceName::new("b"), revision: Revision::of(4) },
        at(10),
    );
    directory.apply_change(&Change::Instance(listed("d", InstanceState::Ready, 5)), at(10));
    directory.advance(Revision::of(5));
    let changes = directory.update_since(Revision::of(3), at(0));
    assert_eq!((changes.base, changes.entries.len(), changes.removed.len()), (Some(Revision::of(3)), 1, 1));
    assert!(other.apply_update(&changes, at(20)));
    assert_eq!((ready(&other), other.revision()), (ready(&directory), Revision::of(5)));
}

#[rstest]
fn a_removal_without_a_tombstone_needs_a_full_update() {
    let mut directory = Directory::new(POLICY);
    directory.apply_snapshot(&[listed("a", InstanceState::Ready, 1)], Revision::of(1), at(0));
    directory.apply_change(
        &Change::InstanceRemoved { name: InstanceName::new("a"), revision: Revision::of(2) },
        at(10),
    );
    directory.advance(Revision::of(2));
    assert_eq!(directory.update_since(Revision::of(1), at(0)).base, Some(Revision::of(1)));
    directory.expire(at(120_000));
    assert_eq!(directory.update_since(Revision::of(1), at(0)).base, None);
}

#[rstest]
fn retained_entries_are_passed_on_as_retained() {
    let mut directory = Directory::new(POLICY);
    directory.apply_snapshot(&[listed("a", InstanceState::Ready, 1)], Revision::of(1), at(0));
    let mut other = Directory::new(POLICY);
    other.apply_update(&directory.update_since(Revision::default(), at(0)), at(0));
    directory.note_source_unreachable();
    directory.note_source_answered(at(100));
    directory.apply_snapshot(&[], Revision::of(2), at(200));
    other.apply_update(&directory.update_since(Revision::of(1), at(900)), at(900));
    assert_eq!(ready(&other), ["a"]);
    assert!(!directory.expire(at(2_000)) && !other.expire(at(2_000)));
    assert!(directory.expire(at(2_100)) && other.expire(at(2_100)), "all nodes end the retention together");
    assert!(ready(&other).is_empty());
}

#[rstest]
fn an_observed_instance_is_used_until_the_source_has_recovered_and_should_list_it() {
    let mut directory = Directory::new(POLICY);
    directory.note_source_unreachable();
    directory.observe(instance("b", InstanceState::Ready), at(0));
    assert!(!directory.expire(at(20_000)), "nothing can be listed during the outage");
    directory.note_source_answered(at(21_000));
    assert!(!directory.expire(at(22_900)));
    assert!(directory.expire(at(23_000)));
    assert!(ready(&directory).is_empty());
}

/// A directory from which the entry of `a` has just been removed.
fn without_a() -> Directory {
    let mut directory = Directory::new(WITH_GATES);
    directory.apply_snapshot(&[listed("a", InstanceState::Ready, 1)], Revision::of(1), at(0));
    let gone = Change::InstanceRemoved { name: InstanceName::new("a"), revision: Revision::of(2) };
    assert!(directory.apply_change(&gone, at(100)));
    directory.advance(Revision::of(2));
    directory
}

#[rstest]
fn a_removed_entry_is_retained_until_its_gate_had_time_to_attest() {
    let mut directory = without_a();
    assert_eq!(ready(&directory), ["a"]);
    assert!(directory.expire(at(1_000)));
    assert!(ready(&directory).is_empty());
}

#[rstest]
fn its_gate_or_a_failed_offer_ends_the_retention_at_once() {
    let name = InstanceName::new("a");
    let mut directory = without_a();
    assert!(directory.confirm_gone(&name, at(110)));
    assert!(ready(&directory).is_empty());
    let mut directory = without_a();
    assert!(directory.remove_unlisted(&name, at(110)));
    assert!(ready(&directory).is_empty());
}

#[rstest]
fn a_confirmed_removal_is_not_undone_by_a_peer_that_retains_the_entry() {
    let name = InstanceName::new("a");
    let mut gate = without_a();
    assert!(gate.confirm_gone(&name, at(110)));
    let mut peer = without_a();
    let other = Change::Instance(listed("b", InstanceState::Ready, 3));
    peer.apply_change(&other, at(120));
    peer.advance(Revision::of(3));
    gate.apply_update(&peer.update_since(gate.revision(), at(130)), at(130));
    assert_eq!(ready(&gate), ["b"]);
    let again = Change::Instance(listed("a", InstanceState::Ready, 4));
    gate.apply_change(&again, at(200));
    assert_eq!(ready(&gate), ["a", "b"], "listed again by the source");
}

#[rstest]
fn a_gate_does_not_end_the_retention_after_an_outage() {
    let mut directory = Directory::new(WITH_GATES);
    directory.apply_snapshot(&[listed("a", InstanceState::Ready, 1)], Revision::of(1), at(0));
    directory.note_source_unreachable();
    directory.note_source_answered(at(100));
    directory.apply_snapshot(&[], Revision::of(2), at(100));
    assert!(!directory.confirm_gone(&InstanceName::new("a"), at(110)));
    assert_eq!(ready(&directory), ["a"]);
}

#[rstest]
fn an_attested_instance_is_used_as_long_as_its_gate_attests() {
    let mut directory = without_a();
    directory.expire(at(1_000));
    assert!(directory.attest(instance("a", InstanceState::Ready), at(4_000), at(1_000)));
    assert_eq!(ready(&directory), ["a"]);
    assert!(
        !directory.attest(instance("a", InstanceState::Ready), at(4_010), at(1_010)),
        "too small an extension to be forwarded"
    );
    let gone = Change::InstanceRemoved { name: InstanceName::new("a"), revision: Revision::of(2) };
    directory.apply_change(&gone, at(1_100));
    directory.apply_snapshot(&[], Revision::of(3), at(1_200));
    assert_eq!(ready(&directory), ["a"], "the attestation takes precedence over the source");
    assert!(
        directory.attest(instance("a", InstanceState::Ready), at(5_500), at(2_500)),
        "the attestation is renewed"
    );
    assert!(!directory.expire(at(5_400)));
    assert!(directory.expire(at(5_500)));
    assert!(ready(&directory).is_empty());
}

#[rstest]
fn an_instance_removed_while_draining_is_not_attested() {
    let mut directory = Directory::new(WITH_GATES);
    directory.apply_snapshot(&[listed("a", InstanceState::Draining, 1)], Revision::of(1), at(0));
    directory.apply_snapshot(&[], Revision::of(2), at(10));
    assert!(!directory.attest(instance("a", InstanceState::Ready), at(4_000), at(20)));
    assert!(ready(&directory).is_empty());
}

#[rstest]
fn a_listed_instance_needs_no_attestation_and_a_new_entry_ends_one() {
    let mut directory = without_a();
    directory.attest(instance("a", InstanceState::Ready), at(4_000), at(500));
    directory.apply_change(&Change::Instance(listed("a", InstanceState::Ready, 7)), at(600));
    assert!(!directory.attest(instance("a", InstanceState::Ready), at(9_000), at(700)));
    assert!(!directory.expire(at(20_000)));
    directory.apply_change(&Change::Instance(listed("a", InstanceState::Draining, 8)), at(20_000));
    assert!(ready(&directory).is_empty());
}

#[rstest]
fn a_gate_finds_its_unlisted_instance_unless_it_is_known_to_be_gone() {
    let address = instance("a", InstanceState::Ready).address;
    let mut directory = without_a();
    assert!(directory.unlisted_at(address).is_some());
    directory.expire(at(1_000));
    assert!(directory.unlisted_at(address).is_some(), "its gate may still attest");
    let mut directory = without_a();
    directory.remove_unlisted(&InstanceName::new("a"), at(200));
    assert!(directory.unlisted_at(address).is_none(), "it was not found at its address");
    directory.apply_change(&Change::Instance(listed("b", InstanceState::Ready, 3)), at(300));
    assert!(directory.unlisted_at(address).is_none(), "one is listed");
}

/// A write to the source, or a way of reading it.
#[derive(Debug, Clone)]
enum Step {
    Write(u8, bool),
    Remove(u8),
    ReadAll,
    ReadChanges,
    CompactHistory,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0_u8..5, any::<bool>()).prop_map(|(name, draining)| Step::Write(name, draining)),
        2 => (0_u8..5).prop_map(Step::Remove),
        1 => Just(Step::ReadAll),
        3 => Just(Step::ReadChanges),
        1 => Just(Step::CompactHistory),
    ];
    proptest::collection::vec(step, 0..40)
}

#[derive(Default)]
struct Model {
    revision: u64,
    entries: BTreeMap<u8, ListedInstance>,
    history: Vec<Change>,
}

impl Model {
    fn snapshot(&self) -> Vec<ListedInstance> {
        self.entries.values().cloned().collect()
    }

    fn ready(&self) -> Vec<String> {
        let ready = self.entries.values().filter(|listed| listed.instance.state == InstanceState::Ready);
        ready.map(|listed| listed.instance.name.to_string()).collect()
    }
}

proptest! {
    /// In whatever order lists and changes are read, the directory shows the last reading of a healthy
    /// source.
    #[test]
    fn the_directory_follows_a_healthy_source(steps in steps()) {
        let mut model = Model::default();
        let mut directory = Directory::new(POLICY);
        let mut time = 0;
        for step in steps.into_iter().chain([Step::ReadChanges, Step::ReadAll]) {
            time += 10;
            match step {
                Step::Write(name, draining) => {
                    model.revision += 1;
                    let state = if draining { InstanceState::Draining } else { InstanceState::Ready };
                    let entry = listed(&format!("i-{name}-{}", model.revision), state, model.revision);
                    if let Some(old) = model.entries.insert(name, entry.clone()) {
                        model.history.push(Change::InstanceRemoved { name: old.instance.name, revision: Revision::of(model.revision) });
                    }
                    model.history.push(Change::Instance(entry));
                }
                Step::Remove(name) => {
                    if let Some(old) = model.entries.remove(&name) {
                        model.revision += 1;
                        model.history.push(Change::InstanceRemoved { name: old.instance.name, revision: Revision::of(model.revision) });
                    }
                }
                Step::CompactHistory => {
                    // A node reads everything after the history was compacted.
                    model.history.clear();
                    directory.apply_snapshot(&model.snapshot(), Revision::of(model.revision), at(time));
                }
                Step::ReadAll => {
                    directory.apply_snapshot(&model.snapshot(), Revision::of(model.revision), at(time));
                    prop_assert_eq!(sorted(ready(&directory)), sorted(model.ready()));
                }
                Step::ReadChanges => {
                    for change in model.history.drain(..) {
                        directory.apply_change(&change, at(time));
                    }
                    directory.advance(Revision::of(model.revision));
                    prop_assert_eq!(sorted(ready(&directory)), sorted(model.ready()));
                }
            }
        }
    }
}

proptest! {
    /// A node that follows another by updates, fetched at arbitrary moments, reaches the same state.
    #[test]
    fn updates_at_any_moments_lead_to_the_same_state(steps in steps(), fetches in proptest::collection::vec(any::<bool>(), 42)) {
        let mut model = Model::default();
        let (mut reader, mut follower) = (Directory::new(POLICY), Directory::new(POLICY));
        for (index, step) in steps.into_iter().enumerate() {
            let now = at(10 * index as u64);
            match step {
                Step::Write(name, draining) => {
                    model.revision += 1;
                    let state = if draining { InstanceState::Draining } else { InstanceState::Ready };
                    let entry = listed(&format!("i-{name}"), state, model.revision);
                    model.entries.insert(name, entry.clone());
                    reader.apply_change(&Change::Instance(entry), now);
                }
                Step::Remove(name) => {
                    if let Some(old) = model.entries.remove(&name) {
                        model.revision += 1;
                        let revision = Revision::of(model.revision);
                        reader.apply_change(&Change::InstanceRemoved { name: old.instance.name, revision }, now);
                    }
                }
                _ => {
                    reader.apply_snapshot(&model.snapshot(), Revision::of(model.revision), now);
                }
            }
            reader.advance(Revision::of(model.revision));
            if fetches[index] {
                follower.apply_update(&reader.update_since(follower.revision(), now), now);
                prop_assert_eq!(sorted(ready(&follower)), sorted(ready(&reader)));
            }
        }
    }
}

fn sorted(mut names: Vec<String>) -> Vec<String> {
    names.sort();
    names
}

proptest! {
    /// The same with retained entries: a node that fetches late, after the retention ended elsewhere, must
    /// not keep them.
    #[test]
    fn retentions_end_alike_on_nodes_that_fetch_at_any_moments(steps in steps(), fetches in proptest::collection::vec(any::<bool>(), 42)) {
        let mut model = Model::default();
        let (mut reader, mut follower) = (Directory::new(WITH_GATES), Directory::new(WITH_GATES));
        let mut now = at(0);
        for (index, step) in steps.into_iter().enumerate() {
            now = at(400 * index as u64);
            reader.expire(now);
            follower.expire(now);
            match step {
                Step::Write(name, draining) => {
                    model.revision += 1;
                    let state = if draining { InstanceState::Draining } else { InstanceState::Ready };
                    let entry = listed(&format!("i-{name}"), state, model.revision);
                    model.entries.insert(name, entry.clone());
                    reader.apply_change(&Change::Instance(entry), now);
                }
                Step::Remove(name) => {
                    if let Some(old) = model.entries.remove(&name) {
                        model.revision += 1;
                        let revision = Revision::of(model.revision);
                        reader.apply_change(&Change::InstanceRemoved { name: old.instance.name, revision }, now);
                    }
                }
                Step::ReadAll | Step::CompactHistory => {
                    reader.apply_snapshot(&model.snapshot(), Revision::of(model.revision), now);
                }
                Step::ReadChanges => {}
            }
            reader.advance(Revision::of(model.revision));
            if fetches[index] {
                follower.apply_update(&reader.update_since(follower.revision(), now), now);
            }
        }
        let later = at(now.since_start().as_millis() as u64 + 1_000);
        reader.expire(later);
        follower.apply_update(&reader.update_since(follower.revision(), later), later);
        follower.expire(at(later.since_start().as_millis() as u64 + 1_000));
        prop_assert_eq!(sorted(ready(&reader)), sorted(model.ready()));
        prop_assert_eq!(sorted(ready(&follower)), sorted(model.ready()));
    }
}

/// A node of an earlier release passes on entries whose keys are no names.
#[rstest]
fn an_odd_name_from_a_peer_costs_that_entry_alone() {
    let mut peer = Directory::new(POLICY);
    let entries = ["a", "b", "c"].map(|name| listed(name, InstanceState::Ready, 1));
    peer.apply_snapshot(&entries, Revision::of(1), at(0));
    for odd in ["b c", "b&", "b\r\nx-other: 1", "é", ""] {
        let mut update = peer.update_since(Revision::default(), at(0));
        update.entries[1].instance.name = InstanceName::new(odd);
        let mut directory = Directory::new(POLICY);
        assert!(directory.apply_update(&update, at(0)));
        assert!(!directory.observe(instance(odd, InstanceState::Ready), at(0)));
        assert!(!directory.attest(instance(odd, InstanceState::Ready), at(1_000), at(0)));
        assert_eq!(ready(&directory), ["a", "c"], "beside {odd:?}");
        assert_eq!(directory.revision(), Revision::of(1));
    }
}

/// Another writer's entry with a later start kept the instance's own entries out for good.
#[rstest]
fn an_instance_takes_its_entry_back_from_another_writer_with_a_later_start() {
    let entry = |start: u64, slots: u32, revision: u64| {
        let mut listed = listed("a", InstanceState::Ready, revision);
        listed.instance.incarnation = Incarnation(start);
        listed.instance.slots = slots;
        listed
    };
    let mut directory = Directory::new(POLICY);
    directory.apply_snapshot(&[entry(1_000, 4, 1)], Revision::of(1), at(0));
    directory.apply_change(&Change::Instance(entry(9_000, 400, 2)), at(10));
    directory.apply_change(&Change::Instance(entry(1_000, 4, 3)), at(20));
    let instance = directory.instance(&InstanceName::new("a")).unwrap();
    assert_eq!((instance.incarnation, instance.slots), (Incarnation(1_000), 4));
    assert_eq!(directory.take_restarted().len(), 2, "nothing that was learnt of the other writer's is kept");
}
