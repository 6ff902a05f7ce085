//! Record of what ran where and how often, with which tests check properties
//! P2 and P6.

use std::collections::BTreeMap;

use mustardcove_core::{
    id::{IdempotencyKey, JobId, MemberId, TaskId, WorkerId},
    time::Timestamp,
};
use serde::{Deserialize, Serialize};

/// How often a job ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSummary {
    /// Number of attempts that were started.
    pub starts: u32,
    /// Number of attempts that ran to their end.
    pub completions: u32,
    /// The attempts in order of their start, each with its worker.
    pub attempts: Vec<(TaskId, WorkerId)>,
}

/// Two attempts of one job that ran at the same time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overlap {
    /// The attempt that was already running.
    pub running: TaskId,
    /// The worker that was running it.
    pub on: WorkerId,
    /// The attempt that was started in the meantime.
    pub started: TaskId,
    /// The worker on which it was started.
    pub started_on: WorkerId,
    /// The time at which it was started.
    pub at: Timestamp,
}

/// A record of every run on every worker of a fleet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunHistory {
    jobs: BTreeMap<JobId, RunSummary>,
    running: BTreeMap<JobId, (TaskId, WorkerId)>,
    /// Attempts that overlapped; empty in a correct run.
    pub overlaps: Vec<Overlap>,
    /// Starts that would have committed a worker beyond its capacity.
    pub overcommits: Vec<(WorkerId, TaskId)>,
    /// Attempts that were started more than once.
    pub repeated_attempts: Vec<TaskId>,
}

impl RunHistory {
    /// Returns the running attempt of a job and its worker, if there is one.
    pub fn running(&self, job: JobId) -> Option<&(TaskId, WorkerId)> {
        self.running.get(&job)
    }

    /// Returns how often a job ran.
    pub fn summary(&self, job: JobId) -> RunSummary {
        self.jobs.get(&job).cloned().unwrap_or_default()
    }

    /// Returns every job that was started at least once.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &RunSummary)> {
        self.jobs.iter()
    }

    /// Returns the jobs that ran to their end more than once.
    pub fn completed_more_than_once(&self) -> Vec<JobId> {
        let repeated = self.jobs.iter().filter(|(_, it)| 1 < it.completions);
        repeated.map(|(&job, _)| job).collect()
    }

    /// Returns how often the job ran that `member` submitted under `key`.
    pub fn summary_of(&self, member: &MemberId, key: &IdempotencyKey) -> RunSummary {
        self.summary(JobId::new(member, key))
    }

    /// Records that nothing runs on a worker any more.
    pub fn record_worker_end(&mut self, worker: &WorkerId) {
        self.running.retain(|_, (_, on)| on != worker);
    }

    /// Records that an attempt starts to run.
    pub fn record_start(&mut self, now: Timestamp, task: TaskId, worker: &WorkerId) {
        let summary = self.jobs.entry(task.job).or_default();
        if summary.attempts.iter().any(|(it, _)| *it == task) {
            self.repeated_attempts.push(task);
        }
        summary.starts += 1;
        summary.attempts.push((task, worker.clone()));
        if let Some((running, on)) = self.running.insert(task.job, (task, worker.clone())) {
            self.overlaps.push(Overlap {
                running,
                on,
                started: task,
                started_on: worker.clone(),
                at: now,
            });
        }
    }

    /// Records that an attempt no longer runs.
    pub fn record_end(&mut self, task: TaskId, worker: &WorkerId, completed: bool) {
        if self.running.get(&task.job).is_some_and(|(it, on)| *it == task && on == worker) {
            self.running.remove(&task.job);
        }
        if completed {
            self.jobs.entry(task.job).or_default().completions += 1;
        }
    }
}
