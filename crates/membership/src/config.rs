//! Configuration of the failure detector and of gossip.

use std::time::Duration;

/// Timing and sizes. The defaults are those that nodes run with;
/// [`MembershipConfig::large_fleet`] is for large fleets.
#[derive(Debug, Clone, Copy)]
pub struct MembershipConfig {
    /// Protocol period: one member is probed in each.
    pub period: Duration,
    /// Time to wait for a direct acknowledgement before other members are asked to probe.
    pub direct_timeout: Duration,
    /// Number of members asked to probe on this node's behalf.
    pub indirect_probes: usize,
    /// A suspicion times out after this many periods, times the decimal logarithm of the member count
    /// (at least one).
    pub suspicion_periods: f64,
    /// Each change is sent this many times, times the binary logarithm of the member count.
    pub gossip_factor: f64,
    /// Maximum size of the changes in one message, in bytes.
    pub gossip_bytes: usize,
    /// Time for which the record of a suspected or dead member is kept.
    pub dead_retention: Duration,
    /// Base interval between full syncs with a random member.
    pub sync_interval: Duration,
    /// Added to the sync interval per member. A full sync grows with the member count, so this
    /// bounds the bytes per second.
    pub sync_interval_per_member: Duration,
    /// A gap of this length between two ticks means that the process was frozen.
    pub freeze_threshold: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            period: Duration::from_millis(250),
            direct_timeout: Duration::from_millis(80),
            indirect_probes: 3,
            suspicion_periods: 4.0,
            gossip_factor: 3.0,
            gossip_bytes: 900,
            dead_retention: Duration::from_secs(120),
            sync_interval: Duration::from_secs(5),
            sync_interval_per_member: Duration::from_millis(20),
            freeze_threshold: Duration::from_millis(700),
        }
    }
}

impl MembershipConfig {
    /// Timing for large fleets: one probe a second.
    pub fn large_fleet() -> Self {
        MembershipConfig {
            period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            freeze_threshold: Duration::from_millis(2_500),
            ..Self::default()
        }
    }

    /// Time that a suspected member has to refute the suspicion, in a fleet of `members`.
    pub fn suspicion_time(&self, members: usize) -> Duration {
        let scale = (members.max(1) as f64).log10().max(1.0);
        self.period.mul_f64(self.suspicion_periods * scale)
    }

    /// Number of times that one change is sent, in a fleet of `members`.
    pub fn transmissions(&self, members: usize) -> u32 {
        (self.gossip_factor * ((members + 2) as f64).log2()).ceil() as u32
    }

    /// Interval between full syncs, in a fleet of `members`.
    pub fn sync_interval_for(&self, members: usize) -> Duration {
        self.sync_interval + self.sync_interval_per_member * members as u32
    }
}
