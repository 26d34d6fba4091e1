//! The rate that the instance beside this node declares, taken from its responses and from what edges report
//! back. Each change is logged and set in the metrics.

use std::rc::Rc;

use olivegate_overload::DeclaredRate;
use olivegate_types::InstanceName;

use crate::declared::RateRecord;
use crate::event::display_id;
use crate::gate::notice::RateNotice;
use crate::gate::slots::{InstanceSlots, RateUpdate};
use crate::metrics::Metrics;

/// Where a declared rate was learnt from, for log lines.
#[derive(Debug, Clone, Copy)]
pub enum RateSource<'a> {
    /// The instance's response to this request.
    Response {
        /// Id of the request.
        request: &'a [u8],
        /// Status of the response.
        status: u16,
    },
    /// The instance's response to an identity check.
    IdentityCheck,
    /// The offer of this request by an edge.
    Edge {
        /// Id of the request.
        request: &'a [u8],
    },
}

impl RateSource<'_> {
    fn fields(self) -> String {
        match self {
            RateSource::Response { request, status } => {
                format!("by=answer request={} status={status}", display_id(request))
            }
            RateSource::IdentityCheck => "by=question".into(),
            RateSource::Edge { request } => format!("by=edge request={}", display_id(request)),
        }
    }
}

/// Applies the rate notice in a response of the instance `name`.
pub fn apply_notice(
    slots: &Rc<InstanceSlots>,
    name: &InstanceName,
    notice: RateNotice,
    source: RateSource<'_>,
    metrics: &Metrics,
) {
    log_update(slots, name, slots.note_rate_notice(notice), source, metrics);
}

/// Applies the rate that an edge reports back. The edge may have learnt it from an earlier process of this
/// gate.
pub fn apply_edge_report(
    slots: &Rc<InstanceSlots>,
    name: &InstanceName,
    reported: RateRecord,
    source: RateSource<'_>,
    metrics: &Metrics,
) {
    log_update(slots, name, slots.note_edge_report(reported), source, metrics);
}

/// Logs that the rate of an incarnation of an instance is dropped because the incarnation has ended or is
/// gone.
pub fn log_rate_forgotten(incarnation_name: &InstanceName, metrics: &Metrics) {
    log::info!("event=rate_forgotten instance={incarnation_name}");
    metrics.set_declared_rate(None);
}

fn log_update(
    slots: &Rc<InstanceSlots>,
    name: &InstanceName,
    update: RateUpdate,
    source: RateSource<'_>,
    metrics: &Metrics,
) {
    let instance = slots.start_name(name);
    match update {
        RateUpdate::None => {}
        RateUpdate::Changed(change) => {
            let (before, now) = (rate_text(change.before), rate_text(change.now));
            log::info!("event=rate_declared instance={instance} before={before} now={now} {}", source.fields());
            metrics.set_declared_rate(change.now);
        }
        RateUpdate::Unreadable(error) => {
            log::warn!("event=rate_unreadable instance={instance} error={error} {}", source.fields());
        }
    }
}

fn rate_text(rate: Option<DeclaredRate>) -> String {
    rate.map_or_else(|| "none".into(), |rate| rate.to_string())
}
