//! What the question who is there costs callers: the gate asks it where something shows that its
//! instance may have ended.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use olivegate_sidecar::model::RetrySafety::Safe;
use rstest::rstest;

use crate::client::{Client, get};
use crate::instance::{Action, Conduct, Seen, TestInstance, answer};
use crate::support::{Fleet, configuration, route, run};

const BOOKS: &str = "books";
const EDGE: u8 = 1;
const GATE: u8 = 2;
/// Requests that come one after the other.
const REQUESTS: usize = 30;
/// Rest after which the instance closes a connection, and the pause between two requests.
const CLOSES_AFTER: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_millis(110);
/// Questions that may hold callers up before the gate knows that the instance closes what rests.
const MOST_QUESTIONS: usize = 4;

/// What a test has seen of its instance.
#[derive(Default)]
struct Asked {
    questions: Cell<usize>,
}

impl Asked {
    fn note(&self, seen: &Seen) {
        self.questions.set(self.questions.get() + usize::from(seen.is_health_question()));
    }
}

async fn start_nodes(fleet: &Fleet) {
    fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
    fleet.list(GATE, "books-2-1", BOOKS);
    Fleet::ready(&fleet.start(GATE, BOOKS).await).await;
    Fleet::ready(&fleet.start(EDGE, "desk").await).await;
}

/// Guards against callers who wait for a question at each close of a connection that rested.
#[rstest]
#[case::answered_at_once(Action::Sleep(0))]
#[case::answered_late(Action::Sleep(300))]
#[case::never_answered(Action::Sleep(60_000))]
fn an_instance_that_closes_what_rests_is_asked_few_times_who_it_is(#[case] before_health: Action) {
    run(async move {
        let fleet = Fleet::new();
        let asked = Rc::new(Asked::default());
        let noted = asked.clone();
        let script = move |seen: &Seen, _: usize| {
            noted.note(seen);
            let whole = Action::Send(answer(200, &seen.id(), "body"));
            if seen.is_health_question() { vec![before_health.clone(), whole] } else { vec![whole] }
        };
        let conduct = Conduct { scripts_health: true, closes_after: Some(CLOSES_AFTER) };
        TestInstance::start_with(fleet.instance_address(GATE), conduct, script).await;
        start_nodes(&fleet).await;
        for number in 0..REQUESTS {
            let answer =
                Client::connect(fleet.outbound(EDGE)).await.ask(&get("/safe/", &format!("r{number}"))).await;
            assert_eq!(answer.head.status, 200, "request {number}");
            tokio::time::sleep(PAUSE).await;
        }
        let questions = asked.questions.get();
        assert!(questions <= MOST_QUESTIONS, "{questions} questions for {REQUESTS} requests");
    });
}

/// Guards against requests that wait for a question although their gate refuses them whatever it finds.
#[rstest]
fn a_request_that_is_refused_anyway_waits_for_no_question() {
    run(async {
        let mut fleet = Fleet::new();
        fleet.repeat_ratio = 0.0;
        fleet.repeat_slack = 0.0;
        fleet.source.configure(configuration(1, vec![route("/safe/", BOOKS, Safe)]));
        let asked = Rc::new(Asked::default());
        let gates = [GATE, GATE + 1];
        for machine in gates {
            fleet.list(machine, &format!("books-{machine}-1"), BOOKS);
        }
        for machine in gates {
            let noted = asked.clone();
            let script = move |seen: &Seen, _: usize| {
                noted.note(seen);
                vec![Action::Close]
            };
            TestInstance::start(fleet.instance_address(machine), script).await;
            Fleet::ready(&fleet.start(machine, BOOKS).await).await;
        }
        Fleet::ready(&fleet.start(EDGE, "desk").await).await;
        // The first instance breaks off, and the gate of the second one has no repeat left.
        Client::connect(fleet.outbound(EDGE)).await.ask(&get("/safe/", "r")).await;
        assert_eq!(asked.questions.get(), 1, "questions by two gates");
    });
}
