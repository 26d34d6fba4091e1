//! Tests of the directory with a source that is restored from a backup, and with instances that restart under
//! their names.

use std::collections::BTreeMap;
use std::time::Duration;

use olivegate_sidecar::directory::retention::RetentionPolicy;
use olivegate_sidecar::directory::{Directory, InstanceStatus};
use olivegate_sidecar::model::{Epoch, Incarnation, Instance, InstanceState, Revision};
use olivegate_sidecar::source::{Change, ListedInstance};
use olivegate_types::{InstanceName, Moment, ServiceName, ZoneName};
use proptest::prelude::*;
use rstest::rstest;

const POLICY: RetentionPolicy = RetentionPolicy {
    rewritten_within: Duration::from_millis(2_000),
    confirmed_within: Duration::from_millis(600),
    listed_within: Duration::from_millis(3_000),
    expires_within: Duration::from_millis(5_000),
};
/// Start time of an instance with a known incarnation.
const FIRST: u64 = 1_700_000_000_000;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn name(name: &str) -> InstanceName {
    InstanceName::new(name)
}

fn revision(epoch: u64, number: u64) -> Revision {
    Revision::new(Epoch(epoch), number)
}

fn listed_of(name: &str, state: InstanceState, started: u64, revision: Revision) -> ListedInstance {
    let instance = Instance {
        name: InstanceName::new(name),
        incarnation: Incarnation(started),
        service: ServiceName::new("books"),
        address: "127.0.0.1:8301".parse().unwrap(),
        zone: ZoneName::new("north"),
        slots: 4,
        state,
    };
    ListedInstance { instance, revision }
}

fn ready_entry(name: &str, revision: Revision) -> ListedInstance {
    listed_of(name, InstanceState::Ready, FIRST, revision)
}

fn leaving_entry(name: &str, revision: Revision) -> ListedInstance {
    listed_of(name, InstanceState::Draining, FIRST, revision)
}

fn ready(directory: &Directory) -> Vec<String> {
    let instances = directory.ready_instances(&ServiceName::new("books"));
    instances.iter().map(|instance| instance.name.to_string()).collect()
}

/// Knows `a` and `b` as ready, at revision 20 of the first epoch.
fn with_a_and_b() -> Directory {
    let mut directory = Directory::new(POLICY);
    let both = [ready_entry("a", revision(0, 1)), ready_entry("b", revision(0, 2))];
    directory.apply_snapshot(&both, revision(0, 20), at(0));
    directory
}

#[rstest]
fn a_later_epoch_takes_precedence_over_a_larger_number() {
    let mut directory = with_a_and_b();
    let both = [ready_entry("a", revision(1, 1)), leaving_entry("b", revision(1, 6))];
    assert!(directory.apply_snapshot(&both, revision(1, 6), at(100)));
    assert_eq!((ready(&directory), directory.revision()), (vec!["a".to_string()], revision(1, 6)));
    let late = [ready_entry("a", revision(0, 1)), ready_entry("b", revision(0, 2))];
    assert!(!directory.apply_snapshot(&late, revision(0, 30), at(200)), "a reading of an earlier epoch");
    assert_eq!(ready(&directory), ["a"]);
}

#[rstest]
fn a_leaving_instance_is_not_ready_again_after_a_restore() {
    let mut directory = with_a_and_b();
    directory.apply_change(&Change::Instance(leaving_entry("b", revision(0, 21))), at(10));
    let both = [ready_entry("a", revision(1, 1)), ready_entry("b", revision(1, 2))];
    directory.apply_snapshot(&both, revision(1, 5), at(100));
    assert_eq!(directory.status(&name("b")), InstanceStatus::Draining);
    directory.apply_change(&Change::Instance(ready_entry("b", revision(1, 7))), at(200));
    assert_eq!(
        directory.status(&name("b")),
        InstanceStatus::Draining,
        "an incarnation never takes its leaving back"
    );
    let again = listed_of("b", InstanceState::Ready, FIRST + 9_000, revision(1, 8));
    directory.apply_change(&Change::Instance(again), at(300));
    assert_eq!(directory.status(&name("b")), InstanceStatus::Ready, "it has restarted");
}

#[rstest]
fn an_instance_removed_while_draining_is_not_ready_again_after_a_restore() {
    let mut directory = with_a_and_b();
    directory.apply_change(&Change::Instance(leaving_entry("b", revision(0, 21))), at(10));
    directory.apply_change(&Change::InstanceRemoved { name: name("b"), revision: revision(0, 22) }, at(20));
    let both = [ready_entry("a", revision(1, 1)), ready_entry("b", revision(1, 2))];
    directory.apply_snapshot(&both, revision(1, 5), at(100));
    directory.expire(at(20_000));
    assert_eq!(ready(&directory), ["a"]);
}

/// The entry of `b` was removed without an announcement, and the restored source lists it again. Its instance
/// may be gone, so that nobody renews it.
fn with_b_removed_and_listed_by_the_restored_source() -> Directory {
    let mut directory = with_a_and_b();
    directory.apply_change(&Change::InstanceRemoved { name: name("b"), revision: revision(0, 21) }, at(0));
    assert!(directory.expire(at(700)));
    let both = [ready_entry("a", revision(1, 1)), ready_entry("b", revision(1, 2))];
    directory.apply_snapshot(&both, revision(1, 5), at(1_000));
    assert_eq!(directory.status(&name("b")), InstanceStatus::Gone);
    directory
}

#[rstest]
fn a_restored_entry_is_used_once_it_has_outlived_the_expiry_time() {
    let mut directory = with_b_removed_and_listed_by_the_restored_source();
    assert!(!directory.expire(at(5_900)));
    assert!(directory.expire(at(6_000)));
    assert_eq!(ready(&directory), ["a", "b"]);
}

#[rstest]
fn a_restored_entry_is_used_once_it_is_written_again() {
    let mut directory = with_b_removed_and_listed_by_the_restored_source();
    assert!(directory.apply_change(&Change::Instance(ready_entry("b", revision(1, 6))), at(1_200)));
    assert_eq!(ready(&directory), ["a", "b"]);
}

#[rstest]
fn a_restored_entry_that_expires_is_never_used() {
    let mut directory = with_b_removed_and_listed_by_the_restored_source();
    directory.apply_change(&Change::InstanceRemoved { name: name("b"), revision: revision(1, 6) }, at(3_000));
    assert!(!directory.expire(at(9_000)));
    assert_eq!(ready(&directory), ["a"]);
}

#[rstest]
fn entries_missing_after_a_restore_are_retained_until_they_are_written_again() {
    let mut directory = with_a_and_b();
    directory.apply_snapshot(&[ready_entry("a", revision(1, 1))], revision(1, 1), at(100));
    assert_eq!(ready(&directory), ["a", "b"]);
    assert!(directory.may_lack_writes(at(2_000)));
    assert!(!directory.expire(at(2_000)));
    assert!(directory.expire(at(2_100)), "not written again in time");
    assert_eq!(ready(&directory), ["a"]);
    assert!(!directory.may_lack_writes(at(2_100)));
}

/// A reader that never knew an instance, or that it is leaving, must not make others forget it.
#[rstest]
fn an_update_of_a_later_epoch_keeps_what_only_this_node_knows() {
    let mut reader = with_a_and_b();
    let mut other = Directory::new(POLICY);
    other.apply_update(&reader.update_since(Revision::default(), at(0)), at(0));
    other.apply_change(&Change::Instance(ready_entry("c", revision(0, 21))), at(10));
    other.apply_change(&Change::Instance(leaving_entry("b", revision(0, 22))), at(10));
    other.advance(revision(0, 22));
    let both = [ready_entry("a", revision(1, 1)), ready_entry("b", revision(1, 2))];
    reader.apply_snapshot(&both, revision(1, 3), at(100));
    let update = reader.update_since(other.revision(), at(100));
    assert_eq!(update.base, None, "an update cannot build on a revision of an earlier epoch");
    assert!(other.apply_update(&update, at(100)));
    assert_eq!((ready(&other), other.revision()), (vec!["a".to_string(), "c".to_string()], revision(1, 3)));
    assert_eq!(other.status(&name("b")), InstanceStatus::Draining);
    assert!(other.expire(at(2_100)), "c was not written again");
    assert_eq!(ready(&other), ["a"]);
}

#[rstest]
fn an_update_of_a_later_epoch_contains_removed_and_unverified_entries() {
    let mut other = with_a_and_b();
    let reader = with_b_removed_and_listed_by_the_restored_source();
    other.apply_update(&reader.update_since(other.revision(), at(1_000)), at(1_000));
    assert_eq!(ready(&other), ["a"]);
    assert!(!other.expire(at(5_900)));
    assert!(other.expire(at(6_000)));
    assert_eq!(ready(&other), ["a", "b"]);
}

#[rstest]
fn an_entry_of_an_earlier_incarnation_is_ignored() {
    let mut directory = with_a_and_b();
    let again = listed_of("a", InstanceState::Ready, FIRST + 5_000, revision(0, 21));
    directory.apply_change(&Change::Instance(again), at(10));
    assert_eq!(directory.take_restarted(), [name("a")]);
    let both = [leaving_entry("a", revision(1, 3)), ready_entry("b", revision(1, 2))];
    directory.apply_snapshot(&both, revision(1, 3), at(100));
    assert_eq!(directory.status(&name("a")), InstanceStatus::Ready);
    assert_eq!(directory.instance(&name("a")).unwrap().incarnation, Incarnation(FIRST + 5_000));
}

#[rstest]
fn an_instance_that_left_and_restarted_under_its_name_is_attested() {
    let mut directory = with_a_and_b();
    directory.apply_change(&Change::Instance(leaving_entry("a", revision(0, 21))), at(10));
    directory.apply_change(&Change::InstanceRemoved { name: name("a"), revision: revision(0, 22) }, at(20));
    let before = ready_entry("a", revision(0, 1)).instance;
    assert!(!directory.attest(before, at(3_000), at(30)));
    let again = listed_of("a", InstanceState::Ready, FIRST + 5_000, revision(0, 1)).instance;
    assert!(directory.attest(again, at(3_000), at(30)));
}

/// An event at the source or at an instance.
#[derive(Debug, Clone)]
enum Step {
    /// An instance appears, or renews its entry.
    Write(u8),
    /// It starts draining.
    Leave(u8),
    /// Its entry is removed.
    Remove(u8),
    /// The source is backed up.
    Backup,
    /// The source is restored from the backup.
    Restore,
    /// The reader reads everything.
    Read,
    /// The follower fetches from the reader.
    Fetch,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0_u8..4).prop_map(Step::Write),
        2 => (0_u8..4).prop_map(Step::Leave),
        1 => (0_u8..4).prop_map(Step::Remove),
        2 => Just(Step::Backup),
        2 => Just(Step::Restore),
        4 => Just(Step::Read),
        4 => Just(Step::Fetch),
    ];
    proptest::collection::vec(step, 0..60)
}

/// The source with its backup, and the actual state of each instance.
#[derive(Default)]
struct Model {
    epoch: u64,
    number: u64,
    entries: BTreeMap<u8, (InstanceState, u64)>,
    backup: (u64, BTreeMap<u8, (InstanceState, u64)>),
    /// The live instances, and whether they are draining.
    alive: BTreeMap<u8, InstanceState>,
}

impl Model {
    fn write(&mut self, who: u8) {
        let state = *self.alive.entry(who).or_insert(InstanceState::Ready);
        self.number += 1;
        self.entries.insert(who, (state, self.number));
    }

    fn listed(&self) -> Vec<ListedInstance> {
        let listed = |(who, (state, number)): (&u8, &(InstanceState, u64))| {
            listed_of(&format!("i-{who}"), *state, FIRST, revision(self.epoch, *number))
        };
        self.entries.iter().map(listed).collect()
    }

    fn ready(&self) -> Vec<String> {
        let ready = self.alive.iter().filter(|(_, state)| **state == InstanceState::Ready);
        ready.map(|(who, _)| format!("i-{who}")).collect()
    }
}

proptest! {
    /// However often the source is restored, a node never treats an instance as ready that it knew to be
    /// draining. Once all live instances have renewed their entries and the others have expired, all nodes
    /// agree on the live ones.
    #[test]
    fn nodes_agree_on_the_live_instances_after_any_restores(steps in steps()) {
        let mut model = Model::default();
        let (mut reader, mut follower) = (Directory::new(POLICY), Directory::new(POLICY));
        let mut now = at(0);
        for step in steps {
            now = now + Duration::from_millis(150);
            reader.expire(now);
            follower.expire(now);
            match step {
                Step::Write(who) => model.write(who),
                Step::Leave(who) => {
                    if let Some(state) = model.alive.get_mut(&who) {
                        *state = InstanceState::Draining;
                        model.write(who);
                    }
                }
                // An instance that is draining does not come back under its name and incarnation.
                Step::Remove(who) => {
                    if model.alive.get(&who) == Some(&InstanceState::Ready) {
                        model.alive.remove(&who);
                        model.number += 1;
                        model.entries.remove(&who);
                    }
                }
                Step::Backup => model.backup = (model.number, model.entries.clone()),
                Step::Restore => {
                    model.epoch += 1;
                    (model.number, model.entries) = model.backup.clone();
                }
                Step::Read => {
                    reader.apply_snapshot(&model.listed(), revision(model.epoch, model.number), now);
                }
                Step::Fetch => {
                    let known: Vec<InstanceName> = (0..4).map(|who| name(&format!("i-{who}"))).collect();
                    let left: Vec<&InstanceName> =
                        known.iter().filter(|who| follower.status(who) == InstanceStatus::Draining).collect();
                    follower.apply_update(&reader.update_since(follower.revision(), now), now);
                    for who in left {
                        prop_assert_ne!(follower.status(who), InstanceStatus::Ready);
                    }
                }
            }
        }
        // Live instances renew their entries; all others expire.
        let living: Vec<u8> = model.alive.keys().copied().collect();
        model.entries.retain(|who, _| living.contains(who));
        model.number += 1;
        living.into_iter().for_each(|who| model.write(who));
        for _ in 0..3 {
            now = now + Duration::from_secs(6);
            reader.apply_snapshot(&model.listed(), revision(model.epoch, model.number), now);
            reader.expire(now);
            follower.apply_update(&reader.update_since(follower.revision(), now), now);
            follower.expire(now);
            model.number += 1;
        }
        prop_assert_eq!(ready(&reader), model.ready());
        prop_assert_eq!(ready(&follower), model.ready());
    }
}
