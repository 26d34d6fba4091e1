//! Stand-ins for the review's scripts: the platform's store, machines, instances and clients, with one case each.

mod case_failing;
mod case_pipelined_scans;
mod case_release;
mod case_slow_reader;
mod case_unsigned;
mod client;
mod http;
mod machine;
mod record;
mod store;

use record::Record;

/// How a case ended.
pub enum CaseResult {
    /// The rule was broken.
    Broken(String),
    /// The rule held.
    Held(String),
    /// The case could not run.
    NotRun(String),
}

/// True until `seconds` after the start of the record.
pub fn end_by(record: &Record, seconds: f64) -> bool {
    record.now_s() < seconds
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: stand-in CASE RECORD");
        std::process::exit(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    let given = std::env::var_os("REVIEW_FOLDER").map(std::path::PathBuf::from);
    let own = || std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    let folder = given.unwrap_or_else(own);
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    record.line(format!("case {case} with trouble: {with_trouble}"));
    let result = match case.as_str() {
        "release" => case_release::run(&record, folder.clone(), with_trouble),
        "slow-reader" => case_slow_reader::run(&record, folder.clone(), with_trouble),
        "unsigned" => case_unsigned::run(&record, folder.clone(), with_trouble),
        "pipelined-scans" => case_pipelined_scans::run(&record, folder.clone(), with_trouble),
        "failing" => case_failing::run(&record, folder.clone(), with_trouble),
        _ => CaseResult::NotRun("no such case".into()),
    };
    let (code, text) = match result {
        CaseResult::Broken(text) => (1, format!("BROKEN: {text}")),
        CaseResult::Held(text) => (0, format!("HELD: {text}")),
        CaseResult::NotRun(text) => (2, format!("NOT RUN: {text}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
