//! Watches whether the main thread of a process hands back the processor.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record::Record;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Clock ticks a second, in which the system counts processor time.
const TICKS_PER_S: f64 = 100.0;
/// Part of a span that the thread has to have run for to count as busy throughout.
const BUSY_PART: f64 = 0.85;

/// How often a thread has waited so far, and the processor time that it has used.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Usage {
    waits: u64,
    processor_s: f64,
}

fn usage(process: u32) -> Option<Usage> {
    let folder = format!("/proc/{process}/task/{process}");
    let status = std::fs::read_to_string(format!("{folder}/status")).ok()?;
    let waits =
        status.lines().find_map(|line| line.strip_prefix("voluntary_ctxt_switches:"))?.trim().parse().ok()?;
    let stat = std::fs::read_to_string(format!("{folder}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(Usage { waits, processor_s: ticks / TICKS_PER_S })
}

/// Watches a process until it ends or the watch is stopped.
pub struct Watch {
    stopped: Arc<AtomicBool>,
    longest: Arc<Mutex<Duration>>,
}

impl Watch {
    /// Starts to watch.
    pub fn start(process: u32, record: &Record) -> Self {
        let watch = Watch { stopped: Arc::default(), longest: Arc::default() };
        let (stopped, longest, record) = (watch.stopped.clone(), watch.longest.clone(), record.clone());
        std::thread::spawn(move || {
            let Some(mut first) = usage(process) else { return };
            let mut since = Instant::now();
            let mut span = Duration::ZERO;
            while !stopped.load(Ordering::SeqCst) {
                std::thread::sleep(SAMPLE_INTERVAL);
                let now = usage(process);
                if let Some(now) = now.filter(|now| now.waits == first.waits) {
                    let is_busy = now.processor_s - first.processor_s >= since.elapsed().as_secs_f64() * BUSY_PART;
                    span = if is_busy { since.elapsed() } else { span };
                    continue;
                }
                if span >= Duration::from_millis(200) {
                    record.line(format!(
                        "the process has used the processor for {} ms without handing it back",
                        span.as_millis()
                    ));
                }
                let known = *longest.lock().expect("lock");
                *longest.lock().expect("lock") = known.max(span);
                let Some(now) = now else { return };
                (first, since, span) = (now, Instant::now(), Duration::ZERO);
            }
        });
        watch
    }

    /// Ends the watch and returns the longest span for which the processor was not handed back.
    pub fn longest(self) -> Duration {
        std::thread::sleep(SAMPLE_INTERVAL * 5);
        self.stopped.store(true, Ordering::SeqCst);
        *self.longest.lock().expect("lock")
    }
}
