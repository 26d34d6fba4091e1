//! What an instance declares about itself in the header fields of a response.

use std::time::Duration;

use olivegate_http1::ResponseHead;
use olivegate_overload::{DeclaredRate, RateError};
use olivegate_types::InstanceName;

use crate::wire_names::WireNames;

/// Value of the header field by which an instance announces that it is leaving.
const LEAVING_VALUE: &[u8] = b"1";

/// Longest idle timeout that is taken from a response. Larger values overflow the time at which it ends.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// What a response declares about the request rate that its instance accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateNotice {
    /// No limit is declared.
    Unlimited,
    /// The instance accepts at most this rate.
    Limited(DeclaredRate),
    /// The value can't be parsed; the previously known rate stays in force.
    Unreadable(RateError),
}

/// What an instance declares about itself in a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// The request rate that it accepts.
    pub rate: RateNotice,
    /// True when it is leaving.
    pub is_leaving: bool,
    /// True when it closes the connection after this response.
    pub closes: bool,
    /// Idle timeout of its connections, if announced.
    pub idle_timeout: Option<Duration>,
}

impl Notice {
    /// Parses the head of a response.
    pub fn of(head: &ResponseHead, wire_names: &WireNames) -> Self {
        let leaving = head.fields.get(wire_names.leaving);
        Notice {
            rate: rate_of(head, wire_names),
            is_leaving: leaving.is_some_and(|value| value.as_ref().trim_ascii() == LEAVING_VALUE),
            closes: !head.keeps_connection(),
            idle_timeout: idle_timeout_of(head),
        }
    }
}

/// The lowest declared rate; unreadable if any of the values is.
fn rate_of(head: &ResponseHead, wire_names: &WireNames) -> RateNotice {
    let mut declared = RateNotice::Unlimited;
    for value in head.fields.all(wire_names.declared_rate) {
        let text = std::str::from_utf8(value).unwrap_or_default();
        declared = match (text.parse::<DeclaredRate>(), declared) {
            (Err(error), _) => return RateNotice::Unreadable(error),
            (Ok(rate), RateNotice::Limited(known)) if known <= rate => RateNotice::Limited(known),
            (Ok(rate), _) => RateNotice::Limited(rate),
        };
    }
    declared
}

/// The instance that a response says is present; `None` if it says nothing, or something that is no name.
pub fn present_instance(head: &ResponseHead, wire_names: &WireNames) -> Option<InstanceName> {
    head.fields.text(wire_names.instance).and_then(|name| InstanceName::parse(name).ok())
}

fn idle_timeout_of(head: &ResponseHead) -> Option<Duration> {
    let value = head.fields.text("keep-alive")?;
    let declared = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = declared.and_then(|seconds| seconds.trim().parse().ok());
    seconds.map(|seconds| Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT))
}
