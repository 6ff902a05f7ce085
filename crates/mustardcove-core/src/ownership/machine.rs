//! The ownership state machine of one scheduler process.

mod assign;

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::{
    id::{CallId, Epoch, GroupId, ProcessId, ShardId},
    ownership::{
        claim::{ClaimAttempt, ClaimResult},
        rank::{GroupLocation, first_for_shard},
        record::{CLAIM_PREFIX, ClaimRecord, SESSION_PREFIX, SessionRecord, claim_key, decode},
        session::{SESSION_RENEW_MS, SESSION_TTL_MS, Session, SessionChange, SessionDump},
    },
    store::{
        KeyVersion, StoreOp, StoreResult,
        watch::{PrefixView, ViewChange},
    },
    time::{Timestamp, earliest},
};

/// How long a process watches before it takes anything over, in milliseconds.
///
/// After a start of many processes at once, taking over at the first sight of
/// an incomplete list of sessions would move everything twice.
pub const SETTLE_MS: u64 = 1_000;

/// How long a process waits for a live owner to hand a shard over before it
/// fences that owner, in milliseconds.
pub const HANDOVER_WAIT_MS: u64 = 5_000;

/// Interval between two handovers that only rebalance, in milliseconds.
pub const REBALANCE_INTERVAL_MS: u64 = 1_000;

/// How long a session must have existed before work is moved to it, in
/// milliseconds; a process that keeps restarting attracts nothing.
pub const REBALANCE_AFTER_MS: u64 = 2_000;

/// How long a vanished session counts as a process that may return, in
/// milliseconds. After an outage of the store all sessions are gone for a
/// moment although every process is alive.
pub const PROCESS_GONE_AFTER_MS: u64 = 6_000;

/// Configuration of the ownership machine.
#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// What this process publishes about itself.
    pub record: SessionRecord,
    /// The number of shards of the deployment.
    pub shards: u16,
    /// Seed of write tokens.
    pub seed: u64,
}

/// Something that concerns ownership.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// Time passed.
    Tick,
    /// A call to the store ended.
    StoreReply {
        /// The call.
        call: CallId,
        /// Its result.
        result: StoreResult,
    },
    /// The groups of the deployment, from the instance list.
    Groups(Vec<GroupLocation>),
    /// A process that ranks first for a shard asks for it.
    ShardWanted {
        /// The shard.
        shard: ShardId,
        /// The process.
        by: ProcessId,
    },
    /// A process that was asked for a shard does not own it any more.
    ShardFree {
        /// The shard.
        shard: ShardId,
    },
    /// A shard was fenced and dropped.
    ShardFenced(ShardId),
    /// The handover of a shard is durable.
    ShardHandedOver {
        /// The shard.
        shard: ShardId,
        /// The successor.
        to: ProcessId,
    },
    /// A group has stopped starting work and may change its owner.
    GroupReleased(GroupId),
    /// The process is shutting down.
    Drain,
}

/// Something that the ownership machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipAction {
    /// A call to the store.
    Store {
        /// The machine's identifier of the call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// Claims hold until the deadline.
    ClaimDeadline(Timestamp),
    /// Recovers a shard and serves it.
    OpenShard(ShardId),
    /// Hands a shard over.
    HandOverShard {
        /// The shard.
        shard: ShardId,
        /// The successor.
        to: ProcessId,
    },
    /// Asks a process for a shard.
    AskForShard {
        /// The shard.
        shard: ShardId,
        /// The process that may own it.
        owner: ProcessId,
    },
    /// Tells a process that a shard is free for it.
    TellShardFree {
        /// The shard.
        shard: ShardId,
        /// The process.
        to: ProcessId,
    },
    /// Serves a group under a new epoch.
    OpenGroup {
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Stops starting work in a group, so that it can change its owner.
    ReleaseGroup(GroupId),
    /// Drops a group at once: its claim is lost.
    DropGroup(GroupId),
    /// A process has ended.
    ProcessGone(ProcessId),
    /// Everything is handed over and the session has ended.
    Drained,
}

#[derive(Clone, Debug)]
struct Wanted {
    asked: Option<ProcessId>,
    until: Timestamp,
}

#[derive(Clone, Debug)]
struct HeldGroup {
    epoch: Epoch,
    version: KeyVersion,
    releasing: bool,
}

/// What a dump shows of ownership.
#[derive(Clone, Debug, Serialize)]
pub struct OwnershipDump {
    /// This process's session.
    pub session: SessionDump,
    /// Live processes.
    pub processes: Vec<SessionRecord>,
    /// Shards that this process owns.
    pub shards: Vec<ShardId>,
    /// Groups that this process owns, with their epochs.
    pub groups: Vec<(GroupId, Epoch)>,
    /// Claims as last seen.
    pub claims: Vec<(GroupId, ClaimRecord)>,
    /// Whether the store answered the last watch.
    pub store_current: bool,
}

/// The state machine.
#[derive(Debug)]
pub struct Ownership {
    cfg: OwnershipConfig,
    rng: ChaCha8Rng,
    session: Session,
    sessions: PrefixView,
    claims: PrefixView,
    live: BTreeMap<ProcessId, (SessionRecord, Timestamp)>,
    sessions_version: u64,
    gone: BTreeMap<ProcessId, Timestamp>,
    claim_records: BTreeMap<GroupId, (ClaimRecord, KeyVersion)>,
    locations: BTreeMap<GroupId, GroupLocation>,
    shards: BTreeSet<ShardId>,
    handing_over: BTreeMap<ShardId, ProcessId>,
    wanted: BTreeMap<ShardId, Wanted>,
    groups: BTreeMap<GroupId, HeldGroup>,
    attempts: BTreeMap<GroupId, ClaimAttempt>,
    settled_at: Option<Timestamp>,
    settled: bool,
    rebalance_at: Timestamp,
    draining: bool,
    drained: bool,
    next_call: CallId,
}

impl Ownership {
    /// Returns the machine of a process that owns nothing yet.
    pub fn new(cfg: OwnershipConfig) -> Ownership {
        Ownership {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            session: Session::new(cfg.record.clone(), SESSION_TTL_MS, SESSION_RENEW_MS),
            sessions: PrefixView::new(SESSION_PREFIX),
            claims: PrefixView::new(CLAIM_PREFIX),
            live: BTreeMap::new(),
            sessions_version: 0,
            gone: BTreeMap::new(),
            claim_records: BTreeMap::new(),
            locations: BTreeMap::new(),
            shards: BTreeSet::new(),
            handing_over: BTreeMap::new(),
            wanted: BTreeMap::new(),
            groups: BTreeMap::new(),
            attempts: BTreeMap::new(),
            settled_at: None,
            settled: false,
            rebalance_at: Timestamp(0),
            draining: false,
            drained: false,
            next_call: CallId(0),
            cfg,
        }
    }

    /// Returns this process.
    pub fn process(&self) -> &ProcessId {
        &self.cfg.record.process
    }

    /// Returns the time until which claims may be acted upon.
    pub fn claim_deadline(&self) -> Timestamp {
        self.session.deadline()
    }

    /// Returns the live processes, this one included once it has a session.
    pub fn processes(&self) -> impl Iterator<Item = &SessionRecord> {
        self.live.values().map(|(record, _)| record)
    }

    /// Returns a number that rises whenever the live processes change.
    pub fn sessions_version(&self) -> u64 {
        self.sessions_version
    }

    /// Returns the process that should own a shard.
    pub fn shard_owner(&self, shard: ShardId) -> Option<&ProcessId> {
        if self.shards.contains(&shard) && !self.handing_over.contains_key(&shard) {
            return Some(self.process());
        }
        first_for_shard(shard, self.candidates()).map(|it| &it.process)
    }

    /// Returns the holder of a group's claim.
    pub fn group_owner(&self, group: &GroupId) -> Option<&ProcessId> {
        self.claim_records.get(group).map(|(record, _)| &record.holder)
    }

    /// Returns the groups that a process has claimed, with the epochs.
    pub fn claims_of(&self, process: &ProcessId) -> Vec<(GroupId, Epoch)> {
        let claims = self.claim_records.iter().filter(|(_, (it, _))| it.holder == *process);
        claims.map(|(group, (it, _))| (group.clone(), it.epoch)).collect()
    }

    /// Returns the known groups and where their workers are.
    pub fn locations(&self) -> impl Iterator<Item = (&GroupId, &GroupLocation)> {
        self.locations.iter()
    }

    /// Reports whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Reports whether everything was handed over after a drain.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    /// Returns when the machine next needs a [`OwnershipEvent::Tick`].
    pub fn next_deadline(&self) -> Option<Timestamp> {
        if self.drained {
            return None;
        }
        let mut next = self.session.next_deadline();
        next = earliest(next, self.sessions.next_deadline());
        next = earliest(next, self.claims.next_deadline());
        for attempt in self.attempts.values() {
            next = earliest(next, attempt.next_deadline());
        }
        for wanted in self.wanted.values() {
            next = earliest(next, Some(wanted.until));
        }
        for ended_at in self.gone.values().filter(|_| self.sessions.is_current()) {
            next = earliest(next, Some(ended_at.plus_ms(PROCESS_GONE_AFTER_MS)));
        }
        if self.settled && self.has_misplaced() {
            next = earliest(next, Some(self.rebalance_at));
        }
        earliest(next, self.settled_at.filter(|_| !self.settled))
    }

    /// Handles an event.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: OwnershipEvent,
        out: &mut Vec<OwnershipAction>,
    ) {
        match event {
            OwnershipEvent::Tick => (),
            OwnershipEvent::StoreReply { call, result } => {
                self.handle_reply(now, call, &result, out);
            }
            OwnershipEvent::Groups(locations) => {
                self.locations = locations.into_iter().map(|it| (it.group.clone(), it)).collect();
            }
            OwnershipEvent::ShardWanted { shard, by } => self.shard_wanted(shard, by, out),
            OwnershipEvent::ShardFree { shard } => {
                if let Some(wanted) = self.wanted.get_mut(&shard) {
                    wanted.until = now;
                }
            }
            OwnershipEvent::ShardFenced(shard) => {
                self.shards.remove(&shard);
                self.handing_over.remove(&shard);
            }
            OwnershipEvent::ShardHandedOver { shard, to } => {
                self.shards.remove(&shard);
                self.handing_over.remove(&shard);
                out.push(OwnershipAction::TellShardFree { shard, to });
            }
            OwnershipEvent::GroupReleased(group) => self.group_released(now, &group),
            OwnershipEvent::Drain => {
                self.draining = true;
                self.rebalance_at = now;
                self.session.set_draining(now);
            }
        }
        self.reconsider(now, out);
        self.poll_store(now, out);
    }

    fn handle_reply(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: &StoreResult,
        out: &mut Vec<OwnershipAction>,
    ) {
        if let Some(change) = self.session.handle(now, call, result) {
            self.session_changed(now, change, out);
        } else if let Some(changes) = self.sessions.handle(now, call, result) {
            for change in changes {
                self.session_seen(now, change);
            }
        } else if let Some(changes) = self.claims.handle(now, call, result) {
            for change in changes {
                self.claim_seen(change, out);
            }
        } else {
            self.claim_attempt_reply(now, call, result, out);
        }
    }

    fn session_changed(
        &mut self,
        now: Timestamp,
        change: Option<SessionChange>,
        out: &mut Vec<OwnershipAction>,
    ) {
        match change {
            Some(SessionChange::Extended(deadline)) => {
                if self.settled_at.is_none() {
                    self.settled_at = Some(now.plus_ms(SETTLE_MS));
                }
                out.push(OwnershipAction::ClaimDeadline(deadline));
            }
            Some(SessionChange::Lost) => {
                // A successor may hold the claims already; what is still named
                // after this process is claimed again under a higher epoch.
                for group in std::mem::take(&mut self.groups).into_keys() {
                    out.push(OwnershipAction::DropGroup(group));
                }
                self.attempts.clear();
                out.push(OwnershipAction::ClaimDeadline(Timestamp(0)));
            }
            Some(SessionChange::Ended) => {
                self.drained = true;
                out.push(OwnershipAction::Drained);
            }
            None => (),
        }
    }

    fn session_seen(&mut self, now: Timestamp, change: ViewChange) {
        self.sessions_version += 1;
        match change {
            ViewChange::Put(entry) => {
                let Some(record) = decode::<SessionRecord>(&entry.value) else { return };
                let seen_at = self.live.get(&record.process).map_or(now, |(_, at)| *at);
                self.gone.remove(&record.process);
                self.live.insert(record.process.clone(), (record, seen_at));
            }
            ViewChange::Delete { value, .. } => {
                let Some(record) = decode::<SessionRecord>(&value) else { return };
                self.live.remove(&record.process);
                self.gone.insert(record.process, now);
            }
        }
    }

    fn claim_seen(&mut self, change: ViewChange, out: &mut Vec<OwnershipAction>) {
        match change {
            ViewChange::Put(entry) => {
                let Some(group) = group_of_key(&entry.key) else { return };
                let Some(record) = decode::<ClaimRecord>(&entry.value) else { return };
                self.claim_known(&group, record, entry.version, out);
            }
            ViewChange::Delete { key, .. } => {
                if let Some(group) = group_of_key(&key) {
                    self.claim_records.remove(&group);
                    self.drop_group(&group, out);
                }
            }
        }
    }

    fn claim_known(
        &mut self,
        group: &GroupId,
        record: ClaimRecord,
        version: KeyVersion,
        out: &mut Vec<OwnershipAction>,
    ) {
        let known = self.claim_records.get(group);
        if known.is_some_and(|(it, _)| record.epoch < it.epoch) {
            return;
        }
        let own = record.holder == *self.process();
        let held = self.groups.get(group).map(|it| it.epoch);
        if held.is_some_and(|it| !own || it < record.epoch) {
            self.drop_group(group, out);
        }
        // A claim handed to this process is confirmed by a write of its own
        // before it is used: the session under which it was handed over may
        // have lapsed, and another process may be claiming the group already.
        self.claim_records.insert(group.clone(), (record, version));
    }

    fn open_group(
        &mut self,
        group: &GroupId,
        epoch: Epoch,
        version: KeyVersion,
        out: &mut Vec<OwnershipAction>,
    ) {
        self.groups.insert(group.clone(), HeldGroup { epoch, version, releasing: false });
        out.push(OwnershipAction::OpenGroup { group: group.clone(), epoch });
        out.push(OwnershipAction::ClaimDeadline(self.session.deadline()));
    }

    fn drop_group(&mut self, group: &GroupId, out: &mut Vec<OwnershipAction>) {
        if self.groups.remove(group).is_some() {
            out.push(OwnershipAction::DropGroup(group.clone()));
        }
    }

    fn claim_attempt_reply(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: &StoreResult,
        out: &mut Vec<OwnershipAction>,
    ) {
        let mut ended = None;
        for (group, attempt) in &mut self.attempts {
            if let Some(outcome) = attempt.handle(now, call, result) {
                ended = outcome.map(|it| (group.clone(), it));
                break;
            }
        }
        let Some((group, outcome)) = ended else { return };
        self.attempts.remove(&group);
        let ClaimResult::Written { record, version } = outcome else { return };
        let value = crate::ownership::record::encode(&record);
        self.claims.apply_own_write(&claim_key(&group), value, version);
        let own = record.holder == *self.process();
        self.claim_records.insert(group.clone(), (record.clone(), version));
        if own && self.session.is_valid(now) {
            self.open_group(&group, record.epoch, version, out);
        } else if !own {
            self.drop_group(&group, out);
        }
    }

    fn poll_store(&mut self, now: Timestamp, out: &mut Vec<OwnershipAction>) {
        if self.drained {
            return;
        }
        let mut ops = Vec::new();
        let mut call = self.next_call;
        let mut push = |op: Option<StoreOp>, call: &mut CallId| {
            if let Some(op) = op {
                ops.push(OwnershipAction::Store { call: *call, op });
                *call = call.next();
            }
        };
        push(self.session.poll(now, call), &mut call);
        push(self.sessions.poll(now, call), &mut call);
        push(self.claims.poll(now, call), &mut call);
        for attempt in self.attempts.values_mut() {
            push(attempt.poll(now, call), &mut call);
        }
        self.next_call = call;
        out.append(&mut ops);
    }

    /// Returns what a dump shows, with at most `limit` entries in each list.
    pub fn dump(&self, limit: usize) -> OwnershipDump {
        let claims = self.claim_records.iter().take(limit);
        OwnershipDump {
            session: self.session.dump(),
            processes: self.processes().take(limit).cloned().collect(),
            shards: self.shards.iter().take(limit).copied().collect(),
            groups: self.groups.iter().take(limit).map(|(it, h)| (it.clone(), h.epoch)).collect(),
            claims: claims.map(|(group, (record, _))| (group.clone(), record.clone())).collect(),
            store_current: self.sessions.is_current(),
        }
    }
}

fn group_of_key(key: &str) -> Option<GroupId> {
    key.strip_prefix(CLAIM_PREFIX)?.parse().ok()
}
