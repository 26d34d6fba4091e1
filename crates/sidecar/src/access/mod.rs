//! Access control: API keys, the proof that they are current, and quotas at this node.
//!
//! The decisions are made by [`olivegate_authentication`] and [`olivegate_quota`]; this module holds their
//! state and supplies time, settings and random numbers. [`crate::peers::access`] feeds it with reports of
//! other nodes, [`crate::follow`] with data from the source.

use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use olivegate_authentication::key_table::HashSecret;
use olivegate_authentication::{
    Caller, ConfigurationProof, Denial, KeyTable, KeyTableError, ProofFreshness, Tenant, authenticate,
};
use olivegate_quota::collector::Limits;
use olivegate_quota::{Collector, LimitTable, NodeQuotas, QuotaExceeded, QuotaLimit, TenantId};
use olivegate_types::Moment;
use tokio::sync::Notify;

use crate::settings::Bounds;

/// Subtracted from the maximum age of the proof, to cover the time between the decision and the request's
/// arrival at the instance.
const PROOF_AGE_MARGIN: Duration = Duration::from_millis(250);

/// API keys, proof and quotas of one node.
pub struct Access {
    secret: HashSecret,
    keys: RefCell<Rc<KeyTable>>,
    limits: RefCell<LimitTable>,
    proof: RefCell<ConfigurationProof>,
    quota: RefCell<NodeQuotas>,
    /// Sums up the usage of the zone when other nodes report to this one.
    pub collector: RefCell<Collector>,
    node_count: Cell<u32>,
    /// Notified when other nodes are to be asked for proof at once.
    pub proof_requested: Notify,
}

/// A request's reservation in its tenant's quota.
#[derive(Debug, Clone, Copy)]
pub struct QuotaReservation(TenantId);

impl Access {
    /// Creates the state before the first configuration, until which the node refuses all requests. `secret` and
    /// `generation` are drawn at random.
    pub fn new(secret: HashSecret, generation: u32) -> Self {
        let keys = KeyTable::new(None, secret).expect("a configuration without tenants is valid");
        Access {
            secret,
            keys: RefCell::new(Rc::new(keys)),
            limits: RefCell::default(),
            proof: RefCell::default(),
            quota: RefCell::default(),
            collector: RefCell::new(Collector::new(generation)),
            node_count: Cell::new(1),
            proof_requested: Notify::new(),
        }
    }

    /// Applies the tenants of a configuration (`None` without a list of them), or returns what is wrong with
    /// them.
    pub fn apply_tenants(
        &self,
        tenants: Option<&[Tenant]>,
        bounds: &Bounds,
        now: Moment,
    ) -> Result<(), KeyTableError> {
        let keys = KeyTable::new(tenants, self.secret)?;
        let limit_of = |tenant: &Rc<Tenant>| {
            let limit = quota_limit(tenant).map(|limit| limit.enforced_with(&bounds.quota));
            (TenantId::of(&tenant.name), limit)
        };
        let limits = keys.tenants().iter().map(limit_of).collect();
        self.limits.borrow_mut().replace(limits, bounds.quota.window, now);
        *self.keys.borrow_mut() = Rc::new(keys);
        self.proof_requested.notify_one();
        Ok(())
    }

    /// True when requests need an API key on routes that are not public.
    pub fn requires_keys(&self) -> bool {
        self.keys.borrow().requires_keys()
    }

    /// Identifies the caller of a request, or returns why it is denied.
    pub fn authenticate(
        &self,
        key: Option<&[u8]>,
        is_public: bool,
        bounds: &Bounds,
        now: Moment,
    ) -> Result<Caller, Denial> {
        let max_age = bounds.keys_proven_within.map(|limit| limit.saturating_sub(PROOF_AGE_MARGIN));
        let freshness = ProofFreshness { age: self.proof_age(now), max_age };
        authenticate(&self.keys.borrow(), key, is_public, freshness)
    }

    /// Age of the proof that no newer configuration has been accepted; `None` without any proof.
    pub fn proof_age(&self, now: Moment) -> Option<Duration> {
        self.proof.borrow().age(now)
    }

    /// Records that a read of the source which began at `began` found nothing newer than the configuration in
    /// force.
    pub fn on_source_read(&self, began: Moment) {
        self.proof.borrow_mut().on_read(began);
    }

    /// Records the reply of a node that was asked at `asked`: `age` before its reply, nothing newer had been
    /// accepted.
    pub fn on_peer_proof(&self, asked: Moment, age: Duration) {
        self.proof.borrow_mut().on_peer_answer(asked, age);
    }

    /// Reserves one request of the tenant's quota; `None` if the tenant has no limit.
    pub fn reserve_quota(
        &self,
        tenant: &Tenant,
        draw: f64,
        now: Moment,
    ) -> Result<Option<QuotaReservation>, QuotaExceeded> {
        let id = TenantId::of(&tenant.name);
        let Some(limit) = self.limits.borrow().limits().get(&id).copied() else { return Ok(None) };
        self.quota.borrow_mut().admit(id, limit, self.node_count.get(), draw, now)?;
        Ok(Some(QuotaReservation(id)))
    }

    /// Returns the reservation of a request that was not run.
    pub fn release_quota(&self, reservation: QuotaReservation, now: Moment) {
        self.quota.borrow_mut().refund(reservation.0, now);
    }

    /// The node's share of the quotas, for exchanging usage with other nodes.
    pub fn quota(&self) -> std::cell::RefMut<'_, NodeQuotas> {
        self.quota.borrow_mut()
    }

    /// Limits of the tenants, as nodes enforce them, and of those that were removed a short time ago.
    pub fn limits(&self) -> Ref<'_, Limits> {
        Ref::map(self.limits.borrow(), LimitTable::limits)
    }

    /// Number of nodes in the directory.
    pub fn node_count(&self) -> u32 {
        self.node_count.get()
    }

    /// Sets the number of nodes in the directory.
    pub fn set_node_count(&self, node_count: u32) {
        self.node_count.set(node_count.max(1));
    }
}

/// The limit of a tenant; `None` if it has none.
fn quota_limit(tenant: &Tenant) -> Option<QuotaLimit> {
    let limit = QuotaLimit { rate_per_s: tenant.rate_per_s, burst: tenant.burst };
    (tenant.rate_per_s > 0.0).then_some(limit)
}
