//! Event loop of the scheduler process.
//!
//! One task owns the state machines and handles one event at a time, so no
//! locks are needed. Everything that blocks, such as calls to the store and to
//! workers, runs in a task of its own and returns its result as an event.

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
    metrics::{Metrics, OwnedKind, OwnershipChange},
    peer::{PeerEvent, Peers},
};
use slog::{Logger, debug, info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::{
    calls::{CallCompletion, CallDispatcher},
    policy::LearnedPolicyFactory,
    reports::ReportPoller,
};

/// Longest time between two checks of the timers, in milliseconds.
const MAX_TIMER_WAIT_MS: u64 = 1_000;

/// Time limit for handing over all shards and groups at shutdown, in
/// milliseconds. A planned stop may take 10 s; the rest is left for writing the
/// last messages.
const DRAIN_TIMEOUT_MS: u64 = 8_000;

/// Maximum number of further events from the same channel that are handled
/// before the loop checks its timers again.
const MAX_BATCH: usize = 64;

/// Request of the administration routes for a state dump: the maximum number of
/// entries of each list, and the channel for the dump.
pub type DumpRequest = (usize, oneshot::Sender<NodeDump>);

/// Channels from which the driver receives events.
pub struct Inputs {
    /// Events of the peer transport.
    pub peers: mpsc::Receiver<PeerEvent>,
    /// Instance lists.
    pub instances: mpsc::Receiver<InstanceSnapshot>,
    /// Requests for state dumps.
    pub dumps: mpsc::Receiver<DumpRequest>,
}

/// Components that the driver runs and uses.
pub struct Parts<S, W> {
    /// State machine of the shards and groups.
    pub node: Node<LearnedPolicyFactory>,
    /// State machine that follows the revisions of the agreement.
    pub follower: AgreementFollower,
    /// The clock.
    pub clock: Clock,
    /// Connection to the store.
    pub store: Arc<S>,
    /// Connections to the workers.
    pub workers: Arc<W>,
    /// Connections to the other processes.
    pub peers: Peers,
    /// Readiness that the administration routes report.
    pub readiness: Readiness,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Log of the process.
    pub log: Logger,
}

struct Driver<S, W> {
    node: Node<LearnedPolicyFactory>,
    follower: AgreementFollower,
    clock: Clock,
    calls: CallDispatcher<S, W>,
    report_poller: ReportPoller<W>,
    peers: Peers,
    known_peers: BTreeMap<ProcessId, String>,
    sessions_version: u64,
    polled_workers: Vec<WorkerId>,
    readiness: Readiness,
    metrics: Metrics,
    log: Logger,
    drained: bool,
}

/// Runs the event loop until the node has drained after `stop` was cancelled,
/// or the time limit for draining has passed.
pub async fn run<S: Store, W: Workers>(
    parts: Parts<S, W>,
    mut inputs: Inputs,
    stop: CancellationToken,
) {
    let (completions_tx, mut completions) = mpsc::unbounded_channel();
    let (reports_tx, mut reports) = mpsc::channel(1_024);
    let mut driver = Driver::new(parts, completions_tx, reports_tx);
    let mut drain_deadline = None;
    while !driver.drained {
        let wake_at = driver.next_deadline(drain_deadline);
        tokio::select! {
            biased;
            () = stop.cancelled(), if drain_deadline.is_none() => {
                drain_deadline = Some(driver.clock.now().plus_ms(DRAIN_TIMEOUT_MS));
                driver.start_drain();
            }
            Some(completion) = completions.recv() => {
                driver.handle_completion(completion);
                for _ in 0..MAX_BATCH {
                    let Ok(completion) = completions.try_recv() else { break };
                    driver.handle_completion(completion);
                }
            }
            Some(event) = inputs.peers.recv() => {
                driver.handle_peer_event(event);
                for _ in 0..MAX_BATCH {
                    let Ok(event) = inputs.peers.try_recv() else { break };
                    driver.handle_peer_event(event);
                }
            }
            Some(report) = reports.recv() => driver.handle_report(report),
            Some(list) = inputs.instances.recv() => driver.handle_instances(&list),
            Some((limit, answer)) = inputs.dumps.recv() => {
                // The requester may have stopped waiting.
                let _ = answer.send(driver.node.dump(limit));
            }
            () = driver.clock.sleep_until(wake_at) => {}
        }
        driver.tick();
        if drain_deadline.is_some_and(|it| it <= driver.clock.now()) {
            warn!(
                driver.log,
                "shutdown time limit reached before all shards and groups were handed over"
            );
            break;
        }
    }
    driver.peers.shutdown(Duration::from_millis(500)).await;
}

impl<S: Store, W: Workers> Driver<S, W> {
    fn new(
        parts: Parts<S, W>,
        completions: mpsc::UnboundedSender<CallCompletion>,
        reports: mpsc::Sender<WorkerReport>,
    ) -> Driver<S, W> {
        let Parts { node, follower, clock, store, workers, peers, readiness, metrics, log } = parts;
        let report_poller = ReportPoller::new(Arc::clone(&workers), reports);
        let calls = CallDispatcher::new(store, workers, clock, completions);
        Driver {
            node,
            follower,
            clock,
            calls,
            report_poller,
            peers,
            known_peers: BTreeMap::new(),
            sessions_version: 0,
            polled_workers: Vec::new(),
            readiness,
            metrics,
            log,
            drained: false,
        }
    }

    fn next_deadline(&self, drain_deadline: Option<Timestamp>) -> Timestamp {
        let now = self.clock.now();
        let next = earliest(self.node.next_deadline(), self.follower.next_deadline());
        let latest = now.plus_ms(MAX_TIMER_WAIT_MS);
        let next = earliest(next, drain_deadline).unwrap_or(latest);
        next.clamp(now, latest)
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if self.node.next_deadline().is_some_and(|it| it <= now) {
            self.handle_node_event(NodeEvent::Tick);
        }
        if self.follower.next_deadline().is_some_and(|it| it <= now) {
            self.handle_follower_event(AgreementFollowerEvent::Tick);
        }
        self.sync_sessions();
        self.update_polled_workers();
        self.update_readiness(now);
    }

    fn start_drain(&mut self) {
        self.readiness.set_not_ready("shutting down");
        self.handle_node_event(NodeEvent::Drain);
    }

    fn handle_node_event(&mut self, event: NodeEvent) {
        let mut actions = Vec::new();
        self.node.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                NodeAction::Store { call, op } => self.calls.start_store_call(call, op),
                NodeAction::Worker { call, worker, op, not_after } => {
                    self.calls.start_worker_call(call, worker, op, not_after);
                }
                NodeAction::Peer { to, message } => self.send(&to, &message),
                NodeAction::Changed(change) => self.handle_change(&change),
            }
        }
    }

    fn send(&self, to: &ProcessId, message: &PeerMessage) {
        if let Err(error) = self.peers.send(to, message) {
            // The state machines resend messages that have to arrive, so a lost
            // message is not an error.
            debug!(self.log, "message not sent"; "to" => %to, "error" => %error);
        }
    }

    fn handle_follower_event(&mut self, event: AgreementFollowerEvent) {
        let mut actions = Vec::new();
        self.follower.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                AgreementFollowerAction::Store { call, op } => {
                    self.calls.start_follower_call(call, op)
                }
                AgreementFollowerAction::Activate(agreement) => {
                    info!(self.log, "agreement in force"; "revision" => %agreement.revision);
                    self.handle_node_event(NodeEvent::Agreement(agreement));
                }
                AgreementFollowerAction::Forward { to, message } => self.send(&to, &message),
            }
        }
    }

    fn handle_completion(&mut self, completion: CallCompletion) {
        match completion {
            CallCompletion::Store { call, result } => {
                self.handle_node_event(NodeEvent::StoreReply { call, result });
            }
            CallCompletion::Follower { call, result } => {
                self.handle_follower_event(AgreementFollowerEvent::StoreReply { call, result });
            }
            CallCompletion::Worker { call, worker, result } => {
                self.handle_node_event(NodeEvent::WorkerReply { call, worker, result });
            }
        }
    }

    fn handle_peer_event(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Message { from, message } => match *message {
                PeerMessage::Configuration(agreement) => {
                    self.handle_follower_event(AgreementFollowerEvent::Forwarded(agreement));
                }
                message => self.handle_node_event(NodeEvent::Peer { from, message }),
            },
            PeerEvent::Up { process } => self.handle_node_event(NodeEvent::PeerConnected(process)),
            PeerEvent::Down { process, graceful } => {
                debug!(self.log, "peer disconnected"; "peer" => %process, "graceful" => graceful);
            }
        }
    }

    fn handle_report(&mut self, report: WorkerReport) {
        self.handle_node_event(NodeEvent::Report(report));
    }

    fn handle_instances(&mut self, list: &InstanceSnapshot) {
        let addresses = list.workers.iter().map(|it| (it.id.clone(), it.address.as_str().into()));
        self.calls.set_addresses(addresses.collect());
        // Makes the next update of the poller apply changed addresses.
        self.polled_workers.clear();
        self.handle_node_event(NodeEvent::Workers(Arc::clone(&list.workers)));
    }

    /// Passes the live processes to the transport and to the follower if the
    /// sessions have changed.
    fn sync_sessions(&mut self) {
        let version = self.node.ownership().sessions_version();
        if version == self.sessions_version {
            return;
        }
        self.sessions_version = version;
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
        self.handle_follower_event(AgreementFollowerEvent::Processes(live));
    }

    /// Makes the poller follow changes to the set of workers in the groups that
    /// this process owns.
    fn update_polled_workers(&mut self) {
        let wanted: Vec<WorkerId> = self.node.owned_workers().cloned().collect();
        if wanted == self.polled_workers {
            return;
        }
        let address = |it: &WorkerId| Some((it.clone(), self.calls.address(it)?.clone()));
        let addresses: HashMap<WorkerId, Arc<str>> = wanted.iter().filter_map(address).collect();
        self.report_poller.set_workers(&addresses);
        self.polled_workers = wanted;
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

    /// Counts and logs a change of ownership, or the end of the drain.
    fn handle_change(&mut self, change: &NodeChange) {
        let ownership = |owned, change| self.metrics.ownership_change(owned, change);
        match change {
            NodeChange::ShardOpened(shard) => {
                ownership(OwnedKind::Shard, OwnershipChange::Taken);
                info!(self.log, "shard taken"; "shard" => %shard);
            }
            NodeChange::ShardFenced(shard) => {
                ownership(OwnedKind::Shard, OwnershipChange::Lost);
                warn!(self.log, "shard taken by another process"; "shard" => %shard);
            }
            NodeChange::ShardHandedOver { shard, to } => {
                ownership(OwnedKind::Shard, OwnershipChange::HandedOver);
                info!(self.log, "shard handed over"; "shard" => %shard, "to" => %to);
            }
            NodeChange::GroupOpened { group, epoch } => {
                ownership(OwnedKind::Group, OwnershipChange::Taken);
                info!(self.log, "group claimed"; "group" => %group, "epoch" => %epoch);
            }
            NodeChange::GroupClosed(group) => {
                ownership(OwnedKind::Group, OwnershipChange::Lost);
                info!(self.log, "group given up"; "group" => %group);
            }
            NodeChange::ProcessEnded(process) => {
                info!(self.log, "process ended"; "peer" => %process);
            }
            NodeChange::Drained => {
                info!(self.log, "all shards and groups handed over");
                self.drained = true;
            }
        }
    }
}
