//! Reports of workers: outcomes, checkpoints and measurements.
//!
//! A report may be late, repeated, reordered or from an earlier incarnation.
//! The state of the attempt ensures that every outcome is handled once. An
//! outcome is acknowledged to the worker only after its shard has made it
//! durable.

use xxhash_rust::xxh3::Xxh3;

use super::{
    Group, GroupAction,
    task::{Task, TaskState},
};
use crate::{
    class::Delivery,
    health::RetryAdvice,
    id::{TaskId, WorkerId},
    job::{Checkpoint, Outcome},
    message::GroupToShard,
    placement::PlacementPolicy,
    verdict::{Refusal, RefusalReason, Verdict},
    worker::{TaskEvent, UsageSample, WorkerReport},
};

impl<P: PlacementPolicy> Group<P> {
    /// Handles a report of a worker.
    pub(super) fn on_report(&mut self, report: &WorkerReport, out: &mut Vec<GroupAction>) {
        let Some(at) = self.fleet.position(&report.worker) else { return };
        let known = self.fleet.workers[at].incarnation;
        let is_old = known.is_some_and(|it| report.incarnation < it);
        if !is_old {
            self.record_incarnation(at, report.incarnation, out);
        }
        for (sequence, task, event) in &report.events {
            if is_old && !self.is_unconfirmed(*task, &report.worker) {
                self.stats.stale_events += 1;
                continue;
            }
            self.on_event(report, *sequence, *task, event, is_old, out);
        }
        if !is_old && let Some(worker) = self.fleet.get_mut(&report.worker) {
            worker.last_sequence = worker.last_sequence.max(report.sequence);
        }
        for sample in &report.samples {
            self.on_sample(&report.worker, sample);
        }
    }

    /// Reports whether a start on a worker was neither confirmed nor refused.
    /// The outcome of such an attempt is accepted even from a report that the
    /// worker made before it restarted.
    fn is_unconfirmed(&self, task: TaskId, worker: &WorkerId) -> bool {
        self.tasks.get(&task).is_some_and(|it| {
            it.worker == *worker && matches!(it.state, TaskState::Starting | TaskState::Bound)
        })
    }

    fn on_event(
        &mut self,
        report: &WorkerReport,
        sequence: u64,
        task: TaskId,
        event: &TaskEvent,
        is_old: bool,
        out: &mut Vec<GroupAction>,
    ) {
        if let TaskEvent::Checkpointed { checkpoint } = event {
            self.on_checkpoint(&report.worker, sequence, task, checkpoint, out);
            return;
        }
        if self.tombstones.contains_key(&task) {
            return;
        }
        if self.tasks.get(&task).is_some_and(|it| it.worker != report.worker) {
            self.stats.misplaced += 1;
            return;
        }
        if !is_old && let Some(worker) = self.fleet.get_mut(&report.worker) {
            worker.unacknowledged.insert(sequence, task);
        }
        if !self.tasks.contains_key(&task) {
            // The attempt ended before this owner learned of it.
            let shard = task.job.shard(self.cfg.shards);
            let it = Task::new(report.worker.clone(), shard, None, TaskState::Bound);
            self.insert_task(task, it);
        }
        let ended = |it: &Task| matches!(it.state, TaskState::Ended(_));
        if self.tasks.get(&task).is_some_and(ended) {
            self.release_resources(task);
            return;
        }
        let message = match event {
            TaskEvent::Succeeded { result } => {
                self.record_success(&report.worker, task);
                let outcome = Outcome::Succeeded { result: result.clone() };
                GroupToShard::Finished { task, outcome }
            }
            TaskEvent::Failed { detail } => {
                let refusal = self.failure_refusal(&report.worker, task, detail);
                GroupToShard::Finished { task, outcome: Outcome::Failed { refusal } }
            }
            TaskEvent::Stopped { checkpoint } => {
                self.stats.stopped += 1;
                GroupToShard::Evicted { task, checkpoint: checkpoint.clone() }
            }
            TaskEvent::Checkpointed { .. } => return,
        };
        self.end_task(task, message, out);
    }

    fn on_checkpoint(
        &mut self,
        worker: &WorkerId,
        sequence: u64,
        task: TaskId,
        checkpoint: &Checkpoint,
        out: &mut Vec<GroupAction>,
    ) {
        let now = self.now;
        let Some(it) = self.tasks.get_mut(&task) else { return };
        if !it.is_running() || it.worker != *worker || sequence <= it.checkpoint_sequence {
            return;
        }
        it.checkpoint_sequence = sequence;
        let shard = it.shard;
        if let Some(at) = self.fleet.position(worker)
            && let Some(it) = self.fleet.committed_mut(at, &task)
        {
            it.checkpoint_at = now;
        }
        let checkpoint = checkpoint.clone();
        self.send(shard, GroupToShard::Checkpointed { task, checkpoint }, out);
    }

    fn record_success(&mut self, worker: &WorkerId, task: TaskId) {
        self.stats.succeeded += 1;
        let Some(spec) = self.tasks.get(&task).and_then(|it| it.spec.as_ref()) else { return };
        self.health.succeeded(self.now, worker, spec.class, task);
        if let Some(at) = self.fleet.position(worker) {
            self.fleet.refresh_acceptance(at, &self.health);
        }
    }

    /// Records that an attempt failed on a worker and returns whether to
    /// retry its job.
    pub(super) fn record_failure(&mut self, worker: &WorkerId, task: TaskId) -> RetryAdvice {
        self.stats.failed += 1;
        let Some(it) = self.tasks.get(&task) else { return RetryAdvice::RetryElsewhere };
        let Some(spec) = &it.spec else { return RetryAdvice::RetryElsewhere };
        let counted_here = self.health.job_failures(task.job);
        let other_groups = it.failed_attempts.saturating_sub(counted_here);
        let advice = self.health.failed(self.now, worker, spec.class, task, other_groups);
        for at in 0..self.fleet.workers.len() {
            self.fleet.refresh_acceptance(at, &self.health);
        }
        advice
    }

    /// Returns the refusal that reports a failed attempt to its shard. It has
    /// a retry time exactly if another attempt may succeed: a failure that is
    /// attributed to the worker must not count against the job.
    fn failure_refusal(&mut self, worker: &WorkerId, task: TaskId, detail: &str) -> Refusal {
        let advice = self.record_failure(worker, task);
        let spec = self.tasks.get(&task).and_then(|it| it.spec.as_ref());
        let delivery = spec.map(|it| self.classes.get(it.class).delivery);
        let repeatable = delivery.is_some_and(|it| it != Delivery::AtMostOnce);
        let retry = repeatable && advice == RetryAdvice::RetryElsewhere;
        Refusal {
            verdict: Verdict::Ran,
            reason: RefusalReason::UpstreamFailed,
            detail: format!("attempt failed on worker {worker}: {detail}"),
            retry_at: retry.then_some(self.now),
        }
    }

    /// Passes a measurement to the policy, with the residents of the worker at
    /// the time it was taken.
    fn on_sample(&mut self, worker: &WorkerId, sample: &UsageSample) {
        let Some(at) = self.fleet.position(worker) else { return };
        if self.classes.index_of(&sample.class).is_none() {
            return;
        }
        if !self.fleet.workers[at].record_sample(digest(sample)) {
            return;
        }
        let capacity = self.fleet.views[at].capacity;
        match self.fleet.workers[at].residents_at(sample.taken_at) {
            Some(residents) => {
                self.policy.observe(self.now, &self.classes, sample, residents, capacity);
            }
            None => self.stats.unattributed_samples += 1,
        }
    }
}

/// Returns a digest that identifies a sample, to detect duplicates.
fn digest(sample: &UsageSample) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(sample.class.as_str().as_bytes());
    hasher.update(&sample.taken_at.0.to_le_bytes());
    if let Some(task) = sample.task {
        hasher.update(&task.job.0.to_le_bytes());
        hasher.update(&task.attempt.0.to_le_bytes());
    }
    hasher.update(&sample.slowdown.to_bits().to_le_bytes());
    hasher.digest()
}
