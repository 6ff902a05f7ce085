//! State that the tasks of a process share.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
};

use mustardcove_adapter::{
    recommendation::RecommendationClient, settings::NodeSettings, store::StoreClient,
    workers::WorkerClient,
};
use mustardcove_core::{
    fleet::{
        election::Candidacy,
        evacuation::{EvacuationList, EvacuationSource},
        explanation::Reply,
        id::{BootMillis, ManifestVersion, Revision, SubmissionId, Term},
        manifest::Manifest,
        message::{FleetMessage, Heartbeat, StoreOutcome},
        overload::{self, Admission, Applicant, KnownLoad, LoadReport, OwnPlaces, Place, Places},
        poller::LeasePermission,
        pre_vote::{PreVote, VOTE_MS, Verdict},
        record::{LEADER_KEY, LeaderRecord},
        standstill::Standstill,
        state_cache::StateCache,
        store_health::StoreHealth,
        store_write::UnsettledWrites,
        submission::Submission,
    },
    id::{FailureDomainId, ProcessId},
    message::PeerMessage,
    time::{ClockShift, Timestamp},
};
use mustardcove_platform::Clock;
use mustardcove_runtime::peer::Peers;
use rustix::time::{ClockId, clock_gettime};
use slog::{Logger, debug, info};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::{metrics::NodeMetrics, outbox::Outbox, requests::Requests};

/// Age up to which the numbers of pending submissions are given to callers, in
/// milliseconds, which is as old as users accept.
const PENDING_VALID_MS: u64 = 2_000;
/// Shortest time between two probes of the store, in milliseconds: a few calls a
/// second while callers wait, and none otherwise.
const PROBE_INTERVAL_MS: u64 = 300;

/// The leader, as far as this process knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// The highest term received so far; 0 before the first.
    pub term: Term,
    /// The leader of that term, if it is known.
    pub leader: Option<ProcessId>,
}

/// Contents of the leader's last heartbeat.
#[derive(Clone, Debug, Default)]
pub struct LastHeartbeat {
    /// Its term, and when the leader sent it, on the leader's clock.
    sent_at: Option<(Term, Timestamp)>,
    /// When it arrived.
    received_at: Option<BootMillis>,
    permission: LeasePermission,
    /// Time for which reports are collected before they are sent, in
    /// milliseconds.
    report_delay_ms: u64,
    /// Whether workers must not hold polls for long.
    needs_witnesses: bool,
    /// Pending submissions by queue (host and prefix), from the last heartbeat
    /// that held these numbers.
    pending: BTreeMap<(String, String), u32>,
    /// When the newest report was sent that the leader had handled before it
    /// was confirmed and counted: the numbers are at most as old, and of a
    /// leader that had no successor then.
    pending_at: Option<BootMillis>,
    /// Processes that reached the store recently.
    pub reaching_store: Vec<ProcessId>,
    /// The load of the pools, on the clock of this process.
    load: Option<LoadReport>,
    /// When the newest report was sent that the load rests on; see `pending_at`.
    load_at: Option<BootMillis>,
    /// Places of callers that were told to come back, on the clock of this
    /// process.
    places: Places,
    /// The revision of its list of evacuated domains.
    evacuations_as_of: Revision,
    /// The last term whose leader is known to have stepped down, and since when.
    stepped_down: Option<(Term, Timestamp)>,
}

/// Evacuated failure domains as a process knows them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// The list.
    pub list: EvacuationList,
    /// When this process has learned of each evacuation.
    pub since: BTreeMap<FailureDomainId, Timestamp>,
}

/// The shared state; tasks hold it in an `Arc`.
#[derive(Debug)]
pub struct Shared {
    /// This process.
    pub process: ProcessId,
    /// The platform's settings.
    pub settings: NodeSettings,
    /// The clock of this process.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: NodeMetrics,
    /// Connections to other processes.
    pub peers: Peers,
    /// The client of the store.
    pub store: StoreClient,
    /// The client of the workers.
    pub workers: WorkerClient,
    /// The client of the recommendation service, if the settings name one.
    pub recommendation: Option<RecommendationClient>,
    /// The manifest in force; `None` until the first was read.
    pub manifest: watch::Sender<Option<Arc<Manifest>>>,
    /// Notified when the leader has a newer manifest than this process.
    pub newer_manifest: Notify,
    /// The leader, as far as this process knows.
    pub leadership: watch::Sender<Leadership>,
    /// Submissions and cancellations that the leader has not acknowledged.
    pub outbox: Outbox,
    /// Questions to the leader about submissions.
    pub explanations: Requests<Reply>,
    /// Requests to other processes to write to the store.
    pub store_requests: Requests<StoreOutcome>,
    /// The last term of this process whose successor has acknowledged what it was told
    /// of leases.
    pub leases_learned: watch::Sender<Term>,
    /// Cancelled when a graceful shutdown begins.
    pub stop: CancellationToken,
    evacuations: Mutex<Evacuations>,
    states: Mutex<StateCache>,
    candidacy: Mutex<Candidacy>,
    candidacy_changed: Notify,
    standstill: Mutex<Standstill>,
    /// The last vote before a claim of this process.
    pre_vote: Mutex<PreVote>,
    pre_vote_changed: Notify,
    last_heartbeat: Mutex<LastHeartbeat>,
    store_health: Mutex<StoreHealth>,
    unsettled_writes: Mutex<UnsettledWrites>,
    own_places: Mutex<OwnPlaces>,
    /// Changes with each answer of the store.
    store_answers: watch::Sender<()>,
    /// No probe of the store is sent before this time.
    probe_at: Mutex<Timestamp>,
    /// What long-running tasks wait for, while this process leads.
    long_running_waits: Mutex<Vec<String>>,
    /// What is known of interference, while this process leads.
    interference: Mutex<InterferenceStatus>,
}

/// What the leader knows of interference between images, as rows for operators.
#[derive(Clone, Debug, Default)]
pub struct InterferenceStatus {
    /// How well the forecast fits, by image of latency-critical tasks.
    pub errors: Vec<String>,
    /// Learned pressures, by pair of images.
    pub pressures: Vec<String>,
}

/// The arguments of [`Shared::new`].
pub struct Parts {
    /// This process.
    pub process: ProcessId,
    /// The platform's settings.
    pub settings: NodeSettings,
    /// The clock of this process.
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

/// Locks a mutex and ignores poisoning, since a task that panics ends the
/// process.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}

/// Returns the time on the boot clock.
pub fn boot_now() -> BootMillis {
    let time = clock_gettime(ClockId::Boottime);
    BootMillis(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

impl Shared {
    /// Returns the shared state of a process that has just started.
    pub fn new(parts: Parts) -> Shared {
        let now = parts.clock.now();
        let candidacy =
            Candidacy::new(parts.settings.cpu_share, parts.settings.link_mbps, rand::random(), now);
        Shared {
            store: StoreClient::new(parts.clock, parts.settings.store),
            workers: WorkerClient::new(parts.clock),
            recommendation: parts
                .settings
                .recommendation
                .map(|it| RecommendationClient::new(parts.clock, it)),
            manifest: watch::Sender::new(None),
            newer_manifest: Notify::new(),
            leadership: watch::Sender::new(Leadership::default()),
            outbox: Outbox::default(),
            explanations: Requests::default(),
            store_requests: Requests::default(),
            leases_learned: watch::Sender::new(Term::default()),
            evacuations: Mutex::default(),
            states: Mutex::default(),
            candidacy: Mutex::new(candidacy),
            candidacy_changed: Notify::new(),
            standstill: Mutex::new(Standstill::new(boot_now())),
            pre_vote: Mutex::default(),
            pre_vote_changed: Notify::new(),
            last_heartbeat: Mutex::default(),
            store_health: Mutex::default(),
            unsettled_writes: Mutex::default(),
            own_places: Mutex::default(),
            store_answers: watch::Sender::new(()),
            probe_at: Mutex::default(),
            long_running_waits: Mutex::default(),
            interference: Mutex::default(),
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

    /// Returns the cache of submission states, from which callers are answered.
    pub fn states(&self) -> MutexGuard<'_, StateCache> {
        lock(&self.states)
    }

    /// Returns the contents of the leader's last heartbeat.
    pub fn last_heartbeat(&self) -> MutexGuard<'_, LastHeartbeat> {
        lock(&self.last_heartbeat)
    }

    /// Returns the manifest in force.
    pub fn manifest(&self) -> Option<Arc<Manifest>> {
        self.manifest.borrow().clone()
    }

    /// Returns what long-running tasks wait for, as of the last heartbeat that
    /// this process sent; empty unless it leads.
    pub fn long_running_waits(&self) -> MutexGuard<'_, Vec<String>> {
        lock(&self.long_running_waits)
    }

    /// Returns what is known of interference between images, as of a few seconds
    /// ago; empty unless this process leads.
    pub fn interference(&self) -> MutexGuard<'_, InterferenceStatus> {
        lock(&self.interference)
    }

    /// Returns the version of the manifest in force; 0 if there is none.
    pub fn manifest_version(&self) -> ManifestVersion {
        self.manifest.borrow().as_ref().map(|it| it.version).unwrap_or_default()
    }

    /// Returns the evacuated failure domains, as far as this process knows.
    pub fn evacuations(&self) -> MutexGuard<'_, Evacuations> {
        lock(&self.evacuations)
    }

    /// Returns whether a failure domain is evacuated, as far as this process knows.
    pub fn is_evacuated(&self, domain: &FailureDomainId) -> bool {
        self.evacuations().list.contains(domain)
    }

    /// Takes over a list of evacuated failure domains if it is newer than the one
    /// that this process knows.
    pub fn learn_evacuations(&self, list: &EvacuationList, source: EvacuationSource) {
        let now = self.now();
        let mut known = self.evacuations();
        if !known.list.merge(list) {
            return;
        }
        known.since.retain(|it, _| list.contains(it));
        for domain in &list.domains {
            known.since.entry(domain.clone()).or_insert(now);
        }
        drop(known);
        let domains: Vec<&str> = list.domains.iter().map(|it| it.as_str()).collect();
        info!(self.log, "evacuations changed"; "domains" => domains.join(","),
            "revision" => %list.as_of, "source" => %source);
    }

    /// Returns the list of evacuated failure domains if it is newer than that of
    /// the leader's last heartbeat.
    pub fn unreported_evacuations(&self) -> Option<EvacuationList> {
        let reported = self.last_heartbeat().evacuations_as_of;
        let known = self.evacuations();
        (reported < known.list.as_of).then(|| known.list.clone())
    }

    /// Changes the candidacy and wakes the task that claims the leadership.
    pub fn update_candidacy(&self, change: impl FnOnce(&mut Candidacy, Timestamp)) {
        change(&mut lock(&self.candidacy), self.now());
        self.candidacy_changed.notify_one();
    }

    /// Returns whether it is time to claim the leadership. If the process stood still
    /// until a moment ago it is not, since it could not hear.
    pub fn is_claim_due(&self) -> bool {
        self.check_standstill();
        lock(&self.candidacy).claim_at() <= self.now()
    }

    /// Begins the wait for the leader's heartbeats anew if the process stood still.
    pub fn check_standstill(&self) {
        let stood_still = lock(&self.standstill).observe(boot_now());
        if let Some(ms) = stood_still {
            info!(self.log, "process stood still"; "ms" => ms);
            self.update_candidacy(Candidacy::stood_still);
        }
    }

    /// Returns whether the next claim follows a step-down or the request for a
    /// successor.
    pub fn is_claim_planned(&self) -> bool {
        lock(&self.candidacy).is_planned()
    }

    /// Returns whether this process hears the leader of a term, or of a later one;
    /// `None` if it has heard of neither, as after its start, which shows nothing.
    pub fn hears_leader(&self, term: Term) -> Option<bool> {
        let known = self.leadership.borrow().clone();
        let is_known = term <= known.term && known.leader.is_some();
        is_known.then(|| lock(&self.candidacy).hears_leader(self.now()))
    }

    /// Asks processes that are registered with the transport whether they hear the
    /// leader of a term, and returns what their answers permit.
    pub async fn ask_voters(&self, voters: BTreeSet<ProcessId>, term: Term) -> Verdict {
        let deadline = self.now().plus_ms(VOTE_MS);
        let vote = lock(&self.pre_vote).number() + 1;
        *lock(&self.pre_vote) = PreVote::new(vote, voters.clone());
        self.send_to_all(&voters, FleetMessage::AskHeard { vote, term });
        loop {
            if let Some(verdict) = lock(&self.pre_vote).early_verdict() {
                return verdict;
            }
            tokio::select! {
                () = self.pre_vote_changed.notified() => {}
                () = self.clock.sleep_until(deadline) => return lock(&self.pre_vote).verdict(),
            }
        }
    }

    /// Records the answer of another process to [`Shared::ask_voters`].
    pub fn record_vote(&self, vote: u64, voter: &ProcessId, hears: bool) {
        lock(&self.pre_vote).answered(vote, voter, hears);
        self.pre_vote_changed.notify_one();
    }

    /// Returns when a leader last stepped down or asked for a successor, as far
    /// as this process knows.
    pub fn leader_stepped_down_at(&self) -> Option<Timestamp> {
        lock(&self.candidacy).stepped_down_at()
    }

    /// Waits until it is time to claim the leadership.
    pub async fn claim_due(&self) {
        loop {
            let claim_at = lock(&self.candidacy).claim_at();
            tokio::select! {
                () = self.clock.sleep_until(claim_at) => {
                    if self.is_claim_due() {
                        return;
                    }
                }
                () = self.candidacy_changed.notified() => {}
            }
        }
    }

    /// Records a heartbeat of the current leader.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat) {
        let shift = ClockShift::new(heartbeat.sent_at, self.now());
        let mut last = self.last_heartbeat();
        last.load = heartbeat.load.map(|it| it.to_local(shift));
        last.load_at = heartbeat.covered;
        last.places = heartbeat.places.into_iter().map(|it| it.to_local(shift)).collect();
        last.sent_at = Some((heartbeat.term, heartbeat.sent_at));
        last.received_at = Some(boot_now());
        last.permission = LeasePermission::new(heartbeat.covered);
        last.report_delay_ms = heartbeat.report_delay_ms;
        last.needs_witnesses = heartbeat.needs_witnesses;
        last.reaching_store = heartbeat.reaching_store;
        last.evacuations_as_of = heartbeat.evacuations.as_of;
        if let Some(pending) = heartbeat.pending {
            let by_queue = pending.into_iter().map(|(host, prefix, n)| ((host, prefix), n));
            last.pending = by_queue.collect();
            last.pending_at = heartbeat.covered;
        }
        drop(last);
        self.learn_evacuations(&heartbeat.evacuations, EvacuationSource::Leader);
        let is_same_region = heartbeat.region == self.settings.region;
        self.update_candidacy(|it, now| it.heartbeat_received(is_same_region, now));
    }

    /// Returns when the last heartbeat of a leader arrived; `None` if none has.
    pub fn heartbeat_received_at(&self) -> Option<BootMillis> {
        self.last_heartbeat().received_at
    }

    /// Makes the process that a leader record names known to the transport. Returns
    /// whether the record has a usable address.
    pub fn add_leader(&self, leader: &LeaderRecord) -> bool {
        let Ok(address) = leader.address.parse() else { return false };
        self.peers.add_peer(leader.process.clone(), address, leader.region.clone());
        true
    }

    /// Records that the successor of a term of this process has acknowledged what it
    /// was told of leases.
    pub fn record_leases_learned(&self, term: Term) {
        self.leases_learned.send_if_modified(|it| {
            let is_newer = *it < term;
            *it = term.max(*it);
            is_newer
        });
    }

    /// Records that the leader of a term has stepped down.
    pub fn record_step_down(&self, term: Term) {
        self.last_heartbeat().stepped_down = Some((term, self.now()));
    }

    /// Returns since when the leader of a term is known to have stepped down;
    /// `None` if it is not.
    pub fn stepped_down_at(&self, term: Term) -> Option<Timestamp> {
        let stepped_down = self.last_heartbeat().stepped_down;
        stepped_down.filter(|it| it.0 == term).map(|it| it.1)
    }

    /// Returns the number of pending submissions of a queue; `None` if the last
    /// number from the leader is too old.
    pub fn pending(&self, host: &str, prefix: &str) -> Option<u32> {
        let heartbeat = self.last_heartbeat();
        let age_ms = boot_now().ms_since(heartbeat.pending_at?);
        let is_fresh = age_ms < PENDING_VALID_MS;
        let key = (host.to_owned(), prefix.to_owned());
        is_fresh.then(|| heartbeat.pending.get(&key).copied().unwrap_or(0))
    }

    /// Decides whether a submission that arrives now is accepted, by the leader's
    /// last report.
    pub fn admit(&self, submission: &Submission) -> Admission {
        let now = self.now();
        let heartbeat = self.last_heartbeat();
        let known = heartbeat.load.as_ref().zip(heartbeat.load_at);
        let known = known.map(|(report, at)| KnownLoad { report, age_ms: boot_now().ms_since(at) });
        let applicant = Applicant::of(submission);
        if !known.is_some_and(|it| it.report.is_overloaded()) {
            return overload::decide(&applicant, known, &heartbeat.places, now);
        }
        let places = heartbeat.places.clone().with(lock(&self.own_places).places());
        overload::decide(&applicant, known, &places, now)
    }

    /// Records that a caller was told to come back.
    pub fn add_place(&self, place: Place) {
        lock(&self.own_places).add(place);
    }

    /// Records that a caller that was told to come back was accepted.
    pub fn remove_place(&self, id: SubmissionId) {
        lock(&self.own_places).remove(id);
    }

    /// Returns the places that the leader has to learn of.
    pub fn take_unreported_places(&self) -> Vec<Place> {
        let heartbeat = self.last_heartbeat();
        lock(&self.own_places).take_unreported(&heartbeat.places, self.now())
    }

    /// Returns whether leases at workers may be extended for the leader of a
    /// term.
    pub fn may_extend_leases(&self, term: Term) -> bool {
        let heartbeat = self.last_heartbeat();
        let is_of_term = heartbeat.sent_at.is_some_and(|it| it.0 == term);
        is_of_term && heartbeat.permission.is_valid(boot_now())
    }

    /// Returns when the leader of a term sent its last heartbeat, on its clock.
    pub fn heartbeat_sent_at(&self, term: Term) -> Option<Timestamp> {
        let sent_at = self.last_heartbeat().sent_at;
        sent_at.filter(|it| it.0 == term).map(|it| it.1)
    }

    /// Returns for how long reports are collected before they are sent, in
    /// milliseconds.
    pub fn report_delay_ms(&self) -> u64 {
        self.last_heartbeat().report_delay_ms
    }

    /// Returns whether workers must not hold polls for long, since the leader needs
    /// recent answers.
    pub fn needs_witnesses(&self) -> bool {
        self.last_heartbeat().needs_witnesses
    }

    /// Records that the store answered.
    pub fn store_answered(&self) {
        lock(&self.store_health).record_answer(self.now());
        self.store_answers.send_replace(());
    }

    /// Records that a write of a key is sent to the store, and may take effect
    /// from now on.
    pub fn store_write_sent(&self, key: &str) {
        let now = self.now();
        lock(&self.store_health).record_write(now);
        self.unsettled_writes().sent(key, now);
    }

    /// Returns what the calls of this process show of the store.
    pub fn store_health(&self) -> StoreHealth {
        *lock(&self.store_health)
    }

    /// Returns the keys with writes that may take effect.
    pub fn unsettled_writes(&self) -> MutexGuard<'_, UnsettledWrites> {
        lock(&self.unsettled_writes)
    }

    /// Returns a receiver that is notified of each answer of the store.
    pub fn store_answers(&self) -> watch::Receiver<()> {
        self.store_answers.subscribe()
    }

    /// Reads a key to learn whether the store answers, unless that was tried a
    /// moment ago. Does not wait for the answer.
    pub fn probe_store(self: &Arc<Self>) {
        let now = self.now();
        {
            let mut probe_at = lock(&self.probe_at);
            if now < *probe_at {
                return;
            }
            *probe_at = now.plus_ms(PROBE_INTERVAL_MS);
        }
        let shared = self.clone();
        tokio::spawn(async move {
            match shared.store.get(LEADER_KEY).await {
                Ok(_) => shared.store_answered(),
                Err(_) => shared.store_failed(),
            }
        });
    }

    /// Records a call to the store that was refused or not answered.
    pub fn store_failed(&self) {
        self.metrics.store_fault();
        lock(&self.store_health).record_failure();
    }

    /// Returns whether the store answered recently.
    pub fn reaches_store(&self) -> bool {
        lock(&self.store_health).is_reached(self.now())
    }

    /// Sends a message to another process, or to this one.
    pub fn send(&self, to: &ProcessId, message: FleetMessage) {
        // Messages that must arrive are repeated by the sender.
        let _ = self.try_send(to, message);
    }

    /// Sends a message as [`Shared::send`] does, and returns whether it may
    /// arrive.
    pub fn try_send(&self, to: &ProcessId, message: FleetMessage) -> bool {
        let result = self.peers.send(to, &PeerMessage::Fleet(Box::new(message)));
        if let Err(error) = &result {
            debug!(self.log, "message not sent"; "to" => %to, "error" => %error);
        }
        result.is_ok()
    }

    /// Sends a message to several processes, and encodes it once.
    pub fn send_to_all<'a>(
        &self,
        to: impl IntoIterator<Item = &'a ProcessId>,
        message: FleetMessage,
    ) {
        let message = PeerMessage::Fleet(Box::new(message));
        for (process, error) in self.peers.send_to_all(to, &message) {
            debug!(self.log, "message not sent"; "to" => %process, "error" => %error);
        }
    }

    /// Sends a message to the leader, if one is known.
    pub fn send_to_leader(&self, message: FleetMessage) {
        let leader = self.leadership.borrow().leader.clone();
        if let Some(leader) = leader {
            self.send(&leader, message);
        }
    }
}
