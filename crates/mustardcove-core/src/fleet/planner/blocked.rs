//! Submissions that have no run although one of their steps is ready.
//!
//! Most wait for capacity. Those that wait beside free capacity show a fault,
//! so the planner checks once a second which submissions have had no run for
//! a while, and logs for a few of them what keeps each worker from running
//! them. Checking on each tick would cost more than placing the tasks.

use std::{collections::BTreeMap, fmt::Write as _};

use super::{
    DecisionKind, Planner,
    placement::{self, Obstacle},
    work::{Phase, Step, Work, WorkerIndex},
};
use crate::{
    fleet::id::{StepKey, SubmissionId, TaskKey},
    time::Timestamp,
};

/// Time between two checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Time without a run after which a submission counts as blocked, in
/// milliseconds: longer than a usual start with a repeated call takes.
const BLOCKED_AFTER_MS: u64 = 1_000;
/// Most submissions explained in one check, which bounds the log and the
/// processor time under overload.
const MAX_EXPLAINED: usize = 3;

/// Submissions without a run, as of the last check.
#[derive(Debug, Default)]
pub(super) struct BlockedSubmissions {
    /// Since when each of them has had no run.
    since: BTreeMap<SubmissionId, Timestamp>,
    count: usize,
    check_at: Timestamp,
}

impl BlockedSubmissions {
    /// Returns how many submissions have had no run for a while.
    pub(super) fn count(&self) -> usize {
        self.count
    }
}

impl Planner {
    /// Finds the submissions that are blocked, and logs why some of them are:
    /// those that have waited longest.
    pub(super) fn report_blocked(&mut self, schedulable: &[WorkerIndex], now: Timestamp) {
        if now < self.blocked.check_at {
            return;
        }
        self.blocked.check_at = now.plus_ms(CHECK_INTERVAL_MS);
        let earlier = std::mem::take(&mut self.blocked.since);
        let mut blocked: Vec<(Timestamp, StepKey)> = Vec::new();
        for (id, work) in &self.work {
            let Some(step) = self.idle_step(work) else { continue };
            let since = earlier.get(id).copied().unwrap_or(now);
            self.blocked.since.insert(*id, since);
            if BLOCKED_AFTER_MS <= now.ms_since(since) {
                blocked.push((since, step));
            }
        }
        self.blocked.count = blocked.len();
        blocked.sort_unstable();
        blocked.truncate(MAX_EXPLAINED);
        for (since, key) in blocked {
            let inputs = self.explain(key, since, schedulable, now);
            self.log_decision(DecisionKind::SubmissionBlocked, Some(key.submission), None, || {
                inputs
            });
        }
    }

    /// Returns the first ready step of a submission of which no run is known
    /// to be alive.
    fn idle_step(&self, work: &Work) -> Option<StepKey> {
        let steps = work.occurrences.iter().flat_map(|occurrence| {
            let keys = work.submission.step_keys(occurrence.number);
            keys.zip(&occurrence.steps).filter(|(_, it)| it.is_ready && 0 < it.unfinished)
        });
        let mut first = None;
        for (key, step) in steps {
            if self.has_live_run(key, step) {
                return None;
            }
            first = first.or(Some(key));
        }
        first
    }

    fn has_live_run(&self, key: StepKey, step: &Step) -> bool {
        step.tasks.iter().enumerate().any(|(i, task)| {
            task.run().is_some_and(|run| {
                let stop = (run.worker, TaskKey { step: key, index: i as u16 }, run.run);
                run.is_confirmed && !self.stops.contains_key(&stop)
            })
        })
    }

    /// Returns the state of a step's tasks, how many workers are kept from
    /// running it by which obstacle, and how much capacity is free.
    fn explain(
        &self,
        key: StepKey,
        since: Timestamp,
        schedulable: &[WorkerIndex],
        now: Timestamp,
    ) -> String {
        let mut text = format!("step={key} blocked_ms={}", now.ms_since(since));
        let Some(work) = self.work.get(&key.submission) else { return text };
        let Some(occurrence) = work.occurrence(key.occurrence) else { return text };
        let step = &occurrence.steps[usize::from(key.step)];
        let spec = &work.submission.steps[usize::from(key.step)];
        let (mut waiting, mut paused, mut starting, mut stopping) = (0, 0, 0, 0);
        for (i, task) in step.tasks.iter().enumerate() {
            match &task.phase {
                Phase::Waiting if now < task.not_before => paused += 1,
                Phase::Waiting => waiting += 1,
                Phase::Placed(run) => {
                    let stop = (run.worker, TaskKey { step: key, index: i as u16 }, run.run);
                    *(if self.stops.contains_key(&stop) {
                        &mut stopping
                    } else {
                        &mut starting
                    }) += 1;
                }
                Phase::Done => {}
            }
        }
        let is_fenced = work.is_known_unstarted || self.is_all_fenced(&work.queue.service, now);
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            " waiting={waiting} paused={paused} starting={starting} stopping={stopping} \
             cpu={} memory={} best_effort={} gang={} earlier_leases_over={is_fenced}",
            spec.demand.cpu, spec.demand.memory, spec.is_best_effort, spec.is_gang,
        );
        if let Some(pending) = self.pending_tasks(key, false, now) {
            let req = self.request(&pending, spec, None);
            let mut obstacles: BTreeMap<Obstacle, u32> = BTreeMap::new();
            let mut usable = 0;
            for index in 0..self.workers.len() {
                let is_reserved = self.reserved.get(&index).is_some_and(|it| *it != key);
                let obstacle = placement::obstacle(&self.workers[index], now)
                    .or_else(|| self.score(&pending, req, index, now).err())
                    .or(is_reserved.then_some(Obstacle::Reserved));
                match obstacle {
                    Some(obstacle) => *obstacles.entry(obstacle).or_default() += 1,
                    None => usable += 1,
                }
            }
            let _ = write!(text, " usable={usable}");
            for (obstacle, workers) in obstacles {
                let _ = write!(text, " {obstacle}={workers}");
            }
        }
        let used = schedulable.iter().map(|it| self.workers[*it].used.cpu.0).sum::<u64>();
        let capacity = schedulable.iter().map(|it| self.workers[*it].listing.capacity.cpu.0);
        let used_percent = (used * 100).checked_div(capacity.sum()).unwrap_or(0);
        let _ = write!(text, " used_percent={used_percent}");
        text
    }
}
