//! Load generation: clients that send requests in a loop, their results, and the arrivals at instances.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

use crate::client::{Client, get};
use crate::support::Fleet;

/// Time from a response to the next request of the same client.
const PAUSE: Duration = Duration::from_millis(50);

/// The result of one request.
#[derive(Debug, Clone)]
pub struct ClientResult {
    pub status: u16,
    /// The Retry-After value in seconds, if the response has one.
    pub retry_after_s: Option<f64>,
}

/// Runs `clients` clients on each of `edges` for `span`; each sends requests for `path` one after the other.
pub async fn run_clients(edges: &[SocketAddr], clients: usize, path: &str, span: Duration) -> Vec<ClientResult> {
    let until = Instant::now() + span;
    let run_client = |edge: SocketAddr, number: usize| async move {
        let mut results = Vec::new();
        for count in 0.. {
            if Instant::now() >= until {
                break;
            }
            let sent_at = Instant::now();
            let mut client = Client::connect(edge).await;
            let response =
                client.request(&get(path, &format!("{}-{number}-{count}-{sent_at:?}", edge.ip()))).await;
            let retry_after_s = response.field("retry-after").and_then(|seconds| seconds.parse().ok());
            results.push(ClientResult { status: response.head.status, retry_after_s });
            tokio::time::sleep(PAUSE).await;
        }
        results
    };
    let all = edges.iter().flat_map(|edge| (0..clients).map(|number| run_client(*edge, number)));
    join_all(all).await.into_iter().flatten().collect()
}

/// Times at which requests arrived at an instance.
#[derive(Clone, Default)]
pub struct Arrivals(Rc<RefCell<Vec<Instant>>>);

impl Arrivals {
    pub fn record(&self) {
        self.0.borrow_mut().push(Instant::now());
    }

    /// Number of arrivals in `[from, until)`.
    pub fn count_between(&self, from: Instant, until: Instant) -> usize {
        self.0.borrow().iter().filter(|at| (from..until).contains(at)).count()
    }

    /// Maximum number of arrivals in a span of this length that begins at `from` or later.
    pub fn max_within(&self, span: Duration, from: Instant) -> usize {
        let arrivals = self.0.borrow();
        let starts = arrivals.iter().filter(|at| **at >= from);
        starts.map(|start| self.count_between(*start, *start + span)).max().unwrap_or_default()
    }
}

/// A node that can be killed: all its tasks and connections end at once.
pub struct KillableNode {
    task: tokio::task::JoinHandle<()>,
}

impl KillableNode {
    /// Starts the node of `machine` and waits until it is ready.
    pub async fn start(fleet: &Rc<Fleet>, machine: u8, service: &'static str) -> Self {
        let is_ready: Rc<Cell<bool>> = Rc::default();
        let (fleet, set_ready) = (fleet.clone(), is_ready.clone());
        let task = spawn_local(async move {
            let node = async {
                Fleet::wait_until_ready(&fleet.start(machine, service).await).await;
                set_ready.set(true);
                std::future::pending::<()>().await;
            };
            LocalSet::new().run_until(node).await;
        });
        crate::support::eventually("the node is ready", || is_ready.get()).await;
        KillableNode { task }
    }

    /// Kills the node.
    pub async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}
