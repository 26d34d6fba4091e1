//! Instances that have said in their answers that they leave.
//!
//! What they say goes before the source's, which may hear of it later or never. A statement ends with the start of
//! the instance that made it: one that starts again under its name has not said so.

use std::collections::HashMap;
use std::time::Duration;

use olivegate_types::{InstanceName, Moment};

use crate::model::{Incarnation, Instance};

/// How long it is remembered of an instance that is not listed.
const MEMORY: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct Statement {
    incarnation: Incarnation,
    at: Moment,
}

/// Which instances have said that they leave.
#[derive(Debug, Default)]
pub(super) struct SaidLeaving {
    statements: HashMap<InstanceName, Statement>,
}

impl SaidLeaving {
    /// This start of the instance `name` has said so. True when that was not known.
    pub(super) fn note(&mut self, name: &InstanceName, incarnation: Incarnation, now: Moment) -> bool {
        if self.holds_for(name, incarnation) {
            return false;
        }
        self.statements.insert(name.clone(), Statement { incarnation, at: now });
        true
    }

    /// The start of an instance is told that was not before.
    pub(super) fn learn_start(&mut self, instance: &Instance) {
        let statement =
            self.statements.get_mut(&instance.name).filter(|statement| !statement.incarnation.is_known());
        if let Some(statement) = statement {
            statement.incarnation = instance.incarnation;
        }
    }

    /// True when this start of the instance `name`, or a later one, has said so.
    pub(super) fn holds_for(&self, name: &InstanceName, incarnation: Incarnation) -> bool {
        self.statements.get(name).is_some_and(|statement| !statement.incarnation.is_before(incarnation))
    }

    /// Forgets what is old of instances that `is_known` is false of.
    pub(super) fn forget(&mut self, now: Moment, is_known: impl Fn(&InstanceName) -> bool) {
        self.statements.retain(|name, statement| is_known(name) || now.since(statement.at) < MEMORY);
    }
}
