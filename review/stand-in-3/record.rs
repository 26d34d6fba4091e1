//! The record of a case: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Starts a record in `file`.
    pub fn create(file: &Path) -> std::io::Result<Self> {
        Ok(Record { began: Instant::now(), file: Arc::new(Mutex::new(File::create(file)?)) })
    }

    /// Time since the record began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            // A record that can't be written shows by its missing lines.
            let _ = writeln!(file, "{at:9.3}  {}", text.as_ref());
        }
    }
}
