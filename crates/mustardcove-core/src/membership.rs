//! The upstreams of a service and whether they get new work.
//!
//! The instance list lags, so on its own it keeps naming upstreams that have
//! begun to leave. Signals on connections arrive sooner, but do not distinguish
//! a restart from a departure. [`Membership`] combines the two: the first
//! signal of a departure from either source stops new work at once, and only
//! the list or successful probes make the upstream active again.
//!
//! A list that still shows an upstream as active does not override a signal on
//! a connection, because the list may describe a time before the signal. The
//! list makes an upstream active again only by a change that the list itself
//! shows: the upstream was absent or leaving, or has a new address.
//!
//! See `docs/routing.md` and `docs/design.md`, section 3.11.

use std::{collections::BTreeMap, sync::Arc};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{
    id::{FailureDomainId, RegionId, ServiceId, WorkerId},
    time::{Timestamp, earliest},
    worker::WorkerInfo,
};

/// Delay from a refused or reset connection to the first probe, in
/// milliseconds; also the delay between two successful probes.
pub const FAILURE_PROBE_DELAY_MS: u64 = 250;

/// Delay from a signal of a planned departure to the first probe, in
/// milliseconds.
///
/// A draining upstream may accept connections for a while, so an early probe
/// would succeed and make it active again.
pub const DEPARTURE_PROBE_DELAY_MS: u64 = 5_000;

/// Longest interval between two probes of one upstream, in milliseconds; jitter
/// is added to it.
pub const MAX_PROBE_INTERVAL_MS: u64 = 10_000;

/// Time after which a probe without a result counts as failed, in
/// milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Time within which another suspension of the same upstream lengthens the
/// interval between probes, in milliseconds.
pub const FLAP_WINDOW_MS: u64 = 60_000;

/// Largest power of two by which repeated suspensions multiply the interval
/// between probes.
const MAX_FLAP_SHIFT: u32 = 5;

/// A signal on a connection that its upstream is leaving or failing.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionSignal {
    /// An answer carried `Connection: close`.
    Closing,
    /// The upstream sent a GOAWAY frame.
    GoAway,
    /// An answer with status 503 carried a draining header.
    Draining,
    /// A connection was refused or could not be opened in time.
    Refused,
    /// An open connection was reset.
    Reset,
}

impl ConnectionSignal {
    /// Reports whether the signal announces a planned departure.
    pub fn is_departure(self) -> bool {
        match self {
            ConnectionSignal::Closing | ConnectionSignal::GoAway | ConnectionSignal::Draining => {
                true
            }
            ConnectionSignal::Refused | ConnectionSignal::Reset => false,
        }
    }

    fn first_probe_delay_ms(self) -> u64 {
        if self.is_departure() { DEPARTURE_PROBE_DELAY_MS } else { FAILURE_PROBE_DELAY_MS }
    }

    fn required_probes(self) -> u32 {
        if self.is_departure() { 2 } else { 1 }
    }
}

/// An upstream as described by the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The instance that it runs on.
    pub worker: WorkerId,
    /// Its address, as IP number and port.
    pub address: String,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Requests that it handles at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
}

/// Whether an upstream gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamState {
    /// It gets new work.
    Active,
    /// A connection showed that it is leaving or failing; it gets no new work
    /// until probes succeed.
    Suspended,
    /// The instance list says that it is leaving.
    Leaving,
}

/// An input of [`Membership`].
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// Time passed; sent no later than the next deadline.
    Tick,
    /// The instance list at one version.
    InstanceList {
        /// Rises with every change of the list.
        version: u64,
        /// The instances in it.
        workers: Arc<[WorkerInfo]>,
    },
    /// A connection to an upstream carried a signal.
    Signal {
        /// The upstream.
        worker: WorkerId,
        /// The signal.
        signal: ConnectionSignal,
    },
    /// A probe ended.
    ProbeEnded {
        /// The upstream.
        worker: WorkerId,
        /// Whether the upstream answered on a new connection, without any signal
        /// of a departure.
        ok: bool,
    },
}

/// An action for the owner of the connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// The upstream gets new work.
    Add(Upstream),
    /// The upstream gets no new work for now; requests in flight continue.
    Pause(WorkerId),
    /// The upstream gets new work again.
    Resume(WorkerId),
    /// The upstream left the list or has a new address.
    Remove(WorkerId),
    /// Sends one probe over a new connection.
    Probe(Upstream),
}

/// An upstream with its state, for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UpstreamView {
    /// The upstream.
    pub upstream: Upstream,
    /// Its state.
    pub state: UpstreamState,
    /// The signal that suspended it, if any.
    pub sign: Option<ConnectionSignal>,
    /// When it is probed next, if it is suspended.
    pub probe_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct Suspension {
    signal: ConnectionSignal,
    /// When the next probe is due, or when the one in flight times out.
    next_at: Timestamp,
    probe_in_flight: bool,
    interval_ms: u64,
    successes: u32,
}

#[derive(Clone, Debug)]
struct UpstreamEntry {
    upstream: Upstream,
    listed_leaving: bool,
    suspension: Option<Suspension>,
    last_suspended: Option<Timestamp>,
    flap_count: u32,
}

impl UpstreamEntry {
    fn new(upstream: Upstream) -> UpstreamEntry {
        UpstreamEntry {
            upstream,
            listed_leaving: false,
            suspension: None,
            last_suspended: None,
            flap_count: 0,
        }
    }

    fn state(&self) -> UpstreamState {
        if self.listed_leaving {
            UpstreamState::Leaving
        } else if self.suspension.is_some() {
            UpstreamState::Suspended
        } else {
            UpstreamState::Active
        }
    }
}

/// The upstreams of one service as seen by one entry process.
#[derive(Debug)]
pub struct Membership {
    service: ServiceId,
    upstreams: BTreeMap<WorkerId, UpstreamEntry>,
    version: u64,
    rng: ChaCha8Rng,
}

impl Membership {
    /// Returns the state of a service without known upstreams.
    pub fn new(service: ServiceId, seed: u64) -> Membership {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Membership { service, upstreams: BTreeMap::new(), version: 0, rng }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: MembershipEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        match event {
            MembershipEvent::Tick => self.on_tick(now, actions),
            MembershipEvent::InstanceList { version, workers } => {
                self.on_list(now, version, &workers, actions);
            }
            MembershipEvent::Signal { worker, signal } => {
                self.on_signal(now, &worker, signal, actions)
            }
            MembershipEvent::ProbeEnded { worker, ok } => self.on_probed(now, &worker, ok, actions),
        }
    }

    /// Returns when the next tick is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let upstreams = self.upstreams.values().filter(|it| !it.listed_leaving);
        let suspensions = upstreams.filter_map(|it| it.suspension.as_ref());
        suspensions.fold(None, |acc, it| earliest(acc, Some(it.next_at)))
    }

    /// Returns the state of an upstream, or `None` if it is not listed.
    pub fn state(&self, worker: &WorkerId) -> Option<UpstreamState> {
        self.upstreams.get(worker).map(UpstreamEntry::state)
    }

    /// Returns the signal that suspended an upstream, if one did.
    pub fn suspension_signal(&self, worker: &WorkerId) -> Option<ConnectionSignal> {
        let suspension = self.upstreams.get(worker)?.suspension.as_ref()?;
        Some(suspension.signal)
    }

    /// Returns the version of the newest list; zero if there was none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Iterates over the upstreams in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = UpstreamView> + '_ {
        self.upstreams.values().map(|it| UpstreamView {
            upstream: it.upstream.clone(),
            state: it.state(),
            sign: it.suspension.as_ref().map(|it| it.signal),
            probe_at: it.suspension.as_ref().map(|it| it.next_at),
        })
    }

    fn on_list(
        &mut self,
        now: Timestamp,
        version: u64,
        workers: &[WorkerInfo],
        actions: &mut Vec<MembershipAction>,
    ) {
        // Two replicas of the list may answer in turn, one of them lagging.
        if version < self.version {
            return;
        }
        self.version = version;
        let mut unlisted = std::mem::take(&mut self.upstreams);
        for info in workers {
            let Some(upstream) = upstream_of(info, &self.service) else { continue };
            let known = unlisted.remove(&info.id);
            let entry = apply_list_entry(now, known, upstream, info.leaving, actions);
            self.upstreams.insert(info.id.clone(), entry);
        }
        actions.extend(unlisted.into_keys().map(MembershipAction::Remove));
    }

    fn on_signal(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        signal: ConnectionSignal,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(entry) = self.upstreams.get_mut(worker) else { return };
        let before = entry.state();
        if let Some(it) = &mut entry.suspension {
            it.successes = 0;
            // A departure takes precedence over a failure, because its delay
            // before the first probe is longer.
            if !signal.is_departure() || it.signal.is_departure() {
                return;
            }
        } else {
            let recent = entry.last_suspended.is_some_and(|it| now.ms_since(it) < FLAP_WINDOW_MS);
            entry.flap_count = if recent { (entry.flap_count + 1).min(MAX_FLAP_SHIFT) } else { 0 };
            entry.last_suspended = Some(now);
        }
        let interval_ms =
            (signal.first_probe_delay_ms() << entry.flap_count).min(MAX_PROBE_INTERVAL_MS);
        let next_at = now.plus_ms(with_jitter(&mut self.rng, interval_ms));
        entry.suspension =
            Some(Suspension { signal, next_at, probe_in_flight: false, interval_ms, successes: 0 });
        if before == UpstreamState::Active {
            actions.push(MembershipAction::Pause(worker.clone()));
        }
    }

    fn on_probed(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        ok: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(entry) = self.upstreams.get_mut(worker) else { return };
        let Some(suspension) = &mut entry.suspension else { return };
        // The probe has timed out and was already counted as failed.
        if !suspension.probe_in_flight {
            return;
        }
        suspension.probe_in_flight = false;
        if !ok {
            schedule_after_failed_probe(now, suspension, &mut self.rng);
            return;
        }
        suspension.successes += 1;
        if suspension.successes < suspension.signal.required_probes() {
            suspension.next_at = now.plus_ms(FAILURE_PROBE_DELAY_MS);
            return;
        }
        entry.suspension = None;
        if entry.state() == UpstreamState::Active {
            actions.push(MembershipAction::Resume(worker.clone()));
        }
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        for entry in self.upstreams.values_mut().filter(|it| !it.listed_leaving) {
            let Some(suspension) = &mut entry.suspension else { continue };
            if now < suspension.next_at {
                continue;
            }
            if suspension.probe_in_flight {
                suspension.probe_in_flight = false;
                schedule_after_failed_probe(now, suspension, &mut self.rng);
                continue;
            }
            suspension.probe_in_flight = true;
            suspension.next_at = now.plus_ms(PROBE_TIMEOUT_MS);
            actions.push(MembershipAction::Probe(entry.upstream.clone()));
        }
    }
}

fn upstream_of(info: &WorkerInfo, service: &ServiceId) -> Option<Upstream> {
    let it = info.upstreams.iter().find(|it| it.service == *service)?;
    Some(Upstream {
        worker: info.id.clone(),
        address: it.address.clone(),
        region: info.region.clone(),
        domain: info.domain.clone(),
        slots: it.slots,
        connections: it.connections,
    })
}

/// Updates the known state of one upstream from its entry in the list.
fn apply_list_entry(
    now: Timestamp,
    known: Option<UpstreamEntry>,
    upstream: Upstream,
    leaving: bool,
    actions: &mut Vec<MembershipAction>,
) -> UpstreamEntry {
    let worker = upstream.worker.clone();
    let mut entry = match known {
        Some(it) if it.upstream == upstream => it,
        known => {
            if known.is_some() {
                actions.push(MembershipAction::Remove(worker.clone()));
            }
            actions.push(MembershipAction::Add(upstream.clone()));
            UpstreamEntry::new(upstream)
        }
    };
    let before = entry.state();
    entry.listed_leaving = leaving;
    match (before, entry.state()) {
        (UpstreamState::Active, UpstreamState::Leaving) => {
            actions.push(MembershipAction::Pause(worker));
        }
        (UpstreamState::Leaving, UpstreamState::Active) => {
            actions.push(MembershipAction::Resume(worker));
        }
        (UpstreamState::Leaving, UpstreamState::Suspended) => {
            // Probing was paused while the list showed the upstream as leaving.
            if let Some(it) = &mut entry.suspension {
                it.probe_in_flight = false;
                it.next_at = it.next_at.max(now);
            }
        }
        _ => {}
    }
    entry
}

fn schedule_after_failed_probe(now: Timestamp, suspension: &mut Suspension, rng: &mut ChaCha8Rng) {
    suspension.successes = 0;
    suspension.interval_ms = (suspension.interval_ms * 2).min(MAX_PROBE_INTERVAL_MS);
    suspension.next_at = now.plus_ms(with_jitter(rng, suspension.interval_ms));
}

/// Lengthens a delay by up to a quarter, so that entry processes that saw the
/// same failure do not probe at the same time.
fn with_jitter(rng: &mut ChaCha8Rng, delay_ms: u64) -> u64 {
    delay_ms + rng.random_range(0..=delay_ms / 4)
}
