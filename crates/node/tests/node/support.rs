//! Runs one node in the test process, with a fake platform and scripted back ends.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use olivegate_bundle::check::bundle_from_toml;
use olivegate_bundle::{SignedBundle, SigningKeyPair};
use olivegate_node::settings::Overrides;
use olivegate_node::{NodeApp, NodeSettings};
use olivegate_types::{Digest, Release};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

pub const CREDENTIAL: &str = "credential-of-readers";
pub const SECRET: &str = "secret of the test deployment";
/// What the node of a test says of its code.
const TEST_RELEASE: Release = Release { version: "0", commit: "test" };

/// What a scripted back end does with each request.
#[derive(Debug, Clone)]
pub enum Script {
    /// Sends these bytes.
    Send(String),
    /// Waits, then sends these bytes.
    SendLater(Duration, String),
    /// Sends these bytes and closes the connection.
    SendAndClose(String),
    /// Closes the connection without a response.
    Close,
}

/// A complete HTTP response with this body.
pub fn answer(content: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{content}", content.len())
}

/// A back end that records the request heads it receives, except those of health checks.
pub struct BackEnd {
    pub address: SocketAddr,
    pub heads: Arc<Mutex<Vec<String>>>,
    answers: Arc<AtomicUsize>,
}

impl BackEnd {
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let heads: Arc<Mutex<Vec<String>>> = Arc::default();
        let answers: Arc<AtomicUsize> = Arc::default();
        let (recorded_heads, answer_count) = (heads.clone(), answers.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_scripted(stream, script.clone(), recorded_heads.clone(), answer_count.clone()));
            }
        });
        BackEnd { address, heads, answers }
    }

    /// Number of responses sent, except those to warm-up requests.
    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::SeqCst)
    }

    pub fn requests(&self) -> usize {
        self.heads.lock().unwrap().len()
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

async fn serve_scripted(
    mut stream: TcpStream,
    script: Script,
    heads: Arc<Mutex<Vec<String>>>,
    answers: Arc<AtomicUsize>,
) {
    while let Some(head) = read_head(&mut stream).await {
        if head.starts_with("GET /health") {
            let _ = stream.write_all(answer("").as_bytes()).await;
            continue;
        }
        let is_warm_up = head.contains("/books/warm-up");
        heads.lock().unwrap().push(head);
        let text = match &script {
            Script::Close => return,
            Script::Send(text) | Script::SendAndClose(text) => text.clone(),
            Script::SendLater(wait, text) => {
                tokio::time::sleep(*wait).await;
                text.clone()
            }
        };
        answers.fetch_add(usize::from(!is_warm_up), Ordering::SeqCst);
        let closes = matches!(script, Script::SendAndClose(_)) || text.contains("content-length: 1000");
        if stream.write_all(text.as_bytes()).await.is_err() || closes {
            return;
        }
    }
}

fn bundle_text() -> String {
    format!(
        "deployment = \"test\"\nversion = 1\n[limits]\nmax_request_body_bytes = 1000\n\
         [[groups]]\nname = \"readers\"\nweight = 1\ncredential_blake3 = \"{}\"\n\
         [[services]]\nname = \"books\"\nslots = 4\nconnections = 10\n\
         [[kinds]]\nname = \"read\"\nservice = \"books\"\nmethod = \"GET\"\npath_prefix = \"/books\"\nimportance = 1\nrepeat_safe = true\n\
         [[kinds]]\nname = \"lend\"\nservice = \"books\"\nmethod = \"POST\"\npath_prefix = \"/books\"\nimportance = 3\n",
        Digest::of(CREDENTIAL.as_bytes())
    )
}

/// What the member service sends in place of the list; `None` to send the list.
type ListResponse = Arc<Mutex<Option<String>>>;

async fn start_platform(back_ends: &[SocketAddr], list_response: ListResponse) -> SocketAddr {
    let key = SigningKeyPair::from_secret([7; 32]);
    let signed = SignedBundle::signed_by(bundle_from_toml(&bundle_text()).unwrap(), &[key]).to_bytes();
    let instances: Vec<String> = back_ends
        .iter()
        .enumerate()
        .map(|(index, address)| {
            format!(
                "{{\"name\":\"books-{index}\",\"service\":\"books\",\"zone\":\"a\",\"address\":\"{address}\",\"state\":\"live\"}}"
            )
        })
        .collect();
    let list = format!("{{\"instances\":[{}],\"nodes\":[]}}", instances.join(","));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let Some(head) = read_head(&mut stream).await else {
                continue;
            };
            let is_list = head.starts_with("GET /members");
            let scripted = list_response.lock().unwrap().clone().filter(|_| is_list);
            if let Some(response) = scripted {
                let _ = stream.write_all(response.as_bytes()).await;
                continue;
            }
            let body = if is_list { list.clone().into_bytes() } else { signed.clone() };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n", body.len());
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&body).await;
        }
    });
    address
}

/// A running node.
pub struct TestNode {
    pub caller: SocketAddr,
    pub data: SocketAddr,
    pub control: SocketAddr,
    pub admin: SocketAddr,
    list_response: ListResponse,
    stop: Option<oneshot::Sender<()>>,
    running: tokio::task::JoinHandle<bool>,
}

impl TestNode {
    /// Starts a node in front of these back ends and waits until it is ready.
    pub async fn start(back_ends: &[&BackEnd]) -> Self {
        let addresses: Vec<SocketAddr> = back_ends.iter().map(|back_end| back_end.address).collect();
        let list_response = ListResponse::default();
        let platform = start_platform(&addresses, list_response.clone()).await;
        let public = hex::encode(SigningKeyPair::from_secret([7; 32]).public_key());
        let text = format!(
            "deployment = \"test\"\nnode = \"only\"\nzone = \"a\"\nsecret = \"{SECRET}\"\n\
             [listen]\ncaller = \"127.0.0.1:0\"\ndata = \"127.0.0.1:0\"\ncontrol = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
             [sign_off]\nrequired = 1\nkeys = [\"{public}\"]\n\
             [platform]\nconfiguration = \"{platform}\"\nmembers = \"{platform}\"\npoll_ms = 50\n\
             [claims]\nseat_zones = [\"a\", \"b\", \"c\"]\n"
        );
        let settings = NodeSettings::from_toml(&text, &Overrides::default()).unwrap();
        let app = NodeApp::bind(settings).await.unwrap();
        let addresses = app.node().addresses;
        let (stop, stopped) = oneshot::channel();
        let running = tokio::spawn(app.run(TEST_RELEASE, async move { drop(stopped.await) }));
        let node = TestNode {
            caller: addresses.caller,
            data: addresses.data,
            control: addresses.control,
            admin: addresses.admin,
            list_response,
            stop: Some(stop),
            running,
        };
        node.wait_until_ready().await;
        node
    }

    async fn wait_until_ready(&self) {
        loop {
            let ready = exchange(self.admin, "GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n").await;
            let status = exchange(self.caller, &get("/books/warm-up")).await;
            if ready.starts_with("HTTP/1.1 200") && !status.contains("no-instance") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// From now on the member service sends this in place of its list.
    pub fn set_list_response(&self, response: &str) {
        *self.list_response.lock().unwrap() = Some(response.into());
    }

    /// Starts the planned stop; the task returns true when no call was cut off.
    pub fn stop(mut self) -> tokio::task::JoinHandle<bool> {
        drop(self.stop.take());
        self.running
    }
}

/// A well-formed GET with a valid credential.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nx-olivegate-credential: {CREDENTIAL}\r\n\r\n")
}

/// A well-formed POST with a valid credential and additional header lines.
pub fn post(path: &str, lines: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: a\r\nx-olivegate-credential: {CREDENTIAL}\r\n{lines}\r\n")
}

/// Sends text and reads until one complete response has arrived or the connection ends. A
/// body that ends early is marked with `(truncated)`.
pub async fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let Some(head) = read_head(&mut stream).await else {
        return String::new();
    };
    let lower_case = head.to_ascii_lowercase();
    let length = lower_case.lines().find_map(|line| line.strip_prefix("content-length: ")?.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    match stream.read_exact(&mut body).await {
        Ok(_) => head + &String::from_utf8_lossy(&body),
        Err(_) => head + "(truncated)",
    }
}
