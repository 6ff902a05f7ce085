//! A reference ledger for differential tests and benchmarks.
//!
//! All jobs are in one list in memory, and no operation fails: there is no log,
//! no store and no group commit. A job must go through the same states here and
//! in [`crate::shard`]; only the cost and the behaviour under failures differ.

use crate::{
    id::{AttemptNumber, JobId, TaskId, WorkerId},
    job::{Checkpoint, JobSpec, Outcome},
    verdict::Refusal,
};

/// The state of a job in the reference ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NaiveState {
    /// It waits for an attempt.
    Waiting,
    /// An attempt runs.
    Running {
        /// Whether the job ends as cancelled when the attempt ends.
        cancelling: bool,
    },
    /// It has ended.
    Done(Outcome),
}

/// A job of the reference ledger.
#[derive(Clone, Debug)]
pub struct NaiveJob {
    /// What was submitted.
    pub spec: JobSpec,
    /// Its state.
    pub state: NaiveState,
    /// The number of attempts so far.
    pub attempts: AttemptNumber,
    /// The checkpoint from which the next attempt resumes, or from which the
    /// current one resumed.
    pub resume_from: Option<Checkpoint>,
    /// The workers on which attempts failed, one entry per failure.
    pub failed_on: Vec<WorkerId>,
}

/// The answer of the reference ledger to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NaiveAnswer {
    /// The job is new.
    Accepted,
    /// The key was used before with the same body.
    Repeated,
    /// The key was used before with another body.
    KeyReused,
}

/// The reference ledger.
#[derive(Clone, Debug, Default)]
pub struct NaiveLedger {
    jobs: Vec<NaiveJob>,
}

impl NaiveLedger {
    /// Returns a ledger without jobs.
    pub fn new() -> NaiveLedger {
        NaiveLedger::default()
    }

    /// Returns the jobs in the order in which they were accepted.
    pub fn jobs(&self) -> &[NaiveJob] {
        &self.jobs
    }

    /// Returns a job.
    pub fn get(&self, job: JobId) -> Option<&NaiveJob> {
        self.jobs.iter().find(|it| it.spec.id() == job)
    }

    fn get_mut(&mut self, job: JobId) -> Option<&mut NaiveJob> {
        self.jobs.iter_mut().find(|it| it.spec.id() == job)
    }

    fn running_job(&mut self, task: TaskId) -> Option<(&mut NaiveJob, bool)> {
        let job = self.get_mut(task.job)?;
        let NaiveState::Running { cancelling } = job.state else { return None };
        (job.attempts == task.attempt).then_some((job, cancelling))
    }

    /// Accepts a submission, unless its key was used before.
    pub fn submit(&mut self, spec: &JobSpec) -> NaiveAnswer {
        if let Some(job) = self.get(spec.id()) {
            let same = job.spec.digest == spec.digest;
            return if same { NaiveAnswer::Repeated } else { NaiveAnswer::KeyReused };
        }
        self.jobs.push(NaiveJob {
            spec: spec.clone(),
            state: NaiveState::Waiting,
            attempts: AttemptNumber(0),
            resume_from: None,
            failed_on: Vec::new(),
        });
        NaiveAnswer::Accepted
    }

    /// Begins an attempt of a waiting job and returns it.
    pub fn start(&mut self, job: JobId) -> Option<TaskId> {
        let it = self.get_mut(job)?;
        if it.state != NaiveState::Waiting {
            return None;
        }
        it.attempts = it.attempts.next();
        it.state = NaiveState::Running { cancelling: false };
        Some(TaskId { job, attempt: it.attempts })
    }

    /// Ends an attempt that returned a result.
    pub fn succeed(&mut self, task: TaskId, outcome: Outcome) {
        if let Some((job, _)) = self.running_job(task) {
            job.state = NaiveState::Done(outcome);
        }
    }

    /// Ends an attempt that failed; the job ends with it once it has failed on
    /// `max_workers` different workers.
    pub fn fail(&mut self, task: TaskId, worker: WorkerId, refusal: Refusal, max_workers: usize) {
        let Some((job, cancelling)) = self.running_job(task) else { return };
        job.failed_on.push(worker);
        let mut workers = job.failed_on.clone();
        workers.sort();
        workers.dedup();
        job.state = match cancelling {
            true => NaiveState::Done(Outcome::Cancelled),
            false if max_workers <= workers.len() => NaiveState::Done(Outcome::Failed { refusal }),
            false => NaiveState::Waiting,
        };
    }

    /// Ends an attempt without a result; the job resumes from the newest
    /// checkpoint.
    pub fn interrupt(&mut self, task: TaskId, checkpoint: Option<Checkpoint>) {
        let Some((job, cancelling)) = self.running_job(task) else { return };
        job.resume_from = checkpoint.or(job.resume_from.take());
        job.state = match cancelling {
            true => NaiveState::Done(Outcome::Cancelled),
            false => NaiveState::Waiting,
        };
    }

    /// Cancels a job: at once if it waits, or when its attempt ends.
    pub fn cancel(&mut self, job: JobId) {
        let Some(job) = self.get_mut(job) else { return };
        match &mut job.state {
            NaiveState::Waiting => job.state = NaiveState::Done(Outcome::Cancelled),
            NaiveState::Running { cancelling } => *cancelling = true,
            NaiveState::Done(_) => {}
        }
    }
}
