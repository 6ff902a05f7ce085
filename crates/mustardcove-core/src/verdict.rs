//! Verdicts on whether a request may have run.
//!
//! The receiver of a refusal has to decide whether a retry is safe. The reason
//! alone does not tell: a deadline may pass before the request was sent or
//! after it, and only in the second case may the work have run. Every error
//! that leaves a process therefore carries a [`Verdict`].

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::time::Timestamp;

/// Says whether the work of a request may have run.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// The work did not run and will not run because of this request.
    NotRun,
    /// The work ran.
    Ran,
    /// It is not known whether the work ran.
    MayHaveRun,
}

/// Why a request was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed or names something that does not exist.
    Invalid,
    /// The caller is not authenticated or may not do this.
    Forbidden,
    /// The same idempotency key was used before with a different body.
    KeyReused,
    /// No worker could ever run the job.
    NeverRunnable,
    /// The member's cap or rate is exhausted.
    OverCap,
    /// The system is overloaded and shed the request by class.
    Overloaded,
    /// The store cannot be reached, so nothing can be made durable.
    StoreUnavailable,
    /// No process owns the shard or group at the moment.
    NoOwner,
    /// No upstream can take the request.
    NoUpstream,
    /// The deadline passed.
    DeadlineExceeded,
    /// The process is shutting down.
    ShuttingDown,
    /// The job is not known.
    NotFound,
    /// An upstream or worker failed while handling the request.
    UpstreamFailed,
    /// The result or body exceeds a limit.
    TooLarge,
    /// Another change was made first.
    Conflict,
    /// The job was cancelled.
    Cancelled,
    /// The request failed because of a fault of this system.
    Internal,
}

/// A refusal, with what the caller needs in order to decide what to do next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether the work may have run.
    pub verdict: Verdict,
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Details for people to read.
    pub detail: String,
    /// When a retry may succeed.
    pub retry_at: Option<Timestamp>,
}

impl Refusal {
    /// Returns a refusal of work that did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::NotRun, reason, detail: detail.into(), retry_at: None }
    }

    /// Returns a refusal of work that may have run.
    pub fn may_have_run(reason: RefusalReason, detail: impl Into<String>) -> Refusal {
        Refusal { verdict: Verdict::MayHaveRun, reason, detail: detail.into(), retry_at: None }
    }

    /// Returns the refusal with the time at which a retry may succeed.
    pub fn with_retry_at(mut self, retry_at: Timestamp) -> Refusal {
        self.retry_at = Some(retry_at);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.reason, self.verdict, self.detail)
    }
}

impl std::error::Error for Refusal {}
