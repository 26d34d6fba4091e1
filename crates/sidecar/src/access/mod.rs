//! Who may make requests, and how many: keys, their proof and quotas at this node.
//!
//! The decisions are those of [`olivegate_authentication`] and [`olivegate_quota`]; this part
//! holds their state and gives them time, settings and random numbers. [`crate::peers::access`]
//! feeds it from other nodes, [`crate::follow`] from the source.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use olivegate_authentication::key_table::HashSecret;
use olivegate_authentication::{
    Caller, ConfigurationProof, Denial, KeyTable, KeyTableError, ProofFreshness, Tenant, authenticate,
};
use olivegate_quota::collector::Limits;
use olivegate_quota::{Collector, NodeQuotas, QuotaExceeded, QuotaLimit, TenantId};
use olivegate_types::Moment;
use tokio::sync::Notify;

use crate::settings::Bounds;

/// Kept back from the age at which a key no longer counts, for the way from the decision to the
/// instance.
const PROOF_RESERVE: Duration = Duration::from_millis(250);

/// Keys, proof and quotas of one node.
pub struct Access {
    secret: HashSecret,
    keys: RefCell<Rc<KeyTable>>,
    limits: RefCell<Limits>,
    proof: RefCell<ConfigurationProof>,
    quota: RefCell<NodeQuotas>,
    /// Counts for the zone when other nodes report to this one.
    pub collector: RefCell<Collector>,
    nodes: Cell<u32>,
    /// Told when there is something to ask other nodes at once.
    pub proof_requested: Notify,
}

/// A place in a tenant's quota that a request has taken.
#[derive(Debug, Clone, Copy)]
pub struct QuotaReservation(TenantId);

impl Access {
    /// No tenant is known yet. `secret` and `generation` are drawn at random.
    pub fn new(secret: HashSecret, generation: u32) -> Self {
        let keys = KeyTable::new(&[], secret).expect("no tenants have no mistakes");
        Access {
            secret,
            keys: RefCell::new(Rc::new(keys)),
            limits: RefCell::default(),
            proof: RefCell::default(),
            quota: RefCell::default(),
            collector: RefCell::new(Collector::new(generation)),
            nodes: Cell::new(1),
            proof_requested: Notify::new(),
        }
    }

    /// Puts the tenants of a configuration in force, or says what is wrong with them.
    pub fn apply_tenants(&self, tenants: &[Tenant], bounds: &Bounds) -> Result<(), KeyTableError> {
        let keys = KeyTable::new(tenants, self.secret)?;
        let limited = keys.tenants().iter().filter(|tenant| tenant.rate_per_s > 0.0);
        let limits =
            limited.map(|tenant| (TenantId::of(&tenant.name), limit_of(tenant).enforced_with(&bounds.quota)));
        *self.limits.borrow_mut() = limits.collect();
        *self.keys.borrow_mut() = Rc::new(keys);
        self.proof_requested.notify_one();
        Ok(())
    }

    /// True where requests need keys.
    pub fn has_tenants(&self) -> bool {
        !self.keys.borrow().is_empty()
    }

    /// Tells who makes a request, or why it is not let in.
    pub fn authenticate(
        &self,
        key: Option<&[u8]>,
        is_public: bool,
        bounds: &Bounds,
        now: Moment,
    ) -> Result<Caller, Denial> {
        let bound = bounds.keys_proven_within.map(|within| within.saturating_sub(PROOF_RESERVE));
        let knowledge = ProofFreshness { age: self.proof_age(now), max_age: bound };
        authenticate(&self.keys.borrow(), key, is_public, knowledge)
    }

    /// Age of the proof that no newer configuration was accepted; `None` when nothing is proven.
    pub fn proof_age(&self, now: Moment) -> Option<Duration> {
        self.proof.borrow().age(now)
    }

    /// A reading that began at `began` showed nothing newer than what is in force.
    pub fn on_source_read(&self, began: Moment) {
        self.proof.borrow_mut().on_read(began);
    }

    /// A node that was asked at `asked` said that nothing newer was accepted as of `age` before.
    pub fn on_peer_proof(&self, asked: Moment, age: Duration) {
        self.proof.borrow_mut().on_peer_answer(asked, age);
    }

    /// Takes a place in the quota of `tenant`; `None` where it has no limit.
    pub fn reserve_quota(
        &self,
        tenant: &Tenant,
        draw: f64,
        now: Moment,
    ) -> Result<Option<QuotaReservation>, QuotaExceeded> {
        let id = TenantId::of(&tenant.name);
        let Some(limit) = self.limits.borrow().get(&id).copied() else { return Ok(None) };
        self.quota.borrow_mut().admit(id, limit, self.nodes.get(), draw, now)?;
        Ok(Some(QuotaReservation(id)))
    }

    /// The request that took `place` was not run.
    pub fn release_quota(&self, reservation: QuotaReservation, now: Moment) {
        self.quota.borrow_mut().refund(reservation.0, now);
    }

    /// The node's share of the quotas, for what is told and heard of them.
    pub fn quota(&self) -> std::cell::RefMut<'_, NodeQuotas> {
        self.quota.borrow_mut()
    }

    /// Limits of the tenants, as nodes aim at them.
    pub fn limits(&self) -> std::cell::Ref<'_, Limits> {
        self.limits.borrow()
    }

    /// Nodes that are listed.
    pub fn node_count(&self) -> u32 {
        self.nodes.get()
    }

    /// Notes the number of nodes that are listed.
    pub fn set_node_count(&self, nodes: u32) {
        self.nodes.set(nodes.max(1));
    }
}

fn limit_of(tenant: &Tenant) -> QuotaLimit {
    QuotaLimit { rate_per_s: tenant.rate_per_s, burst: tenant.burst }
}
