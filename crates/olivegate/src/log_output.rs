//! Log lines to standard output without ever waiting for its reader.
//!
//! Lines go through a bounded queue to a thread that writes them. When the queue is full,
//! because nobody reads standard output for example, lines are dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that may wait to be written.
const QUEUED_LINES: usize = 2_048;

/// Most lines that are written at once.
const BATCH_LINES: usize = 256;

/// Longest time that a flush waits for the writing thread.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// What the writing thread is told.
enum Message {
    /// A line to write.
    Line(Vec<u8>),
    /// Answer when all lines before this have been written.
    Flush(SyncSender<()>),
}

/// Takes whole lines and hands them to the writing thread.
pub struct QueuedOutput {
    line: Vec<u8>,
    queue: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl QueuedOutput {
    /// An output whose lines are written to `destination` by a thread of their own.
    pub fn new(destination: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::spawn(move || write_lines(destination, &lines, &counted));
        QueuedOutput { line: Vec::new(), queue, dropped }
    }

    /// Lines dropped and not told yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(mut destination: impl Write, messages: &Receiver<Message>, dropped: &AtomicU64) {
    while let Ok(first) = messages.recv() {
        let mut batch = Vec::new();
        let mut flushes = Vec::new();
        for message in std::iter::once(first).chain(messages.try_iter().take(BATCH_LINES)) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(written) => flushes.push(written),
            }
        }
        let missing = dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            batch.extend_from_slice(format!("event=log_lines_dropped count={missing}\n").as_bytes());
        }
        // Where standard output is gone there is nobody left to tell.
        let _ = destination.write_all(&batch).and_then(|()| destination.flush());
        for written in flushes {
            // Whoever asked may have stopped waiting.
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

    /// Waits until all lines have been written, but not for long.
    fn flush(&mut self) -> std::io::Result<()> {
        let (written, wait) = sync_channel(1);
        if self.queue.try_send(Message::Flush(written)).is_ok() {
            // Too slow a reader is not waited for.
            let _ = wait.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }
}
