//! Dissemination tree of readings within a zone.
//!
//! The machines of a zone have an order that is the same on all nodes. The first one sends a reading of the
//! source, usually its own, to [`CHILDREN`] others, and each of them forwards it to as many again: a tree
//! over the order. So a reading reaches a zone of a thousand machines in four steps, and no node sends more
//! than [`CHILDREN`] datagrams for it.

use std::net::IpAddr;

/// Number of machines that each machine forwards a reading to.
pub const CHILDREN: usize = 8;

/// Sort key of a machine in the order of its zone.
fn order_key(machine: IpAddr) -> (u64, IpAddr) {
    let bits = match machine {
        IpAddr::V4(address) => u64::from(address.to_bits()),
        IpAddr::V6(address) => address.to_bits() as u64,
    };
    (bits.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29), machine)
}

/// Returns true if `left` comes before `right` in the order of a zone.
pub fn ranks_before(left: IpAddr, right: IpAddr) -> bool {
    order_key(left) < order_key(right)
}

/// Sorts the machines of a zone into their order, including `own`.
pub fn order_of(mut machines: Vec<IpAddr>, own: IpAddr) -> Vec<IpAddr> {
    if !machines.contains(&own) {
        machines.push(own);
    }
    machines.sort_by_key(|machine| order_key(*machine));
    machines
}

/// Returns the rank of `own` in its zone, 0 being the first.
pub fn rank_of(order: &[IpAddr], own: IpAddr) -> u32 {
    let rank = order.iter().position(|machine| *machine == own).unwrap_or(order.len());
    u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Returns the machines that the machine of this rank forwards a reading to.
pub fn children(order: &[IpAddr], rank: u32) -> &[IpAddr] {
    let first = (rank as usize).saturating_mul(CHILDREN).saturating_add(1).min(order.len());
    let end = first.saturating_add(CHILDREN).min(order.len());
    &order[first..end]
}
