//! The log of a shard and the state that results from replaying it.
//!
//! A shard's log is a sequence of [`Segment`]s of [`Record`]s. Applying every
//! record in order to an empty [`Ledger`] gives the state of the shard. A
//! snapshot holds the state after one segment, so that older segments can be
//! deleted. The owner calls the same `apply` before a record is durable and
//! again when it is durable, and a successor calls it on recovery, so all of
//! them interpret a record alike.
//!
//! A record that does not match the state, such as the end of an attempt that
//! is not the current one, changes nothing. An owner never writes such a
//! record, but a successor that runs another version of the code must not
//! corrupt a job because of it.
//!
//! Stored values begin with a byte that names the format; the rest is bincode.
//! See `docs/ledger.md` for the alternatives that were considered.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    fmt,
    ops::Bound::{Excluded, Unbounded},
    sync::Arc,
};

use bytes::Bytes;

use crate::{
    id::{Epoch, JobId, ProcessId, TaskId, WorkerId},
    job::{AttemptLocation, Checkpoint, JobState},
    time::Timestamp,
};

pub mod record;
pub mod segment;
pub mod snapshot;

pub use self::{
    record::{Job, Record},
    segment::{Segment, log_key, log_prefix},
    snapshot::{SnapshotPart, snapshot_key, snapshot_prefix},
};

/// First byte of every stored value, which names the encoding of the rest.
pub const FORMAT_VERSION: u8 = 1;

/// Error returned when a stored value cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    what: &'static str,
    detail: String,
}

impl DecodeError {
    fn new(what: &'static str, detail: impl fmt::Display) -> DecodeError {
        DecodeError { what, detail: detail.to_string() }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "stored {} cannot be read: {}", self.what, self.detail)
    }
}

impl std::error::Error for DecodeError {}

/// The state of a shard: its jobs and the newest owner named in the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    jobs: BTreeMap<JobId, Job>,
    owner: Option<ProcessId>,
    epoch: Epoch,
    done: usize,
    bytes: usize,
}

impl Ledger {
    /// Returns the state of a shard without jobs.
    pub fn new() -> Ledger {
        Ledger::default()
    }

    /// Returns a job by its identifier.
    pub fn get(&self, job: JobId) -> Option<&Job> {
        self.jobs.get(&job)
    }

    /// Returns the jobs in identifier order.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Returns the jobs after `start_after` in identifier order.
    pub fn jobs_after(&self, start_after: Option<JobId>) -> impl Iterator<Item = (JobId, &Job)> {
        let from = start_after.map_or(Unbounded, Excluded);
        self.jobs.range((from, Unbounded)).map(|(id, job)| (*id, job))
    }

    /// Returns the number of jobs, finished ones included.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Reports whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of finished jobs that are still kept.
    pub fn done_count(&self) -> usize {
        self.done
    }

    /// Returns the approximate memory use of the jobs, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the process that the newest `Owner` record names.
    pub fn owner(&self) -> Option<&ProcessId> {
        self.owner.as_ref()
    }

    /// Returns the epoch of the newest `Owner` record.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Applies a record and reports whether it matched the state.
    pub fn apply(&mut self, record: &Record) -> bool {
        match record {
            Record::Owner { process, epoch } => {
                self.owner = Some(process.clone());
                self.epoch = *epoch;
                true
            }
            Record::Handover { .. } => true,
            Record::Accepted { .. } => self.accept(record),
            _ => self.apply_to_job(record),
        }
    }

    /// Adds a job that was read from a snapshot.
    pub fn insert(&mut self, job: Job) {
        self.forget(job.id());
        self.add_to_totals(&job);
        self.jobs.insert(job.id(), job);
    }

    /// Sets the owner that was read from a snapshot.
    pub fn set_owner(&mut self, owner: Option<ProcessId>, epoch: Epoch) {
        self.owner = owner;
        self.epoch = epoch;
    }

    /// Removes a job and reports whether it existed.
    pub fn forget(&mut self, job: JobId) -> bool {
        let Some(job) = self.jobs.remove(&job) else { return false };
        self.bytes -= job.approximate_bytes();
        self.done -= usize::from(job.is_done());
        true
    }

    fn add_to_totals(&mut self, job: &Job) {
        self.bytes += job.approximate_bytes();
        self.done += usize::from(job.is_done());
    }

    fn accept(&mut self, record: &Record) -> bool {
        let Some(job) = Job::accepted(record) else { return false };
        if let Entry::Occupied(earlier) = self.jobs.entry(job.id())
            && !earlier.get().may_be_forgotten(job.accepted_at)
        {
            return false;
        }
        self.insert(job);
        true
    }

    fn apply_to_job(&mut self, record: &Record) -> bool {
        let Some(id) = record.job() else { return false };
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let (bytes, done) = (job.approximate_bytes(), job.is_done());
        let matched = job.apply(record);
        self.bytes = self.bytes - bytes + job.approximate_bytes();
        self.done = self.done - usize::from(done) + usize::from(job.is_done());
        matched
    }
}

impl Job {
    /// Returns the job that an `Accepted` record creates.
    pub fn accepted(record: &Record) -> Option<Job> {
        let Record::Accepted { spec, at } = record else { return None };
        Some(Job {
            spec: Arc::clone(spec),
            accepted_at: *at,
            state: JobState::Queued { resume_from: None, attempts: Default::default() },
            failed_on: Vec::new(),
            admission_request: None,
        })
    }

    /// Applies a record to an accepted job and reports whether it matched the
    /// job's state.
    pub fn apply(&mut self, record: &Record) -> bool {
        match record {
            Record::Owner { .. } | Record::Handover { .. } | Record::Accepted { .. } => false,
            Record::Bound { task, place, request } => {
                if !self.bind(*task, place) {
                    return false;
                }
                self.admission_request = *request;
                true
            }
            Record::Checkpointed { task, checkpoint } => self.save_checkpoint(*task, checkpoint),
            Record::Cancelling { .. } => self.mark_cancelling(),
            Record::Evicted { task, checkpoint } => self.requeue(*task, checkpoint.clone()),
            Record::Lost { task, .. } => self.requeue(*task, None),
            Record::Failed { task, .. } => {
                let worker = self.bound_worker().cloned();
                if !self.requeue(*task, None) {
                    return false;
                }
                self.record_failure(worker);
                true
            }
            Record::Done { attempt, outcome, forget_at, .. } => {
                if self.is_done() {
                    return false;
                }
                let (outcome, attempt, forget_at) = (outcome.clone(), *attempt, *forget_at);
                self.state = JobState::Done { outcome, attempt, forget_at };
                self.drop_attempt_data();
                true
            }
        }
    }

    /// Reports whether the job is finished and need not be kept at `now`.
    pub fn may_be_forgotten(&self, now: Timestamp) -> bool {
        matches!(&self.state, JobState::Done { forget_at, .. } if *forget_at <= now)
    }

    /// Returns the worker to which the current attempt is bound, if any.
    pub fn bound_worker(&self) -> Option<&WorkerId> {
        match &self.state {
            JobState::Bound { place: AttemptLocation::Worker { worker, .. }, .. } => Some(worker),
            _ => None,
        }
    }

    fn bind(&mut self, task: TaskId, new_place: &AttemptLocation) -> bool {
        let JobState::Queued { resume_from, attempts } = &mut self.state else { return false };
        if attempts.next() != task.attempt {
            return false;
        }
        self.state = JobState::Bound {
            attempt: task.attempt,
            place: new_place.clone(),
            resume_from: resume_from.take(),
            cancelling: false,
        };
        true
    }

    /// Stores the checkpoint unless it has less progress than the known one,
    /// because reports of a worker may arrive out of order.
    fn save_checkpoint(&mut self, task: TaskId, newer: &Checkpoint) -> bool {
        let JobState::Bound { attempt, resume_from, .. } = &mut self.state else { return false };
        let known = resume_from.as_ref().map_or(0, |it| it.progress_permille);
        if *attempt != task.attempt || newer.progress_permille < known {
            return false;
        }
        *resume_from = Some(newer.clone());
        true
    }

    fn mark_cancelling(&mut self) -> bool {
        let JobState::Bound { cancelling, .. } = &mut self.state else { return false };
        !std::mem::replace(cancelling, true)
    }

    fn requeue(&mut self, task: TaskId, checkpoint: Option<Checkpoint>) -> bool {
        let JobState::Bound { attempt, resume_from, .. } = &mut self.state else { return false };
        if *attempt != task.attempt {
            return false;
        }
        let resume_from = checkpoint.or_else(|| resume_from.take());
        self.state = JobState::Queued { resume_from, attempts: task.attempt };
        true
    }

    fn record_failure(&mut self, worker: Option<WorkerId>) {
        self.failed_on.extend(worker);
    }

    /// Drops data that only another attempt would need.
    fn drop_attempt_data(&mut self) {
        self.failed_on = Vec::new();
        if !self.spec.payload.is_empty() {
            Arc::make_mut(&mut self.spec).payload = Bytes::new();
        }
    }
}
