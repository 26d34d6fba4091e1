//! Log lines of the sidecar processes about requests that broke a promise.

use std::path::Path;

/// Returns the lines of all logs in `directory` that name one of `subjects`, each with its machine, in the
/// order of `subjects`. Logs that can't be read are skipped: the violation is reported anyway.
pub fn lines_about(directory: &Path, subjects: &[&str]) -> Vec<String> {
    let logs = read_logs(directory);
    subjects.iter().flat_map(|subject| lines_of(&logs, subject)).collect()
}

/// Reads all logs, as pairs of machine and text.
fn read_logs(directory: &Path) -> Vec<(String, String)> {
    let Ok(entries) = std::fs::read_dir(directory) else { return Vec::new() };
    let files = entries.filter_map(Result::ok).map(|entry| entry.path());
    let logs = files.filter(|file| file.extension().is_some_and(|extension| extension == "log"));
    let mut logs: Vec<(String, String)> = logs
        .filter_map(|file| {
            let machine = file.file_stem()?.to_string_lossy().into_owned();
            let text = std::fs::read(&file).ok()?;
            Some((machine, String::from_utf8_lossy(&text).into_owned()))
        })
        .collect();
    logs.sort();
    logs
}

fn lines_of(logs: &[(String, String)], subject: &str) -> Vec<String> {
    let request_field = format!("request={subject} ");
    let matching_lines = |(machine, text): &(String, String)| {
        let lines = text.lines().filter(|line| line.contains(&request_field));
        lines.map(|line| format!("subject={subject} log={machine} {line}")).collect::<Vec<String>>()
    };
    logs.iter().flat_map(matching_lines).collect()
}
