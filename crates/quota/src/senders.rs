//! Receiver's side of usage reports: turns the totals of each sender into changes.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use olivegate_types::Moment;

use crate::TenantId;
use crate::ledger::UsageReport;

/// A sender without a report for this long no longer counts as reporting. If it returns, its totals start
/// anew, because it has reported the requests of the meantime to another receiver.
pub const SENDER_TIMEOUT: Duration = Duration::from_millis(900);

/// Change of the usage of one tenant by a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageDelta {
    /// The tenant.
    pub tenant: TenantId,
    /// Requests made.
    pub requested: i32,
    /// Requests admitted; negative when refunds outweigh them.
    pub admitted: i32,
}

#[derive(Debug)]
struct Sender {
    generation: u32,
    last_heard: Moment,
    nodes: u16,
    totals: HashMap<TenantId, (u32, u32)>,
}

/// Senders that report to one receiver, by their key.
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
    /// Takes in a report and returns the changes that it contains.
    pub fn apply(&mut self, from: Key, report: &UsageReport, now: Moment) -> Vec<UsageDelta> {
        let new_sender = || Sender {
            generation: report.generation,
            last_heard: now,
            nodes: report.nodes,
            totals: HashMap::new(),
        };
        let sender = self.senders.entry(from).or_insert_with(new_sender);
        if sender.generation != report.generation || now.since(sender.last_heard) > SENDER_TIMEOUT {
            *sender = new_sender();
        }
        sender.last_heard = now;
        sender.nodes = report.nodes;
        let deltas = report.entries.iter().map(|entry| {
            let known = sender.totals.insert(entry.tenant, (entry.requested, entry.admitted));
            let (requested, admitted) = match known {
                Some((requested, admitted)) => {
                    (entry.requested.wrapping_sub(requested), entry.admitted.wrapping_sub(admitted))
                }
                None => (entry.requested_delta.cast_unsigned(), entry.admitted_delta.cast_unsigned()),
            };
            UsageDelta {
                tenant: entry.tenant,
                requested: requested.cast_signed(),
                admitted: admitted.cast_signed(),
            }
        });
        deltas.filter(|delta| delta.requested != 0 || delta.admitted != 0).collect()
    }

    /// Number of nodes whose requests are counted by the senders that currently report.
    pub fn nodes(&self, now: Moment) -> u32 {
        let recent = self.senders.values().filter(|sender| now.since(sender.last_heard) <= SENDER_TIMEOUT);
        recent.map(|sender| u32::from(sender.nodes)).sum()
    }

    /// Removes senders that have not reported within [`SENDER_TIMEOUT`].
    pub fn remove_silent(&mut self, now: Moment) {
        self.senders.retain(|_, sender| now.since(sender.last_heard) <= SENDER_TIMEOUT);
    }
}
