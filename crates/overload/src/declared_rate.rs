//! The rate that an instance declares: how many requests a second it takes from all callers together.

use std::fmt;
use std::str::FromStr;

use borsh::{BorshDeserialize, BorshSerialize};

/// Requests a second that an instance takes; finite and not below 0.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, BorshSerialize, BorshDeserialize)]
pub struct DeclaredRate(f64);

/// Why a text declares no rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateError {
    /// It is no decimal number.
    NotANumber,
    /// It is below 0.
    Negative,
    /// It is larger than any number.
    Infinite,
}

impl RateError {
    /// Text of log lines.
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
    /// Requests a second.
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
