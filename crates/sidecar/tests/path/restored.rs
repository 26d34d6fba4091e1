//! The source was away for a moment and came back from a copy of itself some seconds old. Revisions
//! went back and were given out again. Nodes put aside whatever was not above the revision that they
//! knew, so they followed nothing until the source had counted past it, and what was written meanwhile
//! stayed unknown for good: requests went to an instance until it had ended, 2.5 s after it had said
//! that it leaves. Every reader read everything again at once, some 45 times a second.
//!
//! What settled it: for 5.9 s after `source_regained` no `directory_changed` on any node, while
//! `source_history_gone` stood 262 times in the log of one. Before the repair the first test below found
//! requests at the instance for as long as it asked: 1.98 s after the leaving, and 2.00 s.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use olivegate_sidecar::model::InstanceState::{Draining, Ready};
use olivegate_sidecar::model::RetrySafety::Safe;
use olivegate_sidecar::source::Snapshot;
use olivegate_sidecar::state::Node;
use rstest::rstest;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

const BOOKS: &str = "books";
/// How long the source is away: readers notice.
const OUTAGE: Duration = Duration::from_millis(700);
/// A reader that has failed pauses 1.2 s at the longest before it asks again.
const RETURN_DETECTED_WITHIN: Duration = Duration::from_millis(1_300);
/// A change is known everywhere by then; half of the bound of two seconds.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_000);
/// Calls of the source that three nodes make in two seconds at the most: one reader that waits a
/// tenth of a second in each call, and the return.
const MAX_CALLS: u32 = 60;

/// Three nodes: an edge on machine 1 and the gates of two instances on machines 2 and 3.
struct TestCluster {
    fleet: Fleet,
    _nodes: Vec<Rc<Node>>,
    instances: Vec<TestInstance>,
    /// When each instance ran something last.
    last_run: Vec<Rc<Cell<Option<Instant>>>>,
    failed_statuses: Rc<RefCell<Vec<u16>>>,
}

impl TestCluster {
    async fn start() -> Self {
        let fleet = Fleet::new();
        fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
        fleet.list(1, "desk-1", "desk");
        fleet.list(2, "books-2", BOOKS);
        fleet.list(3, "books-3", BOOKS);
        let mut instances = Vec::new();
        let mut last_run = Vec::new();
        for machine in [2, 3] {
            let last: Rc<Cell<Option<Instant>>> = Rc::default();
            let script_last_run = last.clone();
            let script = move |request: &ReceivedRequest, _: usize| {
                script_last_run.set(Some(Instant::now()));
                vec![Action::Send(response(200, &request.id(), "ok"))]
            };
            instances.push(TestInstance::start(fleet.instance_address(machine), script).await);
            last_run.push(last);
        }
        let nodes = vec![fleet.start(1, "desk").await, fleet.start(2, BOOKS).await, fleet.start(3, BOOKS).await];
        for node in &nodes {
            Fleet::wait_until_ready(node).await;
        }
        // It is settled who reads.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        TestCluster { fleet, _nodes: nodes, instances, last_run, failed_statuses: Rc::default() }
    }

    /// Writes `count` configurations: revisions go up.
    fn write_configurations(&self, first: u64, count: u64) {
        for version in first..first + count {
            self.fleet.source.configure(configuration(version, vec![route("/safe/", BOOKS, Safe)]));
        }
    }

    /// The source goes away and comes back with what it held before.
    async fn restore_backup(&self, backup: Snapshot) {
        self.fleet.source.set_down(true);
        tokio::time::sleep(OUTAGE).await;
        self.fleet.source.restore(backup);
        self.fleet.source.set_down(false);
    }

    /// Requests by the edge until the time is over.
    async fn send_requests_for(&self, time: Duration) {
        let mut client = Client::connect(self.fleet.outbound(1)).await;
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < time {
            let status = client.request(&get("/safe/", &format!("r{number}"))).await.head.status;
            if status != 200 {
                self.failed_statuses.borrow_mut().push(status);
            }
            number += 1;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn last_run_since(&self, instance: usize, since: Instant) -> Option<Duration> {
        self.last_run[instance].get().and_then(|last| last.checked_duration_since(since))
    }
}

/// An instance says that it leaves after the source has come back: as its first change, and as one
/// of many, so that revisions have gone past those that were known before.
#[rstest]
#[case::as_the_first_change(0)]
#[case::as_revisions_catch_up(6)]
#[case::as_revisions_have_gone_past(12)]
fn a_leaving_is_known_in_time_after_the_source_came_back_from_a_copy(#[case] written_before: u64) {
    run(async move {
        let cluster = TestCluster::start().await;
        let backup = cluster.fleet.source.backup();
        cluster.write_configurations(2, 8);
        cluster.send_requests_for(Duration::from_millis(300)).await;
        cluster.restore_backup(backup).await;
        cluster.write_configurations(9, written_before);
        cluster.send_requests_for(RETURN_DETECTED_WITHIN).await;
        let calls = cluster.fleet.source.calls.get();
        let left = Instant::now();
        cluster.fleet.list_in_state(2, "books-2", BOOKS, Draining);
        cluster.send_requests_for(Duration::from_secs(2)).await;
        let calls = cluster.fleet.source.calls.get() - calls;
        let late = cluster.last_run_since(0, left).filter(|after| *after > PROPAGATION_TIME);
        assert_eq!(late, None, "a request reached the instance so long after it had said that it leaves");
        assert!(cluster.instances[1].runs() > 0);
        assert_eq!(*cluster.failed_statuses.borrow(), Vec::<u16>::new());
        assert!(calls < MAX_CALLS, "{calls} calls of the source in two seconds");
    });
}

/// An instance had said that it leaves, which the source lost: the copy lists it as ready.
#[rstest]
fn a_leaving_that_the_source_lost_is_not_forgotten() {
    run(async {
        let cluster = TestCluster::start().await;
        let backup = cluster.fleet.source.backup();
        cluster.write_configurations(2, 4);
        cluster.fleet.list_in_state(2, "books-2", BOOKS, Draining);
        cluster.send_requests_for(Duration::from_millis(500)).await;
        let known = Instant::now();
        cluster.restore_backup(backup).await;
        cluster.send_requests_for(Duration::from_millis(1_000)).await;
        // It writes again, as it does each heartbeat.
        cluster.fleet.list_in_state(2, "books-2", BOOKS, Draining);
        cluster.send_requests_for(Duration::from_millis(1_000)).await;
        assert_eq!(cluster.last_run_since(0, known), None, "it got a request after its leaving was known");
        assert_eq!(*cluster.failed_statuses.borrow(), Vec::<u16>::new());
    });
}

/// An instance appeared after the copy was taken; it writes its entry again a second later.
#[rstest]
fn an_instance_that_the_copy_lacks_goes_on_serving() {
    run(async {
        let cluster = TestCluster::start().await;
        cluster.fleet.source.unlist("books-2");
        tokio::time::sleep(Duration::from_millis(800)).await;
        let backup = cluster.fleet.source.backup();
        cluster.fleet.list_in_state(2, "books-2", BOOKS, Ready);
        // Its gate knows it again before the other one goes.
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.fleet.source.unlist("books-3");
        cluster.send_requests_for(Duration::from_millis(800)).await;
        cluster.restore_backup(backup).await;
        cluster.send_requests_for(Duration::from_millis(1_000)).await;
        cluster.fleet.list_in_state(2, "books-2", BOOKS, Ready);
        cluster.fleet.source.unlist("books-3");
        let written = Instant::now();
        cluster.send_requests_for(Duration::from_millis(2_500)).await;
        assert!(cluster.last_run_since(0, written).is_some(), "it is used again");
        assert_eq!(*cluster.failed_statuses.borrow(), Vec::<u16>::new());
    });
}

/// An entry that had gone is in the copy; nobody renews it, and it lapses again.
#[rstest]
fn an_instance_that_had_gone_is_not_revived_by_the_copy() {
    run(async {
        let cluster = TestCluster::start().await;
        let backup = cluster.fleet.source.backup();
        cluster.write_configurations(2, 4);
        cluster.fleet.source.unlist("books-2");
        cluster.send_requests_for(Duration::from_millis(1_000)).await;
        let gone = Instant::now();
        cluster.restore_backup(backup).await;
        // Three heartbeats of silence.
        cluster.send_requests_for(Duration::from_millis(300)).await;
        cluster.fleet.source.unlist("books-2");
        cluster.send_requests_for(Duration::from_millis(1_000)).await;
        assert_eq!(cluster.last_run_since(0, gone), None, "it got a request after it was known to be gone");
        assert_eq!(*cluster.failed_statuses.borrow(), Vec::<u16>::new());
    });
}
