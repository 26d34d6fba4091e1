//! Logs: written without waiting for a reader, read again as the story of a request.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use olivegate::log_output::QueuedOutput;
use olivegate::logs_command::{merge, parse, story, summary};
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
fn a_story_keeps_each_nodes_order_also_when_its_clock_steps_back() {
    let lines = merge(vec![parse("edge", EDGE), parse("gate", GATE)]);
    let events: Vec<String> =
        story(&lines, "r1").iter().map(|line| line.field("event").unwrap().to_string()).collect();
    assert_eq!(events, ["offered", "own_answer", "offer_refused"]);
    assert!(story(&lines, "r9").is_empty());
}

const HELD: &str = "\
2026-01-01T10:00:01.000Z [INFO] event=content_suspected content=ab12 route=books caller=desk instance=i-1 ends=1 age_ms=0 held=false
2026-01-01T10:00:01.100Z [INFO] event=content_suspected content=cd34 route=books caller=desk instance=i-1 ends=1 age_ms=0 held=false
2026-01-01T10:00:02.000Z [INFO] event=content_told content=ab12 ends=2 age_ms=1000 held=true
2026-01-01T10:00:03.000Z [INFO] event=request_held request=r7 route=books caller=desk content=ab12 ends=2 age_ms=2000 held=true
2026-01-01T10:00:03.100Z [INFO] event=request_held request=r8 route=books caller=desk content=ab12 ends=2 age_ms=2100 held=true
2026-01-01T10:00:03.200Z [INFO] event=exchange_failed request=r9 route=books instance=i-2 reason=broken content=none
";

#[rstest]
#[case::a_request_and_what_is_held_against_it("r7", &["content_suspected", "content_told", "request_held"])]
#[case::a_content("ab12", &["content_suspected", "content_told", "request_held", "request_held"])]
#[case::nothing_is_held("r9", &["exchange_failed"])]
fn a_story_names_what_is_held_against_a_request(#[case] subject: &str, #[case] expected: &[&str]) {
    let lines = parse("gate", HELD);
    let found = story(&lines, subject);
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

/// A destination that takes nothing until it is told to.
#[derive(Clone, Default)]
struct Stuck {
    gate: Arc<Mutex<()>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
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
fn what_was_logged_last_is_written_before_the_end() {
    let destination = Stuck::default();
    let mut output = QueuedOutput::new(destination.clone());
    writeln!(output, "event=stopped").unwrap();
    output.flush().unwrap();
    assert_eq!(destination.written.lock().unwrap().as_slice(), b"event=stopped\n");
}

/// Lines written to a destination that takes none.
const LINES: u64 = 50_000;

#[rstest]
fn a_reader_that_is_stuck_holds_nobody_up_and_learns_what_it_missed() {
    let destination = Stuck::default();
    let stuck = destination.gate.lock().unwrap();
    let mut output = QueuedOutput::new(destination.clone());
    let began = Instant::now();
    for number in 0..LINES {
        writeln!(output, "event=line number={number}").unwrap();
    }
    assert!(began.elapsed() < Duration::from_secs(5), "took {:?}", began.elapsed());
    drop(stuck);
    // Some of the loss may have been counted for the batch that was stuck: all of it is told in the end,
    // and each line is either written or counted.
    loop {
        let (written, missing) = written_and_missing(&destination);
        if written + missing == LINES {
            assert!(missing > 40_000, "{missing} lines missing");
            return;
        }
        assert!(began.elapsed() < Duration::from_secs(20), "{written} written, {missing} told to be missing");
        // What was dropped while the queue was full is told with the next line.
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Lines that were written, and those that are told to be missing.
fn written_and_missing(destination: &Stuck) -> (u64, u64) {
    let text = String::from_utf8_lossy(&destination.written.lock().unwrap()).into_owned();
    let told = text.lines().filter_map(|line| line.strip_prefix("event=log_lines_dropped count="));
    let missing = told.filter_map(|count| count.parse::<u64>().ok()).sum();
    let written = text.lines().filter(|line| line.starts_with("event=line ")).count() as u64;
    (written, missing)
}
