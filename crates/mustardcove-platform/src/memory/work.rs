//! The simulated work of one task, in virtual milliseconds.

use bytes::Bytes;
use mustardcove_core::{
    job::{Checkpoint, MAX_RESULT_BYTES},
    time::Timestamp,
    worker::{TaskEvent, TaskStart, TaskStatus},
};
use serde::{Deserialize, Serialize};

/// What a task does. It is read from the task's payload if that is JSON of
/// this form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkSpec {
    /// Time that the work takes without neighbours and throttling, in virtual
    /// milliseconds; zero means that it runs until it is stopped.
    pub work_ms: u64,
    /// Time between checkpoints, in virtual milliseconds; zero means that there
    /// are none.
    pub checkpoint_every_ms: u64,
    /// The result of the task.
    pub result: String,
    /// Size to which a shorter result is padded, in bytes.
    pub result_bytes: usize,
    /// Whether the work fails at its end.
    pub fails: bool,
}

impl Default for WorkSpec {
    fn default() -> WorkSpec {
        WorkSpec {
            work_ms: 1_000,
            checkpoint_every_ms: 0,
            result: "done".to_owned(),
            result_bytes: 0,
            fails: false,
        }
    }
}

impl WorkSpec {
    /// Returns the payload that makes the stand-in do this work.
    pub fn to_payload(&self) -> Bytes {
        serde_json::to_vec(self).map(Bytes::from).unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) start: TaskStart,
    pub(super) spec: WorkSpec,
    pub(super) started_at: Timestamp,
    pub(super) lease_until: Timestamp,
    pub(super) done_ms: f64,
    pub(super) checkpointed_ms: f64,
    pub(super) checkpoint: Option<Checkpoint>,
    /// How much of the time the task may work, from 0 to 1.
    pub(super) pace: f64,
}

impl Task {
    /// Makes a checkpoint of the work done so far, and returns it.
    pub(super) fn make_checkpoint(&mut self) -> Checkpoint {
        self.checkpointed_ms = self.done_ms;
        let progress = match self.spec.work_ms {
            0 => 0.0,
            work_ms => self.done_ms / work_ms as f64,
        };
        let checkpoint = Checkpoint {
            token: format!("ms-{}", self.done_ms as u64),
            progress_permille: (progress * 1000.0).min(1000.0) as u16,
        };
        self.checkpoint = Some(checkpoint.clone());
        checkpoint
    }

    /// Returns the time left until the next checkpoint or the end of the work,
    /// in virtual milliseconds.
    pub(super) fn ms_to_next_event(&self) -> f64 {
        let end = match self.spec.work_ms {
            0 => f64::INFINITY,
            work_ms => work_ms as f64 - self.done_ms,
        };
        let checkpoint = match self.spec.checkpoint_every_ms {
            0 => f64::INFINITY,
            every => self.checkpointed_ms + every as f64 - self.done_ms,
        };
        end.min(checkpoint).max(0.0)
    }

    /// Returns the event with which the work ends.
    pub(super) fn outcome(&self, fails_everything: bool) -> TaskEvent {
        if self.spec.fails || fails_everything {
            return TaskEvent::Failed { detail: "exit status 1".to_owned() };
        }
        let mut result = self.spec.result.clone().into_bytes();
        result.resize(result.len().max(self.spec.result_bytes), b'.');
        if MAX_RESULT_BYTES < result.len() {
            let detail = format!("result of {} bytes exceeds the limit", result.len());
            return TaskEvent::Failed { detail };
        }
        TaskEvent::Succeeded { result: result.into() }
    }

    pub(super) fn status(&self) -> TaskStatus {
        TaskStatus {
            task: self.start.task,
            member: self.start.member.clone(),
            class: self.start.class.clone(),
            resources: self.start.resources,
            started_at: self.started_at,
            lease_until: self.lease_until,
            checkpoint: self.checkpoint.clone(),
        }
    }
}

/// Returns the position stored in a checkpoint that this stand-in made, in
/// virtual milliseconds; 0 without a checkpoint or if it cannot be read.
pub(super) fn resume_position(checkpoint: Option<&Checkpoint>) -> f64 {
    let position = checkpoint.and_then(|it| it.token.strip_prefix("ms-")?.parse::<u32>().ok());
    f64::from(position.unwrap_or(0))
}
