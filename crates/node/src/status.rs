//! Statuses of responses.

use hyper::StatusCode;

/// Statuses that end an exchange. The parser takes any three digits that don't begin with 0, and passes on 101, for
/// which nobody asks here.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// True for a status that ends an exchange. A message with any other status is no response.
pub fn is_final(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}
