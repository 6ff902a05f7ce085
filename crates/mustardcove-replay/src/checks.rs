//! Checks of the properties P1 to P9 and of lost jobs.
//!
//! The checks read only what is observable from outside: the workers' run
//! history, the log as the store holds it, and the answers that callers
//! received. They share no state with the state machines that they check.

use std::collections::{BTreeMap, HashMap};

use mustardcove_core::{
    class::{ClassKind, Delivery},
    id::{AttemptNumber, ClassId, JobId, Revision, SegmentNumber, ShardId, TaskId, WorkerId},
    job::{AttemptLocation, Checkpoint, JobState, Outcome},
    ledger::{Ledger, Record, Segment, segment::parse_log_key},
    time::Timestamp,
    worker::TaskEvent,
};
use mustardcove_platform::memory::RunHistory;
use serde::Serialize;

use crate::{
    trace::Header,
    world::{Caller, CallerState, Fleet, PendingRevision},
};

/// Time after which a leaving upstream must get no new work (P7), in
/// milliseconds.
const LEAVING_BOUND_MS: u64 = 3_000;

/// Time within which a planned stop must end (P8), in milliseconds.
const STOP_BOUND_MS: u64 = 10_000;

/// Time for which an accepted job may be bound to a worker that does not run
/// it before the job counts as lost, in milliseconds.
const STUCK_AFTER_MS: u64 = 60_000;

/// Maximum number of violations that are described; all of them are counted.
const MAX_DESCRIBED_VIOLATIONS: usize = 50;

/// A violation of a property.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The property, from `P1` to `P9`, or `lost` for a lost job.
    pub property: String,
    /// When it happened, in milliseconds from the start of the trace.
    pub at_ms: i64,
    /// What happened.
    pub detail: String,
}

/// A task that was stopped with a checkpoint, as the worker recorded it.
#[derive(Clone, Debug)]
struct StoppedTask {
    attempt: AttemptNumber,
    worker: WorkerId,
    checkpoint: Option<Checkpoint>,
}

#[derive(Debug, Default)]
struct ObservedShard {
    tail: SegmentNumber,
    ledger: Ledger,
}

/// State of the checks, and what they found so far.
#[derive(Debug)]
pub(crate) struct Checks {
    pub(crate) violations: Vec<Violation>,
    pub(crate) violation_counts: BTreeMap<String, u64>,
    pub(crate) evictions: BTreeMap<ClassId, u64>,
    pub(crate) newest_revision: Revision,
    pub(crate) pending_revisions: Vec<PendingRevision>,
    pub(crate) operator_races: Vec<(Revision, u32)>,
    acknowledged_revisions: BTreeMap<Revision, u32>,
    callers: HashMap<JobId, usize>,
    deliveries: HashMap<JobId, Delivery>,
    shards: BTreeMap<ShardId, ObservedShard>,
    shard_count: u16,
    ended_jobs: Vec<(JobId, Outcome)>,
    stopped_tasks: HashMap<JobId, StoppedTask>,
    checked_overlaps: usize,
    checked_overcommits: usize,
    checked_repeats: usize,
}

impl Checks {
    pub(crate) fn new(header: &Header) -> Checks {
        Checks {
            violations: Vec::new(),
            violation_counts: BTreeMap::new(),
            evictions: BTreeMap::new(),
            newest_revision: Revision(1),
            pending_revisions: Vec::new(),
            operator_races: Vec::new(),
            acknowledged_revisions: BTreeMap::new(),
            callers: HashMap::new(),
            deliveries: HashMap::new(),
            shards: BTreeMap::new(),
            shard_count: header.shards,
            ended_jobs: Vec::new(),
            stopped_tasks: HashMap::new(),
            checked_overlaps: 0,
            checked_overcommits: 0,
            checked_repeats: 0,
        }
    }

    pub(crate) fn violation(&mut self, property: &str, at_ms: i64, detail: String) {
        *self.violation_counts.entry(property.to_owned()).or_default() += 1;
        if self.violations.len() < MAX_DESCRIBED_VIOLATIONS {
            self.violations.push(Violation { property: property.to_owned(), at_ms, detail });
        }
    }

    pub(crate) fn add_caller(&mut self, job: JobId, index: usize, caller: &Caller) {
        self.callers.insert(job, index);
        self.deliveries.insert(job, caller.delivery);
    }

    pub(crate) fn caller_of(&self, job: JobId) -> Option<usize> {
        self.callers.get(&job).copied()
    }

    pub(crate) fn has_run(&self, run_history: &RunHistory, job: JobId) -> bool {
        run_history.summary(job).starts != 0
    }

    /// Checks P1, P2 and P6 on what the workers recorded since the last event.
    pub(crate) fn check_run_history(&mut self, at_ms: i64, run_history: &RunHistory) {
        for it in &run_history.overlaps[self.checked_overlaps..] {
            let delivery = self.deliveries.get(&it.started.job);
            let detail =
                format!("{} runs on {} and {} on {}", it.running, it.on, it.started, it.started_on);
            match delivery {
                Some(Delivery::Idempotent) => (),
                Some(Delivery::AtMostOnce) => {
                    self.violation("P2", at_ms, detail.clone());
                    self.violation("P6", at_ms, detail);
                }
                _ => self.violation("P2", at_ms, detail),
            }
        }
        self.checked_overlaps = run_history.overlaps.len();
        for (worker, task) in &run_history.overcommits[self.checked_overcommits..] {
            self.violation("P1", at_ms, format!("{worker} has no room for {task}"));
        }
        self.checked_overcommits = run_history.overcommits.len();
        for task in &run_history.repeated_attempts[self.checked_repeats..] {
            self.violation("P2", at_ms, format!("{task} was started after it had ended"));
        }
        self.checked_repeats = run_history.repeated_attempts.len();
    }

    /// Checks P6 after a run has ended.
    pub(crate) fn run_ended(&mut self, at_ms: i64, job: JobId, run_history: &RunHistory) {
        let completions = run_history.summary(job).completions;
        if 1 < completions && self.deliveries.get(&job) == Some(&Delivery::AtMostOnce) {
            self.violation("P6", at_ms, format!("{job} ran to its end {completions} times"));
        }
    }

    /// Checks P3 when an attempt starts: it must resume from the checkpoint
    /// with which an earlier attempt stopped.
    pub(crate) fn attempt_started(&mut self, at_ms: i64, task: TaskId, from: Option<&Checkpoint>) {
        let Some(stopped) = self.stopped_tasks.get(&task.job) else { return };
        if task.attempt <= stopped.attempt {
            return;
        }
        let stopped = self.stopped_tasks.remove(&task.job);
        let expected = stopped.and_then(|it| it.checkpoint);
        if expected.as_ref() != from {
            let detail = format!("{task} resumes from {from:?} and not from {expected:?}");
            self.violation("P3", at_ms, detail);
        }
    }

    /// Records that a task was stopped with a checkpoint, for P3.
    pub(crate) fn task_stopped(
        &mut self,
        task: TaskId,
        worker: &WorkerId,
        event: Option<&TaskEvent>,
    ) {
        let Some(TaskEvent::Stopped { checkpoint }) = event else { return };
        let (attempt, worker) = (task.attempt, worker.clone());
        let it = StoppedTask { attempt, worker, checkpoint: checkpoint.clone() };
        self.stopped_tasks.insert(task.job, it);
    }

    /// Discards the recorded stops of a worker that restarted: a stop that it
    /// had not reported is lost with it, and the work resumes from an earlier
    /// checkpoint.
    pub(crate) fn worker_restarted(&mut self, worker: &WorkerId) {
        self.stopped_tasks.retain(|_, it| it.worker != *worker);
    }

    /// Checks P7 when work is sent to a leaving worker.
    pub(crate) fn check_new_work_on_leaving(
        &mut self,
        at_ms: i64,
        worker: &WorkerId,
        after_ms: u64,
    ) {
        if LEAVING_BOUND_MS < after_ms {
            let detail = format!("{worker} got new work {after_ms} ms after it began to leave");
            self.violation("P7", at_ms, detail);
        }
    }

    /// Checks P8 when a process has stopped, or for one that is still stopping
    /// at the end of the trace.
    pub(crate) fn check_process_stop(&mut self, at_ms: i64, name: &str, took_ms: u64) {
        if STOP_BOUND_MS < took_ms {
            self.violation("P8", at_ms, format!("the stop of {name} took {took_ms} ms"));
        }
    }

    /// Checks P9: at most one of several operators that race for a revision
    /// may succeed.
    pub(crate) fn change_acknowledged(&mut self, at_ms: i64, revision: Revision) {
        let count = self.acknowledged_revisions.entry(revision).or_default();
        *count += 1;
        if 1 < *count {
            self.violation("P9", at_ms, format!("two operators were told of {revision}"));
        }
    }

    pub(crate) fn revision_written(&mut self, at_ms: i64, revision: Revision) {
        if revision <= self.newest_revision {
            let newest = self.newest_revision;
            self.violation("P9", at_ms, format!("{revision} was written after {newest}"));
        }
        self.newest_revision = self.newest_revision.max(revision);
    }

    /// Observes a value that was written to a shard's log.
    pub(crate) fn observe_log(&mut self, at_ms: i64, key: &str, value: &[u8]) {
        let parts: Vec<&str> = key.split('/').collect();
        let Some(shard) = parts.get(1).and_then(|it| it.parse::<ShardId>().ok()) else { return };
        let Some(seq) = parse_log_key(shard, key) else { return };
        let Ok(segment) = Segment::decode(value) else {
            return self.violation("lost", at_ms, format!("{key} cannot be read"));
        };
        let observed = self.shards.entry(shard).or_default();
        if seq != observed.tail.next() {
            let tail = observed.tail;
            return self.violation("lost", at_ms, format!("{key} does not follow segment {tail}"));
        }
        observed.tail = seq;
        for record in &segment.records {
            self.observe_record(at_ms, shard, record);
        }
    }

    fn observe_record(&mut self, at_ms: i64, shard: ShardId, record: &Record) {
        let observed = self.shards.entry(shard).or_default();
        if !observed.ledger.apply(record) {
            return self.violation("lost", at_ms, format!("{record:?} does not fit its job"));
        }
        match record {
            Record::Evicted { task, .. } => {
                let class = observed.ledger.get(task.job).map(|it| it.spec.class.clone());
                if let Some(class) = class {
                    *self.evictions.entry(class).or_default() += 1;
                }
            }
            Record::Done { job, outcome, .. } => self.ended_jobs.push((*job, outcome.clone())),
            _ => (),
        }
    }

    /// Returns the jobs whose end was observed in the log since the last call.
    pub(crate) fn take_ended(&mut self) -> Vec<(JobId, Outcome)> {
        std::mem::take(&mut self.ended_jobs)
    }

    /// Returns the state of a job according to the log.
    pub(crate) fn state_of(&self, job: JobId) -> Option<&JobState> {
        let observed = self.shards.get(&job.shard(self.shard_count))?;
        observed.ledger.get(job).map(|it| &it.state)
    }

    /// Checks at the end of the trace that no accepted job was lost.
    pub(crate) fn finish(&mut self, at_ms: i64, now: Timestamp, callers: &[Caller], fleet: &Fleet) {
        for job in fleet.run_history.completed_more_than_once() {
            if self.deliveries.get(&job) == Some(&Delivery::AtMostOnce) {
                self.violation("P6", at_ms, format!("{job} ran to its end more than once"));
            }
        }
        for caller in callers.iter().filter(|it| it.kind != ClassKind::Service) {
            if !caller.accepted || caller.state != CallerState::Accepted {
                continue;
            }
            if let Some(detail) = self.loss_detail(now, caller) {
                let key = &caller.work.key;
                self.violation("lost", at_ms, format!("{key}: {detail}"));
            }
        }
    }

    fn loss_detail(&self, now: Timestamp, caller: &Caller) -> Option<String> {
        let Some(state) = self.state_of(caller.job) else {
            return Some("accepted, and not in the log".to_owned());
        };
        let JobState::Bound { attempt, place: AttemptLocation::Worker { worker, .. }, .. } = state
        else {
            return None;
        };
        let idle_since_us = caller.idle_since_us;
        let is_stuck = !caller.is_running && idle_since_us / 1_000 + STUCK_AFTER_MS < now.0;
        is_stuck.then(|| format!("attempt {attempt} is bound to {worker}, which does not run it"))
    }
}
