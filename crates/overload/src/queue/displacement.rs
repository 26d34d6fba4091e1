//! Who gives way when the queue is full.

use super::{Class, InstanceQueue, SlotRequest, TicketId, Waiting, class_of};
use olivegate_types::GroupName;

impl InstanceQueue {
    /// Finds room in a full queue: at the cost of the last demand of the lowest class, or,
    /// within the demand's own class, of the group that waits with most for its weight.
    pub(super) fn make_room(&mut self, demand: &SlotRequest) -> Result<Option<TicketId>, ()> {
        let most = (self.settings.waiting_per_slot * self.limit.current()).max(1) as usize;
        if self.waiting.len() < most {
            return Ok(None);
        }
        let victim = self.lowest_below(class_of(demand)).or_else(|| self.last_of_greediest(demand));
        victim.map(|index| Some(self.waiting.swap_remove(index).ticket)).ok_or(())
    }

    /// The waiting demand of the lowest class below `class` that is shed first.
    fn lowest_below(&self, class: Class) -> Option<usize> {
        let below = self.waiting.iter().enumerate().filter(|(_, other)| other.class() < class);
        let first_shed = below.min_by_key(|(_, other)| (other.class(), std::cmp::Reverse(other.demand.rank)));
        first_shed.map(|(index, _)| index)
    }

    /// The last demand of the group that, in the class of `demand`, waits with more for
    /// its weight than the demand's group would.
    fn last_of_greediest(&self, demand: &SlotRequest) -> Option<usize> {
        let in_class = |other: &&Waiting| other.class() == class_of(demand);
        let mut groups: Vec<(&GroupName, f64)> = vec![(&demand.group, 1.0 / f64::from(demand.weight.max(1)))];
        for other in self.waiting.iter().filter(in_class) {
            let share = 1.0 / f64::from(other.demand.weight.max(1));
            match groups.iter_mut().find(|(group, _)| **group == other.demand.group) {
                Some((_, pressure)) => *pressure += share,
                None => groups.push((&other.demand.group, share)),
            }
        }
        let own = groups[0].1;
        let greedier = groups[1..].iter().filter(|(_, pressure)| *pressure > own);
        let (greediest, _) = greedier.max_by(|left, right| left.1.total_cmp(&right.1))?;
        let of_greediest = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, other)| in_class(other) && other.demand.group == **greediest);
        of_greediest.max_by_key(|(_, other)| other.ticket).map(|(index, _)| index)
    }
}
