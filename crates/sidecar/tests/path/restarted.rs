//! An instance that restarts under its old name. It keeps no state of its predecessor, and nothing that nodes
//! have learnt about the predecessor holds for it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::InstanceState::{Draining, Ready};
use olivegate_sidecar::model::RetrySafety::Safe;
use olivegate_sidecar::model::{Incarnation, InstanceState};
use rstest::rstest;
use tokio::task::spawn_local;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

const BOOKS: &str = "books";
const NAME: &str = "books-2";
/// Time from the crash of the instance to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of crashes by one content over all attempts: it is quarantined after two, and a third
/// request may already be on its way when the second crash is reported.
const MAX_CRASHES: u32 = 3;

/// An edge on machine 1 and the gate of the only instance on machine 2.
async fn fleet_of_two() -> Rc<Fleet> {
    let fleet = Rc::new(Fleet::new());
    fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
    fleet.list(1, "desk-1", "desk");
    list(&fleet, 1, Ready);
    Fleet::wait_until_ready(&fleet.start(1, "desk").await).await;
    Fleet::wait_until_ready(&fleet.start(2, BOOKS).await).await;
    // Waits until the nodes have agreed which of them reads the source.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet
}

fn list(fleet: &Fleet, start_number: u64, state: InstanceState) {
    fleet.list_with_incarnation(2, NAME, BOOKS, state, Incarnation(1_700_000_000_000 + start_number));
}

async fn request_status(fleet: &Fleet, path: &str, id: &str) -> u16 {
    Client::connect(fleet.outbound(1)).await.request(&get(path, id)).await.head.status
}

/// Runs an instance that crashes on `/safe/deadly`, and restarts it under the same name after each crash.
async fn run_restarting_instance(fleet: Rc<Fleet>, crashes: Rc<Cell<u32>>) {
    for start_number in 1.. {
        let script = |request: &ReceivedRequest, _: usize| match request.head.path() {
            "/safe/deadly" => vec![Action::Crash(10)],
            _ => vec![Action::Send(response(200, &request.id(), "ok"))],
        };
        let instance = TestInstance::start(fleet.instance_address(2), script).await;
        list(&fleet, start_number, Ready);
        instance.crashed.notified().await;
        crashes.set(crashes.get() + 1);
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

#[rstest]
fn a_content_that_crashes_one_instance_after_each_restart_is_quarantined() {
    run(async {
        let fleet = fleet_of_two().await;
        let crashes: Rc<Cell<u32>> = Rc::default();
        spawn_local(run_restarting_instance(fleet.clone(), crashes.clone()));
        tokio::time::sleep(Duration::from_millis(500)).await;
        for number in 0..25 {
            request_status(&fleet, "/safe/deadly", &format!("d{number}")).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        assert!(crashes.get() <= MAX_CRASHES, "the instance ended {} times", crashes.get());
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        assert_eq!(request_status(&fleet, "/safe/other", "other").await, 200);
    });
}

/// The instance responds with `Connection: close` and is listed as draining, then ends and restarts under its
/// name.
#[rstest]
fn one_that_left_is_used_again_as_soon_as_it_has_started_again() {
    run(async {
        let fleet = fleet_of_two().await;
        let announces_close: Rc<RefCell<bool>> = Rc::new(RefCell::new(true));
        let script = {
            let announces_close = announces_close.clone();
            move |request: &ReceivedRequest, _: usize| {
                let ok = response(200, &request.id(), "ok");
                let closing = ok.replacen("\r\n", "\r\nConnection: close\r\n", 1);
                vec![Action::Send(if *announces_close.borrow() { closing } else { ok })]
            }
        };
        let first = TestInstance::start(fleet.instance_address(2), script.clone()).await;
        for number in 0..5 {
            assert_eq!(request_status(&fleet, "/safe/x", &format!("a{number}")).await, 200);
        }
        list(&fleet, 1, Draining);
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(request_status(&fleet, "/safe/x", "b").await, 503);
        first.crash();
        tokio::time::sleep(RESTART_DELAY).await;
        *announces_close.borrow_mut() = false;
        let again = TestInstance::start(fleet.instance_address(2), script).await;
        list(&fleet, 2, Ready);
        tokio::time::sleep(Duration::from_millis(700)).await;
        for number in 0..5 {
            assert_eq!(request_status(&fleet, "/safe/x", &format!("c{number}")).await, 200);
        }
        assert_eq!(again.runs(), 5);
    });
}
