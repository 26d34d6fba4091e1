//! Capacity used by each group, as virtual time (start-time fair queueing).

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::GroupName;

/// Virtual time per group: slot-seconds used, divided by the group's weight.
#[derive(Debug, Default)]
pub(super) struct Shares {
    used: HashMap<GroupName, f64>,
    /// Lowest virtual time at which a new or idle group starts.
    floor: f64,
}

impl Shares {
    /// Prepares a group for a new request. The virtual time of a group that was idle is raised to the floor,
    /// so that it cannot save up unused capacity.
    pub(super) fn activate(&mut self, group: &GroupName, is_backlogged: bool) {
        let used = self.used.entry(group.clone()).or_insert(self.floor);
        if !is_backlogged {
            *used = used.max(self.floor);
        }
    }

    /// Virtual time of a group.
    pub(super) fn used(&self, group: &GroupName) -> f64 {
        self.used.get(group).copied().unwrap_or(self.floor)
    }

    /// Charges the expected time of a dispatched request and raises the floor to the virtual time that its
    /// group had before.
    pub(super) fn charge(&mut self, group: &GroupName, expected: Duration, weight: u32) {
        let used = self.used.entry(group.clone()).or_insert(self.floor);
        self.floor = self.floor.max(*used);
        *used += expected.as_secs_f64() / f64::from(weight.max(1));
    }

    /// Replaces the charged estimate by the measured time.
    pub(super) fn correct(&mut self, group: &GroupName, charged: Duration, used: Duration, weight: u32) {
        let difference = used.as_secs_f64() - charged.as_secs_f64();
        if let Some(virtual_time) = self.used.get_mut(group) {
            *virtual_time += difference / f64::from(weight.max(1));
        }
    }
}
