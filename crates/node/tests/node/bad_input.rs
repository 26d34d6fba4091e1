//! Invalid input gets a response that says why, and the node goes on serving.

use crate::support::{BackEnd, CREDENTIAL, Script, TestNode, answer, exchange, get, post};
use olivegate_types::DeploymentKey;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn start_node() -> (BackEnd, TestNode) {
    let back_end = BackEnd::start(Script::Send(answer("fine"))).await;
    let node = TestNode::start(&[&back_end]).await;
    (back_end, node)
}

fn get_with_headers(lines: &str) -> String {
    format!("GET /books/1 HTTP/1.1\r\nhost: a\r\n{lines}\r\n")
}

fn credential_header() -> String {
    format!("x-olivegate-credential: {CREDENTIAL}\r\n")
}

#[rstest]
#[case::no_such_kind(get("/films/1"), 404, "no kind for GET /films/1")]
#[case::wrong_credential(get_with_headers("x-olivegate-credential: nobody\r\n"), 401, "credential names no group")]
#[case::no_credential(get_with_headers(""), 401, "credential names no group")]
#[case::garbled_context(get_with_headers("x-olivegate-context: ~~~\r\n"), 400, "not base64")]
#[case::forged_context(
    get_with_headers("x-olivegate-context: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA\r\n"),
    400,
    "not made by a node"
)]
#[case::deadline_is_no_number(get_with_headers(&(credential_header() + "x-olivegate-deadline-ms: soon\r\n")), 400, "x-olivegate-deadline-ms")]
#[case::deadline_of_zero(get_with_headers(&(credential_header() + "x-olivegate-deadline-ms: 0\r\n")), 400, "x-olivegate-deadline-ms")]
#[case::large_body(post("/books/1", "content-length: 5000\r\n"), 413, "over 1000 bytes")]
#[case::empty_key(post("/books/1", "idempotency-key:\r\n"), 400, "idempotency-key")]
#[case::status_page(get("/status"), 404, "no kind for GET /status")]
#[tokio::test]
async fn invalid_requests_are_refused_with_a_reason(
    #[case] request: String,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let (back_end, node) = start_node().await;
    let before = back_end.requests();
    let reply = exchange(node.caller, &request).await;
    assert!(reply.starts_with(&format!("HTTP/1.1 {status}")), "{reply}");
    assert!(reply.contains(reason) && reply.contains("x-olivegate-outcome: not-run"), "{reply}");
    assert_eq!(back_end.requests(), before);
    assert!(exchange(node.caller, &get("/books/1")).await.ends_with("fine"));
}

#[rstest]
#[case::not_http("HELLO\r\n\r\n".to_string(), "400")]
#[case::conflicting_lengths(post("/books/1", "content-length: 3\r\ncontent-length: 4\r\n"), "400")]
#[case::length_and_chunks(post("/books/1", "content-length: x\r\n"), "400")]
#[case::large_head(get_with_headers(&format!("x-large: {}\r\n", "a".repeat(40_000))), "431")]
#[tokio::test]
async fn malformed_http_is_refused(#[case] request: String, #[case] status: &str) {
    let (_back_end, node) = start_node().await;
    let reply = exchange(node.caller, &request).await;
    assert!(reply.starts_with(&format!("HTTP/1.1 {status}")), "{reply}");
    assert!(exchange(node.caller, &get("/books/1")).await.ends_with("fine"));
}

#[tokio::test]
async fn a_context_sealed_by_another_deployment_is_refused_on_the_data_port() {
    let (back_end, node) = start_node().await;
    let before = back_end.requests();
    let sealed = DeploymentKey::from_secret("secret of another deployment").seal(vec![1; 60]);
    let text = hex::encode(sealed);
    for lines in [String::new(), format!("x-olivegate-context: {text}\r\nx-olivegate-instance: books-0\r\n")] {
        let reply = exchange(node.data, &get_with_headers(&lines)).await;
        assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    }
    assert_eq!(back_end.requests(), before);
}

#[tokio::test]
async fn garbage_on_the_control_port_is_dropped() {
    let (_back_end, node) = start_node().await;
    let mut stream = TcpStream::connect(node.control).await.unwrap();
    stream.write_all(&[0, 0, 0, 9, 1, 2, 3, 4, 5, 6, 7, 8, 9]).await.unwrap();
    let mut rest = Vec::new();
    assert_eq!(stream.read_to_end(&mut rest).await.unwrap_or(0), 0, "closed without an answer");
    let datagrams = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    datagrams.send_to(b"garbage", node.control).await.unwrap();
    assert!(exchange(node.caller, &get("/books/1")).await.ends_with("fine"));
}
