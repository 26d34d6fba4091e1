//! The record of a run: what was sent, answered and run, with times.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with their times since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    text: Arc<Mutex<String>>,
}

impl Record {
    /// An empty record that starts now.
    pub fn new() -> Self {
        Record { started: Instant::now(), text: Arc::default() }
    }

    /// Adds a line.
    pub fn note(&self, line: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut text = self.text.lock().expect("no holder panics");
        let _ = writeln!(text, "{seconds:8.3} {line}");
    }

    /// Writes the record to a file.
    pub fn write(&self, file: &Path) {
        let text = self.text.lock().expect("no holder panics").clone();
        if let Err(error) = std::fs::write(file, text) {
            eprintln!("{}: {error}", file.display());
        }
    }
}
