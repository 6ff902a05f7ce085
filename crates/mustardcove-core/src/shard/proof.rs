//! Proof that this process still owns the shard.
//!
//! Ownership is proven by a successful append, or by a read that finds no
//! segment after the last known one. Some messages to groups are correct only
//! with such a proof, because a newer owner may have more recent state. An
//! owner without anything to append would otherwise never learn that it was
//! replaced, so it reads the log from time to time.

use super::{Shard, ShardAction, send_to_group};
use crate::{
    id::{GroupId, TaskId, WorkerId},
    ledger::{Segment, log_key, log_prefix, segment::parse_log_key},
    message::ShardToGroup,
    store::{StoreOp, StoreReply, StoreResult},
    time::Timestamp,
    worker::StopMode,
};

/// Longest time that a deferred message waits for an append, in milliseconds;
/// then an empty segment is appended.
const PROOF_INTERVAL_MS: u64 = 5000;

/// A message to a group that is correct only if this process owns the shard,
/// because a newer owner may have more recent state.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum DeferredMessage {
    /// Acknowledges the end of an attempt of an unknown job, which needs no
    /// record.
    Acknowledge { group: GroupId, task: TaskId },
    /// Stops an attempt of an unknown job.
    Stop { group: GroupId, task: TaskId, worker: WorkerId },
    /// Lists the attempts that are bound in a group.
    Reconcile { group: GroupId },
}

impl Shard {
    /// Defers a message until the next append proves that this process still
    /// owned the shard when the message was decided on.
    pub(super) fn send_when_proven(&mut self, message: DeferredMessage) {
        self.defer_until_proof(message, PROOF_INTERVAL_MS);
    }

    /// Sends a group the attempts that are bound in it, once an append proves
    /// that this process still owned the shard when the group asked.
    ///
    /// A stale owner could list an attempt that its successor has already
    /// replaced by another one.
    pub(super) fn reconcile_when_proven(&mut self, group: GroupId) {
        self.defer_until_proof(DeferredMessage::Reconcile { group }, 0);
    }

    /// Makes an append due now, even an empty one; it conflicts if another
    /// process owns the shard.
    pub(super) fn check_ownership(&mut self) {
        self.log.proof_due = self.log.proof_due.min(self.now);
    }

    pub(super) fn defer_until_proof(&mut self, message: DeferredMessage, within_ms: u64) {
        let due = self.now.plus_ms(within_ms);
        self.log.proof_due = self.log.proof_due.min(due);
        if !self.log.deferred.contains(&message) {
            self.log.deferred.push(message);
        }
    }

    /// Returns when an owner that appends nothing checks whether it still owns
    /// the shard.
    pub(super) fn idle_check_at(&self) -> Timestamp {
        self.log.verified_at.plus_ms(self.cfg.ownership_check_interval_ms)
    }

    /// Reads the segments after the tail; there are none unless another process
    /// owns the shard.
    pub(super) fn probe(&mut self, out: &mut Vec<ShardAction>) {
        if self.log.probe.is_none() {
            let (prefix, start_after) = (log_prefix(self.id), log_key(self.id, self.log.tail));
            self.log.probe_sent = self.now;
            let op = StoreOp::List { prefix, start_after, limit: 1 };
            self.log.probe = Some(self.store_call(op, out));
        }
    }

    pub(super) fn send_deferred(&mut self, message: DeferredMessage, out: &mut Vec<ShardAction>) {
        match message {
            DeferredMessage::Acknowledge { group, task } if self.latest(task.job).is_none() => {
                send_to_group(&group, ShardToGroup::Acknowledge { task }, out);
            }
            DeferredMessage::Stop { group, task, worker } if self.latest(task.job).is_none() => {
                let mode = StopMode::Kill;
                send_to_group(&group, ShardToGroup::Stop { task, worker, mode }, out);
            }
            DeferredMessage::Acknowledge { .. } | DeferredMessage::Stop { .. } => {}
            DeferredMessage::Reconcile { group } => self.reconcile(&group, out),
        }
    }

    pub(super) fn on_probe_reply(&mut self, result: StoreResult, out: &mut Vec<ShardAction>) {
        self.log.probe = None;
        let entries = match result {
            Ok(StoreReply::Listed { entries, .. }) => entries,
            Ok(_) => return self.on_probe_failed("the store's answer does not match the call"),
            Err(err) => return self.on_probe_failed(&err.to_string()),
        };
        self.log.down_since = None;
        self.log.failures = 0;
        self.log.check_at = self.now.plus_ms(self.cfg.ownership_check_interval_ms);
        let Some(entry) = entries.first() else {
            self.log.verified_at = self.log.verified_at.max(self.log.probe_sent);
            return;
        };
        let header = Segment::decode_header(&entry.value).ok();
        let is_ours = header
            .as_ref()
            .is_some_and(|it| it.process == self.process && it.epoch == self.committed.epoch());
        // The segment may be an append that was sent after the read. Any other
        // one, even a segment of this process that the store reported as not
        // written, means that the state here differs from the log.
        let is_known = parse_log_key(self.id, &entry.key).is_some_and(|it| it <= self.log.tail);
        if !is_ours || !(is_known || self.log.in_flight.is_some()) {
            self.log.last_error = "the log goes on after the last segment known here".to_owned();
            self.fence(header.map(|it| it.process), out);
        }
    }

    fn on_probe_failed(&mut self, error: &str) {
        self.log.last_error = error.to_owned();
        self.delay_retry();
        self.log.check_at = self.log.retry_at;
    }
}
