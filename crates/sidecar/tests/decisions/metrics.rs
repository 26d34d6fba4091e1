//! Tests that the number of label values is bounded.

use olivegate_sidecar::metrics::Metrics;
use olivegate_types::TenantName;
use rstest::rstest;

#[rstest]
fn many_tenants_are_counted_together() {
    let metrics = Metrics::default();
    for _ in 0..2 {
        for index in 0..1_000 {
            metrics.on_tenant_answer(&TenantName::new(format!("tenant-{index}")), "answered");
        }
    }
    let text = String::from_utf8(metrics.text()).unwrap();
    let series: Vec<&str> =
        text.lines().filter(|line| line.starts_with("olivegate_sidecar_tenant_answers")).collect();
    assert_eq!(series.len(), 129);
    assert!(series.iter().any(|line| line.contains("\"tenant-0\"") && line.ends_with(" 2")));
    assert!(series.iter().any(|line| line.contains("(other)") && line.ends_with(" 1744")));
}
