//! The loop that drives the node.
//!
//! One task owns the state machines and handles one event at a time, so no
//! lock is held anywhere. Everything that takes time runs in tasks of its own
//! and comes back as an event.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use mustardcove_core::{
    configuration::{AgreementFollower, AgreementFollowerAction, AgreementFollowerEvent},
    id::{ProcessId, WorkerId},
    message::PeerMessage,
    node::{Node, NodeAction, NodeChange, NodeDump, NodeEvent},
    ownership::SessionRecord,
    time::{Timestamp, earliest},
    worker::WorkerReport,
};
use mustardcove_platform::{Clock, InstanceSnapshot, Store, Workers};
use mustardcove_runtime::{
    admin::Readiness,
    metrics::{Metrics, Owned, OwnershipChange},
    peer::{PeerEvent, Peers},
};
use slog::{Logger, debug, info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{
    calls::{CallEnd, Calls},
    policy::LearnedFactory,
    reports::ReportPolls,
};

/// Longest time between two looks at the machines, in milliseconds.
const MAX_IDLE_MS: u64 = 1_000;

/// Bound of handing everything over at shutdown; it leaves time to write the
/// last messages within the 10 s that a planned stop may take.
const DRAIN_MS: u64 = 8_000;

/// Events handled before the loop looks at its timers again.
const MAX_BATCH: usize = 64;

/// A question about the state, asked by the administration routes.
pub type DumpRequest = (usize, oneshot::Sender<NodeDump>);

/// What the driver listens to.
pub struct Inputs {
    /// Events of the peer transport.
    pub peers: mpsc::Receiver<PeerEvent>,
    /// Instance lists.
    pub instances: mpsc::Receiver<InstanceSnapshot>,
    /// Questions about the state.
    pub dumps: mpsc::Receiver<DumpRequest>,
}

/// What the driver works with.
pub struct Parts<S, W> {
    /// The state machine.
    pub node: Node<LearnedFactory>,
    /// Follows the agreement.
    pub follower: AgreementFollower,
    /// The clock.
    pub clock: Clock,
    /// The store.
    pub store: Arc<S>,
    /// The workers.
    pub workers: Arc<W>,
    /// The other processes.
    pub peers: Peers,
    /// Whether the process wants work.
    pub readiness: Readiness,
    /// Metrics.
    pub metrics: Metrics,
    /// Log.
    pub log: Logger,
}

struct Driver<S, W> {
    node: Node<LearnedFactory>,
    follower: AgreementFollower,
    clock: Clock,
    calls: Calls<S, W>,
    polls: ReportPolls<W>,
    peers: Peers,
    known_peers: BTreeMap<ProcessId, String>,
    sessions_seen: u64,
    polled: Vec<WorkerId>,
    readiness: Readiness,
    metrics: Metrics,
    log: Logger,
    drained: bool,
}

/// Drives the node until it has drained after `stop` was cancelled.
pub async fn run<S: Store, W: Workers>(
    parts: Parts<S, W>,
    mut inputs: Inputs,
    stop: CancellationToken,
) {
    let (ends_tx, mut ends) = mpsc::unbounded_channel();
    let (reports_tx, mut reports) = mpsc::channel(1_024);
    let mut driver = Driver::new(parts, ends_tx, reports_tx);
    let mut drain_until = None;
    while !driver.drained {
        let until = driver.next_deadline(drain_until);
        tokio::select! {
            biased;
            () = stop.cancelled(), if drain_until.is_none() => {
                drain_until = Some(driver.clock.now().plus_ms(DRAIN_MS));
                driver.start_drain();
            }
            Some(end) = ends.recv() => {
                driver.call_ended(end);
                for _ in 0..MAX_BATCH {
                    let Ok(end) = ends.try_recv() else { break };
                    driver.call_ended(end);
                }
            }
            Some(event) = inputs.peers.recv() => {
                driver.peer_event(event);
                for _ in 0..MAX_BATCH {
                    let Ok(event) = inputs.peers.try_recv() else { break };
                    driver.peer_event(event);
                }
            }
            Some(report) = reports.recv() => driver.report(report),
            Some(list) = inputs.instances.recv() => driver.instances(&list),
            Some((limit, answer)) = inputs.dumps.recv() => {
                // The asker may have given up.
                let _ = answer.send(driver.node.dump(limit));
            }
            () = driver.clock.sleep_until(until) => {}
        }
        driver.tick();
        if drain_until.is_some_and(|it| it <= driver.clock.now()) {
            warn!(driver.log, "shutdown bound reached before everything was handed over");
            break;
        }
    }
    driver.peers.shutdown(Duration::from_millis(500)).await;
}

impl<S: Store, W: Workers> Driver<S, W> {
    fn new(
        parts: Parts<S, W>,
        ends: mpsc::UnboundedSender<CallEnd>,
        reports: mpsc::Sender<WorkerReport>,
    ) -> Driver<S, W> {
        let Parts { node, follower, clock, store, workers, peers, readiness, metrics, log } = parts;
        let polls = ReportPolls::new(Arc::clone(&workers), reports);
        let calls = Calls::new(store, workers, clock, ends);
        Driver {
            node,
            follower,
            clock,
            calls,
            polls,
            peers,
            known_peers: BTreeMap::new(),
            sessions_seen: 0,
            polled: Vec::new(),
            readiness,
            metrics,
            log,
            drained: false,
        }
    }

    fn next_deadline(&self, drain_until: Option<Timestamp>) -> Timestamp {
        let now = self.clock.now();
        let next = earliest(self.node.next_deadline(), self.follower.next_deadline());
        let latest = now.plus_ms(MAX_IDLE_MS);
        let next = earliest(next, drain_until).unwrap_or(latest);
        next.clamp(now, latest)
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if self.node.next_deadline().is_some_and(|it| it <= now) {
            self.node_event(NodeEvent::Tick);
        }
        if self.follower.next_deadline().is_some_and(|it| it <= now) {
            self.follower_event(AgreementFollowerEvent::Tick);
        }
        self.sessions_changed();
        self.update_polls();
        self.update_readiness(now);
    }

    fn start_drain(&mut self) {
        self.readiness.set_not_ready("shutting down");
        self.node_event(NodeEvent::Drain);
    }

    fn node_event(&mut self, event: NodeEvent) {
        let mut actions = Vec::new();
        self.node.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                NodeAction::Store { call, op } => self.calls.store(call, op),
                NodeAction::Worker { call, worker, op, not_after } => {
                    self.calls.worker(call, worker, op, not_after);
                }
                NodeAction::Peer { to, message } => self.send(&to, &message),
                NodeAction::Changed(change) => self.changed(&change),
            }
        }
    }

    fn send(&self, to: &ProcessId, message: &PeerMessage) {
        if let Err(error) = self.peers.send(to, message) {
            // The machines repeat what matters, so a lost message is no fault.
            debug!(self.log, "message not sent"; "to" => %to, "error" => %error);
        }
    }

    fn follower_event(&mut self, event: AgreementFollowerEvent) {
        let mut actions = Vec::new();
        self.follower.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                AgreementFollowerAction::Store { call, op } => self.calls.follower(call, op),
                AgreementFollowerAction::Activate(agreement) => {
                    info!(self.log, "agreement in force"; "revision" => %agreement.revision);
                    self.node_event(NodeEvent::Agreement(agreement));
                }
                AgreementFollowerAction::Forward { to, message } => self.send(&to, &message),
            }
        }
    }

    fn call_ended(&mut self, end: CallEnd) {
        match end {
            CallEnd::Store { call, result } => {
                self.node_event(NodeEvent::StoreReply { call, result });
            }
            CallEnd::Follower { call, result } => {
                self.follower_event(AgreementFollowerEvent::StoreReply { call, result });
            }
            CallEnd::Worker { call, worker, result } => {
                self.node_event(NodeEvent::WorkerReply { call, worker, result });
            }
        }
    }

    fn peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Message { from, message } => match *message {
                PeerMessage::Configuration(agreement) => {
                    self.follower_event(AgreementFollowerEvent::Forwarded(agreement));
                }
                message => self.node_event(NodeEvent::Peer { from, message }),
            },
            PeerEvent::Up { process } => self.node_event(NodeEvent::PeerConnected(process)),
            PeerEvent::Down { process, graceful } => {
                debug!(self.log, "peer disconnected"; "peer" => %process, "graceful" => graceful);
            }
        }
    }

    fn report(&mut self, report: WorkerReport) {
        self.node_event(NodeEvent::Report(report));
    }

    fn instances(&mut self, list: &InstanceSnapshot) {
        let addresses = list.workers.iter().map(|it| (it.id.clone(), it.address.as_str().into()));
        self.calls.set_addresses(addresses.collect());
        self.polled.clear();
        self.node_event(NodeEvent::Workers(Arc::clone(&list.workers)));
    }

    /// Makes the transport and the follower know the live processes.
    fn sessions_changed(&mut self) {
        let version = self.node.ownership().sessions_version();
        if version == self.sessions_seen {
            return;
        }
        self.sessions_seen = version;
        let own = self.node.process().clone();
        let live: Vec<SessionRecord> = self.node.ownership().processes().cloned().collect();
        let mut known = BTreeMap::new();
        for record in live.iter().filter(|it| it.process != own) {
            let Ok(address) = record.peer_address.parse() else { continue };
            if self.known_peers.get(&record.process) != Some(&record.peer_address) {
                self.peers.add_peer(record.process.clone(), address, record.region.clone());
            }
            known.insert(record.process.clone(), record.peer_address.clone());
        }
        for process in self.known_peers.keys().filter(|it| !known.contains_key(*it)) {
            self.peers.remove_peer(process);
        }
        self.known_peers = known;
        self.follower_event(AgreementFollowerEvent::Processes(live));
    }

    /// Polls the workers of the groups that this process owns.
    fn update_polls(&mut self) {
        let wanted: Vec<WorkerId> = self.node.owned_workers().cloned().collect();
        if wanted == self.polled {
            return;
        }
        let address = |it: &WorkerId| Some((it.clone(), self.calls.address(it)?.clone()));
        let addresses: HashMap<WorkerId, Arc<str>> = wanted.iter().filter_map(address).collect();
        self.polls.set(&addresses);
        self.polled = wanted;
    }

    fn update_readiness(&self, now: Timestamp) {
        if self.node.is_draining() {
            return;
        }
        if self.node.agreement().is_none() {
            self.readiness.set_not_ready("no agreement is in force");
        } else if !self.node.is_ready(now) {
            self.readiness.set_not_ready("no session, or shards and groups are recovering");
        } else {
            self.readiness.set_ready();
        }
    }

    fn changed(&mut self, change: &NodeChange) {
        let ownership = |owned, change| self.metrics.ownership_change(owned, change);
        match change {
            NodeChange::ShardOpened(shard) => {
                ownership(Owned::Shard, OwnershipChange::Taken);
                info!(self.log, "shard taken"; "shard" => %shard);
            }
            NodeChange::ShardFenced(shard) => {
                ownership(Owned::Shard, OwnershipChange::Lost);
                warn!(self.log, "shard taken by another process"; "shard" => %shard);
            }
            NodeChange::ShardHandedOver { shard, to } => {
                ownership(Owned::Shard, OwnershipChange::HandedOver);
                info!(self.log, "shard handed over"; "shard" => %shard, "to" => %to);
            }
            NodeChange::GroupOpened { group, epoch } => {
                ownership(Owned::Group, OwnershipChange::Taken);
                info!(self.log, "group claimed"; "group" => %group, "epoch" => %epoch);
            }
            NodeChange::GroupClosed(group) => {
                ownership(Owned::Group, OwnershipChange::Lost);
                info!(self.log, "group given up"; "group" => %group);
            }
            NodeChange::ProcessGone(process) => {
                info!(self.log, "process ended"; "peer" => %process);
            }
            NodeChange::Drained => {
                info!(self.log, "everything handed over");
                self.drained = true;
            }
        }
    }
}
