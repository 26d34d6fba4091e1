//! Overload control cores. None of them reads a clock or performs I/O.
//!
//! - [`queue`]: the exact priority queue of one back-end instance, with weighted
//!   sharing between groups and refusal by predicted wait.
//! - [`limit`]: the adaptive concurrency limit of one instance.
//! - [`admission`]: admission levels, measured at gates and applied at the root.
//! - [`declared_rate`]: the rate that an instance says it takes.
//! - [`expected_times`]: how long requests are expected to take.
//! - [`pressure`]: whether the process itself keeps up.
//! - [`pacer`]: paces what is sent to an instance by the rate that it declares.
//! - [`retry_after`]: when a refused caller should come back.

pub mod admission;
pub mod declared_rate;
pub mod expected_times;
pub mod limit;
pub mod pacer;
pub mod pressure;
pub mod queue;
pub mod retry_after;

pub use admission::{Arrival, BindingLevel, ClassKey, DemandLevels, GateLevels, LevelTable};
pub use declared_rate::{DeclaredRate, RateError};
pub use expected_times::ExpectedTimes;
pub use limit::AdaptiveLimit;
pub use pacer::Pacer;
pub use pressure::{ProcessPace, ProcessPressure};
pub use queue::{Admission, InstanceQueue, QueueSettings, SlotRequest, TicketId};
