//! Headers between entry processes and upstreams.

/// The caller's identifier of a request, echoed in the answer.
pub const REQUEST_ID: &str = "x-request-id";

/// When the upstream stops working on the request, in milliseconds since the
/// Unix epoch.
pub const DEADLINE: &str = "x-request-deadline";

/// The class of work of the request.
pub const CLASS: &str = "x-request-class";

/// The attempt under which the request was admitted, if it was.
pub const TASK: &str = "x-request-task";

/// Set to `1` on every answer of an upstream that is leaving.
pub const DRAINING: &str = "x-draining";

/// How long the stand-in works on a request, in milliseconds.
pub const SERVICE_TIME: &str = "x-service-time-ms";
