//! Submissions that have no run although one of their steps is ready.
//!
//! Most wait for capacity. Best-effort work may also wait beside free capacity,
//! because other best-effort work uses all the processor time that is left
//! over, or because it would make latency-critical tasks miss their targets.
//! Neither ends by itself, so while most of the pool is unreserved, a
//! submission that has waited for too long gets a run where it does the least
//! harm. It gets only one at a time and at a low pace, since more would slow
//! down the work that is ahead of it. Its next run follows at once, until the
//! submission ends or the pool fills up.
//!
//! For a few of the blocked submissions, the log says what keeps each worker
//! from running them, and for all of them how many wait for what. Checks are done
//! a few times a second only, as each goes through all submissions.

mod states;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
};

use super::{
    DecisionKind, Planner,
    placement::{self, Obstacle},
    suspects::SuspectWait,
    work::{Phase, Step, Work, WorkerIndex},
};
use crate::{
    fleet::id::{StepKey, SubmissionId, TaskKey},
    time::Timestamp,
};

/// Time between two checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Time without a run after which a submission counts as blocked, in
/// milliseconds. Users accept 3 s, in which a lost start has to be repeated.
const BLOCKED_AFTER_MS: u64 = 1_000;
/// Share of a pool's capacity that is reserved at most while blocked
/// best-effort work is started on it, in percent. Users expect its start while
/// less than half is reserved; the leader's view is a little older, and lacks
/// workers that it does not reach.
const MAX_RESERVED_PERCENT: u64 = 60;
/// Most starved submissions placed in one round, which bounds its time: each is
/// scored on every worker.
const MAX_STARTED: usize = 200;
/// Time between two explanations in the log, in milliseconds.
const EXPLAIN_INTERVAL_MS: u64 = 1_000;
/// Most submissions explained at once, which bounds the log and the processor
/// time under overload.
const MAX_EXPLAINED: usize = 3;

/// Submissions without a run, as of the last check.
#[derive(Clone, Debug, Default)]
pub(super) struct BlockedSubmissions {
    /// Since when each of them has had no run.
    since: BTreeMap<SubmissionId, Timestamp>,
    count: usize,
    /// Best-effort submissions that were blocked on a mostly unreserved pool.
    starved: BTreeSet<SubmissionId>,
    check_at: Timestamp,
    explain_at: Timestamp,
    /// Those whose long wait beside free capacity was logged.
    reported: BTreeSet<SubmissionId>,
}

impl BlockedSubmissions {
    /// Returns how many submissions have had no run for a while.
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Returns whether a submission has had no run for a while.
    pub(super) fn is_blocked(&self, id: SubmissionId, now: Timestamp) -> bool {
        self.since.get(&id).is_some_and(|it| BLOCKED_AFTER_MS <= now.ms_since(*it))
    }

    /// Has a blocked submission tried again before the next check.
    pub(super) fn retry(&mut self, id: SubmissionId, now: Timestamp) {
        if self.is_blocked(id, now) {
            self.starved.insert(id);
        }
    }
}

impl Planner {
    /// Finds the submissions that are blocked, logs why some of them are, and
    /// keeps one run of the best-effort ones going while most of their pool is
    /// unreserved.
    pub(super) fn handle_blocked(&mut self, schedulable: &[WorkerIndex], now: Timestamp) {
        if self.blocked.check_at <= now {
            self.blocked.check_at = now.plus_ms(CHECK_INTERVAL_MS);
            let blocked = self.find_blocked(now);
            for (_, key) in &blocked {
                self.end_eviction_pause(*key, now);
            }
            self.report_idle(&blocked, now);
            if !blocked.is_empty() && self.blocked.explain_at <= now {
                self.blocked.explain_at = now.plus_ms(EXPLAIN_INTERVAL_MS);
                self.explain_blocked(&blocked, now);
                self.count_states(&blocked, now);
            }
            let ids = blocked.iter().map(|it| it.1.submission);
            let is_starved = |it: &SubmissionId| {
                self.work.get(it).is_some_and(|it| !self.starved_steps(it).is_empty())
            };
            let starved: Vec<SubmissionId> = ids.filter(is_starved).collect();
            self.blocked.starved.extend(starved);
        }
        self.start_starved(schedulable, now);
    }

    fn explain_blocked(&mut self, blocked: &[(Timestamp, StepKey)], now: Timestamp) {
        for (since, key) in blocked.iter().take(MAX_EXPLAINED) {
            let inputs = self.explain(*key, *since, now);
            let submission = Some(key.submission);
            self.log_decision(DecisionKind::SubmissionBlocked, submission, None, || inputs);
        }
    }

    /// Starts one task of each starved submission that has no run.
    fn start_starved(&mut self, schedulable: &[WorkerIndex], now: Timestamp) {
        let starved = std::mem::take(&mut self.blocked.starved);
        let mut is_open: BTreeMap<String, bool> = BTreeMap::new();
        let mut tries = 0;
        for id in starved {
            let Some(work) = self.work.get(&id).filter(|it| !it.state.is_final()) else { continue };
            let service = &work.queue.service;
            if !is_open.contains_key(service) {
                is_open.insert(service.clone(), self.may_start_starved(service));
            }
            if !is_open[service] {
                continue;
            }
            // Those that were not tried are the first of the next round.
            let is_waiting = self.idle_step(work).is_some() && !is_starting(work, now);
            let is_kept = if is_waiting && tries < MAX_STARTED {
                let steps = self.starved_steps(work);
                tries += steps.len();
                // One that fits nowhere is tried again after the next check.
                steps.into_iter().any(|it| self.start_one(it, schedulable, now))
            } else {
                true
            };
            if is_kept {
                self.blocked.starved.insert(id);
            }
        }
    }

    /// Returns the ready best-effort steps of a submission that have tasks to be
    /// placed. The first may be unable to start where another can.
    fn starved_steps(&self, work: &Work) -> Vec<StepKey> {
        let is_starved = |key: &StepKey| {
            let spec = &work.submission.steps[usize::from(key.step)];
            let occurrence = work.occurrence(key.occurrence);
            let step = occurrence.map(|it| &it.steps[usize::from(key.step)]);
            spec.is_best_effort && step.is_some_and(|it| it.is_ready) && self.has_placeable(*key)
        };
        let numbers = work.occurrences.iter().map(|it| it.number);
        numbers.flat_map(|it| work.submission.step_keys(it)).filter(is_starved).collect()
    }

    /// Returns the first ready step of each blocked submission, and since when
    /// it has had no run; the longest waits first.
    fn find_blocked(&mut self, now: Timestamp) -> Vec<(Timestamp, StepKey)> {
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
        blocked
    }

    /// Returns the reserved share of the capacity of a pool's workers that
    /// answer, in percent: that of the dimension with the largest share.
    /// Workers that take no new work for a while count, since users count them,
    /// but not those in an evacuated domain.
    fn reserved_percent(&self, service: &str) -> u64 {
        let in_pool = self.workers.iter().filter(|it| it.listing.service == service);
        placement::reserved_percent(in_pool.filter(|it| it.is_room()))
    }

    /// Returns whether starved submissions may start on a pool.
    pub(super) fn may_start_starved(&self, service: &str) -> bool {
        self.reserved_percent(service) < MAX_RESERVED_PERCENT
    }

    /// Starts one task of a best-effort step, or a gang as a whole, where it does
    /// the least harm. Returns whether it fits anywhere.
    fn start_one(&mut self, key: StepKey, schedulable: &[WorkerIndex], now: Timestamp) -> bool {
        let Some(work) = self.work.get(&key.submission) else { return false };
        let submission = work.submission.clone();
        let spec = &submission.steps[usize::from(key.step)];
        let Some(mut pending) = self.pending_tasks(key, false, now) else { return false };
        pending.is_starved = true;
        if !spec.is_gang {
            pending.tasks.truncate(1);
        }
        let tasks = pending.tasks.len();
        let mut chosen = self.allocate_tasks(&mut pending, spec, schedulable, &[], now);
        if chosen.len() < tasks {
            self.release_tasks(key, &mut chosen);
            return false;
        }
        self.start(&submission, &pending, &chosen, now);
        true
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
            let key = TaskKey { step: key, index: i as u16 };
            task.run().is_some_and(|run| self.is_alive(key, run))
        })
    }

    /// Returns the state of a step's tasks, how many workers are kept from
    /// running it by which obstacle, and how much capacity is free.
    fn explain(&self, key: StepKey, since: Timestamp, now: Timestamp) -> String {
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
        let is_fenced = self.may_start_work(work, now);
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
                let is_reserved =
                    !spec.is_best_effort && self.reserved.get(&index).is_some_and(|it| *it != key);
                let obstacle = self
                    .obstacle(index, now)
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
        let mut suspects: BTreeMap<SuspectWait, u32> = BTreeMap::new();
        for (i, _) in step.tasks.iter().enumerate().filter(|it| it.1.is_waiting()) {
            let task = TaskKey { step: key, index: i as u16 };
            if let Some(wait) = self.suspect_wait(task, now) {
                *suspects.entry(wait).or_default() += 1;
            }
        }
        for (wait, tasks) in suspects {
            let _ = write!(text, " suspected_{wait}={tasks}");
        }
        let used_percent = self.reserved_percent(&work.queue.service);
        let _ = write!(text, " used_percent={used_percent}");
        text
    }
}

/// Returns whether a run of a submission was ordered so recently that it may
/// still be confirmed.
pub(super) fn is_starting(work: &Work, now: Timestamp) -> bool {
    let runs = work.runs().map(|it| it.1);
    runs.map(|it| now.ms_since(it.ordered_at)).any(|it| it < BLOCKED_AFTER_MS)
}
