//! What an instance says of itself in an answer.

use std::time::Duration;

use olivegate_http1::ResponseHead;
use olivegate_overload::{DeclaredRate, RateError};

use crate::wire_names::WireNames;

/// Value of the field by which an instance says that it leaves.
const LEAVES: &[u8] = b"1";

/// What an answer says of the rate that its instance takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateNotice {
    /// It names none.
    Unlimited,
    /// At most this.
    Limited(DeclaredRate),
    /// Nothing that can be understood; what was known holds on.
    Unreadable(RateError),
}

/// What an instance says of itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Notice {
    /// The rate that it takes.
    pub rate: RateNotice,
    /// True when it leaves.
    pub is_leaving: bool,
    /// True when it closes the connection.
    pub closes: bool,
    /// For how long it keeps an idle connection, where it names that.
    pub idle_timeout: Option<Duration>,
}

impl Notice {
    /// What the answer with this head says.
    pub fn of(head: &ResponseHead, wire_names: &WireNames) -> Self {
        let leaves = head.fields.get(wire_names.leaving);
        Notice {
            rate: rate_of(head, wire_names),
            is_leaving: leaves.is_some_and(|value| value.as_ref().trim_ascii() == LEAVES),
            closes: !head.keeps_connection(),
            idle_timeout: idle_timeout_of(head),
        }
    }
}

/// The smallest of the rates that are named; an unreadable one makes the answer unreadable.
fn rate_of(head: &ResponseHead, wire_names: &WireNames) -> RateNotice {
    let mut named = RateNotice::Unlimited;
    for value in head.fields.all(wire_names.declared_rate) {
        let text = std::str::from_utf8(value).unwrap_or_default();
        named = match (text.parse::<DeclaredRate>(), named) {
            (Err(error), _) => return RateNotice::Unreadable(error),
            (Ok(rate), RateNotice::Limited(known)) if known <= rate => RateNotice::Limited(known),
            (Ok(rate), _) => RateNotice::Limited(rate),
        };
    }
    named
}

fn idle_timeout_of(head: &ResponseHead) -> Option<Duration> {
    let value = head.fields.text("keep-alive")?;
    let named = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    named.and_then(|seconds| seconds.trim().parse().ok()).map(Duration::from_secs)
}
