//! Lost, duplicated and delayed reports, checked against an oracle that counts exactly.

use std::collections::HashMap;

use olivegate_quota::senders::Senders;
use olivegate_quota::{TenantId, UsageLedger, UsageReport};
use olivegate_types::Moment;
use proptest::prelude::*;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Requests of a tenant are counted or refunded.
    Count { tenant: u64, requested: i32, admitted: i32 },
    /// A report is sent and arrives this many times.
    Report { arrives: u32 },
    /// The report sent before the last one arrives again.
    Late,
    /// Time passes, in milliseconds, but less than the timeout of a sender.
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u64, 0..5_i32, -1..5_i32).prop_map(|(tenant, requested, admitted)| Step::Count { tenant, requested, admitted }),
        3 => (0..3_u32).prop_map(|arrives| Step::Report { arrives }),
        1 => Just(Step::Late),
        1 => (1..10_u64).prop_map(Step::Pass),
    ]
}

#[derive(Default)]
struct Received {
    senders: Senders<u8>,
    sums: HashMap<TenantId, (i64, i64)>,
}

impl Received {
    fn apply(&mut self, report: &UsageReport, now: Moment) {
        for delta in self.senders.apply(1, report, now) {
            let sum = self.sums.entry(delta.tenant).or_default();
            sum.0 += i64::from(delta.requested);
            sum.1 += i64::from(delta.admitted);
        }
    }
}

proptest! {
    /// Whichever reports are lost, duplicated or delayed: once a total of a tenant has arrived, every later
    /// report brings the sum to the requests counted since, and no request is counted twice.
    #[test]
    fn totals_heal_what_is_lost(steps in prop::collection::vec(step(), 1..80)) {
        let mut ledger = UsageLedger::new(7);
        let mut received = Received::default();
        let mut counted: HashMap<TenantId, (i64, i64)> = HashMap::new();
        // Counted before the first report of a tenant that arrived, and not contained in its change.
        let mut missed: HashMap<TenantId, (i64, i64)> = HashMap::new();
        let mut reports: Vec<UsageReport> = Vec::new();
        let mut now_ms = 1_000;
        for step in steps {
            let now = Moment::from_millis(now_ms);
            match step {
                Step::Count { tenant, requested, admitted } => {
                    ledger.add(TenantId(tenant), requested, admitted, now);
                    let sum = counted.entry(TenantId(tenant)).or_default();
                    *sum = (sum.0 + i64::from(requested), sum.1 + i64::from(admitted));
                }
                Step::Report { arrives } => {
                    for report in ledger.reports(1, now) {
                        for _ in 0..arrives {
                            received.apply(&report, now);
                        }
                        for entry in report.entries.iter().filter(|_| arrives > 0) {
                            let total = counted[&entry.tenant];
                            let deltas = (i64::from(entry.requested_delta), i64::from(entry.admitted_delta));
                            let before = (total.0 - deltas.0, total.1 - deltas.1);
                            let base = *missed.entry(entry.tenant).or_insert(before);
                            let sum = received.sums.get(&entry.tenant).copied().unwrap_or_default();
                            prop_assert_eq!(sum, (total.0 - base.0, total.1 - base.1));
                        }
                        reports.push(report);
                    }
                }
                Step::Late => {
                    // Left out for a tenant not known yet: its sum would start from the late report.
                    let earlier = reports.len().checked_sub(2).map(|index| reports[index].clone());
                    let known = |report: &UsageReport| {
                        report.entries.iter().all(|entry| missed.contains_key(&entry.tenant))
                    };
                    if let Some(earlier) = earlier.filter(known) {
                        received.apply(&earlier, now);
                    }
                }
                Step::Pass(millis) => now_ms += millis,
            }
        }
    }
}
