//! Reports that are lost, doubled or come late, against an oracle that counts exactly.

use std::collections::HashMap;

use olivegate_quota::senders::Senders;
use olivegate_quota::{TenantId, UsageLedger, UsageReport};
use olivegate_types::Moment;
use proptest::prelude::*;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// Requests of a tenant are counted, or given back.
    Count { tenant: u64, asked: i32, admitted: i32 },
    /// A report goes out: how often it arrives.
    Report { arrives: u32 },
    /// The report that went out before the last one arrives again.
    Late,
    /// Time passes, in milliseconds; never so much that the sender counts as silent.
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_u64, 0..5_i32, -1..5_i32).prop_map(|(tenant, asked, admitted)| Step::Count { tenant, asked, admitted }),
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
    fn take(&mut self, report: &UsageReport, now: Moment) {
        for addition in self.senders.take(1, report, now) {
            let sum = self.sums.entry(addition.tenant).or_default();
            sum.0 += i64::from(addition.asked);
            sum.1 += i64::from(addition.admitted);
        }
    }
}

proptest! {
    /// Whatever is lost, doubled or late: once a tenant's total has arrived, every later report
    /// brings the sum to what was counted since, and nothing is counted twice.
    #[test]
    fn totals_heal_what_is_lost(steps in prop::collection::vec(step(), 1..80)) {
        let mut ledger = UsageLedger::new(7);
        let mut received = Received::default();
        let mut counted: HashMap<TenantId, (i64, i64)> = HashMap::new();
        // What was counted before a tenant's first report that arrived, and was not in it.
        let mut missed: HashMap<TenantId, (i64, i64)> = HashMap::new();
        let mut reports: Vec<UsageReport> = Vec::new();
        let mut now_ms = 1_000;
        for step in steps {
            let now = Moment::from_millis(now_ms);
            match step {
                Step::Count { tenant, asked, admitted } => {
                    ledger.add(TenantId(tenant), asked, admitted, now);
                    let sum = counted.entry(TenantId(tenant)).or_default();
                    *sum = (sum.0 + i64::from(asked), sum.1 + i64::from(admitted));
                }
                Step::Report { arrives } => {
                    for report in ledger.reports(1, now) {
                        for _ in 0..arrives {
                            received.take(&report, now);
                        }
                        for entry in report.entries.iter().filter(|_| arrives > 0) {
                            let total = counted[&entry.tenant];
                            let lately = (i64::from(entry.asked_lately), i64::from(entry.admitted_lately));
                            let before = (total.0 - lately.0, total.1 - lately.1);
                            let base = *missed.entry(entry.tenant).or_insert(before);
                            let sum = received.sums.get(&entry.tenant).copied().unwrap_or_default();
                            prop_assert_eq!(sum, (total.0 - base.0, total.1 - base.1));
                        }
                        reports.push(report);
                    }
                }
                Step::Late => {
                    // A tenant that is not known yet would take its base from it.
                    let earlier = reports.len().checked_sub(2).map(|index| reports[index].clone());
                    let known = |report: &UsageReport| {
                        report.entries.iter().all(|entry| missed.contains_key(&entry.tenant))
                    };
                    if let Some(earlier) = earlier.filter(known) {
                        received.take(&earlier, now);
                    }
                }
                Step::Pass(millis) => now_ms += millis,
            }
        }
    }
}
