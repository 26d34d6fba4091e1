//! Large responses in front of further requests of their connection.

use olivegate_sidecar::model::RetrySafety::Safe;
use rstest::rstest;

use crate::client::{Client, get};
use crate::instance::{Action, ReceivedRequest, TestInstance, response};
use crate::support::{Fleet, configuration, route, run};

/// Number of requests that a client sends behind the one with the large response.
const BEHIND: usize = 3;

/// Two instances on other machines than the client's: one responds with `scan`, one with small responses.
async fn start(scan: impl Fn(String) -> Vec<Action> + 'static) -> (Fleet, TestInstance) {
    let fleet = Fleet::new();
    let routes = vec![route("/plates/", "scans", Safe), route("/search/", "books", Safe)];
    fleet.source.configure(configuration(1, routes));
    fleet.list(1, "desk", "desk");
    fleet.list(2, "scans", "scans");
    fleet.list(3, "books", "books");
    let scans = move |request: &ReceivedRequest, _| scan(request.id());
    TestInstance::start(fleet.instance_address(2), scans).await;
    let books = |request: &ReceivedRequest, _| vec![Action::Send(response(200, &request.id(), "found"))];
    let books = TestInstance::start(fleet.instance_address(3), books).await;
    for (machine, service) in [(1, "desk"), (2, "scans"), (3, "books")] {
        Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
    }
    (fleet, books)
}

/// Sends the request with the large response and others behind it at once.
async fn pipeline(fleet: &Fleet) -> Client {
    let mut client = Client::connect(fleet.outbound(1)).await;
    let behind = (0..BEHIND).map(|number| get("/search/", &format!("search-{number}")));
    client.send(&(get("/plates/", "scan") + &behind.collect::<String>())).await;
    client
}

async fn assert_found_behind(client: &mut Client) {
    for number in 0..BEHIND {
        let found = client.next_response().await.expect("a response");
        assert_eq!((found.head.status, found.is_complete), (200, true));
        assert_eq!(found.field("x-id"), Some(format!("search-{number}")));
    }
}

/// The connection was closed where the response broke off, and with it went the responses behind it, which sound
/// instances had given.
#[rstest]
#[case::just_streamed(70_000)]
#[case::large(900_000)]
fn a_response_that_breaks_off_takes_none_behind_it_along(#[case] sent_bytes: usize) {
    run(async move {
        let (fleet, _) = start(move |id| {
            let whole = response(200, &id, &"x".repeat(2 * sent_bytes));
            vec![Action::Send(whole[..sent_bytes].to_string()), Action::Sleep(200), Action::Close]
        })
        .await;
        let mut client = pipeline(&fleet).await;
        let broken = client.next_response().await.expect("a response");
        assert_eq!((broken.head.status, broken.is_complete), (502, true));
        assert_eq!((broken.field("x-id").as_deref(), broken.field("x-signature")), (Some("scan"), None));
        assert_found_behind(&mut client).await;
    });
}

/// Guards against a response whose head breaks off, or whose status is none, and that closes the client's connection in
/// front of responses of sound instances, or takes the place of one of them.
#[rstest]
fn a_head_that_is_no_response_takes_none_behind_it_along(
    #[values(
        "HTTP/1.1 2",
        "HTTP/1.1 200 OK\r\nx-id: scan\r\nx-signature: s-scan\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nx-id: scan\r\nx-signature: s-scan\r\nContent-Length: 0\r\n\r",
        "HTTP/1.1 000 X\r\nx-id: scan\r\nContent-Length: 0\r\n\r\n"
    )]
    no_response: &'static str,
    #[values(Action::Close, Action::Reset)] ending: Action,
) {
    run(async move {
        let (fleet, _) = start(move |_| vec![Action::Send(no_response.into()), ending.clone()]).await;
        let mut client = pipeline(&fleet).await;
        let broken = client.next_response().await.expect("a response");
        assert_eq!((broken.head.status, broken.is_complete), (502, true));
        assert_eq!((broken.field("x-id").as_deref(), broken.field("x-signature")), (Some("scan"), None));
        assert_found_behind(&mut client).await;
    });
}

#[rstest]
#[case::held(900_000)]
#[case::too_large_to_be_held(1_500_000)]
fn a_whole_response_comes_before_those_behind_it(#[case] bytes: usize) {
    run(async move {
        let (fleet, _) = start(move |id| vec![Action::Send(response(200, &id, &"x".repeat(bytes)))]).await;
        let mut client = pipeline(&fleet).await;
        let scan = client.next_response().await.expect("a response");
        assert_eq!((scan.head.status, scan.is_complete, scan.body.len()), (200, true, bytes));
        assert_found_behind(&mut client).await;
    });
}

/// What was passed on of a response that is too large to be held must not look complete.
#[rstest]
fn a_response_that_is_too_large_to_be_held_breaks_off_visibly() {
    run(async {
        let (fleet, _) = start(|id| {
            let whole = response(200, &id, &"x".repeat(3_000_000));
            vec![Action::Send(whole[..1_500_000].to_string()), Action::Close]
        })
        .await;
        let mut client = pipeline(&fleet).await;
        let broken = client.next_response().await.expect("a response");
        assert_eq!((broken.head.status, broken.is_complete), (200, false));
    });
}
