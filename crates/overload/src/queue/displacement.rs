//! Which waiting request is displaced when the queue is full.

use super::{Class, InstanceQueue, SlotRequest, TicketId, Waiting, class_of};
use olivegate_types::GroupName;

impl InstanceQueue {
    /// Makes room for `request` if the queue is full: displaces the request of the lowest class below its own
    /// that is shed first, or else, within its own class, the last request of the group that has the most
    /// waiting for its weight. Returns the displaced ticket, or an error if none may be displaced.
    pub(super) fn make_room(&mut self, request: &SlotRequest) -> Result<Option<TicketId>, ()> {
        let max_waiting = (self.settings.waiting_per_slot * self.limit.current()).max(1) as usize;
        if self.waiting.len() < max_waiting {
            return Ok(None);
        }
        let victim = self.first_shed_below(class_of(request)).or_else(|| self.last_of_largest_group(request));
        victim.map(|index| Some(self.waiting.swap_remove(index).ticket)).ok_or(())
    }

    /// The waiting request of the lowest class below `class` that is shed first.
    fn first_shed_below(&self, class: Class) -> Option<usize> {
        let below = self.waiting.iter().enumerate().filter(|(_, other)| other.class() < class);
        let first_shed = below.min_by_key(|(_, other)| (other.class(), std::cmp::Reverse(other.request.rank)));
        first_shed.map(|(index, _)| index)
    }

    /// The last request of the group that, in the class of `request`, has the most waiting for its weight, if
    /// that is more than the group of `request` would have.
    fn last_of_largest_group(&self, request: &SlotRequest) -> Option<usize> {
        let in_class = |other: &&Waiting| other.class() == class_of(request);
        let mut groups: Vec<(&GroupName, f64)> = vec![(&request.group, 1.0 / f64::from(request.weight.max(1)))];
        for other in self.waiting.iter().filter(in_class) {
            let share = 1.0 / f64::from(other.request.weight.max(1));
            match groups.iter_mut().find(|(group, _)| **group == other.request.group) {
                Some((_, weighted)) => *weighted += share,
                None => groups.push((&other.request.group, share)),
            }
        }
        let own = groups[0].1;
        let larger = groups[1..].iter().filter(|(_, weighted)| *weighted > own);
        let (largest, _) = larger.max_by(|left, right| left.1.total_cmp(&right.1))?;
        let of_largest = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, other)| in_class(other) && other.request.group == **largest);
        of_largest.max_by_key(|(_, other)| other.ticket).map(|(index, _)| index)
    }
}
