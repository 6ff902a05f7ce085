//! What the parts of a process share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use mustardcove_adapter::{
    advice::AdviceClient, settings::NodeSettings, store::MetadataStore, workers::WorkerClient,
};
use mustardcove_core::{
    fleet::{
        election::Candidacy,
        id::{ManifestVersion, Term},
        manifest::Manifest,
        message::{FleetMessage, Heartbeat, StoreOutcome},
        poller::LEADER_SILENT_MS,
        state_cache::StateCache,
    },
    id::ProcessId,
    message::PeerMessage,
    time::Timestamp,
};
use mustardcove_platform::Clock;
use mustardcove_runtime::peer::Peers;
use rustix::time::{ClockId, clock_gettime};
use slog::{Logger, debug};
use tokio::sync::{Notify, oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::{metrics::NodeMetrics, outbox::Outbox};

/// A process that failed to reach the store for this long does not count as
/// reaching it, in milliseconds: longer than one call with its timeout.
const STORE_STALE_MS: u64 = 2_200;

/// Age up to which the numbers of waiting submissions are given to callers, in
/// milliseconds: users accept two seconds, of which the leader's own view and
/// the way take a part.
const PENDING_VALID_MS: u64 = 1_500;

/// The leader as this process knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Its term; 0 while none is known.
    pub term: Term,
    /// The leader.
    pub leader: Option<ProcessId>,
}

/// What is known from the leader's last beat.
#[derive(Clone, Debug, Default)]
pub struct LastBeat {
    /// When it arrived, on a clock that counts suspended time, in
    /// milliseconds.
    arrived_at_boot_ms: u64,
    may_extend: bool,
    /// Waiting submissions by queue (host and prefix).
    pending: BTreeMap<(String, String), u32>,
    pending_at_boot_ms: u64,
    /// Processes that reached the store lately.
    pub reaching_store: Vec<ProcessId>,
}

/// The shared parts; cloned as an `Arc`.
#[derive(Debug)]
pub struct Shared {
    /// This process.
    pub process: ProcessId,
    /// The platform's settings.
    pub settings: NodeSettings,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: NodeMetrics,
    /// Connections to other processes.
    pub peers: Peers,
    /// The store.
    pub store: MetadataStore,
    /// The workers.
    pub workers: WorkerClient,
    /// The recommendation service, if there is one.
    pub advice: Option<AdviceClient>,
    /// The manifest in force; `None` before the first was read.
    pub manifest: watch::Sender<Option<Arc<Manifest>>>,
    /// Set when a process has a newer manifest than this one.
    pub newer_manifest: Notify,
    /// The leader.
    pub leadership: watch::Sender<Leadership>,
    /// Submissions and cancellations that the leader has to hear of.
    pub outbox: Outbox,
    /// Cancelled when a graceful shutdown begins.
    pub stop: CancellationToken,
    answers: Mutex<StateCache>,
    candidacy: Mutex<Candidacy>,
    candidacy_changed: Notify,
    last_beat: Mutex<LastBeat>,
    store_reached_at: AtomicU64,
    next_request: AtomicU64,
    store_requests: Mutex<BTreeMap<u64, oneshot::Sender<StoreOutcome>>>,
}

/// The parts that a process starts with.
pub struct Parts {
    /// This process.
    pub process: ProcessId,
    /// The platform's settings.
    pub settings: NodeSettings,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: NodeMetrics,
    /// Connections to other processes.
    pub peers: Peers,
    /// Cancelled when a graceful shutdown begins.
    pub stop: CancellationToken,
}

/// Locks a mutex. One that is poisoned is taken as it is, since a part that
/// panics ends the process.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}

/// Returns milliseconds on a clock that counts the time in which the instance
/// was suspended.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

impl Shared {
    /// Returns the shared parts of a process that has just started.
    pub fn new(parts: Parts) -> Shared {
        let now = parts.clock.now();
        let candidacy =
            Candidacy::new(parts.settings.cpu_share, parts.settings.link_mbps, rand::random(), now);
        Shared {
            store: MetadataStore::new(parts.clock, parts.settings.store),
            workers: WorkerClient::new(parts.clock),
            advice: parts.settings.advice.map(|it| AdviceClient::new(parts.clock, it)),
            manifest: watch::Sender::new(None),
            newer_manifest: Notify::new(),
            leadership: watch::Sender::new(Leadership::default()),
            outbox: Outbox::default(),
            answers: Mutex::default(),
            candidacy: Mutex::new(candidacy),
            candidacy_changed: Notify::new(),
            last_beat: Mutex::default(),
            store_reached_at: AtomicU64::new(0),
            next_request: AtomicU64::new(1),
            store_requests: Mutex::default(),
            process: parts.process,
            settings: parts.settings,
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            peers: parts.peers,
            stop: parts.stop,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the states known for callers' questions.
    pub fn answers(&self) -> MutexGuard<'_, StateCache> {
        lock(&self.answers)
    }

    /// Returns the leader's last beat.
    pub fn last_beat(&self) -> MutexGuard<'_, LastBeat> {
        lock(&self.last_beat)
    }

    /// Returns the manifest in force.
    pub fn manifest(&self) -> Option<Arc<Manifest>> {
        self.manifest.borrow().clone()
    }

    /// Returns the version of the manifest in force, 0 if there is none.
    pub fn manifest_version(&self) -> ManifestVersion {
        self.manifest.borrow().as_ref().map(|it| it.version).unwrap_or_default()
    }

    /// Changes the candidacy and wakes the task that acts on it.
    pub fn update_candidacy(&self, change: impl FnOnce(&mut Candidacy, Timestamp)) {
        change(&mut lock(&self.candidacy), self.now());
        self.candidacy_changed.notify_one();
    }

    /// Returns whether it is time to claim the leadership.
    pub fn is_claim_due(&self) -> bool {
        lock(&self.candidacy).claim_at() <= self.now()
    }

    /// Waits until it is time to claim the leadership.
    pub async fn claim_due(&self) {
        loop {
            let claim_at = lock(&self.candidacy).claim_at();
            tokio::select! {
                () = self.clock.sleep_until(claim_at) => {
                    if lock(&self.candidacy).claim_at() <= self.now() {
                        return;
                    }
                }
                () = self.candidacy_changed.notified() => {}
            }
        }
    }

    /// Notes a beat of the current leader.
    pub fn note_beat(&self, beat: Heartbeat) {
        let now = boot_ms();
        let mut last = self.last_beat();
        last.arrived_at_boot_ms = now;
        last.may_extend = beat.may_extend;
        last.reaching_store = beat.reaching_store;
        if let Some(pending) = beat.pending {
            let by_queue = pending.into_iter().map(|(host, prefix, n)| ((host, prefix), n));
            last.pending = by_queue.collect();
            last.pending_at_boot_ms = now;
        }
        drop(last);
        self.update_candidacy(Candidacy::heartbeat_received);
    }

    /// Returns how many submissions of a queue wait, unless the leader was not
    /// heard of lately.
    pub fn pending(&self, host: &str, prefix: &str) -> Option<u32> {
        let beat = self.last_beat();
        let is_fresh = boot_ms().saturating_sub(beat.pending_at_boot_ms) < PENDING_VALID_MS;
        let key = (host.to_owned(), prefix.to_owned());
        is_fresh.then(|| beat.pending.get(&key).copied().unwrap_or(0))
    }

    /// Returns whether leases at workers may be lengthened.
    pub fn may_extend_leases(&self) -> bool {
        let beat = self.last_beat();
        beat.may_extend && boot_ms().saturating_sub(beat.arrived_at_boot_ms) < LEADER_SILENT_MS
    }

    /// Notes that the store answered.
    pub fn store_answered(&self) {
        self.store_reached_at.store(self.now().0, Ordering::Relaxed);
    }

    /// Returns whether the store answered lately.
    pub fn reaches_store(&self) -> bool {
        let at = Timestamp(self.store_reached_at.load(Ordering::Relaxed));
        self.now().ms_since(at) < STORE_STALE_MS
    }

    /// Sends a message to another process, or to this one.
    pub fn send(&self, to: &ProcessId, message: FleetMessage) {
        if let Err(error) = self.peers.send(to, &PeerMessage::Fleet(Box::new(message))) {
            // The leader repeats what matters, and so does whoever tells it.
            debug!(self.log, "message not sent"; "to" => %to, "error" => %error);
        }
    }

    /// Sends a message to the leader, if one is known.
    pub fn send_to_leader(&self, message: FleetMessage) {
        let leader = self.leadership.borrow().leader.clone();
        if let Some(leader) = leader {
            self.send(&leader, message);
        }
    }

    /// Registers a request that another process answers with a
    /// [`StoreOutcome`].
    pub fn begin_store_request(&self) -> (u64, oneshot::Receiver<StoreOutcome>) {
        let request = self.next_request.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        lock(&self.store_requests).insert(request, tx);
        (request, rx)
    }

    /// Forgets a request.
    pub fn end_store_request(&self, request: u64, outcome: Option<StoreOutcome>) {
        let waiting = lock(&self.store_requests).remove(&request);
        if let (Some(tx), Some(outcome)) = (waiting, outcome) {
            // Nobody waits any more if the caller has left.
            let _ = tx.send(outcome);
        }
    }
}
