//! What a caller submits: steps of tasks, run once or on a schedule.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use super::{
    admission,
    id::{ManifestVersion, StepKey, SubmissionId, TaskKey},
    manifest::Queue,
};
use crate::{size::Resources, time::Timestamp};

/// Most tasks of one occurrence: the leader holds each in memory, and their
/// progress is stored in one value.
pub const MAX_TASKS: usize = 32_768;
/// A submission is worth nothing if, counted from when it was due, it takes longer
/// than this multiple of the time that its SLO deadline allows.
pub(super) const WORTHLESS_FACTOR: u64 = 3;
/// More than any machine has; sums over all tasks of a worker do not overflow.
const MAX_DEMAND: Resources = admission::MAX_CAPACITY;

/// A submission as accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Its identifier, chosen by the caller.
    pub id: SubmissionId,
    /// The queue as the manifest described it at acceptance. A manifest that is
    /// not older replaces it as long as it has a queue at the same host and
    /// prefix.
    pub queue: Queue,
    /// The tasks' input, passed on unchanged.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run; `None` if they run once and at once.
    pub schedule: Option<Schedule>,
    /// When it was accepted.
    pub accepted_at: Timestamp,
    /// The manifest's version at acceptance; 0 if its record does not tell. A
    /// leader may know an older one only, which must not decide what runs it.
    pub manifest: ManifestVersion,
}

/// A schedule of occurrences at a fixed interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// When the first is due.
    pub first_at: Timestamp,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns when an occurrence is due.
    pub fn due_at(&self, occurrence: u32) -> Timestamp {
        self.first_at.plus_ms(u64::from(occurrence).saturating_mul(self.interval_ms))
    }
}

/// A step: tasks of one kind that may run once the steps that it depends on
/// are done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Resources that each task needs.
    pub demand: Resources,
    /// The caller's estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// The steps that it depends on, all of them earlier ones.
    pub after: Vec<u16>,
    /// Whether a run saves its progress, so that the next may resume it.
    pub saves_progress: bool,
    /// Whether the tasks work only while all of them run.
    pub is_gang: bool,
    /// Whether the tasks are slower when spread over several racks.
    pub wants_same_rack: bool,
    /// A label that the worker must have.
    pub requirement: Option<String>,
    /// The rack with the data; tasks are slower elsewhere.
    pub data_rack: Option<String>,
    /// The most tasks of one occurrence on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether concurrent runs of a task are harmless.
    pub is_speculative: bool,
    /// Whether the tasks run until the submission is cancelled.
    pub is_long_running: bool,
    /// The image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound on the tail latency that the task's own users see, in
    /// milliseconds.
    pub tail_target_ms: Option<u32>,
    /// Whether the tasks are best-effort: they use only leftover processor
    /// time and take none of a worker's processor capacity.
    pub is_best_effort: bool,
    /// The most tasks that planned stops may make unavailable at the same
    /// time.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns the capacity that a task takes on a worker.
    pub fn allocation(&self) -> Resources {
        if !self.is_best_effort {
            return self.demand;
        }
        Resources { cpu: Default::default(), ..self.demand }
    }

    /// Returns the estimated work of a task, in millicore-milliseconds.
    pub fn task_work(&self) -> u64 {
        self.demand.cpu.0.saturating_mul(self.estimate_ms)
    }
}

/// The state of a submission as callers see it.
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
pub enum SubmissionState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task used up its attempts.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl SubmissionState {
    /// Returns whether the state is final.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            SubmissionState::Completed | SubmissionState::Failed | SubmissionState::Cancelled
        )
    }
}

/// Error returned when a submission cannot be planned as described.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSubmission {
    detail: String,
}

impl std::fmt::Display for InvalidSubmission {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for InvalidSubmission {}

impl Submission {
    /// Checks the invariants that the planner relies on: at least one step, at
    /// least one task in each, dependencies only on earlier steps, and sizes
    /// that it can hold and add up.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first step at fault.
    pub fn check(&self) -> Result<(), InvalidSubmission> {
        let invalid = |detail| Err(InvalidSubmission { detail });
        if self.steps.is_empty() {
            return invalid("a submission needs at least one step".to_owned());
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return invalid(format!("step {i} has no tasks"));
            }
            if let Some(after) = step.after.iter().find(|it| i <= usize::from(**it)) {
                return invalid(format!(
                    "step {i} depends on step {after}, which is not an earlier one"
                ));
            }
        }
        let tasks: usize = self.steps.iter().map(|it| usize::from(it.count)).sum();
        if MAX_TASKS < tasks {
            return invalid(format!("{tasks} tasks, {MAX_TASKS} are allowed"));
        }
        if let Some(i) = self.steps.iter().position(|it| !it.demand.fits_in(MAX_DEMAND)) {
            return invalid(format!("step {i} needs more than any machine has"));
        }
        Ok(())
    }

    /// Returns whether any step runs until the submission is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|it| it.is_long_running)
    }

    /// Returns the estimated work of one occurrence's tasks that end by themselves,
    /// in millicore-milliseconds.
    pub fn finite_work(&self) -> u64 {
        let finite = self.steps.iter().filter(|it| !it.is_long_running);
        finite.fold(0, |sum, it| sum.saturating_add(it.task_work().saturating_mul(it.count.into())))
    }

    /// Returns the length of the critical path that begins with each step,
    /// from the estimates, in milliseconds. The longest of them is the
    /// critical path of the whole submission.
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        let mut following = vec![0; self.steps.len()];
        let mut paths = vec![0; self.steps.len()];
        // Steps depend only on earlier ones, so reverse order visits
        // dependents first.
        for (i, step) in self.steps.iter().enumerate().rev() {
            paths[i] = step.estimate_ms.saturating_add(following[i]);
            for before in &step.after {
                let longest = &mut following[usize::from(*before)];
                *longest = paths[i].max(*longest);
            }
        }
        paths
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |it| it.count)
    }

    /// Returns the keys of an occurrence's steps.
    pub fn step_keys(&self, occurrence: u32) -> impl Iterator<Item = StepKey> {
        (0..self.steps.len()).map(move |it| self.task(occurrence, it, 0).step)
    }

    /// Returns a task's key.
    pub fn task(&self, occurrence: u32, step: usize, index: usize) -> TaskKey {
        let step = StepKey { submission: self.id, occurrence, step: step as u16 };
        TaskKey { step, index: index as u16 }
    }
}
