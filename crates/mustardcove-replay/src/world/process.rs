//! Processes: delivery of events, and execution of the schedulers' actions.

use std::{collections::VecDeque, sync::Arc};

use mustardcove_core::{
    configuration::{
        AgreementFollower, AgreementFollowerAction, AgreementFollowerConfig, AgreementFollowerEvent,
    },
    group::GroupConfig,
    id::{ProcessId, RequestId, Revision, WorkerId},
    message::PeerMessage,
    node::{CallOwner, Node, NodeAction, NodeCall, NodeChange, NodeConfig, NodeEvent},
    ownership::{ProcessKind, SessionRecord},
    shard::ShardConfig,
    store::StoreResult,
    time::{Timestamp, earliest},
    verdict::Verdict,
    worker::{WorkerError, WorkerInfo, WorkerReport, WorkerResult},
};

use super::{
    ProcessIndex, World, entry::Entry, net::Location, queue::Event, store::StoreClient,
    upstream::UpstreamAnswer,
};
use crate::{plan::ProcessPlan, policy::AnyPolicyFactory};

/// An event that is delivered to a process.
#[derive(Debug)]
pub(crate) enum ProcessEvent {
    /// A deadline of one of its state machines may have passed.
    Tick,
    StoreReply {
        client: StoreClient,
        result: StoreResult,
    },
    WorkerReply {
        call: NodeCall,
        worker: WorkerId,
        result: WorkerResult,
    },
    Report(WorkerReport),
    Peer {
        from: ProcessId,
        message: PeerMessage,
    },
    Connected(ProcessId),
    Workers {
        version: u64,
        list: Arc<[WorkerInfo]>,
    },
    /// A caller's request reaches an entry process.
    CallerRequest(usize),
    /// An upstream answers an entry process.
    Upstream(Box<UpstreamAnswer>),
    Probed {
        worker: WorkerId,
        ok: bool,
    },
    /// A request to the owner of a shard failed because its target has ended.
    RequestFailed {
        request: RequestId,
        verdict: Verdict,
    },
    /// A timer of a caller's request at an entry process or, if
    /// `caller_request` is zero, of the shard call with the id `timer`.
    CallerRequestTimer {
        caller_request: u64,
        timer: u64,
    },
}

/// The state machines of a process.
pub(crate) enum Role {
    Scheduler(Box<Scheduler>),
    Entry(Box<Entry>),
}

/// The state machines of a scheduler process.
pub(crate) struct Scheduler {
    pub(crate) node: Node<AnyPolicyFactory>,
    pub(crate) follower: AgreementFollower,
    sessions: Vec<SessionRecord>,
}

/// A process of the deployment.
pub(crate) struct Process {
    pub(crate) plan: ProcessPlan,
    pub(crate) id: ProcessId,
    pub(crate) location: Location,
    /// Distinguishes the process from earlier incarnations of the same name.
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) paused: bool,
    pub(crate) disconnected: bool,
    pub(crate) stopping_since_us: Option<u64>,
    /// Time since which it has been running, not paused and able to reach the
    /// store.
    pub(crate) reachable_since_us: u64,
    pub(crate) revision: Revision,
    inbox: VecDeque<ProcessEvent>,
    tick_at: Option<u64>,
    pub(crate) role: Role,
}

impl World {
    pub(super) fn add_process(&mut self, plan: ProcessPlan) {
        let index = self.processes.len();
        let process = self.new_process(plan);
        self.by_id.insert(process.id.clone(), index);
        self.processes.push(process);
        self.start_process(index);
    }

    pub(super) fn new_process(&mut self, plan: ProcessPlan) -> Process {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let id: ProcessId = format!("{}@{incarnation}", plan.name).parse().expect("a valid name");
        let record = SessionRecord {
            process: id.clone(),
            kind: plan.kind,
            peer_address: format!("{id}:peer"),
            admin_address: format!("{id}:admin"),
            region: plan.region.clone(),
            domain: plan.domain.clone(),
            draining: false,
        };
        let seed = self.seed.wrapping_mul(1_000_003) ^ (incarnation << 20);
        let header = &self.trace.header;
        let follower = AgreementFollower::new(AgreementFollowerConfig {
            record: record.clone(),
            dissemination: header.dissemination,
        });
        let role = match plan.kind {
            ProcessKind::Scheduler => {
                let cfg = NodeConfig {
                    record,
                    shards: header.shards,
                    groups_per_domain: header.slices,
                    shard: ShardConfig::default(),
                    group: GroupConfig { shards: header.shards, ..GroupConfig::default() },
                    seed,
                };
                let node = Node::new(cfg, self.factory.clone());
                let sessions = Vec::new();
                Role::Scheduler(Box::new(Scheduler { node, follower, sessions }))
            }
            ProcessKind::Entry => {
                Role::Entry(Box::new(Entry::new(header, record, follower, seed, self.now())))
            }
        };
        Process {
            location: Location { region: plan.region.clone(), domain: Some(plan.domain.clone()) },
            plan,
            id,
            incarnation,
            alive: true,
            paused: false,
            disconnected: false,
            stopping_since_us: None,
            reachable_since_us: self.now_us,
            revision: Revision(0),
            inbox: VecDeque::new(),
            tick_at: None,
            role,
        }
    }

    /// Gives a new process the instance list and its first tick, and connects
    /// it to its peers.
    pub(super) fn start_process(&mut self, index: ProcessIndex) {
        let list = ProcessEvent::Workers {
            version: self.instance_list_version,
            list: self.instance_list.clone(),
        };
        self.deliver_at(self.now_us, index, list);
        self.deliver_at(self.now_us, index, ProcessEvent::Tick);
        self.processes[index].tick_at = Some(self.now_us);
        self.connect(index);
    }

    /// Announces new connections to a scheduler process and its peers.
    pub(super) fn connect(&mut self, index: ProcessIndex) {
        let is_peer = |it: &Process| it.alive && it.plan.kind == ProcessKind::Scheduler;
        if !is_peer(&self.processes[index]) {
            return;
        }
        let others: Vec<ProcessIndex> = (0..self.processes.len())
            .filter(|it| *it != index && is_peer(&self.processes[*it]))
            .collect();
        for other in others {
            let ids = (self.processes[index].id.clone(), self.processes[other].id.clone());
            self.send_to_process(index, other, 32, ProcessEvent::Connected(ids.0));
            self.send_to_process(other, index, 32, ProcessEvent::Connected(ids.1));
        }
    }

    pub(super) fn deliver_at(&mut self, at: u64, to: ProcessIndex, event: ProcessEvent) {
        let incarnation = self.processes[to].incarnation;
        self.queue.push(at, Event::Deliver { to, incarnation, event: Box::new(event) });
    }

    /// Sends an event from one process to another; reports whether it could be
    /// sent.
    pub(super) fn send_to_process(
        &mut self,
        from: ProcessIndex,
        to: ProcessIndex,
        bytes: u64,
        event: ProcessEvent,
    ) -> bool {
        let (source, target) = (&self.processes[from], &self.processes[to]);
        let can_reach = self.net.can_reach(&source.location, &target.location);
        if source.disconnected || target.disconnected || !target.alive || !can_reach {
            return false;
        }
        let at = self.net.send(self.now_us, &source.location, &target.location, bytes);
        self.deliver_at(at, to, event);
        true
    }

    pub(super) fn deliver(&mut self, to: ProcessIndex, incarnation: u64, event: ProcessEvent) {
        let process = &mut self.processes[to];
        if !process.alive || process.incarnation != incarnation {
            return;
        }
        if matches!(event, ProcessEvent::Tick) {
            if process.tick_at != Some(self.now_us) {
                return;
            }
            process.tick_at = None;
        }
        if process.paused {
            // Ticks are dropped during a pause; resuming the process delivers
            // one.
            if !matches!(event, ProcessEvent::Tick) {
                process.inbox.push_back(event);
            }
            return;
        }
        let is_peer = matches!(event, ProcessEvent::Peer { .. } | ProcessEvent::Report(_));
        if process.disconnected && is_peer {
            return;
        }
        self.process_event(to, event);
    }

    /// Resumes a process and handles what arrived during the pause.
    pub(super) fn resume(&mut self, index: ProcessIndex) {
        self.processes[index].paused = false;
        self.processes[index].reachable_since_us = self.now_us;
        while let Some(event) = self.processes[index].inbox.pop_front() {
            self.process_event(index, event);
        }
        self.process_event(index, ProcessEvent::Tick);
    }

    pub(super) fn process_event(&mut self, index: ProcessIndex, event: ProcessEvent) {
        if !self.processes[index].alive {
            return;
        }
        match self.processes[index].plan.kind {
            ProcessKind::Scheduler => self.scheduler_event(index, event),
            ProcessKind::Entry => self.entry_event(index, event),
        }
        self.schedule_tick(index);
    }

    pub(super) fn schedule_tick(&mut self, index: ProcessIndex) {
        let process = &mut self.processes[index];
        if !process.alive || process.paused {
            return;
        }
        let next = match &process.role {
            Role::Scheduler(it) => earliest(it.node.next_deadline(), it.follower.next_deadline()),
            Role::Entry(it) => it.next_deadline(),
        };
        let Some(next) = next else { return };
        if next == Timestamp::MAX {
            return;
        }
        // A state machine whose deadline has passed is waiting for an answer,
        // so the next tick comes after 1 ms at the earliest.
        let at = (next.0 * 1_000).max(self.now_us + 1_000);
        if process.tick_at.is_none_or(|it| at < it) {
            process.tick_at = Some(at);
            self.deliver_at(at, index, ProcessEvent::Tick);
        }
    }

    fn scheduler(&mut self, index: ProcessIndex) -> &mut Scheduler {
        match &mut self.processes[index].role {
            Role::Scheduler(it) => it,
            Role::Entry(_) => unreachable!("the process is a scheduler"),
        }
    }

    fn scheduler_event(&mut self, index: ProcessIndex, event: ProcessEvent) {
        match event {
            ProcessEvent::Tick => {
                self.node_event(index, NodeEvent::Tick);
                self.follower_event(index, AgreementFollowerEvent::Tick);
            }
            ProcessEvent::StoreReply { client: StoreClient::Node(call), result } => {
                let concerns_sessions = call.owner == CallOwner::Ownership;
                self.node_event(index, NodeEvent::StoreReply { call, result });
                if concerns_sessions {
                    self.sessions_changed(index);
                }
            }
            ProcessEvent::StoreReply { client: StoreClient::Follower(call), result } => {
                self.follower_event(index, AgreementFollowerEvent::StoreReply { call, result });
            }
            ProcessEvent::WorkerReply { call, worker, result } => {
                self.node_event(index, NodeEvent::WorkerReply { call, worker, result });
            }
            ProcessEvent::Report(report) => self.node_event(index, NodeEvent::Report(report)),
            ProcessEvent::Peer { message: PeerMessage::Configuration(agreement), .. } => {
                self.follower_event(index, AgreementFollowerEvent::Forwarded(agreement));
            }
            ProcessEvent::Peer { from, message } => {
                self.node_event(index, NodeEvent::Peer { from, message });
            }
            ProcessEvent::Connected(process) => {
                self.node_event(index, NodeEvent::PeerConnected(process));
            }
            ProcessEvent::Workers { list, .. } => {
                self.node_event(index, NodeEvent::Workers(list));
            }
            _ => (),
        }
    }

    fn sessions_changed(&mut self, index: ProcessIndex) {
        let it = self.scheduler(index);
        let is_same = it.node.ownership().processes().eq(it.sessions.iter());
        if is_same {
            return;
        }
        let sessions: Vec<SessionRecord> = it.node.ownership().processes().cloned().collect();
        it.sessions = sessions.clone();
        self.follower_event(index, AgreementFollowerEvent::Processes(sessions));
    }

    pub(super) fn node_event(&mut self, index: ProcessIndex, event: NodeEvent) {
        let now = self.now();
        let mut actions = Vec::new();
        self.scheduler(index).node.handle(now, event, &mut actions);
        for action in actions {
            self.node_action(index, action);
        }
        self.check_groups(index);
    }

    /// Checks P1 on the capacity that the groups of a process have committed.
    fn check_groups(&mut self, index: ProcessIndex) {
        let trace_ms = self.trace_ms();
        let Role::Scheduler(it) = &self.processes[index].role else { return };
        for (group, machine) in it.node.groups() {
            if let Some(worker) = machine.overcommitted_worker() {
                let detail = format!("group {group} has committed {worker} beyond its capacity");
                self.checks.violation("P1", trace_ms, detail);
            }
        }
    }

    fn node_action(&mut self, index: ProcessIndex, action: NodeAction) {
        match action {
            NodeAction::Store { call, op } => {
                self.store_call(index, StoreClient::Node(call), op);
            }
            NodeAction::Worker { call, worker, op, not_after } => {
                if not_after < self.now() {
                    let result = Err(WorkerError::Unreachable { verdict: Verdict::NotRun });
                    let event = ProcessEvent::WorkerReply { call, worker, result };
                    return self.deliver_at(self.now_us, index, event);
                }
                self.worker_call(index, call, worker, op);
            }
            NodeAction::Peer { to, message } => self.peer_message(index, &to, message),
            NodeAction::Changed(change) => self.node_changed(index, change),
        }
    }

    fn peer_message(&mut self, from: ProcessIndex, to: &ProcessId, message: PeerMessage) {
        let Some(&target) = self.by_id.get(to) else { return };
        let source = self.processes[from].id.clone();
        if target == from {
            let event = ProcessEvent::Peer { from: source, message };
            return self.deliver_at(self.now_us, from, event);
        }
        let is_remote =
            self.processes[from].location.region != self.processes[target].location.region;
        let bytes = if is_remote { encoded_len(&message) } else { 0 };
        self.send_to_process(from, target, bytes, ProcessEvent::Peer { from: source, message });
    }

    fn node_changed(&mut self, index: ProcessIndex, change: NodeChange) {
        match change {
            NodeChange::GroupOpened { group, .. } => self.set_report_polling(index, &group, true),
            NodeChange::GroupClosed(group) => self.set_report_polling(index, &group, false),
            NodeChange::Drained => self.process_stopped(index),
            _ => (),
        }
    }

    pub(super) fn follower_event(&mut self, index: ProcessIndex, event: AgreementFollowerEvent) {
        let now = self.now();
        let mut actions = Vec::new();
        match &mut self.processes[index].role {
            Role::Scheduler(it) => it.follower.handle(now, event, &mut actions),
            Role::Entry(it) => it.follower.handle(now, event, &mut actions),
        }
        for action in actions {
            match action {
                AgreementFollowerAction::Store { call, op } => {
                    self.store_call(index, StoreClient::Follower(call), op);
                }
                AgreementFollowerAction::Activate(agreement) => {
                    self.agreement_activated(index, agreement.revision);
                    match self.processes[index].plan.kind {
                        ProcessKind::Scheduler => {
                            self.node_event(index, NodeEvent::Agreement(agreement));
                        }
                        ProcessKind::Entry => self.entry_agreement(index, agreement),
                    }
                }
                AgreementFollowerAction::Forward { to, message } => {
                    self.peer_message(index, &to, message);
                }
            }
        }
    }
}

/// Returns the encoded size of a message between processes, in bytes.
pub(crate) fn encoded_len(message: &PeerMessage) -> u64 {
    let cfg = bincode::config::standard();
    bincode::serde::encode_to_vec(message, cfg).map_or(0, |it| it.len() as u64)
}
