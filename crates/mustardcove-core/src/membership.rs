//! Upstreams of a service that may get new work.
//!
//! The instance list lags, so on its own it keeps naming upstreams that have
//! begun to leave. What the connections show arrives sooner, but cannot tell a
//! restart from a departure. [`Membership`] combines the two: the first sign
//! of a departure from either source stops new work at once, and only the list
//! or successful probes bring an upstream back.
//!
//! A list that still shows an upstream as live does not outweigh a sign on a
//! connection, because the list may describe a time before the sign. The list
//! brings an upstream back only by a change that it has itself recorded: the
//! upstream was absent or leaving, or has a new address.
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

/// Time from a refused or reset connection to the first probe, in
/// milliseconds.
pub const FIRST_PROBE_MS: u64 = 250;

/// Time from a sign of a planned departure to the first probe, in
/// milliseconds.
///
/// An upstream that drains may accept connections for a while, so an early
/// probe would succeed and bring it back.
pub const LEAVE_HOLD_MS: u64 = 5_000;

/// Longest time between two probes of one upstream, in milliseconds.
pub const MAX_PROBE_INTERVAL_MS: u64 = 10_000;

/// Time after which a probe without a result counts as failed, in
/// milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Time within which a further suspension lengthens the wait before probes, in
/// milliseconds.
pub const FLAP_WINDOW_MS: u64 = 60_000;

/// Largest power of two by which repeated suspensions lengthen the wait.
const MAX_FLAP_SHIFT: u32 = 5;

/// What a connection showed about its upstream.
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
pub enum ConnectionSign {
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

impl ConnectionSign {
    /// Reports whether the sign announces a planned departure.
    pub fn is_departure(self) -> bool {
        match self {
            ConnectionSign::Closing | ConnectionSign::GoAway | ConnectionSign::Draining => true,
            ConnectionSign::Refused | ConnectionSign::Reset => false,
        }
    }

    fn first_wait_ms(self) -> u64 {
        if self.is_departure() { LEAVE_HOLD_MS } else { FIRST_PROBE_MS }
    }

    fn probes_needed(self) -> u32 {
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
    /// A connection showed that it leaves or fails; probes decide.
    Suspended,
    /// The instance list says that it is leaving.
    Leaving,
}

/// Something that happened to the upstreams of a service.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// Time passed; sent no later than the next deadline.
    Tick,
    /// A version of the instance list.
    List {
        /// Rises with every change of the list.
        version: u64,
        /// The instances in it.
        workers: Arc<[WorkerInfo]>,
    },
    /// A connection to an upstream showed something.
    Sign {
        /// The upstream.
        worker: WorkerId,
        /// What was seen.
        sign: ConnectionSign,
    },
    /// A probe ended.
    Probed {
        /// The upstream.
        worker: WorkerId,
        /// Whether it answered, on a new connection and without any sign of a
        /// departure.
        ok: bool,
    },
}

/// Something that the owner of the connections has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// The upstream gets new work.
    Add(Upstream),
    /// The upstream gets no new work for now; requests in flight go on.
    Stop(WorkerId),
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
    /// The sign that suspended it, if any.
    pub sign: Option<ConnectionSign>,
    /// When it is probed next, if it is suspended.
    pub probe_at: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct Suspension {
    sign: ConnectionSign,
    /// When the next probe is due, or when the one under way times out.
    at: Timestamp,
    probing: bool,
    interval_ms: u64,
    successes: u32,
}

#[derive(Clone, Debug)]
struct Member {
    upstream: Upstream,
    listed_leaving: bool,
    suspension: Option<Suspension>,
    last_suspended: Option<Timestamp>,
    flaps: u32,
}

impl Member {
    fn new(upstream: Upstream) -> Member {
        Member { upstream, listed_leaving: false, suspension: None, last_suspended: None, flaps: 0 }
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
    members: BTreeMap<WorkerId, Member>,
    version: u64,
    rng: ChaCha8Rng,
}

impl Membership {
    /// Returns the empty view of a service's upstreams.
    pub fn new(service: ServiceId, seed: u64) -> Membership {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Membership { service, members: BTreeMap::new(), version: 0, rng }
    }

    /// Handles an event and pushes what has to be done.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: MembershipEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        match event {
            MembershipEvent::Tick => self.on_tick(now, actions),
            MembershipEvent::List { version, workers } => {
                self.on_list(now, version, &workers, actions);
            }
            MembershipEvent::Sign { worker, sign } => self.on_sign(now, &worker, sign, actions),
            MembershipEvent::Probed { worker, ok } => self.on_probed(now, &worker, ok, actions),
        }
    }

    /// Returns when the next tick is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let members = self.members.values().filter(|it| !it.listed_leaving);
        let suspensions = members.filter_map(|it| it.suspension.as_ref());
        suspensions.fold(None, |acc, it| earliest(acc, Some(it.at)))
    }

    /// Returns the state of an upstream, or `None` if it is not listed.
    pub fn state(&self, worker: &WorkerId) -> Option<UpstreamState> {
        self.members.get(worker).map(Member::state)
    }

    /// Returns the sign that suspended an upstream, if one did.
    pub fn sign(&self, worker: &WorkerId) -> Option<ConnectionSign> {
        let suspension = self.members.get(worker)?.suspension.as_ref()?;
        Some(suspension.sign)
    }

    /// Returns the version of the newest list; zero if there was none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Iterates over the upstreams in order of their names.
    pub fn iter(&self) -> impl Iterator<Item = UpstreamView> + '_ {
        self.members.values().map(|it| UpstreamView {
            upstream: it.upstream.clone(),
            state: it.state(),
            sign: it.suspension.as_ref().map(|it| it.sign),
            probe_at: it.suspension.as_ref().map(|it| it.at),
        })
    }

    fn on_list(
        &mut self,
        now: Timestamp,
        version: u64,
        workers: &[WorkerInfo],
        actions: &mut Vec<MembershipAction>,
    ) {
        // Two copies of the list may answer in turn, one further behind.
        if version < self.version {
            return;
        }
        self.version = version;
        let mut gone = std::mem::take(&mut self.members);
        for info in workers {
            let Some(upstream) = upstream_of(info, &self.service) else { continue };
            let known = gone.remove(&info.id);
            let member = merge(now, known, upstream, info.leaving, actions);
            self.members.insert(info.id.clone(), member);
        }
        actions.extend(gone.into_keys().map(MembershipAction::Remove));
    }

    fn on_sign(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        sign: ConnectionSign,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.members.get_mut(worker) else { return };
        let before = member.state();
        if let Some(it) = &mut member.suspension {
            it.successes = 0;
            // A departure outweighs a failure: its wait is longer.
            if !sign.is_departure() || it.sign.is_departure() {
                return;
            }
        } else {
            let recent = member.last_suspended.is_some_and(|it| now.ms_since(it) < FLAP_WINDOW_MS);
            member.flaps = if recent { (member.flaps + 1).min(MAX_FLAP_SHIFT) } else { 0 };
            member.last_suspended = Some(now);
        }
        let interval_ms = (sign.first_wait_ms() << member.flaps).min(MAX_PROBE_INTERVAL_MS);
        let at = now.plus_ms(jittered(&mut self.rng, interval_ms));
        member.suspension =
            Some(Suspension { sign, at, probing: false, interval_ms, successes: 0 });
        if before == UpstreamState::Active {
            actions.push(MembershipAction::Stop(worker.clone()));
        }
    }

    fn on_probed(
        &mut self,
        now: Timestamp,
        worker: &WorkerId,
        ok: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(member) = self.members.get_mut(worker) else { return };
        let Some(suspension) = &mut member.suspension else { return };
        // A result that comes after its time-out has been counted already.
        if !suspension.probing {
            return;
        }
        suspension.probing = false;
        if !ok {
            fail_probe(now, suspension, &mut self.rng);
            return;
        }
        suspension.successes += 1;
        if suspension.successes < suspension.sign.probes_needed() {
            suspension.at = now.plus_ms(FIRST_PROBE_MS);
            return;
        }
        member.suspension = None;
        if member.state() == UpstreamState::Active {
            actions.push(MembershipAction::Resume(worker.clone()));
        }
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        for member in self.members.values_mut().filter(|it| !it.listed_leaving) {
            let Some(suspension) = &mut member.suspension else { continue };
            if now < suspension.at {
                continue;
            }
            if suspension.probing {
                suspension.probing = false;
                fail_probe(now, suspension, &mut self.rng);
                continue;
            }
            suspension.probing = true;
            suspension.at = now.plus_ms(PROBE_TIMEOUT_MS);
            actions.push(MembershipAction::Probe(member.upstream.clone()));
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

/// Applies what the list says of one upstream to what is known of it.
fn merge(
    now: Timestamp,
    known: Option<Member>,
    upstream: Upstream,
    leaving: bool,
    actions: &mut Vec<MembershipAction>,
) -> Member {
    let worker = upstream.worker.clone();
    let mut member = match known {
        Some(it) if it.upstream == upstream => it,
        known => {
            if known.is_some() {
                actions.push(MembershipAction::Remove(worker.clone()));
            }
            actions.push(MembershipAction::Add(upstream.clone()));
            Member::new(upstream)
        }
    };
    let before = member.state();
    member.listed_leaving = leaving;
    match (before, member.state()) {
        (UpstreamState::Active, UpstreamState::Leaving) => {
            actions.push(MembershipAction::Stop(worker));
        }
        (UpstreamState::Leaving, UpstreamState::Active) => {
            actions.push(MembershipAction::Resume(worker));
        }
        (UpstreamState::Leaving, UpstreamState::Suspended) => {
            // Probes were held while the list said leaving.
            if let Some(it) = &mut member.suspension {
                it.probing = false;
                it.at = it.at.max(now);
            }
        }
        _ => {}
    }
    member
}

fn fail_probe(now: Timestamp, suspension: &mut Suspension, rng: &mut ChaCha8Rng) {
    suspension.successes = 0;
    suspension.interval_ms = (suspension.interval_ms * 2).min(MAX_PROBE_INTERVAL_MS);
    suspension.at = now.plus_ms(jittered(rng, suspension.interval_ms));
}

/// Lengthens a wait by up to a quarter, so that entry processes that saw the
/// same failure do not probe in step.
fn jittered(rng: &mut ChaCha8Rng, wait_ms: u64) -> u64 {
    wait_ms + rng.random_range(0..=wait_ms / 4)
}
