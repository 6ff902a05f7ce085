//! HTTP headers between entry processes and upstreams.

/// Identifier that the sender gives the request; the answer echoes it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Time at which the upstream stops working on the request, in milliseconds
/// since the Unix epoch.
pub const DEADLINE_HEADER: &str = "x-request-deadline";

/// Class of the request.
pub const CLASS_HEADER: &str = "x-request-class";

/// Task attempt that the request was admitted as, if any.
pub const TASK_HEADER: &str = "x-request-task";

/// Set to `1` on every answer of an upstream that is leaving.
pub const DRAINING_HEADER: &str = "x-draining";

/// Time that the stand-in works on the request, in milliseconds.
pub const SERVICE_TIME_HEADER: &str = "x-service-time-ms";
