//! The receiver's side of reports: what is new in each.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use olivegate_types::Moment;

use crate::TenantId;
use crate::ledger::UsageReport;

/// A sender that has not been heard for this long is not counted on; if it comes back, what it
/// counted meanwhile was told to another receiver.
pub const HEARD_WITHIN: Duration = Duration::from_millis(900);

/// What a report adds for one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Addition {
    /// The tenant.
    pub tenant: TenantId,
    /// Requests asked for.
    pub asked: i32,
    /// Requests let in; negative where some were given back.
    pub admitted: i32,
}

#[derive(Debug)]
struct Sender {
    generation: u32,
    heard: Moment,
    nodes: u16,
    totals: HashMap<TenantId, (u32, u32)>,
}

/// Those that report to one receiver.
#[derive(Debug)]
pub struct Senders<Key> {
    senders: HashMap<Key, Sender>,
}

impl<Key> Default for Senders<Key> {
    fn default() -> Self {
        Senders { senders: HashMap::new() }
    }
}

impl<Key: Eq + Hash> Senders<Key> {
    /// Takes a report; tells what it adds.
    pub fn take(&mut self, from: Key, report: &UsageReport, now: Moment) -> Vec<Addition> {
        let begin =
            || Sender { generation: report.generation, heard: now, nodes: report.nodes, totals: HashMap::new() };
        let sender = self.senders.entry(from).or_insert_with(begin);
        if sender.generation != report.generation || now.since(sender.heard) > HEARD_WITHIN {
            *sender = begin();
        }
        sender.heard = now;
        sender.nodes = report.nodes;
        let news = report.entries.iter().map(|entry| {
            let known = sender.totals.insert(entry.tenant, (entry.asked, entry.admitted));
            let (asked, admitted) = match known {
                Some((asked, admitted)) => {
                    (entry.asked.wrapping_sub(asked), entry.admitted.wrapping_sub(admitted))
                }
                None => (entry.asked_lately.cast_unsigned(), entry.admitted_lately.cast_unsigned()),
            };
            Addition { tenant: entry.tenant, asked: asked.cast_signed(), admitted: admitted.cast_signed() }
        });
        news.filter(|addition| addition.asked != 0 || addition.admitted != 0).collect()
    }

    /// Nodes whose requests are counted by the senders heard lately.
    pub fn nodes(&self, now: Moment) -> u32 {
        let lately = self.senders.values().filter(|sender| now.since(sender.heard) <= HEARD_WITHIN);
        lately.map(|sender| u32::from(sender.nodes)).sum()
    }

    /// Forgets senders that have not been heard lately.
    pub fn forget_silent(&mut self, now: Moment) {
        self.senders.retain(|_, sender| now.since(sender.heard) <= HEARD_WITHIN);
    }
}
