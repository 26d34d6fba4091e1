//! Limits of tenants that are removed and come back.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_quota::{LimitTable, QuotaLimit, TenantId};
use olivegate_types::Moment;
use rstest::rstest;

const RETENTION: Duration = Duration::from_secs(5);
const TENANT: TenantId = TenantId(1);
const OTHER: TenantId = TenantId(2);

fn limit(rate_per_s: f64) -> QuotaLimit {
    QuotaLimit { rate_per_s, burst: 1.0 }
}

fn at(millis: u64) -> Moment {
    Moment::after_start(Duration::from_millis(millis))
}

/// The rate of the tenant after a configuration with it at 0 s and one with these tenants at 1 s, seen after another one
/// without it at `millis`.
fn rate_after(tenants: HashMap<TenantId, Option<QuotaLimit>>, millis: u64) -> Option<f64> {
    let mut table = LimitTable::default();
    table.replace(HashMap::from([(TENANT, Some(limit(7.0)))]), RETENTION, at(0));
    let returns = tenants.contains_key(&TENANT);
    table.replace(tenants, RETENTION, at(1_000));
    if !returns {
        table.replace(HashMap::from([(OTHER, Some(limit(1.0)))]), RETENTION, at(millis));
    }
    table.limits().get(&TENANT).map(|limit| limit.rate_per_s)
}

#[rstest]
#[case::removed_just_now(HashMap::new(), 1_001, Some(7.0))]
#[case::removed_within_the_window(HashMap::new(), 5_999, Some(7.0))]
#[case::removed_before(HashMap::new(), 6_000, None)]
#[case::a_new_limit(HashMap::from([(TENANT, Some(limit(3.0)))]), 0, Some(3.0))]
#[case::no_limit_any_more(HashMap::from([(TENANT, None)]), 0, None)]
fn a_removed_limit_is_kept_for_the_window(
    #[case] tenants: HashMap<TenantId, Option<QuotaLimit>>,
    #[case] millis: u64,
    #[case] expected: Option<f64>,
) {
    assert_eq!(rate_after(tenants, millis), expected);
}

/// The time counts from each removal anew.
#[rstest]
fn a_limit_that_came_back_is_kept_from_its_next_removal() {
    let mut table = LimitTable::default();
    let with = || HashMap::from([(TENANT, Some(limit(7.0)))]);
    for (tenants, millis) in [(with(), 0), (HashMap::new(), 1_000), (with(), 4_000), (HashMap::new(), 5_000)] {
        table.replace(tenants, RETENTION, at(millis));
    }
    table.replace(HashMap::new(), RETENTION, at(9_000));
    assert!(table.limits().contains_key(&TENANT));
    table.replace(HashMap::new(), RETENTION, at(10_000));
    assert!(!table.limits().contains_key(&TENANT));
}
