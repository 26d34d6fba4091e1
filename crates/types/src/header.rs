//! Names of the HTTP headers that olivegate reads and writes.

/// Secret that identifies the caller's group. Caller to node.
pub const GROUP_CREDENTIAL: &str = "x-olivegate-credential";
/// Time for which the caller waits, in milliseconds. Caller to node.
pub const DEADLINE_MS: &str = "x-olivegate-deadline-ms";
/// Caller's key for a request that must run at most once. Caller to node.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Identifier of the root request. Node to caller, and node to back end.
pub const REQUEST_ID: &str = "x-olivegate-request-id";
/// Outcome of the request: `ok`, `not-run`, `failed` or `unknown`. Node to caller.
pub const OUTCOME: &str = "x-olivegate-outcome";
/// Why a request was refused or failed. Node to caller.
pub const REASON: &str = "x-olivegate-reason";
/// Retry delay in milliseconds, more precise than `Retry-After`. Node to caller.
pub const RETRY_AFTER_MS: &str = "x-olivegate-retry-after-ms";
/// Authenticated request context. Node to back end, back end to node, node to node.
pub const CONTEXT: &str = "x-olivegate-context";
/// Caller address of the node that dispatched the call; the back end sends its own calls there.
pub const DISPATCHED_BY: &str = "x-olivegate-node";
/// Number of the attempt within one hop, counted from 0. Node to back end.
pub const ATTEMPT: &str = "x-olivegate-attempt";
/// Set to `true` by a back end that refused the request before starting it. Back end to node.
pub const NOT_STARTED: &str = "x-olivegate-not-started";
/// Set to `true` by a back end that is about to stop. Back end to node.
pub const LEAVING: &str = "x-olivegate-leaving";
/// Instance that the edge chose. Node to node.
pub const INSTANCE: &str = "x-olivegate-instance";
/// Kind of the current hop. Node to node.
pub const KIND: &str = "x-olivegate-kind";
/// Time left for the call, in microseconds. Node to node.
pub const REMAINING_US: &str = "x-olivegate-remaining-us";
/// Admitted fraction of the request's class at this and deeper hops. Node to node.
pub const ADMISSION_LEVEL: &str = "x-olivegate-level";
/// Occupancy of the chosen instance as a decimal number: calls in flight and waiting, divided by its limit.
/// Node to node.
pub const OCCUPANCY: &str = "x-olivegate-occupancy";
/// Time spent inside olivegate for a call and the calls that it caused, in microseconds, without queueing for
/// a slot. Node to caller; a back end may add up those of its calls.
pub const OWN_PROCESSING_US: &str = "x-olivegate-own-us";
/// Prefix of the headers that callers may not set, except those marked "Caller to node".
pub const RESERVED_PREFIX: &str = "x-olivegate-";
