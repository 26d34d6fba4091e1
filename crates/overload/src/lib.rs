//! Overload control algorithms. None of them reads a clock or performs I/O.
//!
//! - [`queue`]: the priority queue of one back-end instance, with weighted fair sharing between groups and
//!   refusal by predicted wait.
//! - [`limit`]: the adaptive concurrency limit of one instance.
//! - [`admission`]: admission levels, measured at gates and applied at the root.
//! - [`declared_rate`]: the rate limit that an instance declares.
//! - [`expected_times`]: expected service times of requests.
//! - [`pressure`]: whether the process itself keeps up with its load.
//! - [`pacer`]: the token bucket that enforces a declared rate.
//! - [`retry_after`]: how long a refused caller should wait before it retries.

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
