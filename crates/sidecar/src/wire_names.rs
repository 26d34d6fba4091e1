//! Names of the header fields that a deployment speaks.

/// Header names of one deployment; the adapter of its platform fills them in.
#[derive(Debug, Clone, Copy)]
pub struct WireNames {
    /// Identifies a request; the answer carries it back.
    pub request_id: &'static str,
    /// Milliseconds that the sender will wait.
    pub time_left_ms: &'static str,
    /// Instance that is meant; any other one refuses.
    pub expected_instance: &'static str,
    /// Names the instance that refuses a request meant for another one.
    pub instance: &'static str,
    /// Present on an instance's refusal when it did not run the request.
    pub not_run: &'static str,
    /// Requests a second that an instance takes from all callers together, in its answers.
    pub declared_rate: &'static str,
    /// Marks the answers of an instance that is about to end.
    pub leaving: &'static str,
    /// Service on whose machine the request began.
    pub caller_service: &'static str,
    /// Key by which a client shows whose it is; goes no further than the edge.
    pub credential: &'static str,
    /// Tenant that holds the client's key, as instances are told.
    pub tenant: &'static str,
    /// Marks an answer as an instance's own.
    pub signature: &'static str,
    /// When to come back, in seconds.
    pub retry_after: &'static str,
    /// Path of the readiness question.
    pub readiness_path: &'static str,
}
