//! Control messages: only those sealed with the key of the same deployment are accepted.

use std::time::Duration;

use olivegate_bundle::Stamp;
use olivegate_control::transport::{client_transport, server_transport};
use olivegate_control::{ControlError, Datagram};
use olivegate_types::{DeploymentKey, NodeName};
use rstest::rstest;
use tokio::net::{TcpListener, TcpStream};

fn key() -> DeploymentKey {
    DeploymentKey::from_secret("secret of this deployment")
}

fn other_key() -> DeploymentKey {
    DeploymentKey::from_secret("secret of another deployment")
}

fn datagram() -> Datagram {
    Datagram::Version { from: NodeName::new("a"), stamp: Stamp::default() }
}

#[test]
fn a_datagram_is_the_same_after_encoding_and_decoding() {
    assert_eq!(Datagram::from_bytes(&datagram().to_bytes(&key()), &key()), Ok(datagram()));
}

#[rstest]
#[case::another_deployment(datagram().to_bytes(&other_key()), ControlError::Authentication)]
#[case::empty(Vec::new(), ControlError::Authentication)]
#[case::another_version(key().seal(vec![9, 0, 0]), ControlError::Malformed)]
#[case::garbled_content(key().seal(vec![1, 200, 7]), ControlError::Malformed)]
fn other_bytes_are_refused(#[case] bytes: Vec<u8>, #[case] expected: ControlError) {
    assert_eq!(Datagram::from_bytes(&bytes, &key()), Err(expected));
}

/// Sends one frame from a client with `client_key` to a server, and returns what the server reads.
async fn first_frame(client_key: DeploymentKey) -> Result<String, std::io::Error> {
    use futures::{SinkExt, StreamExt};
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let client = TcpStream::connect(address).await?;
    let (server, _) = listener.accept().await?;
    let mut client = client_transport::<String, String>(client, client_key);
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + Duration::from_secs(5);
    let request = tarpc::Request { context, id: 1, message: "hello".to_string() };
    client.send(tarpc::ClientMessage::Request(request)).await?;
    let mut server = server_transport::<String, String>(server, key());
    match server.next().await {
        Some(Ok(tarpc::ClientMessage::Request(request))) => Ok(request.message),
        Some(Err(error)) => Err(error),
        _ => Ok("(nothing)".into()),
    }
}

#[tokio::test]
async fn frames_of_this_deployment_are_read() {
    assert_eq!(first_frame(key()).await.unwrap(), "hello");
}

#[tokio::test]
async fn frames_of_another_deployment_are_refused() {
    assert_eq!(first_frame(other_key()).await.unwrap_err().kind(), std::io::ErrorKind::InvalidData);
}
