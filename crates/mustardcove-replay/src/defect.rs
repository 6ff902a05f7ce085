//! Deliberate defects in the models around the core.
//!
//! They test the checks: a check that can never fail proves nothing. Each
//! defect causes something that one property forbids, and a test expects the
//! check of that property to report it.

use strum::{Display, EnumIter};

/// A deliberate defect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Defect {
    /// The capacity of a worker drops to zero once it runs a task.
    Overcommitted,
    /// Every task runs on two workers at the same time.
    Doubled,
    /// Tasks resume from the beginning although a checkpoint was saved.
    ForgottenCheckpoint,
    /// Upstreams answer with the response to another request.
    SwappedAnswers,
    /// Requests that were answered are refused as not run.
    FalseRefusal,
    /// Upstreams record each guarded request (one that is not idempotent) as
    /// run twice.
    Repeated,
    /// Workers leave without announcing it.
    SilentLeaving,
    /// Processes do not stop when told to.
    IgnoredStop,
    /// Processes put an older revision in force.
    RevertedRevision,
    /// Jobs are accepted but never submitted.
    ForgottenJob,
}

impl Defect {
    /// Returns the property whose check reports the defect.
    pub fn property(self) -> &'static str {
        match self {
            Defect::Overcommitted => "P1",
            Defect::Doubled => "P2",
            Defect::ForgottenCheckpoint => "P3",
            Defect::SwappedAnswers => "P4",
            Defect::FalseRefusal => "P5",
            Defect::Repeated => "P6",
            Defect::SilentLeaving => "P7",
            Defect::IgnoredStop => "P8",
            Defect::RevertedRevision => "P9",
            Defect::ForgottenJob => "lost",
        }
    }
}
