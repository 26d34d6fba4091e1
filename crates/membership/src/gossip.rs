//! Changes that still have to be sent to other members.

use std::collections::HashMap;

use olivegate_types::NodeName;

use crate::record::MemberRecord;

/// Members whose record changed, with the number of times that each record was sent.
#[derive(Debug, Default)]
pub struct GossipQueue {
    sent: HashMap<NodeName, u32>,
}

impl GossipQueue {
    /// Queues the record of `name`, which changed; its count starts from 0 again.
    pub fn push(&mut self, name: NodeName) {
        self.sent.insert(name, 0);
    }

    /// Stops sending the record of `name`.
    pub fn remove(&mut self, name: &NodeName) {
        self.sent.remove(name);
    }

    /// Number of queued changes.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// True when no change is queued.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Takes the least often sent changes that fit into `budget` bytes. A change leaves the
    /// queue once it was sent `transmissions` times.
    pub fn take(
        &mut self,
        budget: usize,
        transmissions: u32,
        record: impl Fn(&NodeName) -> Option<MemberRecord>,
    ) -> Vec<MemberRecord> {
        let mut queue: Vec<(u32, NodeName)> = self.sent.iter().map(|(name, sent)| (*sent, name.clone())).collect();
        queue.sort();
        let mut left = budget;
        let mut changes = Vec::new();
        for (sent, name) in queue {
            let Some(record) = record(&name) else {
                self.sent.remove(&name);
                continue;
            };
            let size = encoded_size(&record);
            if size > left {
                break;
            }
            left -= size;
            changes.push(record);
            if sent + 1 >= transmissions {
                self.sent.remove(&name);
            } else {
                self.sent.insert(name, sent + 1);
            }
        }
        changes
    }
}

/// Encoded size of a record, in bytes.
fn encoded_size(record: &MemberRecord) -> usize {
    borsh::object_length(record).unwrap_or(usize::MAX)
}
