//! One scheduler process as a state machine.
//!
//! A node composes the ownership state machine with the shards and groups that
//! the process owns, and delivers messages between them and to the machines of
//! other processes. The scheduler process, the replay tool and the tests drive
//! this type and add only I/O. See `docs/design.md`, section 2.

mod deliver;
pub mod event;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::Serialize;

pub use self::event::{CallOwner, NodeAction, NodeCall, NodeChange, NodeEvent};
use crate::{
    agreement::Agreement,
    group::{Group, GroupConfig, GroupDump, GroupEvent},
    id::{Epoch, GroupId, ProcessId, Revision, ShardId, WorkerId},
    message::GroupSummary,
    ownership::{
        Ownership, OwnershipConfig, OwnershipDump, OwnershipEvent, SessionRecord,
        rank::GroupLocation, record::group_for_worker,
    },
    placement::PlacementPolicy,
    shard::{Shard, ShardConfig, ShardDump, ShardEvent},
    time::{Timestamp, earliest},
    worker::WorkerInfo,
};

/// Shortest time between two ticks, in milliseconds.
///
/// Otherwise a machine whose deadline has passed while it waits for an answer
/// would be ticked in a busy loop.
const MIN_TICK_MS: u64 = 5;

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The session record that this process publishes.
    pub record: SessionRecord,
    /// The number of shards of the deployment.
    pub shards: u16,
    /// The number of worker groups in each failure domain.
    pub groups_per_domain: u16,
    /// Configuration of each shard.
    pub shard: ShardConfig,
    /// Configuration of each group.
    pub group: GroupConfig,
    /// Seed of all random choices of the node.
    pub seed: u64,
}

/// Creates the placement policies of groups.
pub trait PolicyFactory {
    /// The type of the policies.
    type Policy: PlacementPolicy;

    /// Returns a policy for a group that was just claimed.
    fn create(&self, group: &GroupId, seed: u64) -> Self::Policy;
}

struct OwnedShard {
    generation: u64,
    machine: Shard,
}

struct OwnedGroup<P> {
    generation: u64,
    machine: Group<P>,
}

/// The state of a node as shown to operators.
#[derive(Clone, Debug, Serialize)]
pub struct NodeDump {
    /// The revision of the agreement in force.
    pub revision: Revision,
    /// The state of sessions and claims.
    pub ownership: OwnershipDump,
    /// The shards that the node serves.
    pub shards: Vec<ShardDump>,
    /// The groups that the node serves.
    pub groups: Vec<GroupDump>,
}

/// The state machine of one scheduler process.
pub struct Node<F: PolicyFactory> {
    cfg: NodeConfig,
    factory: F,
    ownership: Ownership,
    shards: BTreeMap<ShardId, OwnedShard>,
    groups: BTreeMap<GroupId, OwnedGroup<F::Policy>>,
    agreement: Option<Arc<Agreement>>,
    workers: BTreeMap<GroupId, Arc<[WorkerInfo]>>,
    summaries: BTreeMap<GroupId, GroupSummary>,
    claim_deadline: Timestamp,
    generation: u64,
    handled_at: Timestamp,
    local_events: VecDeque<event::LocalEvent>,
}

impl<F: PolicyFactory> Node<F> {
    /// Returns a node that owns nothing yet.
    pub fn new(cfg: NodeConfig, factory: F) -> Node<F> {
        let ownership = Ownership::new(OwnershipConfig {
            record: cfg.record.clone(),
            shards: cfg.shards,
            seed: cfg.seed,
        });
        Node {
            cfg,
            factory,
            ownership,
            shards: BTreeMap::new(),
            groups: BTreeMap::new(),
            agreement: None,
            workers: BTreeMap::new(),
            summaries: BTreeMap::new(),
            claim_deadline: Timestamp(0),
            generation: 0,
            handled_at: Timestamp(0),
            local_events: VecDeque::new(),
        }
    }

    /// Returns the identifier of this process.
    pub fn process(&self) -> &ProcessId {
        self.ownership.process()
    }

    /// Returns the ownership state machine, to look up owners and processes.
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns the shards that this node serves.
    pub fn shards(&self) -> impl Iterator<Item = (&ShardId, &Shard)> {
        self.shards.iter().map(|(id, it)| (id, &it.machine))
    }

    /// Returns the groups that this node serves.
    pub fn groups(&self) -> impl Iterator<Item = (&GroupId, &Group<F::Policy>)> {
        self.groups.iter().map(|(id, it)| (id, &it.machine))
    }

    /// Returns the workers of the groups that this node serves.
    pub fn owned_workers(&self) -> impl Iterator<Item = &WorkerId> {
        let lists = self.groups.keys().filter_map(|it| self.workers.get(it));
        lists.flat_map(|it| it.iter().map(|worker| &worker.id))
    }

    /// Reports whether the node is draining.
    pub fn is_draining(&self) -> bool {
        self.ownership.is_draining()
    }

    /// Returns the agreement in force, if any was received.
    pub fn agreement(&self) -> Option<&Arc<Agreement>> {
        self.agreement.as_ref()
    }

    /// Reports whether the node has a session and all its shards and groups
    /// have recovered.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        now < self.ownership.claim_deadline()
            && self.shards.values().all(|it| it.machine.is_ready())
            && self.groups.values().all(|it| it.machine.is_ready())
    }

    /// Returns the latest time at which the next [`NodeEvent::Tick`] is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let mut next = self.ownership.next_deadline();
        for shard in self.shards.values() {
            next = earliest(next, shard.machine.next_deadline());
        }
        for group in self.groups.values() {
            next = earliest(next, group.machine.next_deadline());
        }
        next.map(|it| it.max(self.handled_at.plus_ms(MIN_TICK_MS)))
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: NodeEvent, out: &mut Vec<NodeAction>) {
        self.handled_at = now;
        match event {
            NodeEvent::Tick => self.tick(now, out),
            NodeEvent::StoreReply { call, result } => self.store_reply(now, call, result, out),
            NodeEvent::WorkerReply { call, worker, result } => {
                self.worker_reply(now, call, worker, result, out);
            }
            NodeEvent::Report(report) => {
                if let Some(group) = self.group_of_worker(&report.worker) {
                    self.group_event(now, &group, GroupEvent::Report(report), out);
                }
            }
            NodeEvent::Peer { from, message } => self.peer_message(now, from, message, out),
            NodeEvent::PeerConnected(process) => self.peer_connected(now, &process, out),
            NodeEvent::Workers(workers) => self.workers_changed(now, &workers, out),
            NodeEvent::Agreement(agreement) => self.agreement_changed(now, agreement, out),
            NodeEvent::Drain => self.ownership_event(now, OwnershipEvent::Drain, out),
        }
        self.deliver_local(now, out);
    }

    fn tick(&mut self, now: Timestamp, out: &mut Vec<NodeAction>) {
        let is_due = |deadline: Option<Timestamp>| deadline.is_some_and(|it| it <= now);
        if is_due(self.ownership.next_deadline()) {
            self.ownership_event(now, OwnershipEvent::Tick, out);
        }
        let due = self.shards.iter().filter(|(_, it)| is_due(it.machine.next_deadline()));
        let due: Vec<ShardId> = due.map(|(id, _)| *id).collect();
        for shard in due {
            self.shard_event(now, shard, ShardEvent::Tick, out);
        }
        let due = self.groups.iter().filter(|(_, it)| is_due(it.machine.next_deadline()));
        let due: Vec<GroupId> = due.map(|(id, _)| id.clone()).collect();
        for group in due {
            self.group_event(now, &group, GroupEvent::Tick, out);
        }
    }

    fn group_of_worker(&self, worker: &WorkerId) -> Option<GroupId> {
        // Only the owned groups are searched: a report from a worker of another
        // group would be dropped anyway.
        let contains = |group: &&GroupId| {
            let list = self.workers.get(*group);
            list.is_some_and(|it| it.iter().any(|info| info.id == *worker))
        };
        self.groups.keys().find(contains).cloned()
    }

    fn workers_changed(
        &mut self,
        now: Timestamp,
        workers: &[WorkerInfo],
        out: &mut Vec<NodeAction>,
    ) {
        let mut by_group: BTreeMap<GroupId, Vec<WorkerInfo>> = BTreeMap::new();
        let mut locations = BTreeMap::new();
        for worker in workers {
            let group = group_for_worker(worker, self.cfg.groups_per_domain);
            locations.entry(group.clone()).or_insert_with(|| GroupLocation {
                group: group.clone(),
                region: worker.region.clone(),
                domain: worker.domain.clone(),
            });
            by_group.entry(group).or_default().push(worker.clone());
        }
        // A group whose workers have all left keeps its owner until its tasks
        // have ended, so it stays known with an empty list.
        for (group, location) in self.ownership.group_locations() {
            locations.entry(group.clone()).or_insert_with(|| location.clone());
            by_group.entry(group.clone()).or_default();
        }
        let before = std::mem::take(&mut self.workers);
        self.workers = by_group.into_iter().map(|(id, list)| (id, list.into())).collect();
        let locations = locations.into_values().collect();
        self.ownership_event(now, OwnershipEvent::Groups(locations), out);
        let changed = self.workers.iter().filter(|(id, list)| before.get(*id) != Some(*list));
        let changed: Vec<_> = changed.map(|(id, list)| (id.clone(), list.clone())).collect();
        for (group, list) in changed {
            self.group_event(now, &group, GroupEvent::Workers(list), out);
        }
    }

    /// Puts an agreement in force unless the same or a newer revision already
    /// is.
    fn agreement_changed(
        &mut self,
        now: Timestamp,
        agreement: Arc<Agreement>,
        out: &mut Vec<NodeAction>,
    ) {
        let current = self.agreement.as_ref().map(|it| it.revision);
        if current.is_some_and(|it| agreement.revision <= it) {
            return;
        }
        self.agreement = Some(Arc::clone(&agreement));
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            self.shard_event(now, shard, ShardEvent::Agreement(Arc::clone(&agreement)), out);
        }
        let groups: Vec<GroupId> = self.groups.keys().cloned().collect();
        for group in groups {
            let event = GroupEvent::Agreement(Arc::clone(&agreement));
            self.group_event(now, &group, event, out);
        }
    }

    fn open_shard(&mut self, now: Timestamp, id: ShardId, out: &mut Vec<NodeAction>) {
        self.generation += 1;
        let seed = self.cfg.seed ^ self.generation;
        let process = self.process().clone();
        let machine = Shard::new(id, self.cfg.shards, process, self.cfg.shard.clone(), seed, now);
        self.shards.insert(id, OwnedShard { generation: self.generation, machine });
        out.push(NodeAction::Changed(NodeChange::ShardOpened(id)));
        if let Some(agreement) = self.agreement.clone() {
            self.shard_event(now, id, ShardEvent::Agreement(agreement), out);
        }
        let summaries: Vec<GroupSummary> = self.summaries.values().cloned().collect();
        for summary in summaries {
            self.shard_event(now, id, ShardEvent::Summary(summary), out);
        }
        self.shard_event(now, id, ShardEvent::Tick, out);
    }

    fn open_group(
        &mut self,
        now: Timestamp,
        id: &GroupId,
        epoch: Epoch,
        out: &mut Vec<NodeAction>,
    ) {
        self.generation += 1;
        let seed = self.cfg.seed ^ self.generation;
        let policy = self.factory.create(id, seed);
        let process = self.process().clone();
        let cfg = self.cfg.group.clone();
        let machine = Group::new(id.clone(), epoch, process, cfg, policy, seed, now);
        self.groups.insert(id.clone(), OwnedGroup { generation: self.generation, machine });
        let change = NodeChange::GroupOpened { group: id.clone(), epoch };
        out.push(NodeAction::Changed(change));
        let deadline = self.claim_deadline;
        self.group_event(now, id, GroupEvent::ClaimDeadline(deadline), out);
        if let Some(agreement) = self.agreement.clone() {
            self.group_event(now, id, GroupEvent::Agreement(agreement), out);
        }
        if let Some(workers) = self.workers.get(id).cloned() {
            self.group_event(now, id, GroupEvent::Workers(workers), out);
        }
        self.group_event(now, id, GroupEvent::Tick, out);
    }

    /// Returns the state for operators, with at most `limit` entries in each list
    /// of a shard, of a group and of ownership.
    pub fn dump(&self, limit: usize) -> NodeDump {
        NodeDump {
            revision: self.agreement.as_ref().map_or_else(Default::default, |it| it.revision),
            ownership: self.ownership.dump(limit),
            shards: self.shards.values().map(|it| it.machine.dump(limit)).collect(),
            groups: self.groups.values().map(|it| it.machine.dump(limit)).collect(),
        }
    }
}
