//! Stand-ins of the platform, clients and instances for the scripts of review 3, and the cases they play.
//!
//! Usage: cases NAME PROGRAM RECORD FOLDER

mod cases;
mod http;
mod instance;
mod processor;
mod record;
mod sidecar;
mod stop;
mod store;
mod world;

use std::path::PathBuf;
use std::time::Duration;

use record::Record;
use world::Verdict;

/// A case that takes longer could not run.
const LONGEST: Duration = Duration::from_secs(100);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, program, record, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME PROGRAM RECORD FOLDER");
        std::process::exit(Verdict::NotRun.code());
    };
    let (program, folder) = (PathBuf::from(program), PathBuf::from(folder));
    let Ok(record) = Record::create(&PathBuf::from(record)) else { std::process::exit(Verdict::NotRun.code()) };
    let late = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        late.line("the case took too long");
        sidecar::kill_all();
        std::process::exit(Verdict::NotRun.code());
    });
    let played = match &name[..] {
        "last-tenant" => cases::last_tenant(record.clone(), &folder, &program),
        "store-moves" => cases::store_moves(record.clone(), &folder, &program),
        "stop-while-rejecting" => stop::stop_while_rejecting(record.clone(), &folder, &program),
        other => {
            eprintln!("no case {other}");
            Ok(Verdict::NotRun)
        }
    };
    let verdict = played.unwrap_or_else(|error| {
        record.line(format!("could not run: {error}"));
        Verdict::NotRun
    });
    record.line(format!("verdict: {verdict:?}"));
    println!("{verdict:?}");
    std::process::exit(verdict.code());
}
