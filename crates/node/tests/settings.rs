//! Settings: every field error is reported, and command-line flags override the file.

use olivegate_node::NodeSettings;
use olivegate_node::settings::Overrides;

fn valid() -> String {
    format!(
        "deployment = \"test\"\nnode = \"n\"\nzone = \"a\"\nsecret = \"a secret of some length\"\n\
         [listen]\ncaller = \"127.0.0.1:1\"\ndata = \"127.0.0.1:2\"\ncontrol = \"127.0.0.1:3\"\nadmin = \"127.0.0.1:4\"\n\
         [sign_off]\nrequired = 1\nkeys = [\"{}\"]\n\
         [platform]\nconfiguration = \"127.0.0.1:5\"\nmembers = \"127.0.0.1:6\"\n\
         [claims]\nseat_zones = [\"a\", \"b\", \"c\"]\n",
        "ab".repeat(32)
    )
}

fn error_fields(text: &str) -> Vec<String> {
    let errors = NodeSettings::from_toml(text, &Overrides::default()).unwrap_err().0;
    errors.into_iter().map(|error| error.field).collect()
}

#[test]
fn valid_settings_are_read() {
    let settings = NodeSettings::from_toml(&valid(), &Overrides::default()).unwrap();
    assert_eq!(settings.seat_zones.len(), 3);
    assert_eq!(settings.worker_threads, 1);
}

#[test]
fn flags_override_the_file() {
    let overrides = Overrides { node: Some("other".into()), new_deployment: true, ..Overrides::default() };
    let settings = NodeSettings::from_toml(&valid(), &overrides).unwrap();
    assert_eq!(settings.node.as_str(), "other");
    assert!(settings.new_deployment);
}

#[test]
fn all_field_errors_are_reported_at_once() {
    let text = valid()
        .replace("127.0.0.1:1\"", "nowhere\"")
        .replace("a secret of some length", "short")
        .replace("required = 1", "required = 2")
        .replace("zone = \"a\"", "zone = \"a\"\ncolour = \"green\"");
    assert_eq!(error_fields(&text), ["secret", "listen.caller", "sign_off.required", "colour"]);
}

#[test]
fn no_zone_may_hold_a_majority_of_the_seats() {
    for zones in ["\"a\", \"a\", \"b\"", "\"a\", \"b\"", ""] {
        let text = valid().replace("\"a\", \"b\", \"c\"", zones);
        assert_eq!(error_fields(&text), ["claims.seat_zones"], "{zones}");
    }
}
