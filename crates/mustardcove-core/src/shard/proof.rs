//! Proof that this process still owns the shard.
//!
//! A successful append proves it, and so does a read that finds nothing after
//! the last segment. Some answers are right only with such a proof, because a
//! newer owner may know better; and an owner that has nothing to append would
//! otherwise never learn that it was replaced.

use super::{Shard, ShardAction, to_group};
use crate::{
    id::{GroupId, TaskId, WorkerId},
    ledger::{Segment, log_key, log_prefix, segment::parse_log_key},
    message::ShardToGroup,
    store::{StoreOp, StoreReply, StoreResult},
    time::Timestamp,
    worker::StopMode,
};

/// Longest time that an answer which needs a proof of ownership waits for an
/// append, in milliseconds; then an empty segment is appended.
const PROOF_INTERVAL_MS: u64 = 5000;

/// Something that is right only if this process owns the shard, because a
/// newer owner may know better.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Unproven {
    /// The end of an attempt of a job that is not known here needs no record.
    Acknowledge { group: GroupId, task: TaskId },
    /// An attempt of a job that is not known here is to be stopped.
    Stop { group: GroupId, task: TaskId, worker: WorkerId },
    /// The list of the attempts that are bound in a group.
    Reconcile { group: GroupId },
}

impl Shard {
    /// Holds something back until the next append proves that this process
    /// still owned the shard when it was decided.
    pub(super) fn when_proven(&mut self, what: Unproven) {
        self.need_proof(what, PROOF_INTERVAL_MS);
    }

    /// Tells a group what is bound in it as soon as an append proves that this
    /// process still owned the shard when the group asked.
    ///
    /// A stale owner would list an attempt that its successor has already
    /// replaced by another.
    pub(super) fn reconcile_when_proven(&mut self, group: GroupId) {
        self.need_proof(Unproven::Reconcile { group }, 0);
    }

    /// Appends an empty segment, which conflicts if another process owns the
    /// shard.
    pub(super) fn check_ownership(&mut self) {
        self.log.proof_due = self.log.proof_due.min(self.now);
    }

    pub(super) fn need_proof(&mut self, what: Unproven, within_ms: u64) {
        let due = self.now.plus_ms(within_ms);
        self.log.proof_due = self.log.proof_due.min(due);
        if !self.log.needs_proof.contains(&what) {
            self.log.needs_proof.push(what);
        }
    }

    /// Returns when an owner that appends nothing reads whether it still owns
    /// the shard.
    pub(super) fn idle_check_at(&self) -> Timestamp {
        self.log.verified_at.plus_ms(self.cfg.check_interval_ms)
    }

    /// Reads what follows the tail: nothing, unless another process owns the
    /// shard.
    pub(super) fn probe(&mut self, out: &mut Vec<ShardAction>) {
        if self.log.probe.is_none() {
            let (prefix, start_after) = (log_prefix(self.id), log_key(self.id, self.log.tail));
            self.log.probe_sent = self.now;
            let op = StoreOp::List { prefix, start_after, limit: 1 };
            self.log.probe = Some(self.store_call(op, out));
        }
    }

    pub(super) fn proven(&mut self, what: Unproven, out: &mut Vec<ShardAction>) {
        match what {
            Unproven::Acknowledge { group, task } if self.latest(task.job).is_none() => {
                to_group(&group, ShardToGroup::Acknowledge { task }, out);
            }
            Unproven::Stop { group, task, worker } if self.latest(task.job).is_none() => {
                let mode = StopMode::Kill;
                to_group(&group, ShardToGroup::Stop { task, worker, mode }, out);
            }
            Unproven::Acknowledge { .. } | Unproven::Stop { .. } => {}
            Unproven::Reconcile { group } => self.reconcile(&group, out),
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
        self.log.check_at = self.now.plus_ms(self.cfg.check_interval_ms);
        let Some(entry) = entries.first() else {
            self.log.verified_at = self.log.verified_at.max(self.log.probe_sent);
            return;
        };
        let header = Segment::decode_header(&entry.value).ok();
        let is_ours = header
            .as_ref()
            .is_some_and(|it| it.process == self.process && it.epoch == self.committed.epoch());
        // An append may have been sent after the read. Any other segment, even
        // one of this process that a store reported as not written, means that
        // the state here is not that of the log.
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
