//! Runs one case of the review: `case NUMBER RECORD`. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod configuration;
mod deployment;
mod http;
mod instance;
mod links;
mod record;
mod store;

mod case_leaving;
mod case_limits;
mod case_pipelined;
mod case_reuse;
mod case_silent;
mod case_stale;
mod case_stopping;
mod case_weights;

use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;

/// What a case found.
pub enum Finding {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// What a case is given.
pub struct Setting {
    /// A folder of its own for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    pub record: Record,
}

fn run(name: &str, setting: &Setting) -> io::Result<Finding> {
    match name {
        "leaving" => case_leaving::run(setting),
        "limits" => case_limits::run(setting),
        "stopping" => case_stopping::run(setting),
        "pipelined" => case_pipelined::run(setting),
        "reuse" => case_reuse::run(setting),
        "weights" => case_weights::run(setting),
        "stale" => case_stale::run(setting),
        "silent" => case_silent::run(setting),
        _ => Err(io::Error::other("unknown case")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, file] = arguments.as_slice() else {
        eprintln!("usage: case NAME RECORD");
        return ExitCode::from(2);
    };
    let folder = std::env::temp_dir().join(format!("olivegate-review-{}", std::process::id()));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setting = Setting { folder, has_trouble, record: Record::new() };
    setting.record.note(&format!("case {name}, disruption: {has_trouble}"));
    let result = run(name, &setting);
    let code = match &result {
        Ok(Finding::Held) => 0,
        Ok(Finding::Broken) => 1,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            setting.record.note(&format!("the case couldn't run: {error}"));
            2
        }
    };
    setting.record.note(&format!("exit {code}"));
    setting.record.write(Path::new(file));
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&setting.folder);
    }
    ExitCode::from(code)
}
