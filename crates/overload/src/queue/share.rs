//! Capacity used by each group, as virtual time (start-time fair queueing).

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::GroupName;

/// Virtual time per group: slot-seconds used, over weight.
#[derive(Debug, Default)]
pub(super) struct Shares {
    used: HashMap<GroupName, f64>,
    floor: f64,
}

impl Shares {
    /// A group with a new demand. One that was idle starts at the floor: unused
    /// share is not saved up.
    pub(super) fn join(&mut self, group: &GroupName, backlogged: bool) {
        let used = self.used.entry(group.clone()).or_insert(self.floor);
        if !backlogged {
            *used = used.max(self.floor);
        }
    }

    /// Virtual time of a group.
    pub(super) fn used(&self, group: &GroupName) -> f64 {
        self.used.get(group).copied().unwrap_or(self.floor)
    }

    /// A demand is dispatched: the floor moves to its group's virtual time.
    pub(super) fn charge(&mut self, group: &GroupName, expected: Duration, weight: u32) {
        let used = self.used.entry(group.clone()).or_insert(self.floor);
        self.floor = self.floor.max(*used);
        *used += expected.as_secs_f64() / f64::from(weight.max(1));
    }

    /// Replaces the estimate by the time really used.
    pub(super) fn correct(&mut self, group: &GroupName, charged: Duration, used: Duration, weight: u32) {
        let difference = used.as_secs_f64() - charged.as_secs_f64();
        if let Some(virtual_time) = self.used.get_mut(group) {
            *virtual_time += difference / f64::from(weight.max(1));
        }
    }
}
