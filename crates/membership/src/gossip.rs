//! Changes that still have to be passed on.

use std::collections::HashMap;

use olivegate_types::NodeName;

use crate::record::MemberRecord;

/// Changes with the number of times each was passed on.
#[derive(Debug, Default)]
pub struct GossipQueue {
    sent: HashMap<NodeName, u32>,
}

impl GossipQueue {
    /// A change of `name` is news again.
    pub fn push(&mut self, name: NodeName) {
        self.sent.insert(name, 0);
    }

    /// A change of `name` is no longer passed on.
    pub fn remove(&mut self, name: &NodeName) {
        self.sent.remove(name);
    }

    /// Number of changes waiting.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// The least often sent changes that fit into `budget` bytes; each leaves the
    /// queue after `transmissions` sendings.
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

/// Bytes that a record takes in a message.
fn encoded_size(record: &MemberRecord) -> usize {
    borsh::object_length(record).unwrap_or(usize::MAX)
}
