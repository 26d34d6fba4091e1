//! Quarantine of requests that end the instance process running them ("query of death").
//!
//! The gate enforces it rather than the edge, because every request reaches an instance through the
//! instance's gate, whichever edge received it.
//!
//! - [`admission`]: decides whether a request may run.
//! - [`evidence`]: attributes the end of an instance to the requests it ran, and clears answered ones.
//! - [`reports`]: exchange of suspected contents with the other gates of the service.
//! - [`run_content`]: the content that identifies a request.
//! - [`run_history`]: recently answered contents and abandoned runs.
//! - [`watched_run`]: watches a run for the end of its instance.

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

pub use admission::RunPermit;
use run_history::{AbandonedRuns, AnsweredContents};

/// Where the information in a report comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportOrigin {
    /// Observed by this gate.
    Local,
    /// Received from another gate.
    Peer,
}

/// Quarantine state of one gate.
pub struct GateQuarantine {
    suspects: RefCell<Suspects>,
    /// One permit: at most one suspect runs at a time.
    isolation: Arc<Semaphore>,
    answered: AnsweredContents,
    abandoned: AbandonedRuns,
    /// Contents whose reports have to be sent to other gates.
    changed: RefCell<Vec<(ReportOrigin, ContentDigest)>>,
    /// Notified when `changed` gets an entry.
    pub reports_changed: Notify,
    has_synced: Cell<bool>,
    synced: Notify,
}

impl Default for GateQuarantine {
    fn default() -> Self {
        GateQuarantine {
            suspects: RefCell::default(),
            isolation: Arc::new(Semaphore::new(1)),
            answered: AnsweredContents::default(),
            abandoned: AbandonedRuns::default(),
            changed: RefCell::default(),
            reports_changed: Notify::new(),
            has_synced: Cell::new(false),
            synced: Notify::new(),
        }
    }
}
