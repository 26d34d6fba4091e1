//! The rate limit that an instance declares: requests per second that it accepts from all callers together.

use std::fmt;
use std::str::FromStr;

use borsh::{BorshDeserialize, BorshSerialize};

/// Requests per second that an instance accepts; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, BorshSerialize, BorshDeserialize)]
pub struct DeclaredRate(f64);

/// Why a text is not a valid rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateError {
    /// Not a decimal number.
    NotANumber,
    /// Below 0.
    Negative,
    /// Too large for a finite `f64`.
    Infinite,
}

impl RateError {
    /// The text used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            RateError::NotANumber => "not-a-number",
            RateError::Negative => "negative",
            RateError::Infinite => "infinite",
        }
    }
}

impl fmt::Display for RateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl std::error::Error for RateError {}

impl DeclaredRate {
    /// The rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for DeclaredRate {
    type Error = RateError;

    fn try_from(per_second: f64) -> Result<Self, RateError> {
        if per_second.is_nan() {
            return Err(RateError::NotANumber);
        }
        if per_second < 0.0 {
            return Err(RateError::Negative);
        }
        if per_second.is_infinite() {
            return Err(RateError::Infinite);
        }
        Ok(DeclaredRate(per_second))
    }
}

impl FromStr for DeclaredRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let per_second: f64 = text.trim().parse().map_err(|_| RateError::NotANumber)?;
        per_second.try_into()
    }
}

impl fmt::Display for DeclaredRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
