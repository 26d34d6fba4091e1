//! Responses of the platform's services and of health checks that are none: they tell nothing.

use std::net::SocketAddr;
use std::time::Duration;

use olivegate_node::fetch;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::support::{BackEnd, Script, TestNode, answer, exchange, get};

/// Interval at which a test node reads the list, doubled.
const TWO_READS: Duration = Duration::from_millis(100);

/// Starts a server that sends this to each request and closes the connection.
async fn start_server(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

async fn fetch_from_server(response: &str) -> Option<u16> {
    let address = start_server(response.into()).await;
    let fetched = fetch::get(address, "/", 1 << 20, Duration::from_secs(2)).await;
    fetched.ok().map(|fetched| fetched.status)
}

/// Guards against a part of a head that passes for an empty list or a sound service.
#[rstest]
#[tokio::test]
async fn a_head_that_breaks_off_is_no_response(
    #[values(
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
    )]
    head: &str,
) {
    for length in 0..head.len() {
        assert_eq!(fetch_from_server(&head[..length]).await, None, "{:?}", &head[..length]);
    }
    assert!(fetch_from_server(head).await.is_some(), "the whole head");
}

#[rstest]
#[tokio::test]
async fn a_status_that_is_none_is_no_response(
    #[values("000", "001", "099", "101", "600", "999", "20", "abc")] status: &str,
    #[values("content-length: 2\r\n", "connection: close\r\n")] field: &str,
) {
    assert_eq!(fetch_from_server(&format!("HTTP/1.1 {status} X\r\n{field}\r\n{{}}")).await, None);
}

/// Guards against a node that forgets all instances because the member service fails: what came with the failure was
/// taken for the list.
#[rstest]
#[tokio::test]
async fn a_failure_of_the_member_service_does_not_empty_the_list(
    #[values("000", "204", "302", "404", "429", "500", "503", "600", "999")] status: &str,
) {
    let back_end = BackEnd::start(Script::Send(answer("a page"))).await;
    let node = TestNode::start(&[&back_end]).await;
    node.set_list_response(&answer(r#"{"instances":[],"nodes":[]}"#).replace("200 OK", status));
    tokio::time::sleep(TWO_READS).await;
    let reply = exchange(node.caller, &get("/books/7")).await;
    assert!(reply.contains("a page"), "{reply}");
}
