//! What a caller submits: steps of tasks, run once or on a schedule.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use super::{
    id::{StepKey, SubmissionId, TaskKey},
    manifest::Queue,
};
use crate::{size::Resources, time::Timestamp};

/// A submission as accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Its identifier, chosen by the caller.
    pub id: SubmissionId,
    /// The queue as the manifest described it at acceptance. A later manifest
    /// replaces it as long as it has a queue at the same host and prefix.
    pub queue: Queue,
    /// What the tasks are told, passed on unchanged.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run, if not once and at once.
    pub schedule: Option<Schedule>,
    /// When it was accepted.
    pub accepted_at: Timestamp,
}

/// Occurrences at a fixed interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// How many occurrences there are.
    pub count: u32,
    /// When the first is due.
    pub first_at: Timestamp,
    /// Milliseconds between two occurrences.
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns when an occurrence is due.
    pub fn due_at(&self, occurrence: u32) -> Timestamp {
        self.first_at.plus_ms(u64::from(occurrence).saturating_mul(self.interval_ms))
    }
}

/// A step: tasks of one kind that may run once earlier steps are done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// How many tasks it has.
    pub count: u16,
    /// What each task needs.
    pub demand: Resources,
    /// The caller's estimate of a task's duration, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether a run saves its progress, so that the next may resume it.
    pub saves_progress: bool,
    /// Whether the tasks work only while all of them run.
    pub is_gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub wants_same_rack: bool,
    /// A label that the worker must have.
    pub requirement: Option<String>,
    /// The rack with the data; tasks are slower elsewhere.
    pub data_rack: Option<String>,
    /// The most tasks of one occurrence on one worker.
    pub max_per_worker: Option<u32>,
    /// Whether several runs of a task at the same time are harmless.
    pub is_speculative: bool,
    /// Whether the tasks run until the submission is cancelled.
    pub is_long_running: bool,
    /// What the tasks run; tasks of the same image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound on the tail latency that the task's own users see, in
    /// milliseconds.
    pub tail_target_ms: Option<u32>,
    /// Whether the tasks use only processor time that others leave unused, and
    /// so take none of a worker's capacity.
    pub is_best_effort: bool,
    /// Tasks that planned stops may take away at the same time.
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Returns what a task takes of a worker's capacity.
    pub fn allocation(&self) -> Resources {
        if !self.is_best_effort {
            return self.demand;
        }
        Resources { cpu: Default::default(), ..self.demand }
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
    /// Returns whether the state never changes again.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            SubmissionState::Completed | SubmissionState::Failed | SubmissionState::Cancelled
        )
    }
}

/// Error of a submission that no planner could carry out as described.
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
    /// Checks what the planner relies on: at least one step, at least one task
    /// in each, and steps that only follow earlier ones.
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
                return invalid(format!("step {i} follows step {after}, which is not earlier"));
            }
        }
        Ok(())
    }

    /// Returns whether any step runs until the submission is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|it| it.is_long_running)
    }

    /// Returns for each step the longest chain of estimated work that begins
    /// with it, in milliseconds. The longest of them is that of the whole
    /// submission.
    pub fn critical_paths_ms(&self) -> Vec<u64> {
        let mut following = vec![0; self.steps.len()];
        let mut chains = vec![0; self.steps.len()];
        // Steps only follow earlier ones.
        for (i, step) in self.steps.iter().enumerate().rev() {
            chains[i] = step.estimate_ms + following[i];
            for before in &step.after {
                let longest = &mut following[usize::from(*before)];
                *longest = chains[i].max(*longest);
            }
        }
        chains
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
