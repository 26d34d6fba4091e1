//! An instance starts again under the name that it had. It knows nothing of before, and nothing that
//! nodes have learnt of the one before holds for it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::InstanceState::{Draining, Ready};
use olivegate_sidecar::model::RetrySafety::Safe;
use olivegate_sidecar::model::{Incarnation, InstanceState};
use rstest::rstest;
use tokio::task::spawn_local;

use crate::client::{Client, get};
use crate::instance::{Action, Seen, TestInstance, answer};
use crate::support::{Fleet, configuration, route, run};

const BOOKS: &str = "books";
const NAME: &str = "books-2";
/// Time from the end of the instance to its next start.
const DOWN: Duration = Duration::from_millis(300);
/// Arrivals of a content that ends its instance, over all tries: two ends hold it, and it may be on its
/// way again as the second is told.
const MOST_ENDS: u32 = 3;

/// An edge on machine 1 and the gate of the only instance on machine 2.
async fn fleet_of_two() -> Rc<Fleet> {
    let fleet = Rc::new(Fleet::new());
    fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
    fleet.list(1, "desk-1", "desk");
    list(&fleet, 1, Ready);
    Fleet::ready(&fleet.start(1, "desk").await).await;
    Fleet::ready(&fleet.start(2, BOOKS).await).await;
    // It is settled who reads.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet
}

fn list(fleet: &Fleet, start: u64, state: InstanceState) {
    fleet.list_started(2, NAME, BOOKS, state, Incarnation(1_700_000_000_000 + start));
}

async fn status_of(fleet: &Fleet, path: &str, id: &str) -> u16 {
    Client::connect(fleet.outbound(1)).await.ask(&get(path, id)).await.head.status
}

/// Serves under one name, again each time it has ended; `/safe/deadly` ends it.
async fn keep_instance(fleet: Rc<Fleet>, ends: Rc<Cell<u32>>) {
    for start in 1.. {
        let script = |seen: &Seen, _: usize| match seen.head.path() {
            "/safe/deadly" => vec![Action::Crash(10)],
            _ => vec![Action::Send(answer(200, &seen.id(), "ok"))],
        };
        let instance = TestInstance::start(fleet.instance_address(2), script).await;
        list(&fleet, start, Ready);
        instance.crashed.notified().await;
        ends.set(ends.get() + 1);
        tokio::time::sleep(DOWN).await;
    }
}

#[rstest]
fn a_content_that_ends_each_start_of_one_instance_is_held() {
    run(async {
        let fleet = fleet_of_two().await;
        let ends: Rc<Cell<u32>> = Rc::default();
        spawn_local(keep_instance(fleet.clone(), ends.clone()));
        tokio::time::sleep(Duration::from_millis(500)).await;
        for number in 0..25 {
            status_of(&fleet, "/safe/deadly", &format!("d{number}")).await;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        assert!(ends.get() <= MOST_ENDS, "the instance ended {} times", ends.get());
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        assert_eq!(status_of(&fleet, "/safe/other", "other").await, 200);
    });
}

/// It closes its connections and says that it leaves, then ends and starts again under its name.
#[rstest]
fn one_that_left_is_used_again_as_soon_as_it_has_started_again() {
    run(async {
        let fleet = fleet_of_two().await;
        let closes: Rc<RefCell<bool>> = Rc::new(RefCell::new(true));
        let script = {
            let closes = closes.clone();
            move |seen: &Seen, _: usize| {
                let whole = answer(200, &seen.id(), "ok");
                let closing = whole.replacen("\r\n", "\r\nConnection: close\r\n", 1);
                vec![Action::Send(if *closes.borrow() { closing } else { whole })]
            }
        };
        let first = TestInstance::start(fleet.instance_address(2), script.clone()).await;
        for number in 0..5 {
            assert_eq!(status_of(&fleet, "/safe/x", &format!("a{number}")).await, 200);
        }
        list(&fleet, 1, Draining);
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(status_of(&fleet, "/safe/x", "b").await, 503);
        first.crash();
        tokio::time::sleep(DOWN).await;
        *closes.borrow_mut() = false;
        let again = TestInstance::start(fleet.instance_address(2), script).await;
        list(&fleet, 2, Ready);
        tokio::time::sleep(Duration::from_millis(700)).await;
        for number in 0..5 {
            assert_eq!(status_of(&fleet, "/safe/x", &format!("c{number}")).await, 200);
        }
        assert_eq!(again.runs(), 5);
    });
}
