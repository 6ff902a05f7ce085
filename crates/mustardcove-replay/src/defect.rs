//! Deliberate defects of the models around the core.
//!
//! A check that never fails shows nothing. Each defect makes one thing happen
//! that a property forbids, and a test expects the check of that property to
//! report it.

use strum::{Display, EnumIter};

/// Something that is wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Defect {
    /// Workers lose their capacity once they run a task.
    Overcommitted,
    /// Every task runs on two workers at once.
    Doubled,
    /// Tasks resume from the beginning although a checkpoint was saved.
    ForgottenCheckpoint,
    /// Upstreams answer with the answer to another request.
    SwappedAnswers,
    /// Requests that were answered are refused as not run.
    FalseRefusal,
    /// Upstreams work on each guarded request twice.
    Repeated,
    /// Workers leave without a sign.
    SilentLeaving,
    /// Processes do not stop when told to.
    IgnoredStop,
    /// Processes put older revisions in force.
    RevertedRevision,
    /// Jobs are accepted and forgotten.
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
