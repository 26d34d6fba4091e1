//! Tells the program which commit it is built from, as `git` names it: a program that was built earlier can then be
//! told from one of the current sources.

use std::path::{Path, PathBuf};
use std::process::Command;

/// What the program says where the sources are no checkout of their own, or `git` is not there.
const UNKNOWN: &str = "unknown";
/// Marks a commit whose sources were changed before the build.
const MODIFIED: &str = "-modified";
/// Root of the sources, relative to this package. Cargo starts this program in the package's folder and takes the
/// paths that it prints relative to it, so a build folder that was copied to another checkout asks about that one.
const ROOT: &str = "../..";
/// What the program is built from, relative to the root of the sources.
const SOURCES: [&str; 4] = ["Cargo.toml", "Cargo.lock", "crates", "platform"];

fn main() {
    let root = Path::new(ROOT);
    println!("cargo::rustc-env=OLIVEGATE_COMMIT={}", commit(root).unwrap_or(UNKNOWN.into()));
    for path in SOURCES {
        println!("cargo::rerun-if-changed={}", root.join(path).display());
    }
    // Each commit and each checkout adds a line to this log.
    if let Some(log) = git(root, &["rev-parse", "--git-path", "logs/HEAD"]) {
        println!("cargo::rerun-if-changed={}", root.join(log).display());
    }
}

/// The commit of the sources; `None` if `root` is not the root of a checkout: a repository further up knows
/// nothing of these sources.
fn commit(root: &Path) -> Option<String> {
    let top = PathBuf::from(git(root, &["rev-parse", "--show-toplevel"])?);
    if top.canonicalize().ok()? != root.canonicalize().ok()? {
        return None;
    }
    let commit = git(root, &["rev-parse", "--short=12", "HEAD"])?;
    let mut status = vec!["status", "--porcelain", "--"];
    status.extend(SOURCES);
    let changes = git(root, &status)?;
    Some(if changes.is_empty() { commit } else { commit + MODIFIED })
}

/// What `git` prints, without the line end; `None` if it fails. Without its optional locks it disturbs no other `git`
/// command in the same checkout.
fn git(root: &Path, arguments: &[&str]) -> Option<String> {
    let output =
        Command::new("git").arg("--no-optional-locks").arg("-C").arg(root).args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim_end().to_string())
}
