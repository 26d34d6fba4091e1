//! Commands `logs explain` and `logs summary`: all log lines about a request, and counts of refusals
//! and failures over time, from the logs of many nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use crate::error::CommandError;

/// Event of a request that its edge answers itself, without an instance's response.
const OWN_ANSWER: &str = "own_answer";
/// Events that the summary counts: responses of the edge itself, failed attempts and exchanges, and
/// refused offers.
const SUMMARY_EVENTS: [&str; 4] = [OWN_ANSWER, "attempt_failed", "exchange_failed", "offer_refused"];

/// Values of the field `content` that are not a digest.
const NO_DIGEST: [&str; 2] = ["none", "streamed"];
/// Prefix of the events about contents that are suspected of ending instances.
const CONTENT_EVENT_PREFIX: &str = "content_";

/// One log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Timestamp in the line, by the clock of its node.
    pub time: String,
    /// Name of its file, without directory and extension.
    pub source: String,
    /// The line from its `event=` field on.
    pub text: String,
}

impl LogLine {
    /// The value of a field such as `request`.
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.text.split_whitespace().filter_map(|word| word.split_once('='));
        fields.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Parses the event lines of one file, in their order. A line without a timestamp gets that of the
/// line before.
pub fn parse(source: &str, content: &str) -> Vec<LogLine> {
    let mut time = String::new();
    let mut lines = Vec::new();
    for line in content.lines() {
        let Some(event) = line.find("event=") else { continue };
        if let Some(timestamp) =
            line[..event].split_whitespace().find(|word| word.contains('T') && word.ends_with('Z'))
        {
            time = timestamp.to_string();
        }
        lines.push(LogLine { time: time.clone(), source: source.to_string(), text: line[event..].to_string() });
    }
    lines
}

/// Merges the lines of many files by time. The order within each file is kept, so that a node's lines
/// are not reordered when its clock steps back.
pub fn merge(files: Vec<Vec<LogLine>>) -> Vec<LogLine> {
    let mut remaining: Vec<_> = files.into_iter().map(|lines| lines.into_iter().peekable()).collect();
    let mut merged = Vec::new();
    loop {
        let heads = remaining
            .iter_mut()
            .enumerate()
            .filter_map(|(index, lines)| Some((lines.peek()?.time.clone(), index)));
        let Some((_, earliest)) = heads.min() else { return merged };
        merged.extend(remaining[earliest].next());
    }
}

/// The lines about the request with this id, or about the content with this digest, in order. For a
/// request they include the events about its content as a suspect.
pub fn lines_about(lines: &[LogLine], subject: &str) -> Vec<LogLine> {
    let names_subject = |line: &&LogLine| [line.field("request"), line.field("content")].contains(&Some(subject));
    let contents: BTreeSet<&str> = lines
        .iter()
        .filter(|line| line.field("request") == Some(subject))
        .filter_map(|line| line.field("content"))
        .filter(|content| !NO_DIGEST.contains(content))
        .collect();
    let is_about_content = |line: &LogLine| {
        let is_content_event = line.field("event").is_some_and(|event| event.starts_with(CONTENT_EVENT_PREFIX));
        is_content_event && line.field("content").is_some_and(|content| contents.contains(content))
    };
    lines.iter().filter(|line| names_subject(line) || is_about_content(line)).cloned().collect()
}

/// Counts of refusals and failures by second, event, route and reason.
pub fn summary(lines: &[LogLine]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in lines {
        let Some(event) = line.field("event").filter(|event| SUMMARY_EVENTS.contains(event)) else { continue };
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

/// Prints all log lines about a request or a content.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<(), CommandError> {
    let found = lines_about(&read_all(files)?, request);
    if found.is_empty() {
        return Err(CommandError::NotInLogs(request.to_string()));
    }
    for line in found {
        println!("{} {} {}", line.time, line.source, line.text);
    }
    Ok(())
}

/// Prints the counts of refusals and failures by second and cause.
pub fn print_summary(files: &[PathBuf]) -> Result<(), CommandError> {
    for (cause, count) in summary(&read_all(files)?) {
        println!("{count:6} {cause}");
    }
    Ok(())
}
