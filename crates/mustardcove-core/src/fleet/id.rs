//! Identifiers of submissions, tasks, runs and terms.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::id::{ParseIdError, number_id};

/// A time on the boot clock of one instance, in milliseconds.
///
/// The boot clock also counts the time in which the instance was suspended, so
/// it shows that a permission has expired meanwhile. Values of different
/// instances are not comparable.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootMillis(pub u64);

impl BootMillis {
    /// Returns the time since an earlier one, in milliseconds; 0 if it is
    /// later.
    pub fn ms_since(self, earlier: BootMillis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the time `ms` milliseconds later.
    pub fn plus_ms(self, ms: u64) -> BootMillis {
        BootMillis(self.0.saturating_add(ms))
    }
}

impl fmt::Display for BootMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for BootMillis {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<BootMillis, ParseIntError> {
        text.parse().map(BootMillis)
    }
}

/// A submission, identified by 16 hexadecimal digits that its caller chose.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SubmissionId(pub u64);

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Error returned when text is not a submission or task identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseTaskError {
    text: String,
}

impl ParseTaskError {
    fn new(text: &str) -> ParseTaskError {
        ParseTaskError { text: text.to_owned() }
    }
}

impl fmt::Display for ParseTaskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a submission or task identifier", self.text)
    }
}

impl std::error::Error for ParseTaskError {}

impl FromStr for SubmissionId {
    type Err = ParseTaskError;

    /// Accepts exactly 16 lower-case digits, because callers compare the text.
    fn from_str(text: &str) -> Result<SubmissionId, ParseTaskError> {
        let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(is_digit) {
            return Err(ParseTaskError::new(text));
        }
        u64::from_str_radix(text, 16).map(SubmissionId).map_err(|_| ParseTaskError::new(text))
    }
}

/// A step of one occurrence of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The submission.
    pub submission: SubmissionId,
    /// The occurrence, from 0; always 0 if the submission runs once.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.submission, self.occurrence, self.step)
    }
}

/// A task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// The task, from 0.
    pub index: u16,
}

impl TaskKey {
    /// The first key in the order of keys, where a range of them begins.
    pub const MIN: TaskKey =
        TaskKey { step: StepKey { submission: SubmissionId(0), occurrence: 0, step: 0 }, index: 0 };
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = ParseTaskError;

    fn from_str(text: &str) -> Result<TaskKey, ParseTaskError> {
        let error = || ParseTaskError::new(text);
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or_else(error);
        let submission = part()?.parse()?;
        let number = |_: ParseIntError| error();
        let occurrence = part()?.parse().map_err(number)?;
        let step = part()?.parse().map_err(number)?;
        let index = part()?.parse().map_err(number)?;
        if parts.next().is_some() {
            return Err(error());
        }
        Ok(TaskKey { step: StepKey { submission, occurrence, step }, index })
    }
}

number_id! {
    /// One leadership: the store's revision of the leader record.
    ///
    /// Revisions only rise, so a term serves as the fencing token at workers.
    Term, u64, "term"
}
number_id! {
    /// The number of one assignment of a worker to a poller within a term.
    AssignmentNumber, u64, "assignment number"
}
number_id! {
    /// The number of one run of a task; later runs have higher numbers.
    RunNumber, u64, "run number"
}
number_id! {
    /// The number of an end within one incarnation of a worker.
    EndNumber, u64, "end number"
}
number_id! {
    /// The incarnation of a worker: when its process started, in Unix
    /// milliseconds of its own clock.
    ///
    /// A worker that restarts under the same id gets another one.
    Incarnation, u64, "life of a worker"
}
number_id! {
    /// The version of a manifest; versions rise, not always by one.
    ManifestVersion, u64, "manifest version"
}

number_id! {
    /// A revision of the platform's store; each write raises it.
    Revision, u64, "revision"
}
