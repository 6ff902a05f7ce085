//! The state of a shard according to the log in the store, derived from every
//! write that takes effect.

use std::collections::{BTreeMap, BTreeSet};

use mustardcove_core::{
    id::{JobId, ProcessId, RequestId, SegmentNumber, ShardId, TaskId},
    job::{AttemptLocation, EndEvidence, JobState},
    ledger::{Ledger, Record, Segment, segment::parse_log_key},
    store::StoreOp,
};

/// The durable state of a shard and the history that led to it.
#[derive(Debug, Default)]
pub struct DurableState {
    pub ledger: Ledger,
    pub tail: SegmentNumber,
    /// Every attempt that was ever bound, with its place.
    pub bound: BTreeMap<TaskId, AttemptLocation>,
    /// The request for which each attempt at an upstream was admitted.
    pub admitted: BTreeMap<TaskId, (ProcessId, RequestId)>,
    /// Why it is certain that attempts without a result have ended.
    pub evidence: BTreeMap<TaskId, EndEvidence>,
    /// Attempts whose end is durable.
    pub ended: BTreeSet<TaskId>,
    /// How often each job was accepted.
    pub accepted: BTreeMap<JobId, u32>,
    pub segments: u64,
    pub records: u64,
}

impl DurableState {
    /// Applies a write that took effect. A segment that is written again at an
    /// earlier position is ignored, as recovery ignores it.
    pub fn observe(&mut self, shard: ShardId, op: &StoreOp) {
        let StoreOp::Put { key, value, .. } = op else { return };
        let Some(seq) = parse_log_key(shard, key) else { return };
        if seq != self.tail.next() {
            assert!(seq <= self.tail, "segment {seq} leaves a gap after {}", self.tail);
            return;
        }
        self.tail = seq;
        self.segments += 1;
        let segment = Segment::decode(value).expect("segments are readable");
        for record in &segment.records {
            self.records += 1;
            self.apply_record(record);
        }
    }

    fn apply_record(&mut self, record: &Record) {
        let before = record.job().and_then(|it| self.ledger.get(it)).cloned();
        assert!(self.ledger.apply(record), "record does not fit: {record:?} after {before:?}");
        match record {
            Record::Accepted { spec, .. } => *self.accepted.entry(spec.id()).or_default() += 1,
            Record::Bound { task, place, request } => {
                assert!(self.bound.insert(*task, place.clone()).is_none(), "{task} bound twice");
                if let (AttemptLocation::Upstream { entry, .. }, Some(request)) = (place, request) {
                    self.admitted.insert(*task, (entry.clone(), *request));
                }
            }
            Record::Lost { task, evidence } => _ = self.evidence.insert(*task, *evidence),
            _ => {}
        }
        let current_attempt = record.job().and_then(|it| self.ledger.get(it)?.bound_attempt());
        if let Some(JobState::Bound { attempt, .. }) = before.map(|it| it.state)
            && current_attempt != Some(attempt)
        {
            let job = record.job().expect("the record changed a job");
            self.ended.insert(TaskId { job, attempt });
        }
    }

    pub fn state(&self, job: JobId) -> Option<&JobState> {
        self.ledger.get(job).map(|it| &it.state)
    }
}
