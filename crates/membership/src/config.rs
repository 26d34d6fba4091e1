//! Timing of the failure detector.

use std::time::Duration;

/// Timing and sizes; the defaults are those of today's deployments.
#[derive(Debug, Clone, Copy)]
pub struct MembershipConfig {
    /// One member is probed per period.
    pub period: Duration,
    /// Wait for a direct acknowledgement before others are asked.
    pub direct_timeout: Duration,
    /// Members asked to probe in our place.
    pub indirect_probes: usize,
    /// Suspicion lasts this many periods, times the decimal logarithm of the member count (at least one).
    pub suspicion_periods: f64,
    /// Each change is passed on this often, times the binary logarithm of the member count.
    pub gossip_factor: f64,
    /// Most bytes of changes in one message.
    pub gossip_bytes: usize,
    /// Time for which a dead member is remembered.
    pub dead_retention: Duration,
    /// Shortest time between full exchanges with a random member.
    pub sync_interval: Duration,
    /// Time added to the sync interval per member, which bounds the bytes per second.
    pub sync_interval_per_member: Duration,
    /// A tick that comes this much late shows that the process was stopped.
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

    /// Time for which a suspected member may refute, among `members`.
    pub fn suspicion_time(&self, members: usize) -> Duration {
        let scale = (members.max(1) as f64).log10().max(1.0);
        self.period.mul_f64(self.suspicion_periods * scale)
    }

    /// Times that one change is passed on, among `members`.
    pub fn transmissions(&self, members: usize) -> u32 {
        (self.gossip_factor * ((members + 2) as f64).log2()).ceil() as u32
    }

    /// Time between full exchanges, among `members`.
    pub fn sync_interval_for(&self, members: usize) -> Duration {
        self.sync_interval + self.sync_interval_per_member * members as u32
    }
}
