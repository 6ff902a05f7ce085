//! Two worker groups with their owners, workers, shards and one store, under
//! injected failures. Every invariant is checked after each event.

// Every test file compiles its own copy and uses a part of it.
#![allow(dead_code, unreachable_pub)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;
use mustardcove_core::{
    group::{Group, GroupAction, GroupConfig, GroupEvent},
    id::{AttemptNumber, Epoch, GroupId, JobId, ShardId, TaskId, WorkerId},
    job::{BodyDigest, Checkpoint, Evidence, JobSpec, Outcome},
    message::{BoundTask, GroupToShard, ReserveRequest, ShardToGroup},
    size::Resources,
    store::StoreError,
    time::Timestamp,
    verdict::Verdict,
    worker::{StopMode, WorkerError, WorkerInfo, WorkerOp},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    group_doubles::{StoreDouble, agreement},
    worker_double::{FirstFit, WorkerDouble, worker_info},
};

pub const GROUPS: usize = 2;
pub const WORKERS: usize = 3;
pub const SHARDS: u16 = 2;
const SESSION_MS: u64 = 3_000;
const MARGIN_MS: u64 = 500;
const STEP_MS: u64 = 50;

/// A process that owns, or owned, a group.
pub struct Owner {
    pub group: usize,
    pub machine: Group<FirstFit>,
    pub paused: bool,
    /// Whether it cannot reach the store.
    pub cut_off: bool,
    /// Whether it cannot reach any worker.
    pub isolated: bool,
    pub current: bool,
    pub renewed_at: Timestamp,
    inbox: Vec<GroupEvent>,
}

/// A job as its shard has it.
#[derive(Clone, Debug)]
pub struct Job {
    pub spec: JobSpec,
    pub urgent: bool,
    pub group: usize,
    pub attempt: u32,
    pub bound: Option<(WorkerId, Epoch)>,
    pub resume_from: Option<Checkpoint>,
    pub avoid: Vec<WorkerId>,
    pub failed: u32,
    pub ask_at: Timestamp,
    pub cancelling: bool,
    pub done: Option<&'static str>,
    pub lost: Vec<Evidence>,
    pub evicted: u32,
    pub started: bool,
    pub queued_since: Timestamp,
}

/// Something on its way.
enum Travel {
    WorkerCall { owner: usize, action: GroupAction, silent: bool },
    OwnerEvent { owner: usize, event: GroupEvent },
    ShardMessage { group: usize, shard: ShardId, body: GroupToShard },
    GroupMessage { group: usize, shard: ShardId, body: ShardToGroup },
    StoreCall { owner: usize, action: GroupAction, silent: bool },
}

pub struct World {
    pub now: Timestamp,
    pub rng: ChaCha8Rng,
    pub store: StoreDouble,
    pub workers: Vec<WorkerDouble>,
    pub listed: Vec<bool>,
    pub reachable: Vec<bool>,
    pub owners: Vec<Owner>,
    pub jobs: BTreeMap<JobId, Job>,
    pub caps: Vec<u64>,
    /// Chance of a fault per message, in thousandths.
    pub fault_permille: u32,
    /// Chance that a call to an unreachable worker is known not to have run.
    pub refused_chance: f64,
    /// How long starts travel whose answers are lost; zero for usual starts.
    pub delay_starts_ms: u64,
    travel: Vec<(Timestamp, u64, Travel)>,
    sequence: u64,
    claimed: [bool; GROUPS],
    epochs: [u64; GROUPS],
    next_job: u32,
}

fn group_id(group: usize) -> GroupId {
    format!("g{group}").parse().unwrap()
}

impl World {
    pub fn new(seed: u64, caps: &[u64]) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let worker = |n: usize| worker_info(&format!("w{n}"), 4, 2);
        let workers = (0..GROUPS * WORKERS)
            .map(|n| WorkerDouble::new(worker(n), rng.random_range(-490..=490)))
            .collect();
        let mut world = World {
            now: Timestamp(1_000_000),
            rng,
            store: StoreDouble::default(),
            workers,
            listed: vec![true; GROUPS * WORKERS],
            reachable: vec![true; GROUPS * WORKERS],
            owners: Vec::new(),
            jobs: BTreeMap::new(),
            caps: caps.to_vec(),
            fault_permille: 0,
            refused_chance: 0.3,
            delay_starts_ms: 0,
            travel: Vec::new(),
            sequence: 0,
            claimed: [false; GROUPS],
            epochs: [0; GROUPS],
            next_job: 0,
        };
        (0..GROUPS).for_each(|it| world.take_over(it));
        world
    }

    pub fn owner(&self, group: usize) -> &Owner {
        self.owners.iter().rev().find(|it| it.group == group).expect("an owner")
    }

    pub fn owner_index(&self, group: usize) -> usize {
        self.owners.iter().rposition(|it| it.group == group).expect("an owner")
    }

    fn infos(&self, group: usize) -> Arc<[WorkerInfo]> {
        let own = group * WORKERS..(group + 1) * WORKERS;
        own.filter(|it| self.listed[*it]).map(|it| self.workers[it].info.clone()).collect()
    }

    /// Gives a group to a new owner if the session of the old one expired.
    pub fn take_over(&mut self, group: usize) {
        if self.store.down {
            return;
        }
        if let Some(old) = self.owners.iter_mut().rev().find(|it| it.group == group) {
            if self.now < old.renewed_at.plus_ms(SESSION_MS) {
                return;
            }
            old.current = false;
        }
        self.epochs[group] += 1;
        let epoch = Epoch(self.epochs[group]);
        let cfg = GroupConfig { shards: SHARDS, ..GroupConfig::default() };
        let process = format!("p{group}-{epoch}").parse().unwrap();
        let seed = self.rng.random();
        let machine =
            Group::new(group_id(group), epoch, process, cfg, FirstFit::default(), seed, self.now);
        self.owners.push(Owner {
            group,
            machine,
            paused: false,
            cut_off: false,
            isolated: false,
            current: true,
            renewed_at: self.now,
            inbox: Vec::new(),
        });
        self.claimed[group] = true;
        let owner = self.owners.len() - 1;
        let deadline = self.now.plus_ms(SESSION_MS - MARGIN_MS);
        self.give(owner, GroupEvent::ClaimDeadline(deadline));
        self.give(owner, GroupEvent::Agreement(self.agreement()));
        self.give(owner, GroupEvent::Workers(self.infos(group)));
    }

    fn agreement(&self) -> Arc<mustardcove_core::agreement::Agreement> {
        let revision = self.caps.len() as u64;
        Arc::new(agreement(revision, &[*self.caps.last().unwrap(), 1_000]))
    }

    /// Puts a new cap of member `m0` in the agreement.
    pub fn set_cap(&mut self, cores: u64) {
        self.caps.push(cores);
        for owner in 0..self.owners.len() {
            self.give(owner, GroupEvent::Agreement(self.agreement()));
        }
    }

    pub fn publish_workers(&mut self) {
        for owner in 0..self.owners.len() {
            let group = self.owners[owner].group;
            self.give(owner, GroupEvent::Workers(self.infos(group)));
        }
    }

    /// Submits a job of `run` units of 50 ms, or endless if zero.
    pub fn submit(&mut self, class: &str, member: usize, cores: u64, run: u8) -> JobId {
        self.next_job += 1;
        let member = format!("m{member}").parse().unwrap();
        let payload = if run == 0 { Bytes::new() } else { Bytes::copy_from_slice(&[run]) };
        let class = class.parse().unwrap();
        let spec = JobSpec {
            member,
            key: format!("job-{}", self.next_job).parse().unwrap(),
            digest: BodyDigest::of(&class, &payload),
            class,
            resources: Resources::new(cores * 1_000, cores * 1_024, 0),
            expected_run_ms: u64::from(run) * 50,
            deadline: None,
            payload,
        };
        let id = spec.id();
        let urgent = spec.class.as_str() == "rush";
        let job = Job {
            spec,
            urgent,
            group: self.next_job as usize % GROUPS,
            attempt: 1,
            bound: None,
            resume_from: None,
            avoid: Vec::new(),
            failed: 0,
            ask_at: self.now,
            cancelling: false,
            done: None,
            lost: Vec::new(),
            evicted: 0,
            started: false,
            queued_since: self.now,
        };
        self.jobs.insert(id, job);
        id
    }

    pub fn cancel(&mut self, job: JobId) {
        let Some(it) = self.jobs.get_mut(&job) else { return };
        it.cancelling = true;
        if it.bound.is_none() {
            it.done = Some("cancelled");
        }
    }

    fn give(&mut self, owner: usize, event: GroupEvent) {
        if self.owners[owner].paused {
            self.owners[owner].inbox.push(event);
            return;
        }
        let now = self.now;
        let mut out = Vec::new();
        self.owners[owner].machine.handle(now, event, &mut out);
        let due = self.owners[owner].machine.next_deadline();
        assert!(due.is_none_or(|it| now < it), "work left undone: due {due:?} at {now}");
        out.into_iter().for_each(|it| self.carry_out(owner, it));
        self.check();
    }

    pub fn pause(&mut self, owner: usize) {
        self.owners[owner].paused = true;
    }

    /// Lets a paused owner handle what has arrived meanwhile.
    pub fn wake(&mut self, owner: usize) {
        if std::mem::take(&mut self.owners[owner].paused) {
            let inbox = std::mem::take(&mut self.owners[owner].inbox);
            inbox.into_iter().for_each(|it| self.give(owner, it));
        }
    }

    fn fault(&mut self) -> bool {
        self.fault_permille != 0 && self.rng.random_ratio(self.fault_permille, 1_000)
    }

    fn travel(&mut self, travel: Travel) {
        let slow = if self.fault() { self.rng.random_range(0..4_000) } else { 0 };
        let at = self.now.plus_ms(1 + slow);
        self.sequence += 1;
        self.travel.push((at, self.sequence, travel));
    }

    fn carry_out(&mut self, owner: usize, action: GroupAction) {
        let group = self.owners[owner].group;
        match action {
            GroupAction::Worker { call, ref worker, ref op, .. } => {
                let worker = worker.clone();
                let delayed = self.delay_starts_ms != 0 && matches!(op, WorkerOp::Start { .. });
                let silent = delayed || self.fault();
                if silent {
                    // The call is counted as failed although it may still land.
                    let error = WorkerError::Unreachable { verdict: Verdict::MayHaveRun };
                    let event = GroupEvent::WorkerReply { worker, call, result: Err(error) };
                    self.travel(Travel::OwnerEvent { owner, event });
                    if self.fault() {
                        return;
                    }
                }
                if delayed {
                    let at = self.now.plus_ms(self.delay_starts_ms);
                    self.sequence += 1;
                    let call = Travel::WorkerCall { owner, action, silent };
                    self.travel.push((at, self.sequence, call));
                    return;
                }
                self.travel(Travel::WorkerCall { owner, action, silent });
            }
            GroupAction::Store { call, .. } => {
                let silent = self.fault();
                if silent {
                    let error = StoreError::Unavailable { verdict: Verdict::MayHaveRun };
                    let event = GroupEvent::StoreReply { call, result: Err(error) };
                    self.travel(Travel::OwnerEvent { owner, event });
                }
                self.travel(Travel::StoreCall { owner, action, silent });
            }
            GroupAction::Shard { to, body } => {
                if self.fault() {
                    self.travel(Travel::ShardMessage { group, shard: to, body: body.clone() });
                }
                self.travel(Travel::ShardMessage { group, shard: to, body });
            }
            GroupAction::Summary(_) | GroupAction::Interference(_) | GroupAction::Released => {}
        }
    }

    fn arrive(&mut self, travel: Travel) {
        match travel {
            Travel::WorkerCall { owner, action, silent } => {
                let GroupAction::Worker { call, worker, op, not_after } = action else { return };
                let at = self.workers.iter().position(|it| it.info.id == worker).unwrap();
                // The driver checks the time when it writes, not on arrival.
                let result = if not_after < self.now && !silent {
                    Err(WorkerError::Unreachable { verdict: Verdict::NotRun })
                } else if !self.reachable[at] || self.owners[owner].isolated {
                    let refused = self.rng.random_bool(self.refused_chance);
                    let verdict = if refused { Verdict::NotRun } else { Verdict::MayHaveRun };
                    Err(WorkerError::Unreachable { verdict })
                } else {
                    self.workers[at].run(self.now);
                    self.workers[at].execute(self.now, &op)
                };
                self.check();
                if !silent {
                    let event = GroupEvent::WorkerReply { worker, call, result };
                    self.travel(Travel::OwnerEvent { owner, event });
                }
            }
            Travel::StoreCall { owner, action, silent } => {
                let GroupAction::Store { call, op } = action else { return };
                let result = if self.owners[owner].cut_off {
                    Err(StoreError::Unavailable { verdict: Verdict::NotRun })
                } else {
                    self.store.execute(&op)
                };
                if !silent {
                    let event = GroupEvent::StoreReply { call, result };
                    self.travel(Travel::OwnerEvent { owner, event });
                }
            }
            Travel::OwnerEvent { owner, event } => self.give(owner, event),
            Travel::GroupMessage { group, shard, body } => {
                let owner = self.owner_index(group);
                self.give(owner, GroupEvent::Shard { from: shard, body });
            }
            Travel::ShardMessage { group, shard, body } => self.on_shard(group, shard, body),
        }
    }

    fn send_to_group(&mut self, group: usize, shard: ShardId, body: ShardToGroup) {
        if self.fault() {
            self.travel(Travel::GroupMessage { group, shard, body: body.clone() });
        }
        self.travel(Travel::GroupMessage { group, shard, body });
    }

    /// What a shard owner does with a message of a group owner. The record is
    /// durable at once.
    fn on_shard(&mut self, group: usize, shard: ShardId, body: GroupToShard) {
        let task = match &body {
            GroupToShard::Reserved { task, .. }
            | GroupToShard::ReserveRefused { task, .. }
            | GroupToShard::Started { task }
            | GroupToShard::Checkpointed { task, .. }
            | GroupToShard::Finished { task, .. }
            | GroupToShard::Evicted { task, .. }
            | GroupToShard::Lost { task, .. }
            | GroupToShard::Unknown { task, .. } => *task,
            GroupToShard::NewOwner { .. } => {
                let bound = self.bound_in(group, shard);
                return self.send_to_group(group, shard, ShardToGroup::Reconcile { bound });
            }
        };
        let now = self.now;
        let is_bound = |it: &Job| it.bound.is_some() && it.attempt == task.attempt.0;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let bound = is_bound(job) && job.group == group;
        let asks = !bound && job.done.is_none() && job.attempt == task.attempt.0;
        match body {
            GroupToShard::Reserved { worker, epoch, deadline, .. } => {
                if asks && job.bound.is_none() && job.group == group && now < deadline {
                    job.bound = Some((worker.clone(), epoch));
                    let start = ShardToGroup::Start {
                        task,
                        worker,
                        epoch,
                        spec: job.spec.clone(),
                        resume_from: job.resume_from.clone(),
                    };
                    self.send_to_group(group, shard, start);
                } else if !bound {
                    self.send_to_group(group, shard, ShardToGroup::Release { task });
                }
            }
            GroupToShard::ReserveRefused { retry_at, .. } => {
                assert!(now.0 < retry_at.0 + 6_000, "a refusal without a time to ask again");
                job.ask_at = job.ask_at.max(retry_at);
            }
            GroupToShard::Started { .. } => job.started |= bound,
            GroupToShard::Unknown { worker, .. } if !bound => {
                let mode = StopMode::Kill;
                self.send_to_group(group, shard, ShardToGroup::Stop { task, worker, mode });
            }
            GroupToShard::Unknown { .. } => {
                let bound = self.bound_in(group, shard);
                self.send_to_group(group, shard, ShardToGroup::Reconcile { bound });
            }
            GroupToShard::Finished { outcome, .. } => {
                if bound {
                    job.on_finished(outcome, now);
                }
                self.send_to_group(group, shard, ShardToGroup::Acknowledge { task });
            }
            GroupToShard::Evicted { checkpoint, .. } => {
                if bound {
                    job.evicted += 1;
                    job.resume_from = checkpoint;
                    job.requeue(None, now);
                }
                self.send_to_group(group, shard, ShardToGroup::Acknowledge { task });
            }
            GroupToShard::Lost { evidence, .. } => {
                if bound {
                    job.lost.push(evidence);
                    job.requeue(Some(evidence), now);
                }
                self.send_to_group(group, shard, ShardToGroup::Acknowledge { task });
            }
            GroupToShard::Checkpointed { .. } | GroupToShard::NewOwner { .. } => {}
        }
    }

    fn bound_in(&self, group: usize, shard: ShardId) -> Vec<BoundTask> {
        let own =
            self.jobs.iter().filter(|(id, it)| id.shard(SHARDS) == shard && it.group == group);
        let bound = own.filter_map(|(id, it)| {
            let (worker, epoch) = it.bound.clone()?;
            Some(BoundTask {
                task: TaskId { job: *id, attempt: AttemptNumber(it.attempt) },
                worker,
                epoch,
                spec: it.spec.clone(),
                resume_from: it.resume_from.clone(),
                cancelling: it.cancelling,
            })
        });
        bound.collect()
    }

    fn run_shards(&mut self) {
        let now = self.now;
        let mut messages = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.done.is_some() || now < job.ask_at {
                continue;
            }
            let task = TaskId { job: *id, attempt: AttemptNumber(job.attempt) };
            let shard = id.shard(SHARDS);
            match &job.bound {
                Some((worker, _)) if job.cancelling => {
                    job.ask_at = now.plus_ms(2_000);
                    let (worker, mode) = (worker.clone(), StopMode::Kill);
                    let body = ShardToGroup::Stop { task, worker, mode };
                    messages.push((job.group, shard, body));
                }
                Some(_) => {}
                None => {
                    job.ask_at = now.plus_ms(1_000);
                    let request = ReserveRequest {
                        task,
                        member: job.spec.member.clone(),
                        class: job.spec.class.clone(),
                        resources: job.spec.resources,
                        expected_run_ms: job.spec.expected_run_ms,
                        urgent: job.urgent,
                        avoid: job.avoid.clone(),
                        failed_attempts: job.failed,
                        queued_since: job.queued_since,
                    };
                    messages.push((job.group, shard, ShardToGroup::Reserve(request)));
                }
            }
        }
        for (group, shard, body) in messages {
            self.send_to_group(group, shard, body);
        }
    }

    fn renew_sessions(&mut self) {
        for owner in 0..self.owners.len() {
            let it = &self.owners[owner];
            let expired = it.renewed_at.plus_ms(SESSION_MS) <= self.now;
            let able = it.current && !it.paused && !it.cut_off && !self.store.down && !expired;
            if able && it.renewed_at.plus_ms(1_000) <= self.now {
                self.owners[owner].renewed_at = self.now;
                let deadline = self.now.plus_ms(SESSION_MS - MARGIN_MS);
                self.give(owner, GroupEvent::ClaimDeadline(deadline));
            }
        }
        for group in 0..GROUPS {
            let it = self.owner(group);
            if it.renewed_at.plus_ms(SESSION_MS) <= self.now {
                self.take_over(group);
            }
        }
    }

    /// Lets time pass, with everything that happens meanwhile.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while self.now < end {
            self.now = self.now.plus_ms(STEP_MS);
            let now = self.now;
            self.workers.iter_mut().for_each(|it| it.run(now));
            self.renew_sessions();
            self.run_shards();
            for worker in 0..self.workers.len() {
                if self.reachable[worker] && self.fault() {
                    let event = GroupEvent::Report(self.workers[worker].report());
                    let owner = self.owner_index(worker / WORKERS);
                    self.travel(Travel::OwnerEvent { owner, event });
                }
            }
            for owner in 0..self.owners.len() {
                let due = self.owners[owner].machine.next_deadline();
                if !self.owners[owner].paused && due.is_some_and(|it| it <= now) {
                    self.give(owner, GroupEvent::Tick);
                }
            }
            self.deliver();
        }
    }

    /// Delivers what arrives within the present step, answers included.
    fn deliver(&mut self) {
        for _ in 0..20 {
            let horizon = self.now.plus_ms(1);
            self.travel.sort_by_key(|it| (it.0, it.1));
            let due = self.travel.partition_point(|it| it.0 <= horizon);
            if due == 0 {
                return;
            }
            let arrivals: Vec<_> = self.travel.drain(..due).collect();
            arrivals.into_iter().for_each(|it| self.arrive(it.2));
        }
    }

    /// Restarts a worker; connections to it break.
    pub fn restart(&mut self, worker: usize) {
        self.workers[worker].restart();
        let id = self.workers[worker].id();
        let mut broken = Vec::new();
        self.travel.retain(|(_, _, it)| {
            let Travel::WorkerCall { owner, action, silent } = it else { return true };
            let GroupAction::Worker { call, worker, .. } = action else { return true };
            if *worker == id && !silent {
                broken.push((*owner, *call));
            }
            *worker != id
        });
        for (owner, call) in broken {
            let error = WorkerError::Unreachable { verdict: Verdict::MayHaveRun };
            let event = GroupEvent::WorkerReply { worker: id.clone(), call, result: Err(error) };
            self.travel(Travel::OwnerEvent { owner, event });
        }
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.fault_permille = 0;
        self.store.down = false;
        self.workers.iter_mut().for_each(|it| it.broken = false);
        self.reachable.fill(true);
        self.listed.fill(true);
        for owner in 0..self.owners.len() {
            self.owners[owner].cut_off = false;
            self.owners[owner].isolated = false;
            self.wake(owner);
        }
        self.publish_workers();
    }

    /// Checks what must hold after every event.
    pub fn check(&self) {
        let mut running: BTreeSet<JobId> = BTreeSet::new();
        for worker in &self.workers {
            // Two slots of a quarter core each are kept for the upstream.
            let capacity = worker.info.capacity.saturating_sub(Resources::new(500, 512, 0));
            assert!(worker.used().fits_in(capacity), "{} beyond its capacity", worker.info.id);
            for task in worker.tasks.keys() {
                assert!(running.insert(task.job), "job {} runs twice", task.job);
            }
        }
        let tasks = self.workers.iter().flat_map(|it| it.tasks.values());
        let used = tasks.filter(|it| it.member.as_str() == "m0").map(|it| it.resources);
        let used = used.fold(Resources::ZERO, Resources::saturating_add);
        let cap = self.store.quota(&"m0".parse().unwrap()).map(|it| it.cap);
        assert!(used.fits_in(cap.unwrap_or_default()), "m0 uses {used} of {cap:?}");
        for owner in self.owners.iter().filter(|it| it.current) {
            for view in owner.machine.dump(WORKERS).workers {
                let worker = self.workers.iter().find(|it| it.info.id == view.worker).unwrap();
                let held = worker.used().fits_in(view.committed);
                assert!(!view.known || held, "{} released without evidence", view.worker);
            }
        }
    }

    /// Checks that no attempt was started twice, and no at-most-once job.
    pub fn check_starts(&self) {
        let mut seen = BTreeSet::new();
        let mut once = BTreeSet::new();
        for task in self.workers.iter().flat_map(|it| &it.started) {
            assert!(seen.insert(*task), "attempt {task} was started twice");
            if self.jobs[&task.job].spec.class.as_str() == "binding" {
                assert!(once.insert(task.job), "job {} ran twice", task.job);
            }
        }
    }
}

impl Job {
    fn on_finished(&mut self, outcome: Outcome, now: Timestamp) {
        match outcome {
            Outcome::Succeeded { .. } => self.done = Some("succeeded"),
            Outcome::Failed { refusal } if refusal.retry_at.is_some() => {
                let worker = self.bound.as_ref().map(|it| it.0.clone());
                self.avoid.extend(worker);
                self.failed += 1;
                self.requeue(None, now);
            }
            Outcome::Failed { .. } | Outcome::Cancelled => self.done = Some("failed"),
        }
        if self.done.is_some() {
            self.bound = None;
        }
    }

    /// Makes the next attempt, unless the work may have run and must not run
    /// again.
    fn requeue(&mut self, evidence: Option<Evidence>, now: Timestamp) {
        let not_run = matches!(evidence, Some(Evidence::NeverSent | Evidence::RefusedByWorker));
        self.bound = None;
        self.started = false;
        self.attempt += 1;
        self.ask_at = now;
        if self.cancelling {
            self.done = Some("cancelled");
        } else if self.spec.class.as_str() == "binding" && !not_run {
            self.done = Some("may have run");
        }
    }
}
