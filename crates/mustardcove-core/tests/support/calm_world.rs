//! Workers with known defects around a planner, in virtual time, and a check
//! of which accepted work has no run although healthy workers have capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mustardcove_core::{
    fleet::{
        id::{EndNumber, Incarnation, RunNumber, StepKey, SubmissionId, TaskKey, Term},
        message::{
            EndKind, EndedRun, Order, PollResult, RunningTask, StartOrder, StartOutcome,
            WorkerReport,
        },
        planner::{Planner, WorkerListing},
        poller::MAX_ORPHAN_LEASE_MS,
        record::ProgressRecord,
        submission::{StepSpec, Submission, SubmissionState},
    },
    id::WorkerId,
    size::Resources,
    time::Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet_world::{listing, manifest};

/// Duration of a simulation step, in milliseconds.
const STEP_MS: u64 = 50;
/// Lease that a poll or a start grants, in milliseconds.
const LEASE_MS: u64 = 4_000;
/// Time between two polls of a worker that runs something, and of one that
/// does not, in milliseconds.
const BUSY_POLL_MS: std::ops::Range<u64> = 220..500;
const IDLE_POLL_MS: std::ops::Range<u64> = 700..1_100;
/// Time after which a call without an answer is reported as such, in
/// milliseconds.
const CALL_TIMEOUT_MS: u64 = 600;
/// Time that a gang member waits for the others, in milliseconds.
const GANG_TIMEOUT_MS: u64 = 3_000;
/// Time within which tasks that cannot be done, and those on failing workers,
/// fail, in milliseconds.
const FAILURE_MS: std::ops::Range<u64> = 50..400;

/// How a worker treats its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Defect {
    None,
    /// Every run fails.
    Failing,
    /// No run progresses.
    Hanging,
    /// No call reaches it.
    Silent,
    /// It rejects starts for lack of capacity.
    Refusing,
}

#[derive(Clone, Copy, Debug)]
struct SimRun {
    run: RunNumber,
    /// Work that is left, in milliseconds; `None` for long-running tasks.
    left_ms: Option<u64>,
    total_ms: u64,
    fails_at: Option<Timestamp>,
    started_at: Timestamp,
    /// Whether all members of its gang have been there together.
    is_complete: bool,
    pace: u8,
}

#[derive(Debug)]
pub(crate) struct SimWorker {
    pub(crate) listing: WorkerListing,
    pub(crate) defect: Defect,
    fence: Term,
    lease_until: Timestamp,
    running: BTreeMap<TaskKey, SimRun>,
    ended: Vec<EndedRun>,
    next_end: u64,
    highest_ended: BTreeMap<TaskKey, RunNumber>,
    poll_at: Timestamp,
    failed_polls: u32,
    acknowledged: EndNumber,
}

impl SimWorker {
    fn end(&mut self, task: TaskKey, kind: EndKind) {
        let Some(run) = self.running.remove(&task) else { return };
        let highest = self.highest_ended.entry(task).or_default();
        *highest = (*highest).max(run.run);
        let number = EndNumber(self.next_end);
        self.next_end += 1;
        self.ended.push(EndedRun { number, task, run: run.run, kind, checkpoint: None });
    }
}

/// A submission as the simulation sees it.
#[derive(Debug)]
pub(crate) struct Accepted {
    pub(crate) submission: Arc<Submission>,
    /// Whether its tasks fail wherever they run.
    pub(crate) is_hopeless: bool,
    /// How long each task works, in milliseconds.
    work_ms: u64,
    done: BTreeSet<(u32, u16, u16)>,
    idle_since: Option<Timestamp>,
    /// Longest time without a run although healthy workers had capacity.
    pub(crate) longest_idle_ms: u64,
    /// Since when each long-running task that ran before has had no run.
    task_idle_since: BTreeMap<TaskKey, Option<Timestamp>>,
    /// The longest such time, and the task, although healthy workers had
    /// capacity, however much was in use.
    pub(crate) longest_task_idle: Option<(u64, TaskKey)>,
}

/// A leader's planner with simulated workers and submissions.
pub(crate) struct CalmWorld {
    pub(crate) now: Timestamp,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) workers: Vec<SimWorker>,
    pub(crate) accepted: BTreeMap<SubmissionId, Accepted>,
    pub(crate) planner: Planner,
    pub(crate) states: BTreeMap<SubmissionId, SubmissionState>,
    /// Share of starts and stops that are lost or lose their answer, in
    /// percent.
    pub(crate) call_failure_percent: u32,
    /// Whether the time without a run is counted.
    pub(crate) is_judged: bool,
    /// Lines of the planner's log about submissions that are blocked.
    pub(crate) blocked: Vec<String>,
    late_reports: Vec<(Timestamp, usize, WorkerReport)>,
    progress: BTreeMap<SubmissionId, (ProgressRecord, u64)>,
    claims: u64,
    revision: u64,
}

impl CalmWorld {
    pub(crate) fn new(seed: u64, listings: Vec<WorkerListing>) -> CalmWorld {
        let now = Timestamp(1_000_000);
        let worker = |listing: WorkerListing| SimWorker {
            listing,
            defect: Defect::None,
            fence: Term(0),
            lease_until: now,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest_ended: BTreeMap::new(),
            poll_at: now,
            failed_polls: 0,
            acknowledged: EndNumber(0),
        };
        CalmWorld {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers: listings.into_iter().map(worker).collect(),
            accepted: BTreeMap::new(),
            planner: Planner::new(Term(1), 1, manifest(3), now),
            states: BTreeMap::new(),
            call_failure_percent: 0,
            is_judged: true,
            blocked: Vec::new(),
            late_reports: Vec::new(),
            progress: BTreeMap::new(),
            claims: 1,
            revision: 1,
        }
    }

    pub(crate) fn submit(&mut self, submission: Arc<Submission>, work_ms: u64, is_hopeless: bool) {
        let accepted = Accepted {
            submission: submission.clone(),
            is_hopeless,
            work_ms,
            done: BTreeSet::new(),
            idle_since: None,
            longest_idle_ms: 0,
            task_idle_since: BTreeMap::new(),
            longest_task_idle: None,
        };
        self.accepted.insert(submission.id, accepted);
        self.planner.submit(submission, true, self.now);
    }

    /// Replaces the leader by a new one.
    pub(crate) fn elect(&mut self) {
        self.claims += 1;
        self.revision += 1;
        self.late_reports.clear();
        let fenced_at = self.now.plus_ms(MAX_ORPHAN_LEASE_MS);
        let term = Term(self.revision);
        self.planner = Planner::new(term, self.claims, manifest(3), fenced_at);
        for (id, accepted) in &self.accepted {
            let progress = self.progress.get(id).map(|(it, revision)| (it, *revision));
            self.planner.restore(accepted.submission.clone(), false, progress, self.now);
        }
        for worker in &mut self.workers {
            worker.acknowledged = EndNumber(0);
            worker.failed_polls = 0;
        }
    }

    /// Restarts a worker.
    pub(crate) fn restart(&mut self, worker: usize) {
        let it = &mut self.workers[worker];
        it.listing.incarnation = Incarnation(it.listing.incarnation.0 + 1);
        it.running.clear();
        it.ended.clear();
        it.highest_ended.clear();
        it.next_end = 1;
        it.fence = Term(0);
        it.acknowledged = EndNumber(0);
        it.poll_at = self.now.plus_ms(1_000);
    }

    pub(crate) fn run(&mut self, ms: u64) {
        let until = self.now.plus_ms(ms);
        while self.now < until {
            self.now = self.now.plus_ms(STEP_MS);
            self.work();
            self.poll();
            self.plan();
            self.judge();
        }
    }

    fn work(&mut self) {
        let now = self.now;
        let mut gangs: BTreeMap<(TaskKey, RunNumber), u16> = BTreeMap::new();
        for worker in &self.workers {
            for (task, run) in &worker.running {
                *gangs.entry((TaskKey { index: 0, ..*task }, run.run)).or_default() += 1;
            }
        }
        let mut broken: Vec<(TaskKey, RunNumber)> = Vec::new();
        let mut gang_done: Vec<(TaskKey, RunNumber)> = Vec::new();
        for worker in &mut self.workers {
            if worker.lease_until <= now {
                let tasks: Vec<TaskKey> = worker.running.keys().copied().collect();
                for task in tasks {
                    worker.end(task, EndKind::LeaseExpired);
                }
            }
            let mut ends = Vec::new();
            for (task, run) in &mut worker.running {
                let Some(accepted) = self.accepted.get(&task.step.submission) else { continue };
                let spec = &accepted.submission.steps[usize::from(task.step.step)];
                let key = (TaskKey { index: 0, ..*task }, run.run);
                if spec.is_gang && !run.is_complete {
                    if gangs[&key] == spec.count {
                        run.is_complete = true;
                    } else if GANG_TIMEOUT_MS <= now.ms_since(run.started_at) {
                        ends.push((*task, EndKind::GangIncomplete));
                        continue;
                    } else {
                        continue;
                    }
                }
                if spec.is_gang && gangs[&key] < spec.count {
                    ends.push((*task, EndKind::GangBroken));
                    continue;
                }
                if run.fails_at.is_some_and(|it| it <= now) {
                    ends.push((*task, EndKind::Failed));
                    broken.push(key);
                    continue;
                }
                if worker.defect == Defect::Hanging || run.fails_at.is_some() {
                    continue;
                }
                if let Some(left) = &mut run.left_ms {
                    *left = left.saturating_sub(STEP_MS * u64::from(run.pace) / 100);
                    if *left == 0 {
                        ends.push((*task, EndKind::Done));
                        if spec.is_gang {
                            gang_done.push(key);
                        }
                    }
                }
            }
            for (task, kind) in ends {
                worker.end(task, kind);
                if kind == EndKind::Done {
                    let accepted = self.accepted.get_mut(&task.step.submission);
                    let accepted = accepted.expect("a submission");
                    let spec = &accepted.submission.steps[usize::from(task.step.step)];
                    let members =
                        if spec.is_gang { 0..spec.count } else { task.index..task.index + 1 };
                    let step = task.step;
                    accepted.done.extend(members.map(|it| (step.occurrence, step.step, it)));
                }
            }
        }
        for key in gang_done {
            for worker in &mut self.workers {
                let members: Vec<TaskKey> = (worker.running.iter())
                    .filter(|(task, it)| (TaskKey { index: 0, ..**task }, it.run) == key)
                    .map(|it| *it.0)
                    .collect();
                for task in members {
                    worker.end(task, EndKind::Done);
                }
            }
        }
    }

    fn poll(&mut self) {
        let now = self.now;
        for index in 0..self.workers.len() {
            let worker = &mut self.workers[index];
            if now < worker.poll_at {
                continue;
            }
            let id = worker.listing.worker.clone();
            if worker.defect == Defect::Silent {
                worker.poll_at = now.plus_ms(CALL_TIMEOUT_MS);
                worker.failed_polls += 1;
                let is_silent = 2 <= worker.failed_polls;
                let report = WorkerReport::PollFailed { leases_expire_by: None, is_silent };
                self.planner.report(&id, report, now);
                continue;
            }
            worker.failed_polls = 0;
            worker.fence = self.planner.term();
            let range = if worker.running.is_empty() { IDLE_POLL_MS } else { BUSY_POLL_MS };
            worker.poll_at = now.plus_ms(self.rng.random_range(range));
            worker.lease_until = now.plus_ms(LEASE_MS);
            let acknowledged = worker.acknowledged;
            worker.ended.retain(|it| acknowledged < it.number);
            let running = worker.running.iter().map(|(task, it)| RunningTask {
                task: *task,
                run: it.run,
                checkpoint: None,
                percent: it.left_ms.map_or(100, |left| {
                    ((it.total_ms - left) * 100 / it.total_ms.max(1)).min(99) as u8
                }),
                measurement: 0,
            });
            let poll = PollResult {
                incarnation: worker.listing.incarnation,
                leases_expire_by: now.plus_ms(LEASE_MS + 1_200),
                responsive_since: Timestamp(1),
                asked_at: now,
                running: running.collect(),
                ended: worker.ended.clone(),
                may_lack_ends: false,
            };
            self.planner.report(&id, WorkerReport::Polled(poll), now);
        }
        let due: Vec<_> = self.late_reports.extract_if(.., |it| it.0 <= now).collect();
        for (_, worker, report) in due {
            let id = self.workers[worker].listing.worker.clone();
            self.planner.report(&id, report, now);
        }
    }

    fn plan(&mut self) {
        let listings = self.workers.iter().map(|it| it.listing.clone()).collect();
        self.planner.update_workers(listings, true);
        self.planner.tick(self.now);
        let mut actions = self.planner.take_actions();
        let (change, records) = self.planner.take_progress();
        self.revision += 1;
        for (id, progress, _) in records {
            self.planner.record_stored(id, self.revision, change);
            self.progress.insert(id, (progress, self.revision));
        }
        self.planner.acknowledge_stored();
        let stored = self.planner.take_actions();
        actions.orders.extend(stored.orders);
        self.states.extend(actions.states);
        self.states.extend(stored.states);
        let blocked =
            actions.decisions.iter().filter(|it| it.kind.to_string() == "submission_blocked");
        for it in blocked {
            self.blocked.push(format!("{} {}", self.now, it.inputs));
        }
        for (id, order) in actions.orders {
            self.order(&id, order);
        }
    }

    fn order(&mut self, id: &WorkerId, order: Order) {
        let index = self.workers.iter().position(|it| it.listing.worker == *id);
        let index = index.expect("a worker");
        let is_lost = self.workers[index].defect == Defect::Silent;
        let fails = self.rng.random_range(0..100) < self.call_failure_percent;
        let is_applied = !is_lost && (!fails || self.rng.random_range(0..2) == 0);
        let is_answered = !is_lost && !fails;
        let report = match order {
            Order::Start(start) => {
                let outcome =
                    if is_applied { self.start(index, &start) } else { StartOutcome::MayHaveRun };
                let outcome = if is_answered { outcome } else { StartOutcome::MayHaveRun };
                WorkerReport::Start {
                    task: start.task,
                    run: start.run,
                    outcome,
                    answered_at: self.now,
                }
            }
            Order::Stop { task, run } => {
                if is_applied {
                    let worker = &mut self.workers[index];
                    let highest = worker.highest_ended.entry(task).or_default();
                    *highest = (*highest).max(run);
                    if worker.running.get(&task).is_some_and(|it| it.run <= run) {
                        worker.end(task, EndKind::Stopped);
                    }
                }
                WorkerReport::Stop { task, run, is_confirmed: is_answered, answered_at: self.now }
            }
            Order::Pace { task, run, percent } => {
                if is_applied
                    && let Some(it) = self.workers[index].running.get_mut(&task)
                    && it.run == run
                {
                    it.pace = percent;
                }
                if is_answered {
                    return;
                }
                WorkerReport::PaceUnconfirmed { task, run }
            }
            Order::AcknowledgeEnds { incarnation, through } => {
                let worker = &mut self.workers[index];
                if worker.listing.incarnation == incarnation {
                    worker.acknowledged = worker.acknowledged.max(through);
                }
                return;
            }
        };
        let delay_ms = if is_answered { STEP_MS } else { CALL_TIMEOUT_MS };
        self.late_reports.push((self.now.plus_ms(delay_ms), index, report));
    }

    fn start(&mut self, index: usize, start: &StartOrder) -> StartOutcome {
        let now = self.now;
        let fails_after = self.rng.random_range(FAILURE_MS);
        let accepted = &self.accepted[&start.task.step.submission];
        let spec = &accepted.submission.steps[usize::from(start.task.step.step)];
        let used = self.used(index);
        let worker = &mut self.workers[index];
        if self.planner.term() < worker.fence {
            return StartOutcome::Fenced;
        }
        if worker.defect == Defect::Refusing {
            return StartOutcome::NoRoom;
        }
        if worker.highest_ended.get(&start.task).is_some_and(|it| start.run <= *it) {
            return StartOutcome::Superseded;
        }
        if !spec.allocation().fits_in(worker.listing.capacity.saturating_sub(used)) {
            return StartOutcome::NoRoom;
        }
        worker.lease_until = worker.lease_until.max(now.plus_ms(LEASE_MS));
        worker.poll_at = worker.poll_at.min(now.plus_ms(BUSY_POLL_MS.end));
        let fails = accepted.is_hopeless || worker.defect == Defect::Failing;
        let run = SimRun {
            run: start.run,
            left_ms: (!spec.is_long_running).then_some(accepted.work_ms),
            total_ms: accepted.work_ms,
            fails_at: fails.then(|| now.plus_ms(fails_after)),
            started_at: now,
            is_complete: false,
            pace: 100,
        };
        let is_new = worker.running.insert(start.task, run).is_none();
        assert!(is_new, "{} runs twice on one worker", start.task);
        StartOutcome::Started
    }

    fn used(&self, index: usize) -> Resources {
        let allocation = |task: &TaskKey| {
            let accepted = &self.accepted[&task.step.submission];
            accepted.submission.steps[usize::from(task.step.step)].allocation()
        };
        let running = self.workers[index].running.keys().map(allocation);
        running.fold(Resources::ZERO, Resources::saturating_add)
    }

    /// Measures how long each submission has had no run although a step of it
    /// is ready and healthy workers have capacity for it twice over.
    fn judge(&mut self) {
        let now = self.now;
        let mut alive: BTreeSet<SubmissionId> = BTreeSet::new();
        for worker in &self.workers {
            alive.extend(worker.running.keys().map(|it| it.step.submission));
        }
        let used: Vec<Resources> = (0..self.workers.len()).map(|it| self.used(it)).collect();
        let sum = |it: &mut dyn Iterator<Item = u64>| it.sum::<u64>();
        let used_cpu = sum(&mut used.iter().map(|it| it.cpu.0));
        let capacity = sum(&mut self.workers.iter().map(|it| it.listing.capacity.cpu.0));
        let is_mostly_free = used_cpu * 2 < capacity;
        let workers = &self.workers;
        let has_capacity = |spec: &StepSpec| {
            let members = if spec.is_gang { u64::from(spec.count) } else { 1 };
            let fitting = |index: usize| {
                let worker = &workers[index];
                let is_eligible = worker.defect == Defect::None
                    && !worker.listing.is_draining
                    && spec
                        .requirement
                        .as_ref()
                        .is_none_or(|it| worker.listing.labels.contains(it));
                let mut free = worker.listing.capacity.saturating_sub(used[index]);
                let mut count = 0;
                let most = spec.max_per_worker.map_or(2 * members, u64::from);
                while is_eligible && count < most && spec.demand.fits_in(free) {
                    free = free.saturating_sub(spec.demand);
                    count += 1;
                }
                count
            };
            2 * members <= (0..workers.len()).map(fitting).sum::<u64>()
        };
        for worker in workers {
            for task in worker.running.keys() {
                let Some(accepted) = self.accepted.get_mut(&task.step.submission) else { continue };
                if accepted.submission.steps[usize::from(task.step.step)].is_long_running {
                    accepted.task_idle_since.insert(*task, None);
                }
            }
        }
        for (id, accepted) in &mut self.accepted {
            let is_final = self.states.get(id).is_some_and(|it| it.is_final());
            for (task, since) in &mut accepted.task_idle_since {
                let spec = &accepted.submission.steps[usize::from(task.step.step)];
                let is_running = workers.iter().any(|it| it.running.contains_key(task));
                let is_owed = !is_final && !accepted.is_hopeless && self.is_judged;
                let is_kept = is_owed && !is_running && !spec.is_gang;
                if !is_kept || !has_capacity_beside(spec, task.step, workers, &used) {
                    *since = None;
                    continue;
                }
                let idle_ms = now.ms_since(*since.get_or_insert(now));
                let idle = Some((idle_ms, *task));
                accepted.longest_task_idle = accepted.longest_task_idle.max(idle);
            }
        }
        for (id, accepted) in &mut self.accepted {
            let is_final = self.states.get(id).is_some_and(|it| it.is_final());
            let is_idle = !is_final && !alive.contains(id) && {
                let submission = &accepted.submission;
                let done = &accepted.done;
                let undone = |k: u32, s: u16| {
                    (0..submission.steps[usize::from(s)].count)
                        .any(|it| !done.contains(&(k, s, it)))
                };
                let due = |k: u32| submission.schedule.is_none_or(|it| it.due_at(k) <= now);
                (0..submission.occurrences()).filter(|it| due(*it)).any(|k| {
                    (submission.steps.iter().enumerate()).any(|(s, spec)| {
                        undone(k, s as u16)
                            && spec.after.iter().all(|it| !undone(k, *it))
                            && is_mostly_free
                            && has_capacity(spec)
                    })
                })
            };
            if !is_idle || !self.is_judged {
                accepted.idle_since = None;
                continue;
            }
            let since = *accepted.idle_since.get_or_insert(now);
            accepted.longest_idle_ms = accepted.longest_idle_ms.max(now.ms_since(since));
        }
    }
}

/// Returns whether healthy workers have capacity twice over for a task of a
/// step, beside the tasks of the step that run.
fn has_capacity_beside(
    spec: &StepSpec,
    step: StepKey,
    workers: &[SimWorker],
    used: &[Resources],
) -> bool {
    let fitting = |(worker, used): (&SimWorker, &Resources)| {
        let labels = &worker.listing.labels;
        let is_eligible = worker.defect == Defect::None
            && !worker.listing.is_draining
            && spec.requirement.as_ref().is_none_or(|it| labels.contains(it));
        let same_step = worker.running.keys().filter(|it| it.step == step).count() as u64;
        let most = spec.max_per_worker.map_or(2, |it| u64::from(it).saturating_sub(same_step));
        let free = worker.listing.capacity.saturating_sub(*used);
        let twice = spec.demand.saturating_add(spec.demand);
        let fitting = u64::from(spec.demand.fits_in(free)) + u64::from(twice.fits_in(free));
        if is_eligible { fitting.min(most) } else { 0 }
    };
    2 <= workers.iter().zip(used).map(fitting).sum::<u64>()
}

/// Memory of each worker, in MiB.
pub(crate) const MEMORY_MIB: u64 = 1 << 20;

/// Returns the entry of worker `i` of a site: `per_rack` workers share a rack,
/// and every fourth worker has the kind `gpu`.
pub(crate) fn site_listing(i: usize, per_rack: usize, cpu: u64) -> WorkerListing {
    let kind = if i.is_multiple_of(4) { "gpu" } else { "cpu" };
    WorkerListing {
        labels: vec![kind.to_owned(), format!("r{}", i / per_rack)],
        ..listing(&format!("w{i}"), cpu, Incarnation(1))
    }
}
