//! Names of header fields and paths in a deployment.

/// Header names of one deployment, and its readiness path. Provided by the adapter of its platform.
#[derive(Debug, Clone, Copy)]
pub struct WireNames {
    /// Identifies a request; echoed in the response.
    pub request_id: &'static str,
    /// Milliseconds that the sender will wait.
    pub time_left_ms: &'static str,
    /// The instance that the request is meant for; any other one refuses it.
    pub expected_instance: &'static str,
    /// The instance that refuses a request meant for another one.
    pub instance: &'static str,
    /// Present on an instance's refusal if it did not run the request.
    pub not_run: &'static str,
    /// In an instance's responses: requests per second that it accepts from all callers together.
    pub declared_rate: &'static str,
    /// Marks the responses of an instance that is shutting down.
    pub leaving: &'static str,
    /// Service on whose machine the request began.
    pub caller_service: &'static str,
    /// Key that identifies the client; not passed on beyond the edge.
    pub credential: &'static str,
    /// Tenant that holds the client's key, as passed to instances.
    pub tenant: &'static str,
    /// Marks a response as an instance's own.
    pub signature: &'static str,
    /// Seconds after which to retry.
    pub retry_after: &'static str,
    /// Path of the readiness check.
    pub readiness_path: &'static str,
}
