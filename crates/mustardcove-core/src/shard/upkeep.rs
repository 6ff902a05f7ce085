//! Snapshots, and the deletion of the segments and snapshots that they replace.
//!
//! One call is made at a time. While no append is due, one key is deleted per
//! `delete_interval_ms`, one second by default: deleting as fast as a busy
//! shard appends would double its writes. A segment is kept for
//! `delete_after_ms` after a snapshot includes it; see the verification of late
//! appends in `log`.

use std::collections::VecDeque;

use bytes::Bytes;

use super::{Shard, ShardAction};
use crate::{
    id::{CallId, SegmentNumber, ShardId},
    ledger::{
        SnapshotPart, log_key, log_prefix,
        segment::parse_log_key,
        snapshot::{parse_snapshot_key, snapshot_key},
    },
    store::{Expect, StoreError, StoreOp, StoreReply, StoreResult},
    time::{Timestamp, earliest},
};

/// Number of old segments beyond which deletions no longer wait for an idle
/// log.
const MAX_DELETION_BACKLOG: u64 = 2048;

/// The kind of the store call in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallKind {
    WritePart,
    DeleteSnapshot,
    FindOldest,
    DeleteSegment,
}

/// A snapshot of which some parts are not written yet.
#[derive(Debug)]
struct SnapshotWrite {
    seq: SegmentNumber,
    parts: Vec<Bytes>,
    next: usize,
}

#[derive(Debug)]
pub(super) struct Upkeep {
    pub(super) snapshot: SegmentNumber,
    pub(super) segments: u64,
    pub(super) bytes: usize,
    taken_at: Timestamp,
    writing: Option<SnapshotWrite>,
    /// Keys of the newest snapshot, to be deleted once the next one is complete.
    current_keys: Vec<String>,
    old_snapshots: VecDeque<String>,
    /// Segments before this number may be deleted from this time on.
    deletions: VecDeque<(SegmentNumber, Timestamp)>,
    /// The oldest segment in the store, if known.
    oldest: Option<SegmentNumber>,
    pub(super) call: Option<CallId>,
    call_kind: CallKind,
    next_at: Timestamp,
    failures: u32,
}

impl Upkeep {
    pub(super) fn new(now: Timestamp) -> Upkeep {
        Upkeep {
            snapshot: SegmentNumber(0),
            segments: 0,
            bytes: 0,
            taken_at: Timestamp(0),
            writing: None,
            current_keys: Vec::new(),
            old_snapshots: VecDeque::new(),
            deletions: VecDeque::new(),
            oldest: None,
            call: None,
            call_kind: CallKind::WritePart,
            next_at: now,
            failures: 0,
        }
    }

    pub(super) fn count_segment(&mut self, bytes: usize) {
        self.segments += 1;
        self.bytes += bytes;
    }

    /// Records which snapshot was read, and which keys belong to older ones.
    ///
    /// Parts of a newer, incomplete snapshot are kept until this owner has
    /// written one: the predecessor may still complete that snapshot and delete
    /// the older one.
    pub(super) fn set_recovered_snapshot(
        &mut self,
        shard: ShardId,
        seq: SegmentNumber,
        keys: Vec<String>,
    ) {
        (self.segments, self.bytes) = (0, 0);
        self.snapshot = seq;
        let is_old = |key: &String| parse_snapshot_key(shard, key).is_some_and(|(it, _)| it < seq);
        let (old, current): (Vec<_>, Vec<_>) = keys.into_iter().partition(is_old);
        self.current_keys = current;
        self.old_snapshots = old.into();
    }

    /// Schedules the deletion of the segments that the recovered snapshot
    /// includes.
    pub(super) fn schedule_deletion(&mut self, now: Timestamp, delete_after_ms: u64) {
        if SegmentNumber(0) < self.snapshot {
            self.deletions.push_back((self.snapshot, now.plus_ms(delete_after_ms)));
        }
    }

    pub(super) fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    pub(super) fn old_keys(&self) -> usize {
        self.old_snapshots.len()
    }
}

impl Shard {
    fn snapshot_wanted(&self) -> bool {
        let it = &self.upkeep;
        let is_long =
            self.cfg.snapshot_segments <= it.segments || self.cfg.snapshot_bytes <= it.bytes;
        is_long && it.writing.is_none()
    }

    fn next_snapshot_at(&self) -> Timestamp {
        self.upkeep.taken_at.plus_ms(self.cfg.snapshot_interval_ms)
    }

    fn may_delete(&self) -> bool {
        let backlog = match (self.upkeep.oldest, self.upkeep.deletions.front()) {
            (Some(oldest), Some((end, _))) => end.0.saturating_sub(oldest.0),
            _ => 0,
        };
        self.log.is_idle() || MAX_DELETION_BACKLOG < backlog
    }

    pub(super) fn upkeep_deadline(&self) -> Option<Timestamp> {
        let it = &self.upkeep;
        if it.call.is_some() || self.is_store_down() {
            return None;
        }
        let next_at = |at: Timestamp| at.max(it.next_at);
        if it.writing.is_some() {
            return Some(it.next_at);
        }
        let snapshot = self.snapshot_wanted().then(|| next_at(self.next_snapshot_at()));
        let key = it.old_snapshots.front().map(|_| it.next_at);
        let segment = it.deletions.front().map(|(_, at)| next_at(*at));
        // A log that is not idle has a deadline of its own, after which
        // deletions are considered again.
        let deletion = earliest(key, segment).filter(|_| self.may_delete());
        earliest(snapshot, deletion)
    }

    pub(super) fn run_upkeep(&mut self, out: &mut Vec<ShardAction>) {
        let is_idle = self.upkeep.call.is_none() && self.upkeep.next_at <= self.now;
        if !is_idle || self.is_store_down() {
            return;
        }
        if self.snapshot_wanted() && self.next_snapshot_at() <= self.now {
            self.begin_snapshot();
        }
        let op = self.next_part().or_else(|| self.next_deletion());
        if let Some((call_kind, op)) = op {
            self.upkeep.call_kind = call_kind;
            self.upkeep.call = Some(self.store_call(op, out));
        }
    }

    fn begin_snapshot(&mut self) {
        let seq = self.log.tail;
        let parts = SnapshotPart::encode_all(&self.committed, seq);
        self.upkeep.writing = Some(SnapshotWrite { seq, parts, next: 0 });
        self.upkeep.taken_at = self.now;
        (self.upkeep.segments, self.upkeep.bytes) = (0, 0);
    }

    fn next_part(&self) -> Option<(CallKind, StoreOp)> {
        let it = self.upkeep.writing.as_ref()?;
        let key = snapshot_key(self.id, it.seq, it.next as u32);
        let value = it.parts[it.next].clone();
        Some((CallKind::WritePart, StoreOp::Put { key, value, expect: Expect::Any, lease: None }))
    }

    fn next_deletion(&self) -> Option<(CallKind, StoreOp)> {
        if !self.may_delete() {
            return None;
        }
        let it = &self.upkeep;
        if let Some(key) = it.old_snapshots.front().cloned() {
            return Some((CallKind::DeleteSnapshot, StoreOp::Delete { key, expect: Expect::Any }));
        }
        let (_, at) = it.deletions.front()?;
        if self.now < *at {
            return None;
        }
        match it.oldest {
            Some(seq) => {
                let key = log_key(self.id, seq);
                Some((CallKind::DeleteSegment, StoreOp::Delete { key, expect: Expect::Any }))
            }
            None => {
                let (prefix, start_after) = (log_prefix(self.id), String::new());
                Some((CallKind::FindOldest, StoreOp::List { prefix, start_after, limit: 1 }))
            }
        }
    }

    pub(super) fn on_upkeep_reply(&mut self, result: StoreResult) {
        self.upkeep.call = None;
        match (self.upkeep.call_kind.clone(), result) {
            (CallKind::WritePart, Ok(StoreReply::Written { .. })) => self.part_written(),
            (CallKind::DeleteSnapshot, Ok(StoreReply::Deleted))
            | (CallKind::DeleteSnapshot, Err(StoreError::Conflict { current: None })) => {
                self.upkeep.old_snapshots.pop_front();
            }
            (CallKind::FindOldest, Ok(StoreReply::Listed { entries, .. })) => {
                let found = entries.first().and_then(|it| parse_log_key(self.id, &it.key));
                self.upkeep.oldest = found;
                self.drop_finished_deletions();
            }
            (CallKind::DeleteSegment, Ok(StoreReply::Deleted))
            | (CallKind::DeleteSegment, Err(StoreError::Conflict { current: None })) => {
                self.upkeep.oldest = self.upkeep.oldest.map(SegmentNumber::next);
                self.drop_finished_deletions();
            }
            (_, result) => return self.upkeep_failed(result),
        }
        self.upkeep.failures = 0;
        let interval = match self.upkeep.writing {
            Some(_) => self.cfg.commit_interval_ms,
            None => self.cfg.delete_interval_ms,
        };
        self.upkeep.next_at = self.now.plus_ms(interval);
    }

    fn upkeep_failed(&mut self, result: StoreResult) {
        if let Err(err) = result {
            self.log.last_error = err.to_string();
        }
        let (first, most) = (self.cfg.store_retry_ms, self.cfg.store_retry_max_ms);
        let delay = self.backoff(first, most, self.upkeep.failures);
        self.upkeep.failures = self.upkeep.failures.saturating_add(1);
        self.upkeep.next_at = self.now.plus_ms(delay);
    }

    fn part_written(&mut self) {
        let Some(mut it) = self.upkeep.writing.take() else { return };
        it.next += 1;
        if it.next < it.parts.len() {
            self.upkeep.writing = Some(it);
            return;
        }
        let keys = (0..it.parts.len()).map(|part| snapshot_key(self.id, it.seq, part as u32));
        let replaced = std::mem::replace(&mut self.upkeep.current_keys, keys.collect());
        self.upkeep.old_snapshots.extend(replaced);
        self.upkeep.snapshot = it.seq;
        let at = self.now.plus_ms(self.cfg.delete_after_ms);
        self.upkeep.deletions.push_back((it.seq, at));
    }

    /// Drops scheduled deletions whose segments are all deleted.
    fn drop_finished_deletions(&mut self) {
        let Some(oldest) = self.upkeep.oldest else {
            self.upkeep.deletions.clear();
            return;
        };
        while self.upkeep.deletions.front().is_some_and(|(end, _)| *end <= oldest) {
            self.upkeep.deletions.pop_front();
        }
    }
}
