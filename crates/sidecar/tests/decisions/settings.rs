//! Tests that settings are read and that errors name their field.

use std::time::Duration;

use olivegate_sidecar::SidecarSettings;
use rstest::rstest;

const SETTINGS: &str = r#"
node = "sidecar-1"
zone = "north"
service = "books"
instance = "10.1.0.8:8301"
[listen]
outbound = "10.1.0.8:8304"
inbound = "10.1.0.8:8300"
readiness = "10.1.0.8:8302"
peers_port = 7620
[source]
address = "10.200.1.7:8309"
heartbeat_ms = 1500
[bounds]
contact_ms = 3000
grace_period_s = 6.5
repeat_ratio = 0.2
[machine]
memory_mb = 260
"#;

#[rstest]
fn valid_settings_are_read() {
    let settings = SidecarSettings::from_toml(SETTINGS).unwrap();
    assert_eq!(settings.node.as_str(), "sidecar-1");
    assert_eq!(settings.listen.peers.to_string(), "10.1.0.8:7620");
    assert_eq!(settings.bounds.grace_period, Duration::from_millis(6_500));
    assert_eq!(settings.bounds.drain, Duration::from_secs(2), "the default");
    assert_eq!(settings.inbound_of("10.1.0.9".parse().unwrap()).to_string(), "10.1.0.9:8300");
}

#[rstest]
fn limits_on_memory_and_descriptors_follow_the_machine() {
    let of = |text: &str| SidecarSettings::from_toml(&SETTINGS.replace("memory_mb = 260", text)).unwrap().machine;
    let small = of("memory_mb = 64\nmax_descriptors = 512");
    let large = of("memory_mb = 260\nmax_descriptors = 4100");
    assert_eq!((small.max_requests(), large.max_requests()), (128, 520));
    assert_eq!((small.max_requests_of(2 << 10), small.max_requests_of(64 << 10)), (1_024, 128));
    assert_eq!((small.max_connections(), large.max_connections()), (53, 950));
}

#[rstest]
#[case::missing("node = \"sidecar-1\"", "", "field=node")]
#[case::not_an_address("10.1.0.8:8304", "nowhere", "field=listen.outbound")]
#[case::unknown_field("[machine]", "[machine]\nfoo = 1", "field=machine.foo")]
#[case::out_of_range("repeat_ratio = 0.2", "repeat_ratio = -1", "field=bounds.repeat_ratio")]
#[case::keys("repeat_ratio = 0.2", "keys_proven_within_ms = 1", "field=bounds.keys_proven_within_ms")]
#[case::overshoot("repeat_ratio = 0.2", "quota_overshoot = -0.1", "field=bounds.quota_overshoot")]
#[case::no_number("contact_ms = 3000", "contact_ms = \"soon\"", "field=bounds.contact_ms")]
#[case::held_later_than_refused(
    "[machine]",
    "[quarantine]\nheld_after_ends = 3\nrefused_after_ends = 2\n[machine]",
    "field=quarantine.refused_after_ends"
)]
#[case::memory("[machine]", "[quarantine]\nmemory_s = 0\n[machine]", "field=quarantine.memory_s")]
#[case::port("peers_port = 7620", "peers_port = 0", "field=listen.peers_port")]
fn an_error_names_its_field(#[case] right: &str, #[case] wrong: &str, #[case] named: &str) {
    let errors = SidecarSettings::from_toml(&SETTINGS.replace(right, wrong)).unwrap_err().to_string();
    assert!(errors.contains(named), "{errors}");
}
