//! Why tasks of long-running steps have no run.
//!
//! A long-running task is to run until it is stopped, so one that waits while
//! capacity is free points to a fault, also beside other tasks of its step that
//! run. For some of the tasks that have waited for seconds, the log says what
//! each waits for, and which obstacle keeps it from the worker that is nearest
//! to running it. Those for which capacity is free go first, then those that
//! were not explained for the longest time.
//!
//! Checks are done a few times a second only, as each goes through all
//! submissions. The number of explanations bounds the log and the processor
//! time, since each compares all workers.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use strum::Display;

use super::{
    DecisionKind, Planner,
    placement::{self, Obstacle},
    suspects::SuspectWait,
    work::{Phase, Run, WorkerIndex},
    workers::Worker,
};
use crate::{
    fleet::{
        id::{StepKey, TaskKey},
        submission::StepSpec,
    },
    size::Resources,
    time::Timestamp,
};

/// Time between two checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Time without a run after which a task counts as waiting, in milliseconds: as
/// long as users accept.
const WAITING_AFTER_MS: u64 = 3_000;
/// Time without a run after which a task may use workers that are suspended or
/// reserved for others, in milliseconds: a start and two checks fit into the
/// rest of what users accept.
const OVERDUE_AFTER_MS: u64 = 1_500;
/// Time between two groups of explanations, in milliseconds.
const EXPLAIN_INTERVAL_MS: u64 = 1_000;
/// Time between two explanations of one task, in milliseconds.
const EXPLAIN_AGAIN_MS: u64 = 5_000;
/// Most tasks explained at once.
const MAX_EXPLAINED: usize = 4;
/// Most steps for which a check looks for a worker with capacity. Only pools
/// that are mostly free count, where few steps wait.
const MAX_CHECKED_STEPS: usize = 100;
/// Most tasks in the dump of the process's state.
const MAX_DUMPED: usize = 100;

/// What a task waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Reason {
    /// The workers that may run it under an earlier leader.
    Fence,
    /// The pause after its last run.
    Pause,
    /// What becomes of a silent worker that it may have crashed.
    Suspicion,
    /// The record of a suspicion, without which it does not start.
    Record,
    /// A worker that can be isolated for it.
    Isolation,
    /// The worker that is isolated for it.
    Claim,
    /// The confirmation of its start.
    Start,
    /// The end of a run that was ordered to stop.
    Stop,
    /// The end of the leases of a silent worker.
    Lease,
    /// Capacity.
    Capacity,
    /// The end of a worker's suspension.
    Suspension,
    /// The end of a reservation for another step.
    Reservation,
    /// The end of the evacuation of all workers that could run it.
    Evacuation,
    /// The end of another obstacle of the nearest worker.
    Worker,
    /// Nothing: the nearest worker can run it.
    Placement,
}

/// A task without a run.
#[derive(Clone, Debug)]
struct Wait {
    since: Timestamp,
    explained_at: Timestamp,
    /// The last explanation; empty before the first.
    explanation: String,
    has_free_worker: bool,
}

/// Tasks of long-running steps without a run, as of the last check.
#[derive(Clone, Debug, Default)]
pub(super) struct LongRunningWaits {
    tasks: BTreeMap<TaskKey, Wait>,
    waiting: usize,
    waiting_beside_capacity: usize,
    check_at: Timestamp,
    explain_at: Timestamp,
}

impl LongRunningWaits {
    /// Returns whether a long-running task of a step has waited for so long that
    /// what keeps it from free capacity has to give way.
    pub(super) fn has_overdue(&self, key: StepKey, now: Timestamp) -> bool {
        let tasks = TaskKey { step: key, index: 0 }..=TaskKey { step: key, index: u16::MAX };
        self.tasks.range(tasks).any(|it| it.1.is_overdue(now))
    }

    /// Returns the same for one task.
    pub(super) fn is_overdue(&self, task: TaskKey, now: Timestamp) -> bool {
        self.tasks.get(&task).is_some_and(|it| it.is_overdue(now))
    }

    /// Returns how many tasks have waited for seconds.
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns how many of them wait although capacity for them is free and
    /// under half of their pool is in use.
    pub(super) fn waiting_beside_capacity(&self) -> usize {
        self.waiting_beside_capacity
    }
}

/// The worker that is nearest to running a task.
pub(super) struct Nearest {
    pub(super) index: WorkerIndex,
    pub(super) obstacle: Option<Obstacle>,
}

impl Planner {
    /// Returns what the long-running tasks wait for that have waited for
    /// seconds, for the dump of the process's state: the longest wait first,
    /// and a bounded number.
    pub fn long_running_waits(&self, now: Timestamp) -> Vec<String> {
        let waiting = self.waits.tasks.iter().filter(|it| it.1.is_long(now));
        let mut waiting: Vec<(&TaskKey, &Wait)> = waiting.collect();
        waiting.sort_by_key(|(task, it)| (it.explanation.is_empty(), it.since, **task));
        let row = |(task, it): (&TaskKey, &Wait)| match it.explanation.as_str() {
            "" => format!("task={task} waited_ms={}", now.ms_since(it.since)),
            explanation => explanation.to_owned(),
        };
        waiting.into_iter().take(MAX_DUMPED).map(row).collect()
    }

    /// Finds the long-running tasks without a run, and logs what some of them
    /// wait for.
    pub(super) fn check_waits(&mut self, now: Timestamp) {
        if now < self.waits.check_at {
            return;
        }
        self.waits.check_at = now.plus_ms(CHECK_INTERVAL_MS);
        self.find_waits(now);
        if self.waits.explain_at <= now && 0 < self.waits.waiting {
            self.waits.explain_at = now.plus_ms(EXPLAIN_INTERVAL_MS);
            self.explain_waits(now);
        }
    }

    fn find_waits(&mut self, now: Timestamp) {
        let mut earlier = std::mem::take(&mut self.waits.tasks);
        let mut free_by_service: HashMap<&str, bool> = HashMap::new();
        let (mut tasks, mut checked) = (BTreeMap::new(), 0);
        for work in self.work.values().filter(|it| !it.state.is_final()) {
            let steps = work.occurrences.iter().flat_map(|occurrence| {
                work.submission.step_keys(occurrence.number).zip(&occurrence.steps)
            });
            for (key, step) in steps {
                let spec = &work.submission.steps[usize::from(key.step)];
                if !step.is_ready || !spec.is_long_running {
                    continue;
                }
                let mut has_free_worker = None;
                for (i, slot) in step.tasks.iter().enumerate() {
                    let task = TaskKey { step: key, index: i as u16 };
                    if slot.is_done() || slot.run().is_some_and(|it| self.is_alive(task, it)) {
                        continue;
                    }
                    let mut wait = earlier.remove(&task).unwrap_or(Wait {
                        since: now,
                        explained_at: Timestamp::default(),
                        explanation: String::new(),
                        has_free_worker: false,
                    });
                    let service = work.queue.service.as_str();
                    wait.has_free_worker = wait.is_long(now)
                        && *has_free_worker.get_or_insert_with(|| {
                            checked += 1;
                            checked <= MAX_CHECKED_STEPS
                                && *free_by_service
                                    .entry(service)
                                    .or_insert_with(|| self.is_pool_mostly_free(service))
                                && self.has_free_worker(spec, service)
                        });
                    tasks.insert(task, wait);
                }
            }
        }
        self.waits.waiting = tasks.values().filter(|it| it.is_long(now)).count();
        self.waits.waiting_beside_capacity = tasks.values().filter(|it| it.has_free_worker).count();
        self.waits.tasks = tasks;
    }

    fn explain_waits(&mut self, now: Timestamp) {
        let is_due =
            |it: &Wait| it.is_long(now) && EXPLAIN_AGAIN_MS <= now.ms_since(it.explained_at);
        let due = self.waits.tasks.iter().filter(|it| is_due(it.1));
        let rank = |it: &Wait| (!it.has_free_worker, it.explained_at, it.since);
        let mut due: Vec<_> = due.map(|(task, it)| (rank(it), *task)).collect();
        due.sort_unstable();
        for (_, task) in due.into_iter().take(MAX_EXPLAINED) {
            let Some(explanation) = self.explain_wait(task, now) else { continue };
            if let Some(it) = self.waits.tasks.get_mut(&task) {
                it.explained_at = now;
                it.explanation.clone_from(&explanation);
            }
            let submission = Some(task.step.submission);
            self.log_decision(DecisionKind::TaskWaiting, submission, None, || explanation);
        }
    }

    /// Returns whether a run is known to be alive and is not being stopped.
    pub(super) fn is_alive(&self, task: TaskKey, run: &Run) -> bool {
        run.is_confirmed()
            && !self.workers[run.worker].is_silent
            && !self.stops.contains_key(&(run.worker, task, run.run))
    }

    /// Returns whether under half of a pool's processors are in use.
    fn is_pool_mostly_free(&self, service: &str) -> bool {
        let in_pool = self.workers.iter().filter(|it| it.listing.service == service);
        placement::is_mostly_free(in_pool.filter(|it| is_offered(it)))
    }

    /// Returns whether a worker has capacity for a task of a step.
    fn has_free_worker(&self, spec: &StepSpec, service: &str) -> bool {
        let needed = spec.allocation();
        self.workers.iter().any(|it| {
            is_offered(it) && placement::is_eligible(it, spec, service) && needed.fits_in(it.free())
        })
    }

    fn explain_wait(&self, task: TaskKey, now: Timestamp) -> Option<String> {
        let work = self.work.get(&task.step.submission)?;
        let spec = work.submission.steps.get(usize::from(task.step.step))?;
        let step = work.occurrence(task.step.occurrence)?.steps.get(usize::from(task.step.step))?;
        let wait = self.waits.tasks.get(&task)?;
        let nearest = self.nearest_worker(task.step, now);
        let reason = self.wait_reason(task, nearest.as_ref(), now)?;
        let alive = step.tasks.iter().enumerate().filter(|(i, it)| {
            let task = TaskKey { step: task.step, index: *i as u16 };
            it.run().is_some_and(|it| self.is_alive(task, it))
        });
        let run = work.task(task)?.run().map(|it| self.worker_id(it.worker).to_string());
        let (worker, obstacle, free) = match &nearest {
            Some(it) => {
                let obstacle = it.obstacle.map_or("none".to_owned(), |it| it.to_string());
                (self.worker_id(it.index).to_string(), obstacle, self.workers[it.index].free())
            }
            None => ("-".to_owned(), "no_eligible_worker".to_owned(), Resources::ZERO),
        };
        let needed = spec.allocation();
        let with_capacity = self.obstacles_beside_capacity(task.step, now);
        let evacuated = match self.evacuated_for(task.step) {
            0 => String::new(),
            workers => format!(" evacuated={workers}"),
        };
        let leases = match reason {
            Reason::Lease => self.explain_lease(task, now),
            Reason::Fence => self.explain_fence(&work.queue.service, now),
            _ => String::new(),
        };
        Some(format!(
            "task={task} waited_ms={} for={reason} run_at={} nearest={worker} obstacle={obstacle} \
             free_cpu={} free_memory={} cpu={} memory={} step_runs={} of={} beside_capacity={} \
             with_capacity={with_capacity}{evacuated}{leases}",
            now.ms_since(wait.since),
            run.as_deref().unwrap_or("-"),
            free.cpu,
            free.memory,
            needed.cpu,
            needed.memory,
            alive.count(),
            spec.count,
            wait.has_free_worker,
        ))
    }

    /// Returns what a task without a run that is known to be alive waits for.
    pub(super) fn wait_reason(
        &self,
        task: TaskKey,
        nearest: Option<&Nearest>,
        now: Timestamp,
    ) -> Option<Reason> {
        let work = self.work.get(&task.step.submission)?;
        let slot = work.task(task)?;
        let suspect_wait = self.suspect_wait(task, now);
        if let Phase::Placed(run) = &slot.phase {
            let reason = if self.stops.contains_key(&(run.worker, task, run.run)) {
                Reason::Stop
            } else if suspect_wait == Some(SuspectWait::Withheld) {
                Reason::Record
            } else if self.workers[run.worker].is_silent {
                Reason::Lease
            } else {
                Reason::Start
            };
            return Some(reason);
        }
        if !self.may_start_work(work, now) {
            return Some(Reason::Fence);
        }
        if now < slot.not_before {
            return Some(Reason::Pause);
        }
        let reason = match (suspect_wait, nearest.map(|it| it.obstacle)) {
            (Some(SuspectWait::Undecided), _) => Reason::Suspicion,
            (Some(SuspectWait::Unstored | SuspectWait::Withheld), _) => Reason::Record,
            (Some(SuspectWait::Claimed), _) => Reason::Claim,
            (Some(SuspectWait::Unclaimed), _) => Reason::Isolation,
            (None, Some(None)) => Reason::Placement,
            (None, Some(Some(Obstacle::NoCapacity)) | None) => Reason::Capacity,
            (None, Some(Some(Obstacle::Suspended))) => Reason::Suspension,
            (None, Some(Some(Obstacle::Reserved))) => Reason::Reservation,
            (None, Some(Some(Obstacle::Evacuated))) => Reason::Evacuation,
            (None, Some(Some(_))) => Reason::Worker,
        };
        Some(reason)
    }

    /// Returns until when the leases last of the silent worker on which a task was
    /// placed, and since when that is silent.
    fn explain_lease(&self, task: TaskKey, now: Timestamp) -> String {
        let run = self.work.get(&task.step.submission).and_then(|it| it.task(task)?.run());
        let Some(worker) = run.map(|it| &self.workers[it.worker]) else { return String::new() };
        let left_ms = signed_ms(now, worker.runs_expire_by());
        let silent_ms = worker.silent_since.map_or(0, |it| now.ms_since(it));
        format!(" lease_left_ms={left_ms} silent_ms={silent_ms}")
    }

    /// Returns which worker of a pool keeps work of earlier leaders waiting the
    /// longest, how many do, and until when the leases there last.
    fn explain_fence(&self, service: &str, now: Timestamp) -> String {
        let in_pool = self.workers.iter().filter(|it| it.listing.service == service);
        let unfenced = in_pool.filter(|it| it.is_recorded && !it.is_fenced());
        let unfenced: Vec<&Worker> = unfenced.collect();
        let Some(last) = unfenced.iter().max_by_key(|it| self.earlier_leases_end(it)) else {
            return String::new();
        };
        let left_ms = signed_ms(now, self.earlier_leases_end(last));
        let silent_ms = last.silent_since.map_or(0, |it| now.ms_since(it));
        let (count, last) = (unfenced.len(), &last.listing.worker);
        format!(" lease_left_ms={left_ms} unheard={count} last={last} silent_ms={silent_ms}")
    }

    /// Returns the eligible worker that is nearest to running a task of a step:
    /// preferably one that is up, not evacuated and has capacity for it, and then
    /// one with a mild obstacle. All capacity of a dead worker is free, so that one is
    /// named only if no other is left.
    fn nearest_worker(&self, key: StepKey, now: Timestamp) -> Option<Nearest> {
        let needed = self.spec(key)?.allocation();
        self.eligible_workers(key, now)?.into_iter().min_by_key(|it| self.distance(it, needed))
    }

    /// Returns what orders workers by how near they are to running a task; the
    /// nearest has the lowest value.
    pub(super) fn distance(&self, nearest: &Nearest, needed: Resources) -> impl Ord + use<> {
        let worker = &self.workers[nearest.index];
        let fits = needed.fits_in(worker.free());
        // The obstacles are ordered by severity, the most severe first.
        let obstacle = nearest.obstacle.map(Reverse);
        (!worker.is_room(), !fits, obstacle, Reverse(worker.free().cpu), nearest.index)
    }

    /// Returns how many eligible workers that are up have capacity for a task of
    /// a step, by their obstacle.
    fn obstacles_beside_capacity(&self, key: StepKey, now: Timestamp) -> String {
        let needed = self.spec(key).map(StepSpec::allocation).unwrap_or_default();
        let has_capacity = |it: &Nearest| {
            let worker = &self.workers[it.index];
            worker.is_up() && needed.fits_in(worker.free())
        };
        let mut workers: BTreeMap<Option<Obstacle>, u32> = BTreeMap::new();
        let eligible = self.eligible_workers(key, now).unwrap_or_default();
        for it in eligible.into_iter().filter(has_capacity) {
            *workers.entry(it.obstacle).or_default() += 1;
        }
        let name = |it: Option<Obstacle>| it.map_or("none".to_owned(), |it| it.to_string());
        let counts = workers.into_iter().map(|(it, count)| format!("{}:{count}", name(it)));
        let counts: Vec<String> = counts.collect();
        if counts.is_empty() { "-".to_owned() } else { counts.join(",") }
    }

    /// Returns how many workers that could run a step are evacuated.
    fn evacuated_for(&self, key: StepKey) -> usize {
        let Some(work) = self.work.get(&key.submission) else { return 0 };
        let Some(spec) = self.spec(key) else { return 0 };
        let service = &work.queue.service;
        let is_evacuated = |it: &&Worker| {
            it.is_evacuated && it.is_listed && placement::is_eligible(it, spec, service)
        };
        self.workers.iter().filter(is_evacuated).count()
    }

    pub(super) fn spec(&self, key: StepKey) -> Option<&StepSpec> {
        self.work.get(&key.submission)?.submission.steps.get(usize::from(key.step))
    }

    /// Returns the workers of the pool and kind that a step needs, each with what
    /// keeps it from running a task of the step.
    pub(super) fn eligible_workers(&self, key: StepKey, now: Timestamp) -> Option<Vec<Nearest>> {
        let work = self.work.get(&key.submission)?;
        let spec = self.spec(key)?;
        let pending = self.pending_of_step(key, work, false)?;
        let req = self.request(&pending, spec, None);
        let rank = self.waiting_step(key).map(|it| it.rank(now));
        let is_overdue = self.is_overdue(key, now);
        let may_use_reserved = rank.is_none_or(|it| self.may_use_reserved(spec, it, is_overdue));
        let is_eligible = |it: &WorkerIndex| {
            placement::is_eligible(&self.workers[*it], spec, &work.queue.service)
        };
        let nearest = |index: WorkerIndex| {
            let is_reserved =
                !may_use_reserved && self.reserved.get(&index).is_some_and(|it| *it != key);
            let obstacle = self
                .obstacle(index, now)
                .or_else(|| self.score(&pending, req, index, now).err())
                .or(is_reserved.then_some(Obstacle::Reserved));
            Nearest { index, obstacle }
        };
        Some((0..self.workers.len()).filter(is_eligible).map(nearest).collect())
    }
}

/// Returns the milliseconds until a time, which are negative if it has passed.
pub(super) fn signed_ms(now: Timestamp, time: Timestamp) -> i64 {
    time.0 as i64 - now.0 as i64
}

/// Returns whether service discovery offers a worker for new work, and its domain
/// is not evacuated. A planner that wrongly takes it for unusable would miss the
/// capacity there.
fn is_offered(worker: &Worker) -> bool {
    worker.is_listed && !worker.listing.is_draining && !worker.is_evacuated
}

impl Wait {
    fn is_overdue(&self, now: Timestamp) -> bool {
        OVERDUE_AFTER_MS <= now.ms_since(self.since)
    }

    fn is_long(&self, now: Timestamp) -> bool {
        WAITING_AFTER_MS <= now.ms_since(self.since)
    }
}
