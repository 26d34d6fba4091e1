//! The command line: exit codes, help, and checks that report every error in a file.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use rstest::rstest;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_olivegate")).args(arguments).output().unwrap()
}

fn file(name: &str, content: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[rstest]
#[case::help(&["--help"], 0)]
#[case::help_of_a_command(&["node", "--help"], 0)]
#[case::version(&["--version"], 0)]
#[case::nothing(&[], 2)]
#[case::unknown_command(&["dance"], 2)]
#[case::missing_flag(&["node"], 2)]
#[case::left_over(&["settings", "check", "a", "b"], 2)]
#[case::sidecar_without_settings(&["sidecar"], 2)]
#[case::sidecar_settings_missing(&["sidecar", "check", "no-such-file.toml"], 1)]
#[case::logs_without_files(&["logs", "explain", "r1"], 2)]
#[case::logs_missing(&["logs", "summary", "no-such-file.log"], 1)]
#[case::missing_file(&["settings", "check", "no-such-file.toml"], 1)]
#[case::admin_port_unreachable(&["status", "--admin", "127.0.0.1:1"], 1)]
#[case::bad_request_id(&["explain", "xyz", "--admin", "127.0.0.1:1"], 1)]
fn exit_codes(#[case] arguments: &[&str], #[case] code: i32) {
    assert_eq!(run(arguments).status.code(), Some(code));
}

/// What `git` prints about the sources; `None` without `git`, or where they are no checkout.
fn git(arguments: &[&str]) -> Option<String> {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let output = Command::new("git").arg("-C").arg(root).args(arguments).output().ok()?;
    output.status.success().then(|| text(&output.stdout).trim_end().to_string())
}

/// Guards against a program of earlier sources that is run unnoticed: a mended fault was reported again by runs that
/// could not tell which code they had played.
#[rstest]
fn the_version_names_the_commit() {
    let printed = text(&run(&["--version"]).stdout);
    let commit = git(&["rev-parse", "--short=12", "HEAD"]).unwrap_or("unknown".into());
    let expected = format!("olivegate {} (commit {commit}", env!("CARGO_PKG_VERSION"));
    let mark = printed.trim_end().strip_prefix(&expected).expect(&printed);
    assert!([")", "-modified)"].contains(&mark), "{printed}");
}

fn example(path: &str) -> String {
    format!("{}/../../examples/{path}", env!("CARGO_MANIFEST_DIR"))
}

#[rstest]
#[case("ramdin-freres/bundle.toml")]
#[case("cuenca/bundle.toml")]
#[case("ramdin-freres/deep-chain/bundle.toml")]
#[case("cuenca/deep-chain/bundle.toml")]
fn the_shipped_bundles_are_valid(#[case] path: &str) {
    let output = run(&["bundle", "check", &example(path)]);
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[rstest]
#[case("ramdin-freres/node.toml")]
#[case("cuenca/node.toml")]
fn the_shipped_settings_are_valid(#[case] path: &str) {
    let output = run(&["settings", "check", &example(path)]);
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[test]
fn the_public_keys_in_the_shipped_settings_match_their_signing_keys() {
    let settings = std::fs::read_to_string(example("cuenca/node.toml")).unwrap();
    for byte in ["01", "02", "03"] {
        let key = file(&format!("example-key-{byte}"), &byte.repeat(32));
        let public = text(&run(&["bundle", "key", "--key", key.to_str().unwrap()]).stdout);
        assert!(settings.contains(public.trim()), "{byte}: {public}");
    }
}

#[test]
fn every_error_in_a_bundle_names_its_file_field_and_value() {
    let path = file("bad-bundle.toml", "deployment = \"a b\"\nversion = 0\nshade = 1\n[limits]\nmax_hops = 99\n");
    let output = run(&["bundle", "check", path.to_str().unwrap()]);
    let errors = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    for field in
        ["field=deployment", "field=version value=\"0\"", "field=shade", "field=limits.max_hops value=\"99\""]
    {
        assert!(errors.contains(field), "{field} is missing in: {errors}");
    }
    assert_eq!(errors.matches("bad-bundle.toml").count(), 4, "{errors}");
}

#[test]
fn a_node_with_bad_settings_does_not_start() {
    let path = file("bad-settings.toml", "deployment = \"d\"\n");
    let output = run(&["node", "--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("field=listen.caller"), "{}", text(&output.stderr));
}

#[test]
fn bundles_are_signed_by_several_operators_and_compared() {
    let [first, second] = [("key-1", "11"), ("key-2", "22")].map(|(name, byte)| file(name, &byte.repeat(32)));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("signed.bundle");
    let _ = std::fs::remove_file(&out);
    let bundle = example("cuenca/bundle.toml");
    for (key, count) in [(&first, 1), (&second, 2), (&second, 2)] {
        let arguments =
            ["bundle", "sign", &bundle, "--key", key.to_str().unwrap(), "--out", out.to_str().unwrap()];
        let output = run(&arguments);
        assert!(text(&output.stdout).contains(&format!("signatures={count}")), "{}", text(&output.stdout));
    }
    assert!(run(&["bundle", "check", out.to_str().unwrap()]).status.success());
    let changed =
        std::fs::read_to_string(&bundle).unwrap().replace("max_queue_wait_ms = 200", "max_queue_wait_ms = 90");
    let changed = file("changed.toml", &changed);
    let output = run(&["bundle", "diff", out.to_str().unwrap(), changed.to_str().unwrap()]);
    assert!(text(&output.stdout).contains("set objective"), "{}", text(&output.stdout));
}
