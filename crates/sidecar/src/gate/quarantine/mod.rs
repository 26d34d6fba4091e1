//! Requests with which instances end: kept from the instance beside this node.
//!
//! Judged here and not at the edge: each request reaches an instance through its gate, whichever
//! edge it came by.
//!
//! - [`admission`]: which requests are let in.
//! - [`evidence`]: what ends and answers of the instance say of its requests.
//! - [`reports`]: what gates tell each other.
//! - [`run_content`]: what makes the request that runs.
//! - [`watched_run`]: a run that is watched for the end of its instance.
//! - [`run_history`]: what is remembered of runs that are over.

pub mod admission;
pub mod evidence;
pub mod reports;
pub mod run_content;
pub mod run_history;
pub mod watched_run;

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use olivegate_quarantine::{ContentDigest, Suspects};
use tokio::sync::{Notify, Semaphore};

pub use admission::Entry;
use run_history::{AnsweredContents, LeftRuns};

/// Where news comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOrigin {
    /// This gate saw it.
    Local,
    /// Another gate told it.
    Peer,
}

/// The quarantine of one gate.
pub struct GateQuarantine {
    suspects: RefCell<Suspects>,
    /// The place of the one suspect that may run.
    alone: Arc<Semaphore>,
    answered: AnsweredContents,
    left: LeftRuns,
    /// Contents of which there is news to tell.
    news: RefCell<Vec<(ReportOrigin, ContentDigest)>>,
    /// Told when there is such.
    pub reports_changed: Notify,
    has_synced: Cell<bool>,
    heard: Notify,
}

impl Default for GateQuarantine {
    fn default() -> Self {
        GateQuarantine {
            suspects: RefCell::default(),
            alone: Arc::new(Semaphore::new(1)),
            answered: AnsweredContents::default(),
            left: LeftRuns::default(),
            news: RefCell::default(),
            reports_changed: Notify::new(),
            has_synced: Cell::new(false),
            heard: Notify::new(),
        }
    }
}
