//! Workers, a store and callers around a planner, in virtual time.
//!
//! The workers keep the platform's promises: they obey the highest term, list
//! each end until it may be forgotten, refuse runs that are not higher than one
//! that ended, and end everything when the lease on their own, slow clock runs
//! out. Calls can be lost, answered in vain or carried out late.

use std::collections::{BTreeMap, BTreeSet};

use mustardcove_core::{
    fleet::{
        id::{EndNumber, Incarnation, ManifestVersion, RunNumber, SubmissionId, TaskKey, Term},
        manifest::{Manifest, Queue, Service},
        message::{EndKind, EndedRun, Order, PollResult, RunningTask, StartOutcome, WorkerReport},
        planner::{Planner, WorkerListing},
        poller::{LEADER_SILENT_MS, MAX_ORPHAN_LEASE_MS, NextPoll, WorkerPoller},
        record::ProgressRecord,
        submission::{StepSpec, Submission, SubmissionState},
    },
    id::WorkerId,
    size::Resources,
    time::Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

/// Host of the only queue.
pub(crate) const HOST: &str = "callers.example";
/// Prefix of the only queue.
pub(crate) const PREFIX: &str = "/batch/";
/// Pool of all workers.
pub(crate) const SERVICE: &str = "press";

/// Time after which a look without an answer has failed.
const LOOK_TIMEOUT_MS: u64 = 1_200;

/// Share of runs that last for several leases.
const LONG_RUN_PERCENT: u32 = 25;

/// Returns a queue.
pub(crate) fn queue(attempts: u32) -> Queue {
    Queue {
        name: "batch".to_owned(),
        host: HOST.to_owned(),
        prefix: PREFIX.to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
        attempts,
        stretch: 2.0,
        delay_budget_ms: 1_000,
        needs_ticket: false,
    }
}

/// Returns a manifest with the queue.
pub(crate) fn manifest(attempts: u32) -> Arc<Manifest> {
    Arc::new(Manifest {
        version: ManifestVersion(1),
        queues: vec![queue(attempts)],
        services: vec![Service {
            name: SERVICE.to_owned(),
            rejects_overload: true,
            is_standby: false,
        }],
        limits: Default::default(),
    })
}

/// Returns a step of tasks that need `cpu` millicores.
pub(crate) fn step(count: u16, cpu: u64, after: &[u16]) -> StepSpec {
    StepSpec {
        count,
        demand: Resources::new(cpu, 64, 0),
        estimate_ms: 800,
        after: after.to_vec(),
        ..StepSpec::default()
    }
}

/// Returns a submission.
pub(crate) fn submission(id: u64, steps: Vec<StepSpec>, now: Timestamp) -> Arc<Submission> {
    Arc::new(Submission {
        id: SubmissionId(id),
        queue: queue(3),
        payload: "payload".into(),
        steps,
        schedule: None,
        accepted_at: now,
    })
}

/// Returns how service discovery lists a worker.
pub(crate) fn listing(name: &str, cpu: u64, incarnation: Incarnation) -> WorkerListing {
    WorkerListing {
        worker: name.parse().expect("a valid name"),
        service: SERVICE.to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "d1".parse().expect("a valid name"),
        capacity: Resources::new(cpu, 1 << 20, 0),
        labels: vec!["a".to_owned(), "r1".to_owned()],
        is_draining: false,
        incarnation,
    }
}

#[derive(Debug, Clone)]
struct SimRun {
    run: RunNumber,
    ends_at: Timestamp,
    how: EndKind,
}

/// A worker that keeps the platform's promises.
#[derive(Debug)]
pub(crate) struct SimWorker {
    pub(crate) id: WorkerId,
    pub(crate) incarnation: Incarnation,
    started_at: Timestamp,
    rate_percent: u64,
    pub(crate) fence: Term,
    end_by: u64,
    running: BTreeMap<TaskKey, SimRun>,
    ended: Vec<EndedRun>,
    next_end: u64,
    barred: BTreeMap<TaskKey, RunNumber>,
    /// Until then, no call reaches it.
    pub(crate) cut_until: Timestamp,
    /// Until then, only callers that were given up reach it.
    pub(crate) hidden_until: Timestamp,
}

impl SimWorker {
    fn new(name: &str, incarnation: u64, rate_percent: u64, now: Timestamp) -> SimWorker {
        SimWorker {
            id: name.parse().expect("a valid name"),
            incarnation: Incarnation(incarnation),
            started_at: now,
            rate_percent,
            fence: Term(0),
            end_by: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            barred: BTreeMap::new(),
            cut_until: Timestamp(0),
            hidden_until: Timestamp(0),
        }
    }

    fn clock(&self, now: Timestamp) -> u64 {
        now.ms_since(self.started_at) * self.rate_percent / 100
    }

    fn end(&mut self, task: TaskKey, how: EndKind) {
        let Some(run) = self.running.remove(&task) else { return };
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run.run);
        let number = EndNumber(self.next_end);
        self.next_end += 1;
        self.ended.push(EndedRun { number, task, run: run.run, how, checkpoint: None });
    }

    fn advance(&mut self, now: Timestamp) {
        if self.end_by <= self.clock(now) {
            let tasks: Vec<TaskKey> = self.running.keys().copied().collect();
            for task in tasks {
                self.end(task, EndKind::LeaseExpired);
            }
        }
        let due: Vec<(TaskKey, EndKind)> = self
            .running
            .iter()
            .filter(|(_, it)| it.ends_at <= now)
            .map(|(task, it)| (*task, it.how))
            .collect();
        for (task, how) in due {
            self.end(task, how);
        }
    }
}

/// A call that is carried out later, with the term of its sender.
#[derive(Debug, Clone)]
struct LateCall {
    at: Timestamp,
    term: Term,
    worker: usize,
    order: Order,
    end_by: u64,
}

/// What happens to a call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    Late,
    Lost,
}

/// One leader, with the leases that its callers keep.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) planner: Planner,
    calls: Vec<WorkerPoller>,
    /// When the failure of a look is noticed; no other look begins before.
    fails_at: Vec<Option<Timestamp>>,
    /// Callers that were given up and do not know it yet.
    orphans: Vec<Orphan>,
    is_over: bool,
}

/// A caller whose reports no longer reach its leader.
#[derive(Debug)]
struct Orphan {
    worker: usize,
    calls: WorkerPoller,
    /// It heard from its leader until then.
    heard_until: Timestamp,
}

/// The world.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: Timestamp,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) workers: Vec<SimWorker>,
    pub(crate) leaders: Vec<Leader>,
    pub(crate) submissions: BTreeMap<SubmissionId, Arc<Submission>>,
    pub(crate) cancelled: BTreeSet<SubmissionId>,
    progress: BTreeMap<SubmissionId, (ProgressRecord, u64)>,
    revision: u64,
    pub(crate) term: Term,
    claims: u64,
    late: Vec<LateCall>,
    /// Ends `done` that a worker was allowed to forget.
    acknowledged: BTreeSet<TaskKey>,
    /// Share of calls that go wrong, in percent.
    pub(crate) trouble_percent: u32,
    pub(crate) failure_percent: u32,
    /// How long a worker that restarts is away.
    pub(crate) restart_ms: u64,
    pub(crate) shown: BTreeMap<SubmissionId, SubmissionState>,
    pub(crate) faults: Vec<String>,
    pub(crate) starts: usize,
    lives: u64,
}

impl World {
    pub(crate) fn new(seed: u64, workers: usize) -> World {
        let now = Timestamp(1_000_000);
        let name = |i: usize| format!("w{i}");
        let mut world = World {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            workers: (0..workers)
                .map(|i| SimWorker::new(&name(i), i as u64 + 1, 98 + i as u64 % 3, now))
                .collect(),
            leaders: Vec::new(),
            submissions: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            progress: BTreeMap::new(),
            revision: 10,
            term: Term(0),
            claims: 0,
            late: Vec::new(),
            acknowledged: BTreeSet::new(),
            trouble_percent: 0,
            failure_percent: 0,
            restart_ms: 0,
            shown: BTreeMap::new(),
            faults: Vec::new(),
            starts: 0,
            lives: 1_000,
        };
        world.elect();
        world
    }

    /// Makes a new leader; the one before goes on until it is dropped.
    pub(crate) fn elect(&mut self) {
        self.revision += 1;
        self.claims += 1;
        self.term = Term(self.revision);
        let uncertain_until = match self.claims {
            1 => self.now,
            _ => self.now.plus_ms(MAX_ORPHAN_LEASE_MS),
        };
        let mut planner = Planner::new(self.term, self.claims, manifest(3), uncertain_until);
        for (id, submission) in &self.submissions {
            let progress = self.progress.get(id).map(|(it, revision)| (it, *revision));
            planner.restore(submission.clone(), false, progress, self.now);
            if self.cancelled.contains(id) {
                planner.cancel(*id, self.now);
            }
        }
        let count = self.workers.len();
        self.leaders.push(Leader {
            planner,
            calls: vec![WorkerPoller::default(); count],
            fails_at: vec![None; count],
            orphans: Vec::new(),
            is_over: false,
        });
    }

    /// Accepts a submission, which the newest leader hears of.
    pub(crate) fn submit(&mut self, submission: Arc<Submission>) {
        self.submissions.insert(submission.id, submission.clone());
        let now = self.now;
        if let Some(leader) = self.leaders.last_mut() {
            leader.planner.submit(submission, true, now);
        }
    }

    pub(crate) fn cancel(&mut self, id: SubmissionId) {
        self.cancelled.insert(id);
        let now = self.now;
        if let Some(leader) = self.leaders.last_mut() {
            leader.planner.cancel(id, now);
        }
    }

    /// Restarts a worker under its id. Calls that it had received are gone.
    pub(crate) fn crash(&mut self, worker: usize) {
        self.late.retain(|it| it.worker != worker);
        self.lives += 1;
        let name = format!("w{worker}");
        self.workers[worker] = SimWorker::new(&name, self.lives, 98, self.now);
        self.workers[worker].cut_until = self.now.plus_ms(self.restart_ms);
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        for worker in &mut self.workers {
            worker.advance(self.now);
        }
        let late = std::mem::take(&mut self.late);
        let (due, later): (Vec<_>, Vec<_>) = late.into_iter().partition(|it| it.at <= self.now);
        self.late = later;
        for call in due {
            self.apply(call.worker, call.term, &call.order, call.end_by);
        }
    }

    /// Lets a leader look at a worker.
    pub(crate) fn look(&mut self, leader: usize, worker: usize) {
        if let Some(at) = self.leaders[leader].fails_at[worker] {
            if at <= self.now {
                self.leaders[leader].fails_at[worker] = None;
                self.poll_failed(leader, worker);
            }
            return;
        }
        let fate = self.fate();
        let (now, is_cut) = (self.now, self.is_cut(worker));
        let state = &mut self.leaders[leader];
        let term = state.planner.term();
        let next = state.calls[worker].next_poll(true, now);
        let listed = match fate {
            _ if is_cut => None,
            Fate::Lost | Fate::Late => None,
            Fate::Answered => self.hold(leader, worker, term, next),
            Fate::AnswerLost => {
                self.hold(leader, worker, term, next);
                None
            }
        };
        let Some(look) = listed else {
            self.leaders[leader].fails_at[worker] = Some(now.plus_ms(LOOK_TIMEOUT_MS));
            return;
        };
        let id = self.workers[worker].id.clone();
        let clock = self.workers[worker].clock(now);
        let state = &mut self.leaders[leader];
        let has_runs = !look.running.is_empty();
        let answered = state.calls[worker].poll_answered(look.incarnation, clock, has_runs, now);
        let look = PollResult {
            leases_expire_by: answered.leases_expire_by,
            responsive_since: answered.responsive_since,
            ..look
        };
        state.planner.report(&id, WorkerReport::Polled(look), now);
    }

    /// Gives a worker another caller. The one before keeps calling until it
    /// has not heard of its leader for too long.
    pub(crate) fn replace_caller(&mut self, leader: usize, worker: usize) {
        let (now, id) = (self.now, self.workers[worker].id.clone());
        let state = &mut self.leaders[leader];
        let calls = std::mem::take(&mut state.calls[worker]);
        state.orphans.push(Orphan { worker, calls, heard_until: now });
        state.fails_at[worker] = None;
        state.planner.poller_lost([&id], now.plus_ms(MAX_ORPHAN_LEASE_MS));
    }

    fn look_orphaned(&mut self, leader: usize) {
        let now = self.now;
        let mut orphans = std::mem::take(&mut self.leaders[leader].orphans);
        let term = self.leaders[leader].planner.term();
        orphans.retain(|it| now.ms_since(it.heard_until) < LEADER_SILENT_MS);
        for orphan in &mut orphans {
            if 0 < self.rng.random_range(0..8u32) {
                continue;
            }
            let next = orphan.calls.next_poll(true, now);
            let is_cut = now < self.workers[orphan.worker].cut_until;
            let fate = if is_cut { Fate::Lost } else { self.fate() };
            match fate {
                Fate::Answered => {
                    if let Some(look) = self.hold(leader, orphan.worker, term, next) {
                        let clock = self.workers[orphan.worker].clock(now);
                        let has_runs = !look.running.is_empty();
                        orphan.calls.poll_answered(look.incarnation, clock, has_runs, now);
                    }
                }
                Fate::AnswerLost => {
                    self.hold(leader, orphan.worker, term, next);
                    orphan.calls.poll_failed();
                }
                Fate::Late | Fate::Lost => {
                    orphan.calls.poll_failed();
                }
            }
        }
        self.leaders[leader].orphans = orphans;
    }

    /// Tells a leader's callers which answers are known to it.
    fn confirm(&mut self, leader: usize) {
        let state = &mut self.leaders[leader];
        for (listing, responsive_since) in state.planner.workers_to_poll() {
            let worker = self.workers.iter().position(|it| it.id == listing.worker);
            state.calls[worker.expect("a worker")].confirm(responsive_since);
        }
    }

    fn is_cut(&self, worker: usize) -> bool {
        let worker = &self.workers[worker];
        self.now < worker.cut_until.max(worker.hidden_until)
    }

    fn poll_failed(&mut self, leader: usize, worker: usize) {
        let id = self.workers[worker].id.clone();
        let state = &mut self.leaders[leader];
        let missed = state.calls[worker].poll_failed();
        state.planner.report(&id, missed, self.now);
    }

    fn hold(
        &mut self,
        leader: usize,
        worker: usize,
        term: Term,
        next: NextPoll,
    ) -> Option<PollResult> {
        let now = self.now;
        let it = &mut self.workers[worker];
        if term < it.fence {
            let id = it.id.clone();
            self.leaders[leader].planner.report(&id, WorkerReport::Fenced, now);
            return None;
        }
        it.fence = term;
        if let Some(end_by) = next.lease_until {
            it.end_by = it.end_by.max(end_by);
        }
        let forget = next.acknowledge_through;
        for end in it.ended.iter().filter(|end| end.number <= forget) {
            if end.how == EndKind::Done {
                self.acknowledged.insert(end.task);
            }
        }
        it.ended.retain(|end| forget < end.number);
        let running = it.running.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: run.run,
            checkpoint: None,
            percent: 50,
            measurement: 0,
        });
        Some(PollResult {
            incarnation: it.incarnation,
            leases_expire_by: Timestamp(0),
            responsive_since: now,
            running: running.collect(),
            ended: it.ended.clone(),
        })
    }

    fn fate(&mut self) -> Fate {
        if self.trouble_percent <= self.rng.random_range(0..100u32) {
            return Fate::Answered;
        }
        match self.rng.random_range(0..3u32) {
            0 => Fate::AnswerLost,
            1 => Fate::Late,
            _ => Fate::Lost,
        }
    }

    /// Lets a leader plan, and carries out its orders.
    pub(crate) fn plan(&mut self, leader: usize) {
        let now = self.now;
        let listings: Vec<WorkerListing> =
            self.workers.iter().map(|it| listing(it.id.as_str(), 4_000, it.incarnation)).collect();
        let planner = &mut self.leaders[leader].planner;
        planner.update_workers(listings, true);
        planner.tick(now);
        let actions = planner.take_actions();
        if actions.is_superseded {
            self.leaders[leader].is_over = true;
            return;
        }
        for (id, state) in actions.states {
            self.shown.insert(id, state);
        }
        for id in actions.lookups {
            let planner = &mut self.leaders[leader].planner;
            match self.submissions.get(&id) {
                Some(it) => planner.submit(it.clone(), false, now),
                None => planner.submission_not_found(id, now),
            }
        }
        for (worker, order) in actions.orders {
            let worker = self.workers.iter().position(|it| it.id == worker).expect("a worker");
            self.order(leader, worker, order);
        }
    }

    fn order(&mut self, leader: usize, worker: usize, order: Order) {
        let now = self.now;
        let state = &mut self.leaders[leader];
        let term = state.planner.term();
        if let Order::AcknowledgeEnds { incarnation, through } = order {
            state.calls[worker].acknowledge_ends(incarnation, through);
            return;
        }
        let end_by = match order {
            Order::Start(_) => state.calls[worker].grant_start_lease(now),
            _ => Some(0),
        };
        let id = self.workers[worker].id.clone();
        let report = match (&order, end_by) {
            (Order::Start(start), None) => Some(WorkerReport::Start {
                task: start.task,
                run: start.run,
                outcome: StartOutcome::NotRun,
            }),
            (_, None) => None,
            (_, Some(end_by)) => self.send(worker, term, &order, end_by),
        };
        if let Some(report) = report {
            self.leaders[leader].planner.report(&id, report, now);
        }
    }

    fn send(
        &mut self,
        worker: usize,
        term: Term,
        order: &Order,
        end_by: u64,
    ) -> Option<WorkerReport> {
        let fate = if self.is_cut(worker) { Fate::Lost } else { self.fate() };
        let outcome = match fate {
            Fate::Answered => Some(self.apply(worker, term, order, end_by)),
            Fate::AnswerLost => {
                self.apply(worker, term, order, end_by);
                None
            }
            Fate::Late => {
                let at = self.now.plus_ms(self.rng.random_range(300..6_000));
                let order = order.clone();
                self.late.push(LateCall { at, term, worker, order, end_by });
                None
            }
            Fate::Lost => None,
        };
        match order {
            Order::Start(start) => Some(WorkerReport::Start {
                task: start.task,
                run: start.run,
                outcome: outcome.unwrap_or(StartOutcome::MayHaveRun),
            }),
            Order::Stop { task, run } => Some(WorkerReport::Stop {
                task: *task,
                run: *run,
                is_confirmed: outcome == Some(StartOutcome::Started),
            }),
            Order::Pace { .. } | Order::AcknowledgeEnds { .. } => None,
        }
    }

    fn apply(&mut self, worker: usize, term: Term, order: &Order, end_by: u64) -> StartOutcome {
        let now = self.now;
        let fails = self.rng.random_range(0..100u32) < self.failure_percent;
        // Some runs outlast a lease, so that a wrong end of one is noticed.
        let is_long = self.rng.random_range(0..100u32) < LONG_RUN_PERCENT;
        let lasts = if is_long { 5_000..10_000 } else { 200..1_500 };
        let ends_at = now.plus_ms(self.rng.random_range(lasts));
        let it = &mut self.workers[worker];
        if term < it.fence {
            return StartOutcome::Fenced;
        }
        it.fence = term;
        match order {
            Order::Start(start) => {
                it.end_by = it.end_by.max(end_by);
                if it.running.get(&start.task).is_some_and(|run| run.run == start.run) {
                    return StartOutcome::Started;
                }
                if it.barred.get(&start.task).is_some_and(|run| start.run <= *run) {
                    return StartOutcome::Superseded;
                }
                if end_by <= it.clock(now) {
                    return StartOutcome::TooLate;
                }
                let how = if fails { EndKind::Failed } else { EndKind::Done };
                let run = SimRun { run: start.run, ends_at, how };
                let earlier = it.running.insert(start.task, run);
                if earlier.is_some() {
                    self.faults.push(format!("{} runs twice on one worker", start.task));
                }
                self.started(start.task, worker);
                StartOutcome::Started
            }
            Order::Stop { task, run } => {
                let barred = it.barred.entry(*task).or_default();
                *barred = (*barred).max(*run);
                if it.running.get(task).is_some_and(|it| it.run <= *run) {
                    it.end(*task, EndKind::Stopped);
                }
                StartOutcome::Started
            }
            Order::Pace { .. } | Order::AcknowledgeEnds { .. } => StartOutcome::Started,
        }
    }

    fn started(&mut self, task: TaskKey, worker: usize) {
        self.starts += 1;
        let elsewhere = self.workers.iter().enumerate();
        let elsewhere = elsewhere.filter(|(i, it)| *i != worker && it.running.contains_key(&task));
        if 0 < elsewhere.count() {
            self.faults.push(format!("{task} runs in two places at {}", self.now));
        }
        if self.acknowledged.contains(&task) {
            self.faults.push(format!("{task} starts after its end was acknowledged"));
        }
    }

    /// Stores a leader's progress if it still leads.
    pub(crate) fn flush(&mut self, leader: usize) {
        let current = self.term;
        let planner = &mut self.leaders[leader].planner;
        let (change, records) = planner.take_progress();
        if planner.term() != current {
            return;
        }
        self.revision += 1;
        for (id, progress, revision) in records {
            let known = self.progress.get(&id).map_or(0, |it| it.1);
            assert_eq!(known, revision, "the leader knows the revision of {id}");
            self.progress.insert(id, (progress, self.revision));
            planner.set_progress_revision(id, self.revision);
        }
        planner.progress_stored(change);
    }

    /// Passes time with looks at every worker, plans and flushes.
    pub(crate) fn run(&mut self, ms: u64) {
        let until = self.now.plus_ms(ms);
        while self.now < until {
            self.advance(50);
            for leader in 0..self.leaders.len() {
                if self.leaders[leader].is_over {
                    continue;
                }
                for worker in 0..self.workers.len() {
                    if self.rng.random_range(0..4u32) == 0 {
                        self.look(leader, worker);
                    }
                }
                self.look_orphaned(leader);
                self.plan(leader);
                if self.rng.random_range(0..2u32) == 0 {
                    self.confirm(leader);
                }
                if self.rng.random_range(0..4u32) == 0 {
                    self.flush(leader);
                }
            }
        }
    }

    /// Returns the submissions that are not shown in a final state.
    pub(crate) fn unfinished(&self) -> Vec<SubmissionId> {
        let is_final = |id: &SubmissionId| self.shown.get(id).is_some_and(|it| it.is_final());
        self.submissions.keys().copied().filter(|it| !is_final(it)).collect()
    }

    /// Returns the tasks that run anywhere.
    pub(crate) fn running(&self) -> usize {
        self.workers.iter().map(|it| it.running.len()).sum()
    }
}
