//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins the record of a case at `path`.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {}", self.now_s(), text.as_ref());
    }
}
