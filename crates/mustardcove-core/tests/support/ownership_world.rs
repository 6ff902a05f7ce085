//! Simulation of several ownership machines and one store in virtual time.

use std::collections::{BTreeMap, BTreeSet};

use mustardcove_core::{
    id::{CallId, GroupId, ProcessId, ShardId},
    ownership::{
        Ownership, OwnershipAction, OwnershipConfig, OwnershipEvent, ProcessKind, SessionRecord,
        rank::GroupLocation,
    },
    store::{StoreError, StoreOp, StoreReply, StoreResult, StoreRevision},
    time::{Timestamp, earliest},
    verdict::Verdict,
};
use mustardcove_platform::memory::store_state::StoreState;

/// Time from a call to the store to its answer, in milliseconds.
const CALL_MS: u64 = 4;

/// Shortest step of the virtual clock, in milliseconds.
const MIN_STEP_MS: u64 = 20;

/// A watch that waits for a change.
struct WaitingWatch {
    call: CallId,
    prefix: String,
    after: StoreRevision,
    /// The revision up to which no key under the prefix changed.
    checked: StoreRevision,
    until: Timestamp,
}

/// A simulated process.
pub(crate) struct Process {
    machine: Ownership,
    inbox: Vec<(Timestamp, OwnershipEvent)>,
    waiting: Vec<WaitingWatch>,
    pub(crate) paused: bool,
    pub(crate) dead: bool,
    pub(crate) cut_off: bool,
    claim_deadline: Timestamp,
    pub(crate) groups: BTreeSet<GroupId>,
    pub(crate) shards: BTreeSet<ShardId>,
    pub(crate) drained: bool,
}

/// A simulated deployment.
pub(crate) struct World {
    pub(crate) now: Timestamp,
    pub(crate) store: StoreState,
    pub(crate) outage: bool,
    /// How many of the next writes take effect but lose their answers.
    pub(crate) lose_answers: u32,
    pub(crate) processes: BTreeMap<ProcessId, Process>,
    locations: Vec<GroupLocation>,
    shards: u16,
    /// The process that opened each shard last, which is the only one that is
    /// not fenced.
    shard_owner: BTreeMap<ShardId, ProcessId>,
    started: u64,
}

impl World {
    pub(crate) fn new(groups: usize, shards: u16) -> World {
        let locations = (0..groups).map(|it| GroupLocation {
            group: format!("domain-{it}/0").parse().unwrap(),
            region: format!("region-{}", it % 2).parse().unwrap(),
            domain: format!("domain-{it}").parse().unwrap(),
        });
        World {
            now: Timestamp(1_000_000),
            store: StoreState::default(),
            outage: false,
            lose_answers: 0,
            processes: BTreeMap::new(),
            locations: locations.collect(),
            shards,
            shard_owner: BTreeMap::new(),
            started: 0,
        }
    }

    pub(crate) fn start_process(&mut self) -> ProcessId {
        self.started += 1;
        let process: ProcessId = format!("sched-{}", self.started).parse().unwrap();
        let domain = self.started as usize % self.locations.len();
        let record = SessionRecord {
            process: process.clone(),
            kind: ProcessKind::Scheduler,
            peer_address: "127.0.0.1:1".to_owned(),
            admin_address: "127.0.0.1:2".to_owned(),
            region: self.locations[domain].region.clone(),
            domain: self.locations[domain].domain.clone(),
            draining: false,
        };
        let cfg = OwnershipConfig { record, shards: self.shards, seed: self.started };
        let mut state = Process {
            machine: Ownership::new(cfg),
            inbox: Vec::new(),
            waiting: Vec::new(),
            paused: false,
            dead: false,
            cut_off: false,
            claim_deadline: Timestamp(0),
            groups: BTreeSet::new(),
            shards: BTreeSet::new(),
            drained: false,
        };
        state.inbox.push((self.now, OwnershipEvent::Groups(self.locations.clone())));
        self.processes.insert(process.clone(), state);
        process
    }

    /// Sends an event to a process.
    pub(crate) fn send(&mut self, process: &ProcessId, event: OwnershipEvent) {
        let at = self.now;
        if let Some(it) = self.processes.get_mut(process) {
            it.inbox.push((at, event));
        }
    }

    /// Advances the clock, and checks after every step that no group is held
    /// by two processes that may both act.
    pub(crate) fn run_ms(&mut self, ms: u64) {
        let until = self.now.plus_ms(ms);
        while self.now < until {
            self.now = self.next_time().min(until);
            self.step();
            self.assert_single_holders();
        }
    }

    /// Returns the time of the next event, at least one step from now.
    fn next_time(&self) -> Timestamp {
        let mut next = self.store.next_expiry();
        let running = self.processes.values().filter(|it| !it.dead && !it.paused);
        for process in running {
            next = earliest(next, process.machine.next_deadline());
            for (at, _) in &process.inbox {
                next = earliest(next, Some(*at));
            }
            // A waiting watch is answered in the step after a change.
            for waiting in &process.waiting {
                let changed = waiting.checked < self.store.revision();
                let due = changed || self.outage || process.cut_off;
                next = earliest(next, Some(if due { self.now } else { waiting.until }));
            }
        }
        next.unwrap_or(Timestamp::MAX).max(self.now.plus_ms(MIN_STEP_MS))
    }

    fn step(&mut self) {
        if !self.outage {
            self.store.expire(self.now);
        }
        let names: Vec<ProcessId> = self.processes.keys().cloned().collect();
        for name in &names {
            self.answer_watches(name);
        }
        for name in &names {
            self.run_process(name);
        }
    }

    fn run_process(&mut self, name: &ProcessId) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(name) else { return };
        if process.dead || process.paused {
            return;
        }
        let mut actions = Vec::new();
        let (due, later) =
            std::mem::take(&mut process.inbox).into_iter().partition(|(at, _)| *at <= now);
        process.inbox = later;
        let due: Vec<(Timestamp, OwnershipEvent)> = due;
        for (_, event) in due {
            process.machine.handle(now, event, &mut actions);
        }
        if process.machine.next_deadline().is_some_and(|it| it <= now) {
            process.machine.handle(now, OwnershipEvent::Tick, &mut actions);
        }
        for action in actions {
            self.execute(name, action);
        }
    }

    fn execute(&mut self, name: &ProcessId, action: OwnershipAction) {
        let now = self.now;
        match action {
            OwnershipAction::Store { call, op } => self.call_store(name, call, op),
            OwnershipAction::ClaimDeadline(deadline) => {
                self.process(name).claim_deadline = deadline;
            }
            OwnershipAction::OpenShard(shard) => self.open_shard(name, shard),
            OwnershipAction::HandOverShard { shard, to } => {
                self.process(name).shards.remove(&shard);
                self.send(name, OwnershipEvent::ShardHandedOver { shard, to });
            }
            OwnershipAction::RequestShardHandover { shard, owner } => {
                self.deliver(
                    &owner,
                    OwnershipEvent::ShardHandoverRequested { shard, by: name.clone() },
                );
            }
            OwnershipAction::NotifyShardReleased { shard, to } => {
                self.deliver(&to, OwnershipEvent::ShardReleased { shard });
            }
            OwnershipAction::OpenGroup { group, .. } => {
                self.process(name).groups.insert(group);
            }
            OwnershipAction::ReleaseGroup(group) => {
                self.process(name).groups.remove(&group);
                self.process(name)
                    .inbox
                    .push((now.plus_ms(CALL_MS), OwnershipEvent::GroupReleased(group)));
            }
            OwnershipAction::DropGroup(group) => {
                self.process(name).groups.remove(&group);
            }
            OwnershipAction::ProcessEnded(_) => (),
            OwnershipAction::Drained => self.process(name).drained = true,
        }
    }

    fn process(&mut self, name: &ProcessId) -> &mut Process {
        self.processes.get_mut(name).unwrap()
    }

    /// Delivers a message from another process unless the receiver is cut off.
    fn deliver(&mut self, to: &ProcessId, event: OwnershipEvent) {
        if self.processes.get(to).is_some_and(|it| !it.cut_off) {
            self.send(to, event);
        }
    }

    /// Opens a shard, which fences its previous owner; the owner learns of it as
    /// by a failed append.
    fn open_shard(&mut self, name: &ProcessId, shard: ShardId) {
        if let Some(before) = self.shard_owner.insert(shard, name.clone())
            && before != *name
            && let Some(it) = self.processes.get_mut(&before)
            && it.shards.remove(&shard)
        {
            let at = self.now;
            it.inbox.push((at, OwnershipEvent::ShardFenced(shard)));
        }
        self.process(name).shards.insert(shard);
    }

    fn call_store(&mut self, name: &ProcessId, call: CallId, op: StoreOp) {
        let now = self.now;
        let unreachable = self.outage || self.process(name).cut_off;
        if unreachable {
            let result = Err(StoreError::Unavailable { verdict: Verdict::MayHaveRun });
            self.reply(name, call, result);
            return;
        }
        if let StoreOp::Watch { prefix, after, wait_ms } = &op {
            let until = now.plus_ms(*wait_ms);
            let (prefix, after) = (prefix.clone(), *after);
            let waiting = WaitingWatch { call, prefix, after, checked: after, until };
            self.process(name).waiting.push(waiting);
            return;
        }
        let mut result = self.store.apply(now, &op);
        if op.is_write() && 0 < self.lose_answers {
            self.lose_answers -= 1;
            result = Err(StoreError::Unavailable { verdict: Verdict::MayHaveRun });
        }
        self.reply(name, call, result);
    }

    fn reply(&mut self, name: &ProcessId, call: CallId, result: StoreResult) {
        let at = self.now.plus_ms(CALL_MS);
        let event = OwnershipEvent::StoreReply { call, result };
        self.process(name).inbox.push((at, event));
    }

    fn answer_watches(&mut self, name: &ProcessId) {
        let now = self.now;
        let unreachable = self.outage || self.process(name).cut_off;
        for mut waiting in std::mem::take(&mut self.process(name).waiting) {
            if unreachable {
                let result = Err(StoreError::Unavailable { verdict: Verdict::NotRun });
                self.reply(name, waiting.call, result);
                continue;
            }
            let (prefix, after) = (waiting.prefix.clone(), waiting.after);
            let result = self.store.apply(now, &StoreOp::Watch { prefix, after, wait_ms: 0 });
            let waits = match &result {
                Ok(StoreReply::Changes { events, .. }) => events.is_empty() && now < waiting.until,
                _ => false,
            };
            if waits {
                waiting.checked = self.store.revision();
                self.process(name).waiting.push(waiting);
            } else {
                self.reply(name, waiting.call, result);
            }
        }
    }

    fn may_act(&self, process: &Process) -> bool {
        !process.dead && self.now < process.claim_deadline
    }

    fn assert_single_holders(&self) {
        let mut holders: BTreeMap<&GroupId, &ProcessId> = BTreeMap::new();
        for (name, process) in &self.processes {
            if !self.may_act(process) {
                continue;
            }
            for group in &process.groups {
                let other = holders.insert(group, name);
                assert!(other.is_none(), "{group} held by {name} and {other:?} at {}", self.now);
            }
        }
    }

    /// Returns the groups upon which a running process may act.
    pub(crate) fn held_groups(&self) -> BTreeSet<GroupId> {
        let acting = self.processes.values().filter(|it| self.may_act(it) && !it.paused);
        acting.flat_map(|it| it.groups.iter().cloned()).collect()
    }

    /// Returns the shards that a running and connected process owns.
    pub(crate) fn held_shards(&self) -> BTreeSet<ShardId> {
        let live = self.processes.values().filter(|it| !it.dead && !it.paused && !it.cut_off);
        live.flat_map(|it| it.shards.iter().copied()).collect()
    }

    /// Asserts that every group and shard has an owner.
    pub(crate) fn assert_all_held(&self) {
        assert_eq!(self.held_groups().len(), self.locations.len(), "groups at {}", self.now);
        assert_eq!(self.held_shards().len(), usize::from(self.shards), "shards at {}", self.now);
    }
}
