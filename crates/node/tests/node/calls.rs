//! Calls through one node: responses, refusals, failures and the graceful stop.

use std::time::Duration;

use crate::support::{BackEnd, Script, TestNode, answer, exchange, get, post};

#[tokio::test]
async fn a_call_is_answered_whole_and_reserved_headers_are_not_passed_on() {
    let back_end = BackEnd::start(Script::Send(answer("a page"))).await;
    let node = TestNode::start(&[&back_end]).await;
    let reply = exchange(node.caller, &get("/books/7")).await;
    assert!(reply.starts_with("HTTP/1.1 200") && reply.ends_with("a page"), "{reply}");
    assert!(reply.contains("x-olivegate-outcome: ok") && reply.contains("x-olivegate-request-id: "), "{reply}");
    let head = back_end.heads.lock().unwrap().last().unwrap().clone();
    assert!(head.contains("x-olivegate-context: "), "{head}");
    assert!(!head.contains("x-olivegate-credential"), "{head}");
}

#[tokio::test]
async fn a_back_end_that_did_not_start_gives_not_run_with_a_time_to_come_back() {
    let refusal = "HTTP/1.1 503 x\r\nx-olivegate-not-started: true\r\ncontent-length: 0\r\n\r\n";
    let back_end = BackEnd::start(Script::Send(refusal.into())).await;
    let node = TestNode::start(&[&back_end]).await;
    let reply = exchange(node.caller, &post("/books/7", "")).await;
    assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
    assert!(reply.contains("x-olivegate-outcome: not-run") && reply.contains("retry-after: "), "{reply}");
}

#[tokio::test]
async fn a_broken_exchange_of_a_request_that_may_not_be_repeated_is_unknown_and_sent_once() {
    let back_end = BackEnd::start(Script::Close).await;
    let node = TestNode::start(&[&back_end]).await;
    let before = back_end.requests();
    let reply = exchange(node.caller, &post("/books/7", "")).await;
    assert!(reply.contains("x-olivegate-outcome: unknown") && reply.contains("retry-after: "), "{reply}");
    assert_eq!(back_end.requests() - before, 1);
}

#[tokio::test]
async fn retries_of_a_repeatable_request_stay_within_the_bound() {
    let back_end = BackEnd::start(Script::Close).await;
    let node = TestNode::start(&[&back_end]).await;
    let before = back_end.requests();
    let reply = exchange(node.caller, &get("/books/7")).await;
    assert!(reply.contains("x-olivegate-outcome: unknown"), "{reply}");
    assert_eq!(back_end.requests() - before, 4, "one attempt and three retries");
}

#[tokio::test]
async fn a_truncated_body_never_looks_whole() {
    let short = "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nonly a part";
    let back_end = BackEnd::start(Script::Send(short.into())).await;
    let node = TestNode::start(&[&back_end]).await;
    let reply = exchange(node.caller, &get("/books/7")).await;
    assert!(reply.is_empty() || reply.ends_with("(truncated)"), "{reply}");
}

#[tokio::test]
async fn a_response_with_an_invalid_status_is_unknown() {
    for status in ["000", "099", "101", "600", "999"] {
        let odd = answer("a page").replace("200 OK", status);
        let back_end = BackEnd::start(Script::Send(odd)).await;
        let node = TestNode::start(&[&back_end]).await;
        let reply = exchange(node.caller, &post("/books/7", "")).await;
        assert!(reply.contains("x-olivegate-outcome: unknown") && !reply.contains("a page"), "{status}: {reply}");
    }
}

/// Guards against a head that breaks off and reaches a caller as a whole response with an empty body, or as the news that
/// the call has not run.
#[tokio::test]
async fn a_response_whose_head_breaks_off_is_unknown() {
    for head in [
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
        "HTTP/1.1 503 x\r\nx-olivegate-not-started: true\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
    ] {
        for length in [9, 14, 17, head.len() - 3, head.len() - 2, head.len() - 1] {
            let part = &head[..length];
            let back_end = BackEnd::start(Script::SendAndClose(part.into())).await;
            let node = TestNode::start(&[&back_end]).await;
            let before = back_end.requests();
            let reply = exchange(node.caller, &post("/books/7", "")).await;
            assert!(reply.contains("x-olivegate-outcome: unknown"), "{part:?}: {reply}");
            assert_eq!(back_end.requests() - before, 1, "{part:?}");
        }
    }
}

#[tokio::test]
async fn back_ends_cannot_forge_an_outcome() {
    let forged = "HTTP/1.1 200 OK\r\nx-olivegate-outcome: not-run\r\ncontent-length: 2\r\n\r\nhi";
    let back_end = BackEnd::start(Script::Send(forged.into())).await;
    let node = TestNode::start(&[&back_end]).await;
    let reply = exchange(node.caller, &get("/books/7")).await;
    assert!(reply.contains("x-olivegate-outcome: ok") && !reply.contains("not-run"), "{reply}");
}

#[tokio::test]
async fn a_keyed_request_without_a_majority_of_seats_is_not_run() {
    let back_end = BackEnd::start(Script::Send(answer("lent"))).await;
    let node = TestNode::start(&[&back_end]).await;
    let before = back_end.requests();
    let reply = exchange(node.caller, &post("/books/7", "idempotency-key: k1\r\n")).await;
    assert!(reply.contains("not-run") && reply.contains("claim-unavailable"), "{reply}");
    assert_eq!(back_end.requests(), before);
}

/// The call takes longer than all other delays of a stop, so that only the wait for calls in flight can keep
/// the stop from cutting it off.
#[tokio::test]
async fn a_planned_stop_waits_for_a_call_in_flight() {
    let slow = Script::SendLater(Duration::from_millis(3_000), answer("a page"));
    let back_end = BackEnd::start(slow).await;
    let node = TestNode::start(&[&back_end]).await;
    let (caller, started) = (node.caller, back_end.requests());
    let request = get("/books/7").replace("host: a", "host: a\r\nx-olivegate-deadline-ms: 5000");
    let call = tokio::spawn(async move { exchange(caller, &request).await });
    while back_end.requests() == started {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(node.stop().await.unwrap(), "no call was cut off");
    assert_eq!(back_end.answers(), 1, "the stop ended before the call");
    assert!(call.await.unwrap().ends_with("a page"));
}
