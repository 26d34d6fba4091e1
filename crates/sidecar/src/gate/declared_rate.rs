//! The rate that the instance beside this node declares: learnt from its answers and from edges that
//! were told it, and told to operators.

use std::rc::Rc;

use olivegate_overload::DeclaredRate;
use olivegate_types::InstanceName;

use crate::declared::RateRecord;
use crate::event::display_id;
use crate::gate::notice::RateNotice;
use crate::gate::slots::{InstanceSlots, RateNews};
use crate::metrics::Metrics;

/// By what something was learnt of an instance, for log lines.
#[derive(Debug, Clone, Copy)]
pub enum LearntBy<'a> {
    /// Its answer to this request.
    Answer {
        /// Id of the request.
        request: &'a [u8],
        /// Status of the answer.
        status: u16,
    },
    /// Its answer to the question who is there.
    Question,
    /// An edge, with the offer of this request.
    Edge {
        /// Id of the request.
        request: &'a [u8],
    },
}

impl LearntBy<'_> {
    fn fields(self) -> String {
        match self {
            LearntBy::Answer { request, status } => {
                format!("by=answer request={} status={status}", display_id(request))
            }
            LearntBy::Question => "by=question".into(),
            LearntBy::Edge { request } => format!("by=edge request={}", display_id(request)),
        }
    }
}

/// Takes in what an answer of the instance `name` says of the rate that it takes.
pub fn take_notice(
    slots: &Rc<InstanceSlots>,
    name: &InstanceName,
    notice: RateNotice,
    by: LearntBy<'_>,
    metrics: &Metrics,
) {
    tell(slots, name, slots.note_rate(notice), by, metrics);
}

/// Takes in what an edge was told of it, perhaps by the process that was here before this one.
pub fn take_reminder(
    slots: &Rc<InstanceSlots>,
    name: &InstanceName,
    told: RateRecord,
    by: LearntBy<'_>,
    metrics: &Metrics,
) {
    tell(slots, name, slots.note_reminder(told), by, metrics);
}

/// Tells that the rate of a start of an instance is forgotten, since that has ended or gone.
pub fn tell_forgotten(start: &InstanceName, metrics: &Metrics) {
    log::info!("event=rate_forgotten instance={start}");
    metrics.set_declared_rate(None);
}

fn tell(slots: &Rc<InstanceSlots>, name: &InstanceName, news: RateNews, by: LearntBy<'_>, metrics: &Metrics) {
    let instance = slots.start_name(name);
    match news {
        RateNews::None => {}
        RateNews::Changed(change) => {
            let (before, now) = (shown_rate(change.before), shown_rate(change.now));
            log::info!("event=rate_declared instance={instance} before={before} now={now} {}", by.fields());
            metrics.set_declared_rate(change.now);
        }
        RateNews::Unreadable(error) => {
            log::warn!("event=rate_unreadable instance={instance} error={error} {}", by.fields());
        }
    }
}

fn shown_rate(rate: Option<DeclaredRate>) -> String {
    rate.map_or_else(|| "none".into(), |rate| rate.to_string())
}
