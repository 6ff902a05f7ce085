//! A simulation of two worker groups with their owners, workers, shards and
//! one store, with injected faults. All invariants are checked after each
//! event.

// Every test file compiles its own copy and uses only a part of it.
#![allow(dead_code, unreachable_pub)]

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use mustardcove_core::{
    group::{Group, GroupAction, GroupConfig, GroupEvent},
    id::{Epoch, GroupId, JobId, ShardId},
    message::{GroupToShard, ShardToGroup},
    size::Resources,
    store::StoreError,
    time::Timestamp,
    verdict::Verdict,
    worker::{WorkerError, WorkerInfo, WorkerOp},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    group_doubles::{StoreDouble, agreement},
    shard_double::Job,
    worker_double::{FirstFit, WorkerDouble, worker_info},
};

pub const GROUPS: usize = 2;
pub const WORKERS: usize = 3;
pub const SHARDS: u16 = 2;
const SESSION_MS: u64 = 3_000;
const MARGIN_MS: u64 = 500;
const STEP_MS: u64 = 50;

/// A process that owns or used to own a group.
pub struct Owner {
    pub group: usize,
    pub machine: Group<FirstFit>,
    pub paused: bool,
    /// Whether it cannot reach the store.
    pub store_unreachable: bool,
    /// Whether it cannot reach any worker.
    pub workers_unreachable: bool,
    pub current: bool,
    pub renewed_at: Timestamp,
    inbox: Vec<GroupEvent>,
}

/// A message or call in flight.
enum InFlight {
    WorkerCall { owner: usize, action: GroupAction, answer_lost: bool },
    OwnerEvent { owner: usize, event: GroupEvent },
    ShardMessage { group: usize, shard: ShardId, body: GroupToShard },
    GroupMessage { group: usize, shard: ShardId, body: ShardToGroup },
    StoreCall { owner: usize, action: GroupAction, answer_lost: bool },
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
    /// Probability of a fault per message, in thousandths.
    pub fault_permille: u32,
    /// Probability that a call to an unreachable worker fails with the verdict
    /// that it did not run.
    pub refused_chance: f64,
    /// Delay of starts in milliseconds. The answers to delayed starts are
    /// lost; zero disables the delay.
    pub delay_starts_ms: u64,
    in_flight: Vec<(Timestamp, u64, InFlight)>,
    sequence: u64,
    claimed: [bool; GROUPS],
    epochs: [u64; GROUPS],
    pub next_job: u32,
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
            in_flight: Vec::new(),
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

    /// Gives a group to a new owner if the session of the old one has expired.
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
            store_unreachable: false,
            workers_unreachable: false,
            current: true,
            renewed_at: self.now,
            inbox: Vec::new(),
        });
        self.claimed[group] = true;
        let owner = self.owners.len() - 1;
        let deadline = self.now.plus_ms(SESSION_MS - MARGIN_MS);
        self.handle_event(owner, GroupEvent::ClaimDeadline(deadline));
        self.handle_event(owner, GroupEvent::Agreement(self.agreement()));
        self.handle_event(owner, GroupEvent::Workers(self.infos(group)));
    }

    fn agreement(&self) -> Arc<mustardcove_core::agreement::Agreement> {
        let revision = self.caps.len() as u64;
        Arc::new(agreement(revision, &[*self.caps.last().unwrap(), 1_000]))
    }

    /// Publishes an agreement with a new cap for member `m0`.
    pub fn set_cap(&mut self, cores: u64) {
        self.caps.push(cores);
        for owner in 0..self.owners.len() {
            self.handle_event(owner, GroupEvent::Agreement(self.agreement()));
        }
    }

    pub fn publish_workers(&mut self) {
        for owner in 0..self.owners.len() {
            let group = self.owners[owner].group;
            self.handle_event(owner, GroupEvent::Workers(self.infos(group)));
        }
    }

    fn handle_event(&mut self, owner: usize, event: GroupEvent) {
        if self.owners[owner].paused {
            self.owners[owner].inbox.push(event);
            return;
        }
        let now = self.now;
        let mut out = Vec::new();
        self.owners[owner].machine.handle(now, event, &mut out);
        let due = self.owners[owner].machine.next_deadline();
        assert!(due.is_none_or(|it| now < it), "overdue work remains: due {due:?} at {now}");
        out.into_iter().for_each(|it| self.execute(owner, it));
        self.check();
    }

    pub fn pause(&mut self, owner: usize) {
        self.owners[owner].paused = true;
    }

    /// Resumes a paused owner, which handles the events that arrived
    /// meanwhile.
    pub fn resume(&mut self, owner: usize) {
        if std::mem::take(&mut self.owners[owner].paused) {
            let inbox = std::mem::take(&mut self.owners[owner].inbox);
            inbox.into_iter().for_each(|it| self.handle_event(owner, it));
        }
    }

    fn random_fault(&mut self) -> bool {
        self.fault_permille != 0 && self.rng.random_ratio(self.fault_permille, 1_000)
    }

    fn send(&mut self, message: InFlight) {
        let slow = if self.random_fault() { self.rng.random_range(0..4_000) } else { 0 };
        let at = self.now.plus_ms(1 + slow);
        self.sequence += 1;
        self.in_flight.push((at, self.sequence, message));
    }

    fn execute(&mut self, owner: usize, action: GroupAction) {
        let group = self.owners[owner].group;
        match action {
            GroupAction::Worker { call, ref worker, ref op, .. } => {
                let worker = worker.clone();
                let delayed = self.delay_starts_ms != 0 && matches!(op, WorkerOp::Start { .. });
                let answer_lost = delayed || self.random_fault();
                if answer_lost {
                    // The call is counted as failed although it may still
                    // arrive.
                    let error = WorkerError::Unreachable { verdict: Verdict::MayHaveRun };
                    let event = GroupEvent::WorkerReply { worker, call, result: Err(error) };
                    self.send(InFlight::OwnerEvent { owner, event });
                    if self.random_fault() {
                        return;
                    }
                }
                if delayed {
                    let at = self.now.plus_ms(self.delay_starts_ms);
                    self.sequence += 1;
                    let call = InFlight::WorkerCall { owner, action, answer_lost };
                    self.in_flight.push((at, self.sequence, call));
                    return;
                }
                self.send(InFlight::WorkerCall { owner, action, answer_lost });
            }
            GroupAction::Store { call, .. } => {
                let answer_lost = self.random_fault();
                if answer_lost {
                    let error = StoreError::Unavailable { verdict: Verdict::MayHaveRun };
                    let event = GroupEvent::StoreReply { call, result: Err(error) };
                    self.send(InFlight::OwnerEvent { owner, event });
                }
                self.send(InFlight::StoreCall { owner, action, answer_lost });
            }
            GroupAction::ToShard { to, body } => {
                if self.random_fault() {
                    self.send(InFlight::ShardMessage { group, shard: to, body: body.clone() });
                }
                self.send(InFlight::ShardMessage { group, shard: to, body });
            }
            GroupAction::Summary(_) | GroupAction::Interference(_) | GroupAction::Released => {}
        }
    }

    /// Reports whether a call reaches a worker. A call whose answer is lost
    /// may have been in flight before the connection broke.
    fn reaches_worker(&self, owner: usize, worker: usize, answer_lost: bool) -> bool {
        let open = self.reachable[worker] && !self.owners[owner].workers_unreachable;
        self.listed[worker] && (open || answer_lost)
    }

    fn deliver(&mut self, message: InFlight) {
        match message {
            InFlight::WorkerCall { owner, action, answer_lost } => {
                let GroupAction::Worker { call, worker, op, not_after } = action else { return };
                let at = self.workers.iter().position(|it| it.info.id == worker).unwrap();
                // The driver checks `not_after` when it writes, not on
                // arrival.
                let result = if not_after < self.now && !answer_lost {
                    Err(WorkerError::Unreachable { verdict: Verdict::NotRun })
                } else if !self.reaches_worker(owner, at, answer_lost) {
                    let refused = self.rng.random_bool(self.refused_chance);
                    let verdict = if refused { Verdict::NotRun } else { Verdict::MayHaveRun };
                    Err(WorkerError::Unreachable { verdict })
                } else {
                    self.workers[at].run(self.now);
                    self.workers[at].execute(self.now, &op)
                };
                self.check();
                if !answer_lost {
                    let event = GroupEvent::WorkerReply { worker, call, result };
                    self.send(InFlight::OwnerEvent { owner, event });
                }
            }
            InFlight::StoreCall { owner, action, answer_lost } => {
                let GroupAction::Store { call, op } = action else { return };
                let result = if self.owners[owner].store_unreachable {
                    Err(StoreError::Unavailable { verdict: Verdict::NotRun })
                } else {
                    self.store.execute(&op)
                };
                if !answer_lost {
                    let event = GroupEvent::StoreReply { call, result };
                    self.send(InFlight::OwnerEvent { owner, event });
                }
            }
            InFlight::OwnerEvent { owner, event } => self.handle_event(owner, event),
            InFlight::GroupMessage { group, shard, body } => {
                let owner = self.owner_index(group);
                self.handle_event(owner, GroupEvent::FromShard { from: shard, body });
            }
            InFlight::ShardMessage { group, shard, body } => {
                self.handle_at_shard(group, shard, body)
            }
        }
    }

    pub fn send_to_group(&mut self, group: usize, shard: ShardId, body: ShardToGroup) {
        if self.random_fault() {
            self.send(InFlight::GroupMessage { group, shard, body: body.clone() });
        }
        self.send(InFlight::GroupMessage { group, shard, body });
    }

    fn renew_sessions(&mut self) {
        for owner in 0..self.owners.len() {
            let it = &self.owners[owner];
            let expired = it.renewed_at.plus_ms(SESSION_MS) <= self.now;
            let can_renew =
                it.current && !it.paused && !it.store_unreachable && !self.store.down && !expired;
            if can_renew && it.renewed_at.plus_ms(1_000) <= self.now {
                self.owners[owner].renewed_at = self.now;
                let deadline = self.now.plus_ms(SESSION_MS - MARGIN_MS);
                self.handle_event(owner, GroupEvent::ClaimDeadline(deadline));
            }
        }
        for group in 0..GROUPS {
            let it = self.owner(group);
            if it.renewed_at.plus_ms(SESSION_MS) <= self.now {
                self.take_over(group);
            }
        }
    }

    /// Advances the time and runs everything that is due until then.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while self.now < end {
            self.now = self.now.plus_ms(STEP_MS);
            let now = self.now;
            self.workers.iter_mut().for_each(|it| it.run(now));
            self.renew_sessions();
            self.run_shards();
            for worker in 0..self.workers.len() {
                if self.reachable[worker] && self.random_fault() {
                    let event = GroupEvent::Report(self.workers[worker].report());
                    let owner = self.owner_index(worker / WORKERS);
                    self.send(InFlight::OwnerEvent { owner, event });
                }
            }
            for owner in 0..self.owners.len() {
                let due = self.owners[owner].machine.next_deadline();
                if !self.owners[owner].paused && due.is_some_and(|it| it <= now) {
                    self.handle_event(owner, GroupEvent::Tick);
                }
            }
            self.deliver_due();
        }
    }

    /// Delivers the messages that arrive within the current step, including
    /// answers.
    fn deliver_due(&mut self) {
        for _ in 0..20 {
            let horizon = self.now.plus_ms(1);
            self.in_flight.sort_by_key(|it| (it.0, it.1));
            let due = self.in_flight.partition_point(|it| it.0 <= horizon);
            if due == 0 {
                return;
            }
            let arrivals: Vec<_> = self.in_flight.drain(..due).collect();
            arrivals.into_iter().for_each(|it| self.deliver(it.2));
        }
    }

    /// Restarts a worker, which breaks the connections to it.
    pub fn restart(&mut self, worker: usize) {
        self.workers[worker].restart();
        let id = self.workers[worker].id();
        let mut broken = Vec::new();
        self.in_flight.retain(|(_, _, it)| {
            let InFlight::WorkerCall { owner, action, answer_lost } = it else { return true };
            let GroupAction::Worker { call, worker, .. } = action else { return true };
            if *worker == id && !answer_lost {
                broken.push((*owner, *call));
            }
            *worker != id
        });
        for (owner, call) in broken {
            let error = WorkerError::Unreachable { verdict: Verdict::MayHaveRun };
            let event = GroupEvent::WorkerReply { worker: id.clone(), call, result: Err(error) };
            self.send(InFlight::OwnerEvent { owner, event });
        }
    }

    /// Ends all faults.
    pub fn clear_faults(&mut self) {
        self.fault_permille = 0;
        self.store.down = false;
        self.workers.iter_mut().for_each(|it| it.broken = false);
        self.reachable.fill(true);
        self.listed.fill(true);
        for owner in 0..self.owners.len() {
            self.owners[owner].store_unreachable = false;
            self.owners[owner].workers_unreachable = false;
            self.resume(owner);
        }
        self.publish_workers();
    }

    /// Checks the invariants that must hold after every event.
    pub fn check(&self) {
        let mut running: BTreeSet<JobId> = BTreeSet::new();
        for worker in &self.workers {
            // Two slots of a quarter core each are reserved for the upstream.
            let capacity = worker.info.capacity.saturating_sub(Resources::new(500, 512, 0));
            assert!(worker.used().fits_in(capacity), "{} exceeds its capacity", worker.info.id);
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
                assert!(
                    !view.known || held,
                    "capacity of {} was released without evidence",
                    view.worker
                );
            }
        }
    }

    /// Checks that no attempt and no at-most-once job was started twice.
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
