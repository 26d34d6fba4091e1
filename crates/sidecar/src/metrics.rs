//! Counters and histograms in the Prometheus text format.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use olivegate_overload::DeclaredRate;
use olivegate_types::TenantName;

use prometheus::core::Collector;
use prometheus::{
    Counter, Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];

/// Number of tenants with a label of their own; each adds a time series per outcome and node.
const MAX_TENANT_LABELS: usize = 128;
/// Label shared by all further tenants.
const OTHER_TENANTS: &str = "(other)";

/// Label of metrics of one route.
const ROUTE: &str = "route";
/// Its value for requests that no route matches.
pub const NO_ROUTE: &str = "none";

const NO_LABELS: &[&str] = &[];

/// All metrics of a sidecar; docs/OPERATIONS.md describes each.
pub struct Metrics {
    registry: Registry,
    /// Responses to clients and to the instance, by route and outcome.
    pub answers: IntCounterVec,
    /// Responses to tenants' requests, by tenant and outcome.
    tenants: IntCounterVec,
    /// Tenants that have a label of their own.
    labelled: RefCell<HashSet<TenantName>>,
    /// Time from a request's arrival to its response, by route.
    pub latency: HistogramVec,
    /// Attempts without a response, by reason.
    pub failed_attempts: IntCounterVec,
    /// Offers that this gate refused, by reason.
    pub refusals: IntCounterVec,
    /// Exchanges with the instance, by result.
    pub exchanges: IntCounterVec,
    /// Checks of which instance is beside this node, by result.
    pub identity_questions: IntCounterVec,
    /// Seconds for which requests waited for these checks.
    pub identity_wait: Counter,
    /// Connections made to the instance and to other nodes.
    pub connections: IntCounterVec,
    /// Connections to gates on which an offer stayed without any reply while a new connection worked.
    pub silent_connections: IntCounter,
    /// Calls of the source, by result.
    pub source_calls: IntCounterVec,
    /// Fetches of another node's state, by result.
    pub fetches: IntCounterVec,
    /// Suspensions of the machine that were detected.
    pub suspensions: IntCounter,
    /// Requests per second that the instance declares to accept; no value if it declares none.
    declared_rate: GaugeVec,
    /// Gauges, such as configuration version, directory revision, queue length and limit.
    pub state: IntGaugeVec,
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("constant metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("constant metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}

fn rate_gauge(registry: &Registry) -> GaugeVec {
    let options =
        Opts::new("olivegate_sidecar_declared_rate", "Requests a second that the instance declares to take");
    let metric = GaugeVec::new(options, &[]).expect("constant metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}

fn seconds_counter(registry: &Registry, name: &str, help: &str) -> Counter {
    let metric = Counter::new(name, help).expect("constant metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}

/// The labels of each series of a metric.
fn label_sets(metric: &impl Collector) -> Vec<HashMap<String, String>> {
    let families = metric.collect();
    let series = families.iter().flat_map(|family| family.get_metric());
    let labels = series.map(|series| series.get_label().iter());
    labels.map(|labels| labels.map(|label| (label.name().into(), label.value().into())).collect()).collect()
}

fn borrowed(labels: &HashMap<String, String>) -> HashMap<&str, &str> {
    labels.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect()
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let latency_options = HistogramOpts::new("olivegate_sidecar_latency_seconds", "Time to the answer")
            .buckets(LATENCY_BUCKETS.to_vec());
        let latency = HistogramVec::new(latency_options, &[ROUTE]).expect("constant metric names are valid");
        registry.register(Box::new(latency.clone())).expect("metric names are distinct");
        let state_options = Opts::new("olivegate_sidecar_state", "Values of the moment");
        let state = IntGaugeVec::new(state_options, &["value"]).expect("constant metric names are valid");
        registry.register(Box::new(state.clone())).expect("metric names are distinct");
        Metrics {
            answers: counters(&registry, "olivegate_sidecar_answers_total", "Answers given", &[ROUTE, "outcome"]),
            tenants: counters(
                &registry,
                "olivegate_sidecar_tenant_answers_total",
                "Answers given to tenants",
                &["tenant", "outcome"],
            ),
            labelled: RefCell::default(),
            latency,
            failed_attempts: counters(
                &registry,
                "olivegate_sidecar_failed_attempts_total",
                "Attempts without an answer",
                &["reason"],
            ),
            refusals: counters(
                &registry,
                "olivegate_sidecar_refusals_total",
                "Offers refused by this gate",
                &["reason"],
            ),
            exchanges: counters(
                &registry,
                "olivegate_sidecar_exchanges_total",
                "Exchanges with the instance",
                &["result"],
            ),
            identity_questions: counters(
                &registry,
                "olivegate_sidecar_identity_questions_total",
                "Questions which instance is beside this node",
                &["found"],
            ),
            identity_wait: seconds_counter(
                &registry,
                "olivegate_sidecar_identity_wait_seconds_total",
                "Time for which requests waited to learn which instance is beside this node",
            ),
            connections: counters(&registry, "olivegate_sidecar_connections_total", "Connections made", &["to"]),
            silent_connections: counter(
                &registry,
                "olivegate_sidecar_silent_connections_total",
                "Connections to other nodes that failed silently",
            ),
            source_calls: counters(
                &registry,
                "olivegate_sidecar_source_calls_total",
                "Calls of the source",
                &["result"],
            ),
            fetches: counters(
                &registry,
                "olivegate_sidecar_fetches_total",
                "Fetches of another node's state",
                &["result"],
            ),
            suspensions: counter(&registry, "olivegate_sidecar_suspensions_total", "Suspensions of the machine"),
            declared_rate: rate_gauge(&registry),
            state,
            registry,
        }
    }
}

impl Metrics {
    /// Counts a response.
    pub fn on_answer(&self, route: &str, outcome: &str, latency: Duration) {
        self.answers.with_label_values(&[route, outcome]).inc();
        self.latency.with_label_values(&[route]).observe(latency.as_secs_f64());
    }

    /// Drops the series of routes that are not configured any more.
    pub fn retain_routes(&self, is_configured: impl Fn(&str) -> bool) {
        let is_gone = |labels: &HashMap<String, String>| {
            labels.get(ROUTE).is_some_and(|route| route != NO_ROUTE && !is_configured(route))
        };
        // A series that is dropped was there a moment ago.
        for labels in label_sets(&self.answers).into_iter().filter(is_gone) {
            let _ = self.answers.remove(&borrowed(&labels));
        }
        for labels in label_sets(&self.latency).into_iter().filter(is_gone) {
            let _ = self.latency.remove(&borrowed(&labels));
        }
    }

    /// Counts a response to a tenant's request.
    pub fn on_tenant_answer(&self, tenant: &TenantName, outcome: &str) {
        self.tenants.with_label_values(&[self.label_of(tenant), outcome]).inc();
    }

    /// Returns the tenant's name as the label, or the shared label once there are too many tenants.
    fn label_of<'a>(&self, tenant: &'a TenantName) -> &'a str {
        let mut labelled = self.labelled.borrow_mut();
        if labelled.contains(tenant) {
            return tenant.as_str();
        }
        if labelled.len() >= MAX_TENANT_LABELS {
            return OTHER_TENANTS;
        }
        labelled.insert(tenant.clone());
        tenant.as_str()
    }

    /// Sets the rate declared by the instance beside this node; `None` removes the value.
    pub fn set_declared_rate(&self, rate: Option<DeclaredRate>) {
        match rate {
            Some(rate) => self.declared_rate.with_label_values(NO_LABELS).set(rate.per_second()),
            None => self.declared_rate.reset(),
        }
    }

    /// Sets a gauge.
    pub fn set_state(&self, value: &str, number: u64) {
        self.state.with_label_values(&[value]).set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Encodes all metrics in the text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("event=metrics_not_encoded error={error}");
        }
        text
    }
}
