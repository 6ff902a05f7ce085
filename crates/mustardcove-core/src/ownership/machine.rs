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
        rank::{GroupLocation, preferred_shard_owner},
        record::{
            CLAIM_PREFIX, ClaimRecord, SESSION_PREFIX, SessionRecord, claim_key, decode_record,
        },
        session::{SESSION_RENEW_MS, SESSION_TTL_MS, Session, SessionChange, SessionDump},
    },
    store::{
        KeyVersion, StoreOp, StoreResult,
        watch::{PrefixView, ViewChange},
    },
    time::{Timestamp, earliest},
};

/// How long a process watches the sessions before it takes over anything, in
/// milliseconds.
///
/// When many processes start at once, the first lists of sessions are
/// incomplete, and a takeover based on them would move shards and groups twice.
pub const SETTLE_MS: u64 = 1_000;

/// How long a process waits for a live owner to hand over a shard before it
/// fences that owner, in milliseconds.
pub const HANDOVER_WAIT_MS: u64 = 5_000;

/// Interval between two handovers for rebalancing, in milliseconds.
pub const REBALANCE_INTERVAL_MS: u64 = 1_000;

/// Minimum age of a session before rebalancing moves shards or groups to its
/// process, in milliseconds; a process that keeps restarting receives none.
pub const REBALANCE_AFTER_MS: u64 = 2_000;

/// How long after the end of its session a process is taken to have ended, in
/// milliseconds.
///
/// After an outage of the store all sessions are missing for a moment although
/// every process still runs.
pub const PROCESS_ENDED_AFTER_MS: u64 = 6_000;

/// Configuration of the ownership machine.
#[derive(Clone, Debug)]
pub struct OwnershipConfig {
    /// What this process publishes about itself.
    pub record: SessionRecord,
    /// The number of shards of the deployment.
    pub shards: u16,
    /// The seed of the random write tokens.
    pub seed: u64,
}

/// An input of the ownership machine.
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
    /// The process that ranks first for a shard asks this one to hand it over.
    ShardHandoverRequested {
        /// The shard.
        shard: ShardId,
        /// The process.
        by: ProcessId,
    },
    /// A process that was asked for a shard no longer owns it.
    ShardReleased {
        /// The shard.
        shard: ShardId,
    },
    /// A shard was dropped because another process had fenced it.
    ShardFenced(ShardId),
    /// A shard was handed over, and the handover is durable.
    ShardHandedOver {
        /// The shard.
        shard: ShardId,
        /// The successor.
        to: ProcessId,
    },
    /// No more work is started in a group, so that it may change its owner.
    GroupReleased(GroupId),
    /// The process is shutting down.
    Drain,
}

/// An action that the ownership machine requests from its driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipAction {
    /// A call to the store.
    Store {
        /// The machine's identifier of the call.
        call: CallId,
        /// The call.
        op: StoreOp,
    },
    /// Claims may be acted upon until this deadline.
    ClaimDeadline(Timestamp),
    /// Recovers a shard and starts to serve it.
    OpenShard(ShardId),
    /// Hands a shard over.
    HandOverShard {
        /// The shard.
        shard: ShardId,
        /// The successor.
        to: ProcessId,
    },
    /// Asks a process for a shard.
    RequestShardHandover {
        /// The shard.
        shard: ShardId,
        /// The process that may own it.
        owner: ProcessId,
    },
    /// Tells a process that it may open a shard.
    NotifyShardReleased {
        /// The shard.
        shard: ShardId,
        /// The process.
        to: ProcessId,
    },
    /// Starts to serve a group under a new epoch.
    OpenGroup {
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Stops starting work in a group, so that it can change its owner.
    ReleaseGroup(GroupId),
    /// Drops a group at once, because its claim is lost or about to be given
    /// up.
    DropGroup(GroupId),
    /// A process has ended.
    ProcessEnded(ProcessId),
    /// Everything is handed over and the session has ended.
    Drained,
}

/// A shard that this process is going to open.
#[derive(Clone, Debug)]
struct PendingShard {
    /// The process that was asked to hand it over, if any.
    asked: Option<ProcessId>,
    /// When the shard is opened, unless this process stops ranking first.
    open_at: Timestamp,
}

#[derive(Clone, Debug)]
struct HeldGroup {
    epoch: Epoch,
    version: KeyVersion,
    releasing: bool,
}

/// Ownership in the state dump.
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
    /// Claims as last read from the store.
    pub claims: Vec<(GroupId, ClaimRecord)>,
    /// Whether the store answered the last call for the sessions.
    pub store_current: bool,
}

/// The ownership state machine.
#[derive(Debug)]
pub struct Ownership {
    cfg: OwnershipConfig,
    rng: ChaCha8Rng,
    session: Session,
    sessions: PrefixView,
    claims: PrefixView,
    live: BTreeMap<ProcessId, (SessionRecord, Timestamp)>,
    sessions_version: u64,
    session_ended_at: BTreeMap<ProcessId, Timestamp>,
    claim_records: BTreeMap<GroupId, (ClaimRecord, KeyVersion)>,
    locations: BTreeMap<GroupId, GroupLocation>,
    shards: BTreeSet<ShardId>,
    handing_over: BTreeMap<ShardId, ProcessId>,
    pending_shards: BTreeMap<ShardId, PendingShard>,
    groups: BTreeMap<GroupId, HeldGroup>,
    claim_attempts: BTreeMap<GroupId, ClaimAttempt>,
    settles_at: Option<Timestamp>,
    settled: bool,
    rebalance_at: Timestamp,
    draining: bool,
    drained: bool,
    next_call: CallId,
}

impl Ownership {
    /// Returns the state machine of a process that owns nothing yet.
    pub fn new(cfg: OwnershipConfig) -> Ownership {
        Ownership {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            session: Session::new(cfg.record.clone(), SESSION_TTL_MS, SESSION_RENEW_MS),
            sessions: PrefixView::new(SESSION_PREFIX),
            claims: PrefixView::new(CLAIM_PREFIX),
            live: BTreeMap::new(),
            sessions_version: 0,
            session_ended_at: BTreeMap::new(),
            claim_records: BTreeMap::new(),
            locations: BTreeMap::new(),
            shards: BTreeSet::new(),
            handing_over: BTreeMap::new(),
            pending_shards: BTreeMap::new(),
            groups: BTreeMap::new(),
            claim_attempts: BTreeMap::new(),
            settles_at: None,
            settled: false,
            rebalance_at: Timestamp(0),
            draining: false,
            drained: false,
            next_call: CallId(0),
            cfg,
        }
    }

    /// Returns the identifier of this process.
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

    /// Returns a number that rises with every change of the sessions.
    pub fn sessions_version(&self) -> u64 {
        self.sessions_version
    }

    /// Returns the process that should own a shard: this one while it owns the
    /// shard and does not hand it over, otherwise the one that ranks first.
    pub fn preferred_shard_owner(&self, shard: ShardId) -> Option<&ProcessId> {
        if self.shards.contains(&shard) && !self.handing_over.contains_key(&shard) {
            return Some(self.process());
        }
        preferred_shard_owner(shard, self.candidates()).map(|it| &it.process)
    }

    /// Returns the holder of a group's claim, as far as this process knows.
    pub fn group_owner(&self, group: &GroupId) -> Option<&ProcessId> {
        self.claim_records.get(group).map(|(record, _)| &record.holder)
    }

    /// Returns the groups that a process has claimed, with their epochs.
    pub fn claims_of(&self, process: &ProcessId) -> Vec<(GroupId, Epoch)> {
        let claims = self.claim_records.iter().filter(|(_, (it, _))| it.holder == *process);
        claims.map(|(group, (it, _))| (group.clone(), it.epoch)).collect()
    }

    /// Returns the known groups and their locations.
    pub fn group_locations(&self) -> impl Iterator<Item = (&GroupId, &GroupLocation)> {
        self.locations.iter()
    }

    /// Reports whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Reports whether the drain is complete and the session has ended.
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
        for attempt in self.claim_attempts.values() {
            next = earliest(next, attempt.next_deadline());
        }
        for pending in self.pending_shards.values() {
            next = earliest(next, Some(pending.open_at));
        }
        for ended_at in self.session_ended_at.values().filter(|_| self.sessions.is_current()) {
            next = earliest(next, Some(ended_at.plus_ms(PROCESS_ENDED_AFTER_MS)));
        }
        if self.settled && self.owns_misplaced() {
            next = earliest(next, Some(self.rebalance_at));
        }
        earliest(next, self.settles_at.filter(|_| !self.settled))
    }

    /// Handles an event and appends the resulting actions to `out`.
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
            OwnershipEvent::ShardHandoverRequested { shard, by } => {
                self.handle_shard_request(shard, by, out)
            }
            OwnershipEvent::ShardReleased { shard } => {
                if let Some(pending) = self.pending_shards.get_mut(&shard) {
                    pending.open_at = now;
                }
            }
            OwnershipEvent::ShardFenced(shard) => {
                self.shards.remove(&shard);
                self.handing_over.remove(&shard);
            }
            OwnershipEvent::ShardHandedOver { shard, to } => {
                self.shards.remove(&shard);
                self.handing_over.remove(&shard);
                out.push(OwnershipAction::NotifyShardReleased { shard, to });
            }
            OwnershipEvent::GroupReleased(group) => self.handle_group_released(now, &group),
            OwnershipEvent::Drain => {
                self.draining = true;
                self.rebalance_at = now;
                self.session.set_draining(now);
            }
        }
        self.update_assignments(now, out);
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
            self.handle_session_change(now, change, out);
        } else if let Some(changes) = self.sessions.handle(now, call, result) {
            for change in changes {
                self.apply_session(now, change);
            }
        } else if let Some(changes) = self.claims.handle(now, call, result) {
            for change in changes {
                self.apply_claim(change, out);
            }
        } else {
            self.handle_claim_reply(now, call, result, out);
        }
    }

    fn handle_session_change(
        &mut self,
        now: Timestamp,
        change: Option<SessionChange>,
        out: &mut Vec<OwnershipAction>,
    ) {
        match change {
            Some(SessionChange::Extended(deadline)) => {
                if self.settles_at.is_none() {
                    self.settles_at = Some(now.plus_ms(SETTLE_MS));
                }
                out.push(OwnershipAction::ClaimDeadline(deadline));
            }
            Some(SessionChange::Lost) => {
                // A successor may already hold the claims. Those that still
                // name this process are claimed again under a higher epoch.
                for group in std::mem::take(&mut self.groups).into_keys() {
                    out.push(OwnershipAction::DropGroup(group));
                }
                self.claim_attempts.clear();
                out.push(OwnershipAction::ClaimDeadline(Timestamp(0)));
            }
            Some(SessionChange::Ended) => {
                self.drained = true;
                out.push(OwnershipAction::Drained);
            }
            None => (),
        }
    }

    fn apply_session(&mut self, now: Timestamp, change: ViewChange) {
        self.sessions_version += 1;
        match change {
            ViewChange::Put(entry) => {
                let Some(record) = decode_record::<SessionRecord>(&entry.value) else { return };
                let seen_at = self.live.get(&record.process).map_or(now, |(_, at)| *at);
                self.session_ended_at.remove(&record.process);
                self.live.insert(record.process.clone(), (record, seen_at));
            }
            ViewChange::Delete { value, .. } => {
                let Some(record) = decode_record::<SessionRecord>(&value) else { return };
                self.live.remove(&record.process);
                self.session_ended_at.insert(record.process, now);
            }
        }
    }

    fn apply_claim(&mut self, change: ViewChange, out: &mut Vec<OwnershipAction>) {
        match change {
            ViewChange::Put(entry) => {
                let Some(group) = group_from_claim_key(&entry.key) else { return };
                let Some(record) = decode_record::<ClaimRecord>(&entry.value) else { return };
                self.record_claim(&group, record, entry.version, out);
            }
            ViewChange::Delete { key, .. } => {
                if let Some(group) = group_from_claim_key(&key) {
                    self.claim_records.remove(&group);
                    self.drop_group(&group, out);
                }
            }
        }
    }

    fn record_claim(
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
        // A claim that was handed to this process is used only after this
        // process has written it again: the session that it had at the handover
        // may have expired, and another process may already be claiming the
        // group.
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

    fn handle_claim_reply(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: &StoreResult,
        out: &mut Vec<OwnershipAction>,
    ) {
        let mut ended = None;
        for (group, attempt) in &mut self.claim_attempts {
            if let Some(outcome) = attempt.handle(now, call, result) {
                ended = outcome.map(|it| (group.clone(), it));
                break;
            }
        }
        let Some((group, outcome)) = ended else { return };
        self.claim_attempts.remove(&group);
        let ClaimResult::Written { record, version } = outcome else { return };
        let value = crate::ownership::record::encode_record(&record);
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
        for attempt in self.claim_attempts.values_mut() {
            push(attempt.poll(now, call), &mut call);
        }
        self.next_call = call;
        out.append(&mut ops);
    }

    /// Returns ownership for the state dump, with at most `limit` entries in
    /// each list.
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

fn group_from_claim_key(key: &str) -> Option<GroupId> {
    key.strip_prefix(CLAIM_PREFIX)?.parse().ok()
}
