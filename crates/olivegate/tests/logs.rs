//! Non-blocking log output, and the commands that read logs.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use olivegate::log_output::QueuedOutput;
use olivegate::logs_command::{lines_about, merge, parse, summary};
use rstest::rstest;

const EDGE: &str = "\
2026-01-01T10:00:00.100Z [INFO] event=offered request=r1 route=books instance=i-1
2026-01-01T10:00:00.100Z [INFO] event=offered request=r2 route=books instance=i-1
2026-01-01T09:59:58.500Z [INFO] event=own_answer request=r1 route=books status=503 reason=predicted-wait attempts=\"i-1:predicted-wait\"
";
const GATE: &str = "\
12.3 sidecar-2 2026-01-01T10:00:00.101Z [INFO] event=offer_refused request=r1 route=books instance=i-1 reason=predicted-wait
no event here
";

#[rstest]
fn merged_lines_keep_each_nodes_order_when_its_clock_steps_back() {
    let lines = merge(vec![parse("edge", EDGE), parse("gate", GATE)]);
    let events: Vec<String> =
        lines_about(&lines, "r1").iter().map(|line| line.field("event").unwrap().to_string()).collect();
    assert_eq!(events, ["offered", "own_answer", "offer_refused"]);
    assert!(lines_about(&lines, "r9").is_empty());
}

const SUSPECTED: &str = "\
2026-01-01T10:00:01.000Z [INFO] event=content_suspected content=ab12 route=books caller=desk instance=i-1 ends=1 age_ms=0 held=false
2026-01-01T10:00:01.100Z [INFO] event=content_suspected content=cd34 route=books caller=desk instance=i-1 ends=1 age_ms=0 held=false
2026-01-01T10:00:02.000Z [INFO] event=content_told content=ab12 ends=2 age_ms=1000 held=true
2026-01-01T10:00:03.000Z [INFO] event=request_held request=r7 route=books caller=desk content=ab12 ends=2 age_ms=2000 held=true
2026-01-01T10:00:03.100Z [INFO] event=request_held request=r8 route=books caller=desk content=ab12 ends=2 age_ms=2100 held=true
2026-01-01T10:00:03.200Z [INFO] event=exchange_failed request=r9 route=books instance=i-2 reason=broken content=none
";

#[rstest]
#[case::a_request_and_its_content("r7", &["content_suspected", "content_told", "request_held"])]
#[case::a_content("ab12", &["content_suspected", "content_told", "request_held", "request_held"])]
#[case::a_request_without_content("r9", &["exchange_failed"])]
fn lines_about_a_request_include_events_of_its_suspected_content(
    #[case] subject: &str,
    #[case] expected: &[&str],
) {
    let lines = parse("gate", SUSPECTED);
    let found = lines_about(&lines, subject);
    let events: Vec<&str> = found.iter().filter_map(|line| line.field("event")).collect();
    assert_eq!(events, expected);
}

#[rstest]
fn a_summary_counts_causes_by_second() {
    let counts = summary(&merge(vec![parse("edge", EDGE), parse("gate", GATE)]));
    let counts: Vec<(&str, usize)> = counts.iter().map(|(cause, count)| (cause.as_str(), *count)).collect();
    let expected = [
        ("2026-01-01T09:59:58 own_answer route=books reason=predicted-wait", 1),
        ("2026-01-01T10:00:00 offer_refused route=books reason=predicted-wait", 1),
    ];
    assert_eq!(counts, expected);
}

/// A destination whose writes block while `gate` is locked.
#[derive(Clone, Default)]
struct BlockingDestination {
    gate: Arc<Mutex<()>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockingDestination {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        drop(self.gate.lock().unwrap());
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[rstest]
fn a_flush_waits_until_the_last_line_is_written() {
    let destination = BlockingDestination::default();
    let mut output = QueuedOutput::new(destination.clone());
    writeln!(output, "event=stopped").unwrap();
    output.flush().unwrap();
    assert_eq!(destination.written.lock().unwrap().as_slice(), b"event=stopped\n");
}

/// Lines logged while the destination is blocked.
const LINES: u64 = 50_000;

#[rstest]
fn a_blocked_reader_does_not_block_logging_and_lost_lines_are_reported() {
    let destination = BlockingDestination::default();
    let blocked = destination.gate.lock().unwrap();
    let mut output = QueuedOutput::new(destination.clone());
    let started = Instant::now();
    for number in 0..LINES {
        writeln!(output, "event=line number={number}").unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(5), "took {:?}", started.elapsed());
    drop(blocked);
    // The batch that was blocked may already report some of the dropped lines. In the end each line is
    // either written or reported as dropped.
    loop {
        let (written, missing) = written_and_missing(&destination);
        if written + missing == LINES {
            assert!(missing > 40_000, "{missing} lines missing");
            return;
        }
        assert!(started.elapsed() < Duration::from_secs(20), "{written} written, {missing} reported missing");
        // Dropped lines are reported only together with the next line that is written.
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Numbers of lines that were written and that were reported as dropped.
fn written_and_missing(destination: &BlockingDestination) -> (u64, u64) {
    let text = String::from_utf8_lossy(&destination.written.lock().unwrap()).into_owned();
    let reports = text.lines().filter_map(|line| line.strip_prefix("event=log_lines_dropped count="));
    let missing = reports.filter_map(|count| count.parse::<u64>().ok()).sum();
    let written = text.lines().filter(|line| line.starts_with("event=line ")).count() as u64;
    (written, missing)
}
