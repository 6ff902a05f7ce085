//! Takeover of a shard: reading its history and fencing its predecessor.
//!
//! Recovery reads the newest complete snapshot and the segments after it, then
//! creates the next segment with an `Owner` record. Store calls are made one
//! at a time, and on average at most about one per `recovery_interval_ms`,
//! because all processes of a deployment may recover at the same time.
//!
//! A live predecessor may delete segments while they are read. This shows as a
//! gap in the segment numbers, and reading restarts from the newest snapshot.

use std::collections::{BTreeMap, BTreeSet};

use super::{Phase, Shard, ShardAction};
use crate::{
    id::{CallId, GroupId, ProcessId, SegmentNumber},
    job::{AttemptLocation, JobState},
    ledger::{
        Ledger, Record, Segment, SnapshotPart, log_key, log_prefix, segment::parse_log_key,
        snapshot_prefix,
    },
    store::{Entry, StoreOp, StoreReply, StoreResult},
    time::Timestamp,
};

/// Snapshot parts per call; each may be almost 1 MB.
const PARTS_PER_CALL: u32 = 4;

/// Segments per call; most are a few kilobytes.
const SEGMENTS_PER_CALL: u32 = 128;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Step {
    #[default]
    Snapshots,
    Segments,
    Claim,
}

#[derive(Debug, Default)]
pub(super) struct Recovery {
    step: Step,
    parts: BTreeMap<SegmentNumber, BTreeMap<u32, SnapshotPart>>,
    keys: Vec<String>,
    pub(super) call: Option<CallId>,
    sent_at: Timestamp,
    pub(super) next_at: Timestamp,
    failures: u32,
    /// Whether this process has already tried to create an `Owner` record.
    claimed: bool,
    pub(super) restarts: u32,
}

impl Shard {
    pub(super) fn recovery_deadline(&self) -> Option<Timestamp> {
        let idle = self.recovery.call.is_none() && self.recovery.step != Step::Claim;
        idle.then_some(self.recovery.next_at)
    }

    pub(super) fn run_recovery(&mut self, out: &mut Vec<ShardAction>) {
        if self.recovery.call.is_some() || self.now < self.recovery.next_at {
            return;
        }
        let op = match self.recovery.step {
            Step::Snapshots => StoreOp::List {
                prefix: snapshot_prefix(self.id),
                start_after: self.recovery.keys.last().cloned().unwrap_or_default(),
                limit: PARTS_PER_CALL,
            },
            Step::Segments => {
                let tail = self.log.tail;
                let is_empty = tail == SegmentNumber(0);
                let start_after = if is_empty { String::new() } else { log_key(self.id, tail) };
                let limit = SEGMENTS_PER_CALL;
                StoreOp::List { prefix: log_prefix(self.id), start_after, limit }
            }
            Step::Claim => return,
        };
        self.recovery.sent_at = self.now;
        self.recovery.call = Some(self.store_call(op, out));
    }

    pub(super) fn on_recovery_reply(&mut self, result: StoreResult, out: &mut Vec<ShardAction>) {
        self.recovery.call = None;
        match result {
            Ok(StoreReply::Listed { entries, more, .. }) => {
                self.recovery.failures = 0;
                let interval = self.cfg.recovery_interval_ms;
                self.recovery.next_at = self.now.plus_ms(interval / 2 + self.jitter(interval));
                match self.recovery.step {
                    Step::Snapshots => self.read_parts(entries, more),
                    Step::Segments => self.read_segments(entries, more, out),
                    Step::Claim => {}
                }
            }
            Ok(_) => self.retry_recovery("the store's answer does not match the call".to_owned()),
            Err(err) => self.retry_recovery(err.to_string()),
        }
    }

    fn retry_recovery(&mut self, error: String) {
        self.log.last_error = error;
        let (first, most) = (self.cfg.store_retry_ms, self.cfg.store_retry_max_ms);
        let delay = self.backoff(first, most, self.recovery.failures);
        self.recovery.failures = self.recovery.failures.saturating_add(1);
        self.recovery.next_at = self.now.plus_ms(delay);
    }

    fn read_parts(&mut self, entries: Vec<Entry>, more: bool) {
        for entry in entries {
            match SnapshotPart::decode(&entry.value) {
                Ok(part) => {
                    self.recovery.parts.entry(part.seq).or_default().insert(part.part, part);
                }
                Err(err) => self.log.last_error = format!("key={} error={err}", entry.key),
            }
            self.recovery.keys.push(entry.key);
        }
        if more {
            return;
        }
        self.committed = Ledger::new();
        self.log.tail = SegmentNumber(0);
        let parts = std::mem::take(&mut self.recovery.parts);
        if let Some((seq, parts)) = parts.into_iter().rev().find(|(_, parts)| is_complete(parts)) {
            self.log.tail = seq;
            for part in parts.into_values() {
                self.committed.set_owner(part.owner, part.epoch);
                part.jobs.into_iter().for_each(|job| self.committed.insert(job));
            }
        }
        let keys = std::mem::take(&mut self.recovery.keys);
        self.upkeep.set_recovered_snapshot(self.id, self.log.tail, keys);
        self.recovery.step = Step::Segments;
    }

    fn read_segments(&mut self, entries: Vec<Entry>, more: bool, out: &mut Vec<ShardAction>) {
        for entry in entries {
            let expected = self.log.tail.next();
            if parse_log_key(self.id, &entry.key) != Some(expected) {
                let detail = format!("segment {expected} is missing before {}", entry.key);
                return self.restart_recovery(detail);
            }
            let segment = match Segment::decode(&entry.value) {
                Ok(segment) => segment,
                Err(err) => return self.restart_recovery(format!("key={} {err}", entry.key)),
            };
            let other_owner = segment.records.iter().find_map(|record| match record {
                Record::Owner { process, .. } if *process != self.process => Some(process.clone()),
                _ => None,
            });
            if let Some(other_owner) = other_owner.filter(|_| self.recovery.claimed) {
                return self.fence(Some(other_owner), out);
            }
            segment.records.iter().for_each(|record| _ = self.committed.apply(record));
            self.log.tail = expected;
            self.upkeep.count_segment(entry.value.len());
        }
        if more {
            return;
        }
        self.log.verified_at = self.recovery.sent_at;
        self.recovery.step = Step::Claim;
        self.recovery.claimed = true;
        self.claim(out);
    }

    /// Restarts reading from the snapshots after a delay. State that may be
    /// incomplete is never served.
    fn restart_recovery(&mut self, error: String) {
        self.recovery.restarts += 1;
        self.recovery.step = Step::Snapshots;
        self.recovery.keys.clear();
        self.recovery.parts.clear();
        self.retry_recovery(error);
    }

    /// Reads the segments that another process wrote after the last one read.
    pub(super) fn reread_log(&mut self) {
        self.recovery.step = Step::Segments;
        self.recovery.next_at = self.now;
    }

    /// Starts to serve requests, once this process's `Owner` record is durable.
    pub(super) fn become_ready(&mut self, out: &mut Vec<ShardAction>) {
        self.phase = Phase::Ready;
        self.ready_at = self.now;
        self.upkeep.schedule_deletion(self.now, self.cfg.delete_after_ms);
        let jobs: Vec<_> = self.committed.jobs().map(|(id, _)| id).collect();
        let mut groups: BTreeSet<GroupId> = self.groups.ids().cloned().collect();
        for id in jobs {
            let Some(job) = self.committed.get(id) else { continue };
            match &job.state {
                JobState::Done { forget_at, .. } => {
                    self.retention.insert((*forget_at, id));
                }
                JobState::Bound { place: AttemptLocation::Worker { group, .. }, .. } => {
                    groups.insert(group.clone());
                }
                _ => {}
            }
            self.sync_job(id, out);
        }
        groups.iter().for_each(|group| self.reconcile(group, out));
        for process in self.ended_processes.clone() {
            self.end_attempts_of(&process, out);
        }
    }

    /// Returns the process that the newest `Owner` record names, for the dump.
    pub(super) fn named_owner(&self) -> Option<&ProcessId> {
        self.committed.owner()
    }
}

fn is_complete(parts: &BTreeMap<u32, SnapshotPart>) -> bool {
    let Some(first) = parts.values().next() else { return false };
    let same = |it: &SnapshotPart| it.parts == first.parts && it.epoch == first.epoch;
    parts.len() == first.parts as usize && parts.values().all(same)
}
