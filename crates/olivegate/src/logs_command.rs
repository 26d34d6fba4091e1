//! `logs explain` and `logs summary`: the story of a request, and causes over time, from the
//! log lines of many nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use crate::error::CommandError;

/// Events that end a request at its edge without an instance's answer.
const OWN_ANSWER: &str = "own_answer";
/// Events of attempts and exchanges that failed, and of refused offers.
const SUMMARIZED: [&str; 4] = [OWN_ANSWER, "attempt_failed", "exchange_failed", "offer_refused"];

/// Values of the field `content` that name none.
const NO_CONTENT: [&str; 2] = ["none", "streamed"];
/// Beginning of the events that tell what is held against a content.
const CONTENT_EVENTS: &str = "content_";

/// One log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Time as it was written, by the clock of its node.
    pub time: String,
    /// Which file it is from.
    pub source: String,
    /// The line itself, without its time.
    pub text: String,
}

impl LogLine {
    /// The value of a field such as `request`.
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.text.split_whitespace().filter_map(|word| word.split_once('='));
        fields.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// The lines of one file, in their order. Lines without a time take that of the line before.
pub fn parse(source: &str, content: &str) -> Vec<LogLine> {
    let mut time = String::new();
    let mut lines = Vec::new();
    for line in content.lines() {
        let Some(event) = line.find("event=") else { continue };
        if let Some(written) =
            line[..event].split_whitespace().find(|word| word.contains('T') && word.ends_with('Z'))
        {
            time = written.to_string();
        }
        lines.push(LogLine { time: time.clone(), source: source.to_string(), text: line[event..].to_string() });
    }
    lines
}

/// Merges the lines of many files by time, each file's own order kept: a clock that steps
/// back does not turn a node's story around.
pub fn merge(files: Vec<Vec<LogLine>>) -> Vec<LogLine> {
    let mut waiting: Vec<_> = files.into_iter().map(|lines| lines.into_iter().peekable()).collect();
    let mut merged = Vec::new();
    loop {
        let heads =
            waiting.iter_mut().enumerate().filter_map(|(index, lines)| Some((lines.peek()?.time.clone(), index)));
        let Some((_, earliest)) = heads.min() else { return merged };
        merged.extend(waiting[earliest].next());
    }
}

/// The lines about the request with this id, or about the content with this digest, in order. With
/// a request come the lines that tell what is held against its content.
pub fn story(lines: &[LogLine], subject: &str) -> Vec<LogLine> {
    let is_subject = |line: &&LogLine| [line.field("request"), line.field("content")].contains(&Some(subject));
    let contents: BTreeSet<&str> = lines
        .iter()
        .filter(|line| line.field("request") == Some(subject))
        .filter_map(|line| line.field("content"))
        .filter(|content| !NO_CONTENT.contains(content))
        .collect();
    let is_of_content = |line: &LogLine| {
        let is_event = line.field("event").is_some_and(|event| event.starts_with(CONTENT_EVENTS));
        is_event && line.field("content").is_some_and(|content| contents.contains(content))
    };
    lines.iter().filter(|line| is_subject(line) || is_of_content(line)).cloned().collect()
}

/// Counts of refusals and failures by second, event, route and reason.
pub fn summary(lines: &[LogLine]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in lines {
        let Some(event) = line.field("event").filter(|event| SUMMARIZED.contains(event)) else { continue };
        let second = line.time.split('.').next().unwrap_or_default().trim_end_matches('Z');
        let route = line.field("route").unwrap_or("none");
        let reason = line.field("reason").unwrap_or("none");
        *counts.entry(format!("{second} {event} route={route} reason={reason}")).or_default() += 1;
    }
    counts
}

fn read_all(files: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let mut parsed = Vec::new();
    for file in files {
        let bytes = std::fs::read(file).map_err(|error| CommandError::Read(file.clone(), error))?;
        let name = file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        parsed.push(parse(&name, &String::from_utf8_lossy(&bytes)));
    }
    Ok(merge(parsed))
}

/// Prints the story of a request.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<(), CommandError> {
    let found = story(&read_all(files)?, request);
    if found.is_empty() {
        return Err(CommandError::NotInLogs(request.to_string()));
    }
    for line in found {
        println!("{} {} {}", line.time, line.source, line.text);
    }
    Ok(())
}

/// Prints refusals and failures by second and cause.
pub fn print_summary(files: &[PathBuf]) -> Result<(), CommandError> {
    for (cause, count) in summary(&read_all(files)?) {
        println!("{count:6} {cause}");
    }
    Ok(())
}
