//! Request rates that instances declare in their responses.
//!
//! The gate of an instance reads the rate from responses, limits what it sends accordingly, and includes the
//! rate in each of its replies. Edges store it and send it back with their offers, because a restarted gate
//! has lost it although the instance's limit is still in force. Nothing here reads a clock or performs I/O.
//!
//! - [`record`]: the declared rate of one incarnation of an instance.

pub mod record;

use std::collections::HashMap;

use olivegate_overload::DeclaredRate;
use olivegate_types::InstanceName;

pub use record::{RateChange, RateRecord, RateTracker};

/// Declared rates that an edge has received from the gates of instances.
#[derive(Debug, Default)]
pub struct DeclaredRates {
    records: HashMap<InstanceName, RateRecord>,
}

impl DeclaredRates {
    /// Stores the record from a reply of the gate of `instance`, unless a later one is known.
    pub fn note(&mut self, instance: &InstanceName, reported: RateRecord) {
        match self.records.get_mut(instance) {
            Some(known) if reported.is_later_than(known) => *known = reported,
            Some(_) => {}
            None if reported.was_ever_limited() => {
                self.records.insert(instance.clone(), reported);
            }
            None => {}
        }
    }

    /// The rate that `instance` declares; `None` if it declares no limit.
    pub fn rate_of(&self, instance: &InstanceName) -> Option<DeclaredRate> {
        self.records.get(instance).and_then(|record| record.rate)
    }

    /// The record to send to the instance's gate with an offer, in case the gate has lost it; `None` if the
    /// instance has never declared a rate. A record saying that the limit has ended is sent, too: a gate that
    /// has lost its state counts changes from the start, so its later records would be taken for older ones.
    pub fn record_for(&self, instance: &InstanceName) -> Option<RateRecord> {
        self.records.get(instance).copied()
    }

    /// Drops the records of instances for which `keeps` returns false.
    pub fn retain(&mut self, keeps: impl Fn(&InstanceName) -> bool) {
        self.records.retain(|instance, _| keeps(instance));
    }
}
