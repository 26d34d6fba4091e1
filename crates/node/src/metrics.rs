//! Metrics in the Prometheus text format.

use std::time::Duration;

use olivegate_types::{Importance, Outcome, RefusalReason};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// All metrics of a node. docs/OPERATING.md explains each.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Responses to callers and back ends, by outcome and importance.
    pub answers: IntCounterVec,
    /// Refusals made by this node, by reason.
    pub refusals: IntCounterVec,
    /// Calls dispatched to instances.
    pub dispatches: IntCounter,
    /// Retries made.
    pub retries: IntCounter,
    /// Control datagram bytes sent and received.
    pub control_bytes: IntCounterVec,
    /// Version of the bundle in force.
    pub bundle_version: IntGauge,
    /// Calls in progress.
    pub calls_in_flight: IntGauge,
    /// Own processing time per call in seconds, without queueing and the back end.
    pub own_processing: Histogram,
}

fn counter_vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("constant metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("constant metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("constant metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let buckets = vec![25e-6, 50e-6, 100e-6, 150e-6, 200e-6, 320e-6, 500e-6, 1e-3, 2e-3, 5e-3, 20e-3];
    let metric = Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))
        .expect("constant metric names are valid");
    registry.register(Box::new(metric.clone())).expect("metric names are distinct");
    metric
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        Metrics {
            answers: counter_vec(
                &registry,
                "olivegate_answers_total",
                "Answers given",
                &["outcome", "importance"],
            ),
            refusals: counter_vec(&registry, "olivegate_refusals_total", "Refusals made here", &["reason"]),
            dispatches: counter(&registry, "olivegate_dispatches_total", "Calls dispatched to instances"),
            retries: counter(&registry, "olivegate_retries_total", "Retries made"),
            control_bytes: counter_vec(
                &registry,
                "olivegate_control_datagram_bytes_total",
                "Control datagram bytes",
                &["direction"],
            ),
            bundle_version: gauge(&registry, "olivegate_bundle_version", "Version of the bundle in force"),
            calls_in_flight: gauge(&registry, "olivegate_calls_in_flight", "Calls being handled"),
            own_processing: histogram(
                &registry,
                "olivegate_own_processing_seconds",
                "Time of a call inside this node, without queueing and back end",
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Counts a response.
    pub fn on_answer(&self, outcome: Outcome, importance: Importance) {
        let importance = importance.0.to_string();
        self.answers.with_label_values(&[outcome.as_str(), importance.as_str()]).inc();
    }

    /// Counts a refusal.
    pub fn on_refusal(&self, reason: RefusalReason) {
        self.refusals.with_label_values(&[reason.as_str()]).inc();
    }

    /// Records the own processing time of one call.
    pub fn on_own_processing(&self, processing_time: Duration) {
        self.own_processing.observe(processing_time.as_secs_f64());
    }

    /// All metrics in the text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            log::warn!("event=metrics_not_encoded error={error}");
        }
        text
    }
}
