//! Output of log lines that never blocks the threads that log.
//!
//! A writer thread takes lines from a bounded queue. When the queue is full, for example because
//! nothing reads standard output, lines are dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: usize = 2_048;

/// Maximum number of further messages that are written together with the first one.
const MAX_BATCH: usize = 256;

/// Maximum time that a flush waits for the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// A message to the writer thread.
enum Message {
    /// A line to write.
    Line(Vec<u8>),
    /// Confirm that all lines queued before this message have been written.
    Flush(SyncSender<()>),
}

/// A [`Write`] implementation that queues complete lines for the writer thread.
pub struct QueuedOutput {
    line: Vec<u8>,
    queue: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl QueuedOutput {
    /// Starts a writer thread for `destination`.
    pub fn new(destination: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::spawn(move || write_lines(destination, &lines, &counted));
        QueuedOutput { line: Vec::new(), queue, dropped }
    }

    /// Number of dropped lines that have not been reported in the output yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(mut destination: impl Write, messages: &Receiver<Message>, dropped: &AtomicU64) {
    while let Ok(first) = messages.recv() {
        let mut batch = Vec::new();
        let mut flushes = Vec::new();
        for message in std::iter::once(first).chain(messages.try_iter().take(MAX_BATCH)) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(written) => flushes.push(written),
            }
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            batch.extend_from_slice(format!("event=log_lines_dropped count={dropped_lines}\n").as_bytes());
        }
        // If standard output is closed, there is nowhere left to report the error.
        let _ = destination.write_all(&batch).and_then(|()| destination.flush());
        for written in flushes {
            // The flush may have timed out already.
            let _ = written.try_send(());
        }
    }
}

impl Write for QueuedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if self.queue.try_send(Message::Line(line)).is_err() {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    /// Waits until all queued lines have been written, for at most `FLUSH_TIMEOUT`.
    fn flush(&mut self) -> std::io::Result<()> {
        let (written, wait) = sync_channel(1);
        if self.queue.try_send(Message::Flush(written)).is_ok() {
            // A timeout is ignored: a slow reader must not hold up the process.
            let _ = wait.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}
