//! Appends: group commit, fencing, lost answers and store outages.
//!
//! At most one append is in flight. Its records stay with it until the outcome
//! is certain: a successful answer, or the key read back with the same token.
//! A conflict, or another token, means that another process owns the shard.
//!
//! A writer may be cut off for so long that its successor has already deleted
//! the segment at the writer's position; its late append would then succeed.
//! A successful append long after the last proof of ownership is therefore
//! verified: no segment may follow it in the log. Deletions are delayed many
//! times longer than that, so the check depends only on the rates of the two
//! clocks, not on their readings.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;

use super::{
    Phase, Shard, ShardAction,
    commit::{Origin, QueuedRecord},
    proof::DeferredMessage,
};
use crate::{
    id::{CallId, JobId, ProcessId, SegmentNumber, TaskId},
    job::Checkpoint,
    ledger::{
        Record, Segment, log_key, log_prefix,
        segment::{MAX_SEGMENT_BYTES, SegmentHeader, encode_record},
    },
    store::{Entry, Expect, StoreError, StoreOp, StoreReply, StoreResult},
    time::{Timestamp, earliest},
    verdict::{Refusal, RefusalReason, Verdict},
};

/// Shortest time after which callers are told to retry, in milliseconds.
const MIN_RETRY_MS: u64 = 1000;

/// Queued bytes from which new requests are refused as overload.
pub(super) const MAX_QUEUE_BYTES: usize = 4 * MAX_SEGMENT_BYTES;

/// The store call that an append makes next or waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendStep {
    /// Create the segment.
    Write,
    /// Read the segment, because the outcome of the write is unknown.
    ReadBack,
    /// Read whether segments follow the one that was written.
    Verify,
}

/// An append whose outcome is not certain yet.
#[derive(Debug)]
pub(super) struct InFlight {
    seq: SegmentNumber,
    header: SegmentHeader,
    value: Bytes,
    pub(super) entries: Vec<QueuedRecord>,
    /// Messages deferred before the append was sent; sent once it is durable.
    deferred: Vec<DeferredMessage>,
    step: AppendStep,
    call: Option<CallId>,
    first_sent: Timestamp,
    sent_at: Timestamp,
    next_at: Timestamp,
    /// Whether a write may have taken effect without an answer.
    pub(super) outcome_unknown: bool,
}

#[derive(Debug)]
pub(super) struct Log {
    pub(super) tail: SegmentNumber,
    pub(super) queue: VecDeque<QueuedRecord>,
    pub(super) queue_bytes: usize,
    pub(super) in_flight: Option<InFlight>,
    /// The newest checkpoint of each attempt that waits for an append.
    pub(super) checkpoints: BTreeMap<TaskId, Checkpoint>,
    last_sent: Option<Timestamp>,
    /// The latest time at which the tail is known to have been the last segment
    /// of the log.
    pub(super) verified_at: Timestamp,
    pub(super) down_since: Option<Timestamp>,
    pub(super) retry_at: Timestamp,
    pub(super) failures: u32,
    /// An open read of the segments after the tail, made when the log is idle
    /// or during a store outage.
    pub(super) probe: Option<CallId>,
    pub(super) probe_sent: Timestamp,
    pub(super) check_at: Timestamp,
    pub(super) deferred: Vec<DeferredMessage>,
    pub(super) proof_due: Timestamp,
    /// Until when the next append waits for the reservation of an urgent job, so
    /// that its acceptance and its binding share a segment.
    append_delayed_until: Timestamp,
    pub(super) appends: u64,
    pub(super) last_error: String,
}

impl Log {
    pub(super) fn new(now: Timestamp) -> Log {
        Log {
            tail: SegmentNumber(0),
            queue: VecDeque::new(),
            queue_bytes: 0,
            in_flight: None,
            checkpoints: BTreeMap::new(),
            last_sent: None,
            verified_at: now,
            down_since: None,
            retry_at: now,
            failures: 0,
            probe: None,
            probe_sent: now,
            check_at: now,
            deferred: Vec::new(),
            proof_due: Timestamp::MAX,
            append_delayed_until: now,
            appends: 0,
            last_error: String::new(),
        }
    }

    pub(super) fn is_waiting_for(&self, call: CallId) -> bool {
        self.in_flight.as_ref().is_some_and(|it| it.call == Some(call))
    }

    /// Reports whether no append is in flight and nothing waits for one.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.queue.is_empty() && self.checkpoints.is_empty()
    }

    fn has_work(&self, now: Timestamp) -> bool {
        !self.queue.is_empty() || !self.checkpoints.is_empty() || self.proof_due <= now
    }

    fn next_append_at(&self, interval: u64) -> Timestamp {
        self.last_sent.map_or(Timestamp(0), |it| it.plus_ms(interval))
    }
}

impl Shard {
    pub(super) fn is_store_down(&self) -> bool {
        self.log.down_since.is_some()
    }

    /// Returns when callers may retry, with jitter so that they do not all retry
    /// at the same time.
    pub(super) fn retry_at(&mut self) -> Timestamp {
        let spread = self.jitter(MIN_RETRY_MS);
        self.log.retry_at.max(self.now.plus_ms(MIN_RETRY_MS)).plus_ms(spread)
    }

    pub(super) fn store_unavailable(&mut self) -> Refusal {
        let detail = "the store cannot be reached, so nothing can be made durable";
        Refusal::not_run(RefusalReason::StoreUnavailable, detail).with_retry_at(self.retry_at())
    }

    pub(super) fn log_deadline(&self) -> Option<Timestamp> {
        if let Some(it) = &self.log.in_flight {
            let slow = it.sent_at.plus_ms(self.cfg.store_slow_ms);
            let slow = (!self.is_store_down()).then_some(slow);
            return if it.call.is_some() { slow } else { earliest(Some(it.next_at), slow) };
        }
        if self.is_store_down() {
            return self.log.probe.is_none().then_some(self.log.retry_at);
        }
        let check = (self.phase == Phase::Ready && self.log.probe.is_none())
            .then_some(self.log.check_at.max(self.idle_check_at()));
        let due = self.log.next_append_at(self.cfg.commit_interval_ms);
        let has_records = !self.log.queue.is_empty() || !self.log.checkpoints.is_empty();
        let wanted = if has_records { Timestamp(0) } else { self.log.proof_due };
        let append =
            (wanted < Timestamp::MAX).then_some(due.max(wanted).max(self.log.append_delayed_until));
        earliest(append, check)
    }

    pub(super) fn run_log(&mut self, out: &mut Vec<ShardAction>) {
        if self.phase == Phase::Dropped {
            return;
        }
        if let Some(it) = &self.log.in_flight {
            let late = it.sent_at.plus_ms(self.cfg.store_slow_ms) <= self.now;
            let step_due = it.call.is_none() && it.next_at <= self.now;
            if late && !self.is_store_down() {
                self.log.last_error = "no answer from the store in time".to_owned();
                self.enter_outage(out);
            }
            if step_due {
                self.send_step(out);
            }
            return;
        }
        if self.is_store_down() {
            if self.log.retry_at <= self.now {
                self.probe(out);
            }
            return;
        }
        if self.phase == Phase::Ready && self.log.check_at.max(self.idle_check_at()) <= self.now {
            self.probe(out);
        }
        let next_append_at =
            self.log.next_append_at(self.cfg.commit_interval_ms).max(self.log.append_delayed_until);
        let due = next_append_at <= self.now;
        if due && self.log.has_work(self.now) && self.phase != Phase::Recovering {
            self.append(out);
        }
    }

    /// Delays the next append by `urgent_append_delay_ms` if the acceptance of an
    /// urgent job is queued, so that its binding may join the same segment.
    pub(super) fn delay_append_for_placement(&mut self, job: JobId) {
        let is_queued = self
            .log
            .queue
            .iter()
            .any(|it| it.job == Some(job) && matches!(it.record, Record::Accepted { .. }));
        if is_queued && self.log.append_delayed_until <= self.now {
            self.log.append_delayed_until = self.now.plus_ms(self.cfg.urgent_append_delay_ms);
        }
    }

    /// Ends the delay of the next append, because a group has answered.
    pub(super) fn end_append_delay(&mut self) {
        self.log.append_delayed_until = self.now;
    }

    /// Appends the `Owner` record, which makes this process the owner.
    pub(super) fn claim(&mut self, out: &mut Vec<ShardAction>) {
        let record =
            Record::Owner { process: self.process.clone(), epoch: self.committed.epoch().next() };
        self.push(record, Vec::new(), Origin::Keep, out);
        self.append(out);
    }

    fn append(&mut self, out: &mut Vec<ShardAction>) {
        let entries = self.take_batch();
        let owner_epoch = self.committed.epoch();
        let epoch = entries.iter().find_map(|it| match &it.record {
            Record::Owner { epoch, .. } => Some(*epoch),
            _ => None,
        });
        let header = SegmentHeader {
            process: self.process.clone(),
            epoch: epoch.unwrap_or(owner_epoch),
            token: self.new_token(),
        };
        let value = Segment::assemble(&header, entries.iter().map(|it| it.encoded.as_ref()));
        self.log.proof_due = Timestamp::MAX;
        self.log.append_delayed_until = self.now;
        self.log.in_flight = Some(InFlight {
            seq: self.log.tail.next(),
            header,
            value,
            entries,
            deferred: std::mem::take(&mut self.log.deferred),
            step: AppendStep::Write,
            call: None,
            first_sent: self.now,
            sent_at: self.now,
            next_at: self.now,
            outcome_unknown: false,
        });
        self.send_step(out);
    }

    /// Takes the waiting checkpoints and as many queued records as fit into one
    /// segment.
    fn take_batch(&mut self) -> Vec<QueuedRecord> {
        let mut entries = Vec::new();
        for (task, checkpoint) in std::mem::take(&mut self.log.checkpoints) {
            let record = Record::Checkpointed { task, checkpoint };
            let encoded = encode_record(&record);
            let (job, origin) = (Some(task.job), Origin::Keep);
            entries.push(QueuedRecord { record, encoded, job, effects: Vec::new(), origin });
        }
        let mut bytes: usize = entries.iter().map(|it| it.encoded.len()).sum();
        while let Some(next) = self.log.queue.front() {
            bytes += next.encoded.len();
            if MAX_SEGMENT_BYTES < bytes && !entries.is_empty() {
                break;
            }
            let next = self.log.queue.pop_front().expect("the queue has a front");
            self.log.queue_bytes -= next.encoded.len();
            entries.push(next);
        }
        entries
    }

    fn send_step(&mut self, out: &mut Vec<ShardAction>) {
        let Some(mut it) = self.log.in_flight.take() else { return };
        let key = log_key(self.id, it.seq);
        let op = match it.step {
            AppendStep::Write => {
                self.log.last_sent = Some(self.now);
                self.log.appends += 1;
                let value = it.value.clone();
                StoreOp::Put { key, value, expect: Expect::Absent, lease: None }
            }
            AppendStep::ReadBack => StoreOp::Get { key },
            AppendStep::Verify => {
                StoreOp::List { prefix: log_prefix(self.id), start_after: key, limit: 1 }
            }
        };
        it.sent_at = self.now;
        it.call = Some(self.store_call(op, out));
        self.log.in_flight = Some(it);
    }

    pub(super) fn on_log_reply(&mut self, result: StoreResult, out: &mut Vec<ShardAction>) {
        let Some(it) = self.log.in_flight.as_mut() else { return };
        it.call = None;
        let (step, seq, sent_at) = (it.step, it.seq, it.sent_at);
        match (step, result) {
            (AppendStep::Write, Ok(StoreReply::Written { .. })) => self.on_written(out),
            (AppendStep::Write, Err(StoreError::Conflict { current: Some(entry) }))
            | (AppendStep::ReadBack, Ok(StoreReply::Got { entry: Some(entry), .. })) => {
                self.on_existing_segment(&entry, out);
            }
            (AppendStep::Write, Err(StoreError::Conflict { current: None })) => {
                self.next_step(AppendStep::ReadBack, 0);
            }
            (AppendStep::ReadBack, Ok(StoreReply::Got { entry: None, .. })) => {
                self.next_step(AppendStep::Write, 0);
            }
            (AppendStep::Verify, Ok(StoreReply::Listed { entries, .. })) => match entries.first() {
                Some(later) => {
                    self.log.last_error = format!("segment {} was followed by others", seq);
                    self.lose_ownership(later, out);
                }
                None => self.on_durable(sent_at, out),
            },
            (AppendStep::Write, Err(StoreError::Unavailable { verdict: Verdict::NotRun })) => {
                self.on_not_written("store unavailable", out);
            }
            (AppendStep::Write, Err(StoreError::TooLarge)) => {
                self.on_not_written("segment exceeds the store's limit", out);
            }
            (AppendStep::Write, other) => self.on_unknown(AppendStep::ReadBack, other, out),
            (step, other) => self.on_unknown(step, other, out),
        }
    }

    fn next_step(&mut self, step: AppendStep, delay: u64) {
        let Some(it) = self.log.in_flight.as_mut() else { return };
        it.step = step;
        it.next_at = self.now.plus_ms(delay);
    }

    fn on_unknown(&mut self, next: AppendStep, result: StoreResult, out: &mut Vec<ShardAction>) {
        self.log.last_error = match result {
            Err(err) => err.to_string(),
            Ok(_) => "the store's answer does not match the call".to_owned(),
        };
        if let Some(it) = self.log.in_flight.as_mut() {
            it.outcome_unknown = true;
        }
        self.enter_outage(out);
        let delay = self.log.retry_at.ms_since(self.now);
        self.next_step(next, delay);
    }

    /// Handles a write that certainly had no effect. Its records are queued
    /// again, unless an earlier write of the same segment may have taken effect.
    fn on_not_written(&mut self, error: &str, out: &mut Vec<ShardAction>) {
        self.log.last_error = error.to_owned();
        let outcome_unknown = self.log.in_flight.as_ref().is_some_and(|it| it.outcome_unknown);
        if outcome_unknown || self.phase == Phase::Recovering {
            self.enter_outage(out);
            let delay = self.log.retry_at.ms_since(self.now);
            self.next_step(AppendStep::ReadBack, delay);
            return;
        }
        if let Some(it) = self.log.in_flight.take() {
            it.deferred.into_iter().for_each(|message| self.defer_until_proof(message, 0));
            for entry in it.entries.into_iter().rev() {
                if let Record::Checkpointed { task, checkpoint } = entry.record {
                    self.requeue_checkpoint(task, checkpoint);
                    continue;
                }
                self.log.queue_bytes += entry.encoded.len();
                self.log.queue.push_front(entry);
            }
        }
        self.enter_outage(out);
    }

    /// Handles a segment that already exists at the position of the append.
    fn on_existing_segment(&mut self, entry: &Entry, out: &mut Vec<ShardAction>) {
        let ours = self.log.in_flight.as_ref().map(|it| &it.header);
        let found = Segment::decode_header(&entry.value);
        if found.is_ok() && found.as_ref().ok() == ours {
            self.on_written(out);
        } else {
            self.log.last_error = "another process wrote the next segment".to_owned();
            self.lose_ownership(entry, out);
        }
    }

    fn on_written(&mut self, out: &mut Vec<ShardAction>) {
        let Some(it) = &self.log.in_flight else { return };
        let first_sent = it.first_sent;
        if self.cfg.verify_after_ms < self.now.ms_since(self.log.verified_at) {
            self.next_step(AppendStep::Verify, 0);
        } else {
            self.on_durable(first_sent, out);
        }
    }

    fn on_durable(&mut self, verified_at: Timestamp, out: &mut Vec<ShardAction>) {
        let Some(it) = self.log.in_flight.take() else { return };
        self.log.tail = it.seq;
        self.log.verified_at = verified_at;
        self.log.down_since = None;
        self.log.failures = 0;
        self.upkeep.count_segment(it.value.len());
        let mut jobs = BTreeSet::new();
        for entry in &it.entries {
            self.committed.apply(&entry.record);
            if let Some(job) = entry.job {
                self.settle_record(job);
                jobs.insert(job);
            }
        }
        let handed_to = it.entries.iter().find_map(|entry| match &entry.record {
            Record::Handover { to } => Some(to.clone()),
            _ => None,
        });
        for effect in it.entries.into_iter().flat_map(|entry| entry.effects) {
            self.perform(effect, out);
        }
        if self.phase != Phase::Recovering {
            it.deferred.into_iter().for_each(|message| self.send_deferred(message, out));
        }
        jobs.into_iter().for_each(|job| self.after_commit(job, out));
        if let Some(to) = handed_to {
            self.drop_shard(Some(to.clone()), out);
            out.push(ShardAction::HandedOver { to });
        } else if self.phase == Phase::Recovering {
            self.become_ready(out);
        }
    }

    /// Handles a segment of another process at the position of the append, or
    /// after it: the append does not count. Recovery reads on; a serving owner
    /// is fenced.
    fn lose_ownership(&mut self, entry: &Entry, out: &mut Vec<ShardAction>) {
        if self.phase == Phase::Recovering {
            self.log.in_flight = None;
            self.reread_log();
            return;
        }
        let owner = Segment::decode_header(&entry.value).ok().map(|it| it.process);
        self.fence(owner, out);
    }

    pub(super) fn fence(&mut self, owner: Option<ProcessId>, out: &mut Vec<ShardAction>) {
        // Requested reservations are left to expire: the new owner uses the same
        // attempt numbers, so a release could take away its reservation.
        self.drop_shard(owner, out);
        out.push(ShardAction::Fenced);
    }

    pub(super) fn delay_retry(&mut self) {
        let (first, most) = (self.cfg.store_retry_ms, self.cfg.store_retry_max_ms);
        let delay = self.backoff(first, most, self.log.failures);
        self.log.failures = self.log.failures.saturating_add(1);
        self.log.retry_at = self.now.plus_ms(delay);
    }

    /// Begins a store outage, or extends it: refuses requests that were never in
    /// flight, and accepts none until the store answers again.
    fn enter_outage(&mut self, out: &mut Vec<ShardAction>) {
        self.delay_retry();
        if self.log.down_since.is_none() {
            self.log.down_since = Some(self.now);
        }
        if matches!(self.phase, Phase::Ready | Phase::HandingOver) {
            self.shed(out);
            self.release_reservations(out);
        }
    }
}
