//! The rates that instances declare in their answers, as nodes know them.
//!
//! The gate of an instance reads its answers and paces what it sends; it tells what it knows with each of
//! its replies. Edges remember that, and remind a gate with their offers: one that has started again has
//! forgotten it, and the instance has not taken its word back. Nothing here reads a clock or performs I/O.
//!
//! - [`record`]: what is known of one start of an instance.

pub mod record;

use std::collections::HashMap;

use olivegate_overload::DeclaredRate;
use olivegate_types::InstanceName;

pub use record::{RateChange, RateRecord, RateWitness};

/// What an edge was told by the gates of instances.
#[derive(Debug, Default)]
pub struct DeclaredRates {
    records: HashMap<InstanceName, RateRecord>,
}

impl DeclaredRates {
    /// The gate of `instance` told what it knows.
    pub fn note(&mut self, instance: &InstanceName, told: RateRecord) {
        match self.records.get_mut(instance) {
            Some(known) if told.is_later_than(known) => *known = told,
            Some(_) => {}
            None if told.was_ever_limited() => {
                self.records.insert(instance.clone(), told);
            }
            None => {}
        }
    }

    /// The rate that `instance` declares; `None` where it takes what comes.
    pub fn rate_of(&self, instance: &InstanceName) -> Option<DeclaredRate> {
        self.records.get(instance).and_then(|record| record.rate)
    }

    /// What its gate is to be told with an offer, should it have forgotten; `None` where the instance has
    /// never declared a rate. Also that it declares none any more: a gate that has forgotten would count its
    /// changes anew, and its word would pass for older than that.
    pub fn record_for(&self, instance: &InstanceName) -> Option<RateRecord> {
        self.records.get(instance).copied()
    }

    /// Forgets instances of which `keeps` is false.
    pub fn retain(&mut self, keeps: impl Fn(&InstanceName) -> bool) {
        self.records.retain(|instance, _| keeps(instance));
    }
}
