//! Records that wait to be durable, and what they cause once they are.
//!
//! Decisions are made on the latest state, which includes these records. When
//! the store is away, requests that were never part of an append are refused,
//! and the latest state is computed again without them.

use std::{
    collections::{BTreeSet, VecDeque, btree_map::Entry},
    sync::Arc,
};

use super::{PendingJob, Shard, ShardAction, to_group, waiters::AnswerId};
use crate::{
    id::{GroupId, JobId, ProcessId, RequestId, TaskId},
    job::{Checkpoint, Place},
    ledger::{Job, Record, segment::encode_record},
    message::{ShardResponse, ShardToGroup},
    time::Timestamp,
};

/// What happens once a record is durable.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Answers that a job was accepted.
    Accepted { id: AnswerId, job: JobId, repeated: bool },
    /// Answers that a service request may be sent.
    Admitted { id: AnswerId, task: TaskId },
    /// Answers that an outcome is stored.
    Completed { id: AnswerId },
    /// Answers with the state of a job.
    Status { id: AnswerId, job: JobId },
    /// Starts an attempt.
    Start { task: TaskId },
    /// Sends a message to a group.
    Tell { group: GroupId, body: Box<ShardToGroup> },
}

/// Why a record was pushed, which decides what an outage does to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A request; it is refused if the store is away before it was in flight.
    Request,
    /// A reservation; it is given back if the store is away.
    Bind,
    /// Something that happened; it is kept until the store is back.
    Keep,
}

#[derive(Debug)]
pub(super) struct Queued {
    pub(super) record: Record,
    pub(super) encoded: Arc<[u8]>,
    pub(super) job: Option<JobId>,
    pub(super) effects: Vec<Effect>,
    pub(super) origin: Origin,
}

impl Shard {
    /// Queues a record and applies it to the latest state.
    pub(super) fn push(
        &mut self,
        record: Record,
        effects: Vec<Effect>,
        origin: Origin,
        out: &mut Vec<ShardAction>,
    ) {
        let job = record.job();
        if let Some(id) = job {
            self.apply_latest(id, &record);
        }
        let encoded = encode_record(&record);
        self.log.queue_bytes += encoded.len();
        self.log.queue.push_back(Queued { record, encoded, job, effects, origin });
        if let Some(id) = job {
            self.sync_job(id, out);
        }
    }

    /// Keeps the newest checkpoint of an attempt for the next append.
    pub(super) fn push_checkpoint(&mut self, task: TaskId, checkpoint: Checkpoint) {
        let record = Record::Checkpointed { task, checkpoint: checkpoint.clone() };
        let known = self.log.checkpoints.contains_key(&task);
        let fitted = self.apply_latest(task.job, &record);
        if known || !fitted {
            self.unpend(task.job);
        }
        if fitted {
            self.log.checkpoints.insert(task, checkpoint);
        }
    }

    /// Keeps a checkpoint of an append that had no effect, unless there is a
    /// newer one by now: the newer one would precede it in the next append.
    pub(super) fn keep_checkpoint(&mut self, task: TaskId, checkpoint: Checkpoint) {
        match self.log.checkpoints.entry(task) {
            Entry::Occupied(_) => self.unpend(task.job),
            Entry::Vacant(it) => {
                it.insert(checkpoint);
            }
        }
    }

    fn apply_latest(&mut self, id: JobId, record: &Record) -> bool {
        let pending = self.overlay.remove(&id);
        let records = pending.as_ref().map_or(0, |it| it.records) + 1;
        let latest = pending.map(|it| it.job).or_else(|| self.committed.get(id).cloned());
        let accepted = Job::accepted(record);
        let fitted = accepted.is_some();
        let Some(mut job) = accepted.or(latest) else { return false };
        let fitted = fitted || job.apply(record);
        self.overlay.insert(id, PendingJob { job, records });
        fitted
    }

    /// Counts one record of the job as settled.
    pub(super) fn unpend(&mut self, id: JobId) {
        let Some(pending) = self.overlay.get_mut(&id) else { return };
        pending.records -= 1;
        if pending.records == 0 {
            self.overlay.remove(&id);
        }
    }

    /// Removes queued records that an outage must not keep waiting: new
    /// requests, and reservations that would lapse.
    ///
    /// Only a job's last record can be removed, because later ones were decided
    /// on the state after it. A job whose acceptance is removed goes as a whole.
    pub(super) fn shed(&mut self, out: &mut Vec<ShardAction>) {
        let mut new_jobs = BTreeSet::new();
        let mut keep = BTreeSet::new();
        let mut shed = Vec::new();
        for entry in &self.log.queue {
            if let (Record::Accepted { .. }, Some(job)) = (&entry.record, entry.job) {
                new_jobs.insert(job);
            }
        }
        let mut kept = VecDeque::new();
        while let Some(entry) = self.log.queue.pop_back() {
            let sheds = match entry.job {
                None => false,
                Some(job) if new_jobs.contains(&job) => true,
                Some(job) => entry.origin != Origin::Keep && !keep.contains(&job),
            };
            if sheds {
                self.log.queue_bytes -= entry.encoded.len();
                shed.push(entry);
            } else {
                keep.extend(entry.job);
                kept.push_front(entry);
            }
        }
        self.log.queue = kept;
        let jobs: BTreeSet<JobId> = shed.iter().filter_map(|it| it.job).collect();
        shed.iter().filter_map(|it| it.job).for_each(|job| self.unpend(job));
        self.rebuild(&jobs);
        shed.into_iter().rev().for_each(|entry| self.undo(entry, out));
        jobs.into_iter().for_each(|job| self.sync_job(job, out));
    }

    /// Computes the latest state of jobs again from the records that remain.
    fn rebuild(&mut self, jobs: &BTreeSet<JobId>) {
        for id in jobs {
            if let (Some(pending), Some(job)) = (self.overlay.get_mut(id), self.committed.get(*id))
            {
                pending.job = job.clone();
            }
        }
        let overlay = &mut self.overlay;
        let mut apply = |record: &Record| {
            let Some(id) = record.job().filter(|it| jobs.contains(it)) else { return };
            let Some(pending) = overlay.get_mut(&id) else { return };
            match Job::accepted(record) {
                Some(job) => pending.job = job,
                None => _ = pending.job.apply(record),
            }
        };
        let in_flight = self.log.in_flight.iter().flat_map(|it| &it.entries);
        in_flight.for_each(|entry| apply(&entry.record));
        for (task, checkpoint) in &self.log.checkpoints {
            apply(&Record::Checkpointed { task: *task, checkpoint: checkpoint.clone() });
        }
        self.log.queue.iter().for_each(|entry| apply(&entry.record));
    }

    fn undo(&mut self, entry: Queued, out: &mut Vec<ShardAction>) {
        if let Record::Bound { task, place: Place::Worker { group, .. }, .. } = &entry.record {
            to_group(group, ShardToGroup::Release { task: *task }, out);
        }
        for effect in entry.effects {
            let id = match effect {
                Effect::Accepted { id, .. }
                | Effect::Admitted { id, .. }
                | Effect::Completed { id }
                | Effect::Status { id, .. } => id,
                Effect::Start { .. } | Effect::Tell { .. } => continue,
            };
            if let Some((to, request)) = self.answers.take(id) {
                let refusal = self.store_unavailable();
                self.respond(to, request, ShardResponse::Refused(refusal), out);
            }
        }
    }

    pub(super) fn perform(&mut self, effect: Effect, out: &mut Vec<ShardAction>) {
        let (id, body) = match effect {
            Effect::Start { task } => return self.start(task, out),
            Effect::Tell { group, body } => return to_group(&group, *body, out),
            Effect::Accepted { id, job, repeated } => {
                let Some(status) = self.committed_status(job) else { return };
                (id, ShardResponse::Accepted { status, repeated })
            }
            Effect::Admitted { id, task } => (id, ShardResponse::Admitted { task }),
            Effect::Completed { id } => (id, ShardResponse::Completed),
            Effect::Status { id, job } => {
                let Some(status) = self.committed_status(job) else { return };
                (id, ShardResponse::Status { status })
            }
        };
        if let Some((to, request)) = self.answers.take(id) {
            self.respond(to, request, body, out);
        }
    }

    pub(super) fn answer_deadline(&self, own: Option<Timestamp>) -> Timestamp {
        let limit = self.now.plus_ms(self.cfg.answer_timeout_ms);
        own.map_or(limit, |it| it.min(limit))
    }

    /// Adds an answer to a record of the job that waits to be durable, or sends
    /// it at once if there is none.
    ///
    /// The answer to a repeated submission belongs to the record that accepts
    /// the job: a later one may be dropped during an outage although the job
    /// was accepted.
    pub(super) fn attach(&mut self, job: JobId, effect: Effect, out: &mut Vec<ShardAction>) {
        let wants_acceptance = matches!(effect, Effect::Accepted { .. });
        let in_flight = self.log.in_flight.iter_mut().flat_map(|it| &mut it.entries);
        let entries = in_flight.chain(&mut self.log.queue);
        let fits = |it: &&mut Queued| {
            let accepts = matches!(it.record, Record::Accepted { .. });
            it.job == Some(job) && (accepts || !wants_acceptance)
        };
        match entries.filter(fits).last() {
            Some(entry) => entry.effects.push(effect),
            None => self.perform(effect, out),
        }
    }

    /// Opens an answer for a request.
    pub(super) fn open_answer(
        &mut self,
        to: &ProcessId,
        request: RequestId,
        deadline: Timestamp,
    ) -> AnswerId {
        self.answers.add(to.clone(), request, deadline)
    }
}
