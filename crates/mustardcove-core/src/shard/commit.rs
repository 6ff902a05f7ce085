//! Records that are not durable yet, and their effects once they are.
//!
//! Decisions are based on the latest state, which includes these records.
//! During a store outage, requests that were never part of an append are
//! refused, and the latest state is recomputed without their records.

use std::{
    collections::{BTreeSet, VecDeque, btree_map::Entry},
    sync::Arc,
};

use super::{PendingJob, Shard, ShardAction, send_to_group, waiters::AnswerId};
use crate::{
    id::{GroupId, JobId, ProcessId, RequestId, TaskId},
    job::{AttemptLocation, Checkpoint},
    ledger::{Job, Record, segment::encode_record},
    message::{ShardResponse, ShardToGroup},
    time::Timestamp,
};

/// An effect that is performed once a record is durable.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Answers a submission: the job was accepted.
    Accepted { id: AnswerId, job: JobId, repeated: bool },
    /// Answers an admission: the service request may be sent.
    Admitted { id: AnswerId, task: TaskId },
    /// Answers a completion: the outcome is stored.
    Completed { id: AnswerId },
    /// Answers with the state of a job.
    Status { id: AnswerId, job: JobId },
    /// Starts an attempt.
    Start { task: TaskId },
    /// Sends a message to the owner of a group.
    SendToGroup { group: GroupId, body: Box<ShardToGroup> },
}

/// Why a record was pushed; determines how a store outage affects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A request; refused if an outage begins before the record is in flight.
    Request,
    /// A reservation; released if an outage begins before the record is in
    /// flight.
    Reservation,
    /// An event that cannot be undone; kept until the store answers again.
    Keep,
}

#[derive(Debug)]
pub(super) struct QueuedRecord {
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
        self.log.queue.push_back(QueuedRecord { record, encoded, job, effects, origin });
        if let Some(id) = job {
            self.sync_job(id, out);
        }
    }

    /// Stores the newest checkpoint of an attempt for the next append.
    pub(super) fn push_checkpoint(&mut self, task: TaskId, checkpoint: Checkpoint) {
        let record = Record::Checkpointed { task, checkpoint: checkpoint.clone() };
        let known = self.log.checkpoints.contains_key(&task);
        let fitted = self.apply_latest(task.job, &record);
        if known || !fitted {
            self.settle_record(task.job);
        }
        if fitted {
            self.log.checkpoints.insert(task, checkpoint);
        }
    }

    /// Keeps the checkpoint of a failed append for the next one, unless a newer
    /// checkpoint is already waiting: the next append would write the newer one
    /// first and this one after it.
    pub(super) fn requeue_checkpoint(&mut self, task: TaskId, checkpoint: Checkpoint) {
        match self.log.checkpoints.entry(task) {
            Entry::Occupied(_) => self.settle_record(task.job),
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

    /// Removes one record from the count of the job's records that are not
    /// durable, and the job from the overlay with the last of them.
    pub(super) fn settle_record(&mut self, id: JobId) {
        let Some(pending) = self.overlay.get_mut(&id) else { return };
        pending.records -= 1;
        if pending.records == 0 {
            self.overlay.remove(&id);
        }
    }

    /// Removes the queued records that must not wait for the end of an outage:
    /// new requests, and reservations that would expire.
    ///
    /// Only the last records of a job can be removed, because every record was
    /// decided on the state that the ones before it produce. If the acceptance
    /// of a job is queued, all records of the job are removed.
    pub(super) fn shed(&mut self, out: &mut Vec<ShardAction>) {
        let mut new_jobs = BTreeSet::new();
        let mut jobs_kept = BTreeSet::new();
        let mut shed = Vec::new();
        for entry in &self.log.queue {
            if let (Record::Accepted { .. }, Some(job)) = (&entry.record, entry.job) {
                new_jobs.insert(job);
            }
        }
        let mut kept = VecDeque::new();
        while let Some(entry) = self.log.queue.pop_back() {
            let is_shed = match entry.job {
                None => false,
                Some(job) if new_jobs.contains(&job) => true,
                Some(job) => entry.origin != Origin::Keep && !jobs_kept.contains(&job),
            };
            if is_shed {
                self.log.queue_bytes -= entry.encoded.len();
                shed.push(entry);
            } else {
                jobs_kept.extend(entry.job);
                kept.push_front(entry);
            }
        }
        self.log.queue = kept;
        let jobs: BTreeSet<JobId> = shed.iter().filter_map(|it| it.job).collect();
        shed.iter().filter_map(|it| it.job).for_each(|job| self.settle_record(job));
        self.rebuild(&jobs);
        shed.into_iter().rev().for_each(|entry| self.undo(entry, out));
        jobs.into_iter().for_each(|job| self.sync_job(job, out));
    }

    /// Recomputes the latest state of jobs from the records that remain.
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

    fn undo(&mut self, entry: QueuedRecord, out: &mut Vec<ShardAction>) {
        if let Record::Bound { task, place: AttemptLocation::Worker { group, .. }, .. } =
            &entry.record
        {
            send_to_group(group, ShardToGroup::Release { task: *task }, out);
        }
        for effect in entry.effects {
            let id = match effect {
                Effect::Accepted { id, .. }
                | Effect::Admitted { id, .. }
                | Effect::Completed { id }
                | Effect::Status { id, .. } => id,
                Effect::Start { .. } | Effect::SendToGroup { .. } => continue,
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
            Effect::SendToGroup { group, body } => return send_to_group(&group, *body, out),
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

    /// Attaches an effect to the last record of the job that is not durable yet,
    /// or performs it at once if there is none.
    ///
    /// The answer to a repeated submission is attached to the record that
    /// accepts the job: a later record may be dropped during an outage although
    /// the job was accepted.
    pub(super) fn attach(&mut self, job: JobId, effect: Effect, out: &mut Vec<ShardAction>) {
        let wants_acceptance = matches!(effect, Effect::Accepted { .. });
        let in_flight = self.log.in_flight.iter_mut().flat_map(|it| &mut it.entries);
        let entries = in_flight.chain(&mut self.log.queue);
        let fits = |it: &&mut QueuedRecord| {
            let accepts = matches!(it.record, Record::Accepted { .. });
            it.job == Some(job) && (accepts || !wants_acceptance)
        };
        match entries.filter(fits).last() {
            Some(entry) => entry.effects.push(effect),
            None => self.perform(effect, out),
        }
    }

    /// Registers a request that is answered once a record is durable.
    pub(super) fn open_answer(
        &mut self,
        to: &ProcessId,
        request: RequestId,
        deadline: Timestamp,
    ) -> AnswerId {
        self.answers.add(to.clone(), request, deadline)
    }
}
