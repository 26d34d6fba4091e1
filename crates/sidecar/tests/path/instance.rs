//! Instances whose behaviour is scripted per request.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use olivegate_http1::{Frame, RequestDecoder, RequestHead};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet, spawn_local};
use tokio_util::codec::FramedRead;

use crate::client::Client;
use crate::support::{HEALTH_PATH, WIRE_NAMES};

/// A step of the script that a test instance runs for a request.
#[derive(Clone)]
pub enum Action {
    /// Writes this text to the connection.
    Send(String),
    /// Waits this many milliseconds; the script ends when the caller closes the connection meanwhile.
    Sleep(u64),
    /// Makes a call through the node at this address and responds with 200 when the call got 200, else with
    /// 500.
    Call(SocketAddr, String),
    /// Runs a callback of the test.
    Invoke(Rc<dyn Fn()>),
    Close,
    /// Closes the connection with a TCP reset.
    Reset,
    /// Crashes the whole instance after this many milliseconds: its port and all its connections close, also
    /// when the caller has gone meanwhile.
    Crash(u64),
}

/// A request that an instance received.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub head: RequestHead,
    pub body: Bytes,
    /// How long its connection had been idle; `None` for the first request of a connection.
    pub idle_for: Option<Duration>,
}

impl ReceivedRequest {
    pub fn field(&self, name: &str) -> String {
        self.head.fields.text(name).unwrap_or_default().to_string()
    }

    pub fn id(&self) -> String {
        self.field(WIRE_NAMES.request_id)
    }

    /// True for a health check, which no caller has sent.
    pub fn is_health_check(&self) -> bool {
        self.head.path() == HEALTH_PATH
    }
}

/// A scripted instance. Clones share its state.
#[derive(Clone, Default)]
pub struct TestInstance {
    pub received: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// Connections that ended while a request was running.
    pub abandoned: Rc<Cell<u32>>,
    /// Number of open connections.
    pub open_connections: Rc<Cell<u32>>,
    /// The server task; it owns the connections, which end with it.
    server_task: Rc<RefCell<Option<AbortHandle>>>,
    /// Notified when the instance has crashed.
    pub crashed: Rc<Notify>,
    options: InstanceOptions,
}

/// Behaviour of a test instance apart from its script.
#[derive(Debug, Clone, Copy, Default)]
pub struct InstanceOptions {
    /// The script also answers health checks.
    pub scripts_health_checks: bool,
    /// Connections that are idle for longer are closed, which no response announces.
    pub idle_timeout: Option<Duration>,
}

/// Counts a connection while it is open.
struct OpenConnectionGuard(Rc<Cell<u32>>);

impl OpenConnectionGuard {
    fn new(open_connections: &Rc<Cell<u32>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        OpenConnectionGuard(open_connections.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl TestInstance {
    /// Serves `address`; `script` returns the actions for a request, given the number of requests before it.
    pub async fn start(
        address: SocketAddr,
        script: impl Fn(&ReceivedRequest, usize) -> Vec<Action> + 'static,
    ) -> Self {
        TestInstance::default().serve(address, script).await
    }

    /// Serves `address` with these options.
    pub async fn start_with(
        address: SocketAddr,
        options: InstanceOptions,
        script: impl Fn(&ReceivedRequest, usize) -> Vec<Action> + 'static,
    ) -> Self {
        TestInstance { options, ..TestInstance::default() }.serve(address, script).await
    }

    async fn serve(
        self,
        address: SocketAddr,
        script: impl Fn(&ReceivedRequest, usize) -> Vec<Action> + 'static,
    ) -> Self {
        let instance = self;
        let listener = TcpListener::bind(address).await.unwrap();
        let script = Rc::new(script);
        let server = instance.clone();
        let task = spawn_local(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn_local(server.clone().connection(stream, script.clone()));
                while connections.try_join_next().is_some() {}
            }
        });
        *instance.server_task.borrow_mut() = Some(task.abort_handle());
        instance
    }

    /// Crashes the instance: its port refuses connections, and its open connections break.
    pub fn crash(&self) {
        if let Some(task) = self.server_task.borrow_mut().take() {
            task.abort();
            self.crashed.notify_one();
        }
    }

    async fn connection(self, stream: TcpStream, script: Rc<impl Fn(&ReceivedRequest, usize) -> Vec<Action>>) {
        let _open = OpenConnectionGuard::new(&self.open_connections);
        // Without Nagle's algorithm each write of a script goes out by itself, also on a reused connection.
        stream.set_nodelay(true).unwrap();
        let (reader, mut writer) = stream.into_split();
        let mut requests = FramedRead::new(reader, RequestDecoder::new(65_536, 1 << 30));
        let mut current: Option<(RequestHead, BytesMut)> = None;
        let mut idle_since: Option<tokio::time::Instant> = None;
        loop {
            let idle_timeout = idle_since.and(self.options.idle_timeout);
            let frame = match idle_timeout {
                Some(idle_timeout) => match tokio::time::timeout(idle_timeout, requests.next()).await {
                    Ok(frame) => frame,
                    Err(_) => return,
                },
                None => requests.next().await,
            };
            let Some(Ok(frame)) = frame else { return };
            match (frame, current.take()) {
                (Frame::Head(head, _), _) => current = Some((head, BytesMut::new())),
                (Frame::Data(data), Some((head, mut body))) => {
                    body.extend_from_slice(&data);
                    current = Some((head, body));
                }
                (Frame::End, Some((head, body))) => {
                    let idle_for = idle_since.map(|since| since.elapsed());
                    let request = ReceivedRequest { head, body: body.freeze(), idle_for };
                    let before = self.received.borrow().len();
                    let actions = if request.is_health_check() && !self.options.scripts_health_checks {
                        health_check_response(script(&request, before))
                    } else {
                        self.received.borrow_mut().push(request.clone());
                        script(&request, before)
                    };
                    for action in actions {
                        match action {
                            Action::Send(text) => {
                                let _ = writer.write_all(text.as_bytes()).await;
                            }
                            Action::Sleep(millis) => tokio::select! {
                                () = tokio::time::sleep(Duration::from_millis(millis)) => {}
                                frame = requests.next() => {
                                    if !matches!(frame, Some(Ok(_))) {
                                        self.abandoned.set(self.abandoned.get() + 1);
                                        return;
                                    }
                                }
                            },
                            Action::Call(outbound, outgoing) => {
                                let called = Client::connect(outbound).await.request(&outgoing).await;
                                let status = if called.head.status == 200 { 200 } else { 500 };
                                let _ = writer.write_all(response(status, &request.id(), "body").as_bytes()).await;
                            }
                            Action::Invoke(callback) => callback(),
                            Action::Close => return,
                            Action::Crash(millis) => {
                                let instance = self.clone();
                                spawn_local(async move {
                                    tokio::time::sleep(Duration::from_millis(millis)).await;
                                    instance.crash();
                                });
                                return futures::future::pending().await;
                            }
                            Action::Reset => {
                                let stream = requests.into_inner().reunite(writer).unwrap();
                                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                                return;
                            }
                        }
                    }
                    idle_since = Some(tokio::time::Instant::now());
                }
                _ => return,
            }
        }
    }

    /// Number of requests received.
    pub fn runs(&self) -> usize {
        self.received.borrow().len()
    }
}

/// A complete response of an instance, with its signature.
pub fn response(status: u16, id: &str, body: &str) -> String {
    with_status(&status.to_string(), id, body)
}

/// A complete response of an instance whose status may be none.
pub fn with_status(status: &str, id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nx-id: {id}\r\nx-signature: s-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Actions for a health check that is not scripted: rejects a check that is meant for another instance, as
/// the script does, and responds with 200 otherwise.
fn health_check_response(script_actions: Vec<Action>) -> Vec<Action> {
    match script_actions.first() {
        Some(Action::Send(text)) if text.starts_with("HTTP/1.1 421") => script_actions,
        _ => vec![Action::Send("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n".into())],
    }
}
