//! The signature by which an instance makes a response its own.
//!
//! Its content is the instance's affair; what can be checked is that there is one. A message with a request's id and a
//! status of success but without a signature comes from a faulty instance.

use std::ops::RangeInclusive;

use olivegate_http1::ResponseHead;

use crate::wire_names::WireNames;

/// Statuses of success.
const SUCCESS_STATUSES: RangeInclusive<u16> = 200..=299;

/// True for a success without exactly one signature. Failures need none.
pub fn is_missing(head: &ResponseHead, wire_names: &WireNames) -> bool {
    if !SUCCESS_STATUSES.contains(&head.status) {
        return false;
    }
    let mut signatures = head.fields.all(wire_names.signature);
    let first = signatures.next();
    first.is_none_or(|signature| signature.trim_ascii().is_empty()) || signatures.next().is_some()
}
