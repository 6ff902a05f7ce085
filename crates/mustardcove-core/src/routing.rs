//! Choice of an upstream for a request.
//!
//! The router samples two upstreams per locality tier and chooses the one with
//! the lowest expected cost. For each tier it keeps a dense list of the
//! upstreams that have room, which it updates as requests begin and end. A
//! sample therefore always has room, an exhausted tier is an empty list, and a
//! choice neither scans the upstreams nor allocates.
//!
//! Upstreams in the local failure domain are compared with those in the rest
//! of the local region; the latter get a small penalty. The billed link
//! between regions is used only if the local upstreams are exhausted, or if
//! the better local sample is slower than the better remote one by
//! [`REMOTE_FACTOR`] and [`REMOTE_MARGIN_US`].
//!
//! See `docs/routing.md` and `docs/design.md`, section 3.10.

use std::collections::HashMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::{
    id::{FailureDomainId, RegionId, WorkerId},
    limit::UpstreamLimit,
    membership::{MembershipAction, Upstream},
    time::Timestamp,
};

/// Latency added to the cost of an upstream in another failure domain of the
/// local region, in microseconds.
pub const OTHER_DOMAIN_PENALTY_US: f32 = 1_000.0;

/// Factor by which a local latency must exceed a remote one before the link
/// between regions is used.
pub const REMOTE_FACTOR: f32 = 2.0;

/// Latency by which a local upstream must be slower than a remote one, in
/// addition to [`REMOTE_FACTOR`], before the link is used, in microseconds.
pub const REMOTE_MARGIN_US: f32 = 50_000.0;

/// Round trip between regions, in microseconds. It is added to the average
/// local latency to estimate a remote one that was not measured recently.
pub const REMOTE_ROUND_TRIP_US: f32 = 24_000.0;

/// Time for which a measured latency of the remote tier is used, in
/// milliseconds.
pub const REMOTE_MEASUREMENT_TTL_MS: u64 = 60_000;

/// Initial average latency of every tier, in microseconds. The average of its
/// tier is assumed of an upstream before it has answered.
pub const DEFAULT_LATENCY_US: f32 = 5_000.0;

/// Time in which a measured latency decays half of the way to the tier's
/// average, in milliseconds.
///
/// Without the decay an upstream that was slow once would get no requests that
/// could show its recovery.
pub const LATENCY_HALF_LIFE_MS: f32 = 5_000.0;

/// Weight of a sample in the latency of its upstream if it lowers the latency.
const LATENCY_DECREASE_WEIGHT: f32 = 0.2;

/// Weight of a sample in the average latency of its tier.
const TIER_LATENCY_WEIGHT: f32 = 0.01;

/// Factor by which a failure raises the latency of its upstream.
///
/// Failures are often faster than answers, so their duration must not be used
/// as a latency: it would attract more requests.
const FAILURE_LATENCY_FACTOR: f32 = 2.0;

/// Upper bound of a recorded latency, in microseconds.
const MAX_LATENCY_US: f32 = 60_000_000.0;

/// The locality tier of an upstream, seen from the entry process.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Tier {
    /// In the local failure domain.
    Domain,
    /// In another failure domain of the local region.
    Region,
    /// In another region, across the billed link.
    Remote,
}

const TIERS: usize = 3;

/// A choice of an upstream. It counts as one request in flight until it is
/// passed to [`Router::end`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteChoice {
    index: u32,
    generation: u32,
    tier: Tier,
}

impl RouteChoice {
    /// Returns the locality tier of the upstream.
    pub fn tier(self) -> Tier {
        self.tier
    }
}

/// The outcome of a request that is relevant to routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteOutcome {
    /// The upstream answered after this many microseconds.
    Answered(u64),
    /// The upstream refused the request for lack of capacity.
    Refused,
    /// No answer came within this many microseconds.
    TimedOut(u64),
    /// The connection or the upstream failed.
    Failed,
    /// The request was abandoned for a reason unrelated to the upstream.
    Abandoned,
}

/// The load of an upstream, for the state dump and for tests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteView {
    /// The instance that the upstream runs on.
    pub worker: WorkerId,
    /// Its locality tier.
    pub tier: Tier,
    /// Whether it may get new requests.
    pub accepting: bool,
    /// Requests in flight.
    pub in_flight: u32,
    /// The concurrency limit.
    pub limit: u32,
    /// Its latency at the last measurement, in microseconds.
    pub latency_us: u64,
}

/// Position of an upstream that is not in the list of its tier.
const NO_POSITION: u32 = u32::MAX;

#[derive(Clone, Debug)]
struct Route {
    worker: WorkerId,
    generation: u32,
    tier: Tier,
    accepting: bool,
    in_flight: u32,
    /// Position in the tier's list of upstreams with room.
    position: u32,
    latency_us: f32,
    measured_at: Timestamp,
    /// When the upstream last answered a request or a probe.
    answered_at: Timestamp,
    limit: UpstreamLimit,
}

impl Route {
    fn has_room(&self) -> bool {
        self.accepting && self.in_flight < self.limit.get()
    }

    /// Returns the latency, decayed towards `average_us` by the time since it
    /// was measured.
    fn latency_at(&self, now: Timestamp, average_us: f32) -> f32 {
        let age_ms = now.ms_since(self.measured_at) as f32;
        let kept = LATENCY_HALF_LIFE_MS / (LATENCY_HALF_LIFE_MS + age_ms);
        average_us + (self.latency_us - average_us) * kept
    }
}

/// Chooses upstreams of one service for one entry process.
#[derive(Debug)]
pub struct Router {
    region: RegionId,
    domain: FailureDomainId,
    routes: Vec<Route>,
    free: Vec<u32>,
    by_worker: HashMap<WorkerId, u32>,
    /// Upstreams with room, per tier, in no particular order.
    available: [Vec<u32>; TIERS],
    average_us: [f32; TIERS],
    remote_measured_at: Option<Timestamp>,
    rng: ChaCha8Rng,
}

#[derive(Clone, Copy)]
struct Sample {
    index: u32,
    tier: Tier,
    latency_us: f32,
    cost: f32,
}

impl Router {
    /// Returns a router without upstreams for a process in the given region
    /// and failure domain.
    pub fn new(region: RegionId, domain: FailureDomainId, seed: u64) -> Router {
        Router {
            region,
            domain,
            routes: Vec::new(),
            free: Vec::new(),
            by_worker: HashMap::new(),
            available: [Vec::new(), Vec::new(), Vec::new()],
            average_us: [DEFAULT_LATENCY_US; TIERS],
            remote_measured_at: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies a membership change. Probes are ignored.
    pub fn apply(&mut self, action: &MembershipAction) {
        match action {
            MembershipAction::Add(upstream) => self.add(upstream),
            MembershipAction::Pause(worker) => self.set_accepting(worker, false),
            MembershipAction::Resume(worker) => self.set_accepting(worker, true),
            MembershipAction::Remove(worker) => self.remove(worker),
            MembershipAction::Probe(_) => {}
        }
    }

    /// Chooses an upstream and counts the request as in flight there.
    ///
    /// Upstreams in `avoid`, on which earlier attempts failed, are chosen only
    /// if no other upstream was sampled. Returns `None` if no upstream has
    /// room.
    pub fn choose(&mut self, now: Timestamp, avoid: &[RouteChoice]) -> Option<RouteChoice> {
        let domain = self.sample(now, Tier::Domain, avoid);
        let region = self.sample(now, Tier::Region, avoid);
        let local = match (domain, region) {
            (Some(lhs), Some(rhs)) => Some(if rhs.cost < lhs.cost { rhs } else { lhs }),
            (lhs, rhs) => lhs.or(rhs),
        };
        let chosen = match local {
            Some(it) => self.remote_if_preferred(now, it, avoid).unwrap_or(it),
            None => self.sample(now, Tier::Remote, avoid)?,
        };
        Some(self.begin(chosen.index))
    }

    fn has_recent_remote_latency(&self, now: Timestamp) -> bool {
        self.remote_measured_at.is_some_and(|it| now.ms_since(it) < REMOTE_MEASUREMENT_TTL_MS)
    }

    /// Returns a remote upstream if it is to be used instead of the local
    /// sample: it is faster by the required margin, or the local one is to be
    /// avoided.
    fn remote_if_preferred(
        &mut self,
        now: Timestamp,
        local: Sample,
        avoid: &[RouteChoice],
    ) -> Option<Sample> {
        let avoided = self.is_avoided(local.index, avoid);
        // A latency up to the margin cannot exceed a remote one by the margin.
        if local.latency_us <= REMOTE_MARGIN_US && !avoided {
            return None;
        }
        let remote = self.sample(now, Tier::Remote, avoid)?;
        if avoided {
            return (!self.is_avoided(remote.index, avoid)).then_some(remote);
        }
        let assumed_us = self.average_us[local.tier as usize] + REMOTE_ROUND_TRIP_US;
        let remote_us =
            if self.has_recent_remote_latency(now) { remote.latency_us } else { assumed_us };
        (remote_us * REMOTE_FACTOR + REMOTE_MARGIN_US < local.latency_us).then_some(remote)
    }

    /// Records the end of a chosen request.
    pub fn end(&mut self, now: Timestamp, choice: RouteChoice, outcome: RouteOutcome) {
        let average_us = &mut self.average_us[choice.tier as usize];
        let Some(route) = self.routes.get_mut(choice.index as usize) else { return };
        if route.generation != choice.generation {
            return;
        }
        let in_flight = route.in_flight;
        route.in_flight = in_flight.saturating_sub(1);
        let before_us = route.latency_at(now, *average_us);
        match outcome {
            RouteOutcome::Answered(latency_us) => {
                let sample = (latency_us as f32).clamp(1.0, MAX_LATENCY_US);
                // Increases are applied at once, decreases gradually.
                let weight = if before_us < sample { 1.0 } else { LATENCY_DECREASE_WEIGHT };
                route.latency_us = before_us + (sample - before_us) * weight;
                *average_us += (sample - *average_us) * TIER_LATENCY_WEIGHT;
                if choice.tier == Tier::Remote {
                    // The first measurement replaces the initial value.
                    if self.remote_measured_at.replace(now).is_none() {
                        *average_us = sample;
                    }
                }
                route.limit.on_sample(now, latency_us, in_flight);
                route.measured_at = now;
                route.answered_at = now;
            }
            RouteOutcome::TimedOut(latency_us) => {
                let sample = (latency_us as f32).clamp(1.0, MAX_LATENCY_US);
                route.latency_us = before_us.max(sample);
                route.limit.on_overload();
                route.measured_at = now;
            }
            RouteOutcome::Refused | RouteOutcome::Failed => {
                let floor = before_us.max(*average_us);
                route.latency_us = (floor * FAILURE_LATENCY_FACTOR).min(MAX_LATENCY_US);
                if outcome == RouteOutcome::Refused {
                    route.limit.on_overload();
                }
                route.measured_at = now;
            }
            RouteOutcome::Abandoned => {}
        }
        self.update_position(choice.index);
    }

    /// Returns the instance of a choice, or `None` if it has been removed.
    pub fn worker(&self, choice: RouteChoice) -> Option<&WorkerId> {
        let route = self.routes.get(choice.index as usize)?;
        (route.generation == choice.generation).then_some(&route.worker)
    }

    /// Records that an upstream answered a probe.
    pub fn record_answer(&mut self, now: Timestamp, worker: &WorkerId) {
        if let Some(&index) = self.by_worker.get(worker) {
            self.routes[index as usize].answered_at = now;
        }
    }

    /// Returns up to `limit` accepting upstreams that have not answered a
    /// request or a probe for `age_ms`, longest first.
    ///
    /// These are to be probed: no connection would show that such an upstream
    /// leaves, and the instance list lags. Remote upstreams are omitted unless
    /// one of them answered recently, because probes use the billed link too.
    /// This method scans every upstream and must not be used on the request
    /// path.
    pub fn without_recent_answer(
        &self,
        now: Timestamp,
        age_ms: u64,
        limit: usize,
    ) -> Vec<WorkerId> {
        let remote = self.has_recent_remote_latency(now);
        let routes = self.routes.iter().filter(|it| it.accepting);
        let routes = routes.filter(|it| remote || it.tier != Tier::Remote);
        let overdue = routes.filter(|it| age_ms <= now.ms_since(it.answered_at));
        let mut overdue: Vec<&Route> = overdue.collect();
        overdue.sort_by_key(|it| it.answered_at);
        overdue.iter().take(limit).map(|it| it.worker.clone()).collect()
    }

    /// Reports whether any upstream has room for a request now.
    pub fn has_room(&self) -> bool {
        self.available.iter().any(|it| !it.is_empty())
    }

    /// Returns the moving average of a tier's latency, in microseconds.
    pub fn average_latency_us(&self, tier: Tier) -> u64 {
        self.average_us[tier as usize] as u64
    }

    /// Iterates over the upstreams in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = RouteView> + '_ {
        let routes = self.routes.iter().enumerate();
        let live = routes.filter(|(index, it)| {
            self.by_worker.get(&it.worker).is_some_and(|known| *known as usize == *index)
        });
        live.map(|(_, it)| RouteView {
            worker: it.worker.clone(),
            tier: it.tier,
            accepting: it.accepting,
            in_flight: it.in_flight,
            limit: it.limit.get(),
            latency_us: it.latency_us as u64,
        })
    }

    fn tier_of(&self, upstream: &Upstream) -> Tier {
        if upstream.domain == self.domain {
            Tier::Domain
        } else if upstream.region == self.region {
            Tier::Region
        } else {
            Tier::Remote
        }
    }

    fn add(&mut self, upstream: &Upstream) {
        self.remove(&upstream.worker);
        let tier = self.tier_of(upstream);
        // A connection carries one request at a time.
        let slots = upstream.slots.min(upstream.connections);
        let mut route = Route {
            worker: upstream.worker.clone(),
            generation: 0,
            tier,
            accepting: 0 < slots,
            in_flight: 0,
            position: NO_POSITION,
            latency_us: self.average_us[tier as usize],
            measured_at: Timestamp(0),
            answered_at: Timestamp(0),
            limit: UpstreamLimit::new(slots),
        };
        let index = match self.free.pop() {
            Some(index) => {
                route.generation = self.routes[index as usize].generation;
                self.routes[index as usize] = route;
                index
            }
            None => {
                self.routes.push(route);
                (self.routes.len() - 1) as u32
            }
        };
        self.by_worker.insert(upstream.worker.clone(), index);
        // Reserve now, so that beginning and ending a request never allocates.
        self.available[tier as usize].reserve(self.routes.len());
        self.update_position(index);
    }

    fn remove(&mut self, worker: &WorkerId) {
        let Some(index) = self.by_worker.remove(worker) else { return };
        let route = &mut self.routes[index as usize];
        route.accepting = false;
        route.generation += 1;
        self.update_position(index);
        self.free.push(index);
    }

    fn set_accepting(&mut self, worker: &WorkerId, accepting: bool) {
        let Some(&index) = self.by_worker.get(worker) else { return };
        self.routes[index as usize].accepting = accepting;
        self.update_position(index);
    }

    fn begin(&mut self, index: u32) -> RouteChoice {
        let route = &mut self.routes[index as usize];
        route.in_flight += 1;
        let choice = RouteChoice { index, generation: route.generation, tier: route.tier };
        self.update_position(index);
        choice
    }

    /// Adds an upstream to its tier's list of available upstreams or removes
    /// it, according to whether it has room.
    fn update_position(&mut self, index: u32) {
        let route = &mut self.routes[index as usize];
        let available = &mut self.available[route.tier as usize];
        match (route.has_room(), route.position) {
            (true, NO_POSITION) => {
                route.position = available.len() as u32;
                available.push(index);
            }
            (false, position) if position != NO_POSITION => {
                route.position = NO_POSITION;
                available.swap_remove(position as usize);
                if let Some(&moved) = available.get(position as usize) {
                    self.routes[moved as usize].position = position;
                }
            }
            _ => {}
        }
    }

    fn is_avoided(&self, index: u32, avoid: &[RouteChoice]) -> bool {
        let generation = self.routes[index as usize].generation;
        avoid.iter().any(|it| it.index == index && it.generation == generation)
    }

    /// Returns the cheaper of two upstreams of a tier that have room.
    fn sample(&mut self, now: Timestamp, tier: Tier, avoid: &[RouteChoice]) -> Option<Sample> {
        let len = self.available[tier as usize].len() as u64;
        if len == 0 {
            return None;
        }
        // Both positions come from one random number: each half is scaled to
        // the list, and the second is an offset from the first, so that the
        // two samples always differ.
        let random = self.rng.next_u64();
        let first = ((random & 0xffff_ffff) * len) >> 32;
        let lhs = self.sample_at(now, tier, first, avoid);
        if len == 1 {
            return Some(lhs);
        }
        let step = 1 + (((random >> 32) * (len - 1)) >> 32);
        let rhs = self.sample_at(now, tier, (first + step) % len, avoid);
        Some(if rhs.cost < lhs.cost { rhs } else { lhs })
    }

    fn sample_at(&self, now: Timestamp, tier: Tier, at: u64, avoid: &[RouteChoice]) -> Sample {
        let index = self.available[tier as usize][at as usize];
        let route = &self.routes[index as usize];
        let latency_us = route.latency_at(now, self.average_us[tier as usize]);
        let penalty_us = if tier == Tier::Region { OTHER_DOMAIN_PENALTY_US } else { 0.0 };
        let mut cost = (latency_us + penalty_us) * (route.in_flight + 1) as f32;
        if self.is_avoided(index, avoid) {
            cost = f32::MAX;
        }
        Sample { index, tier, latency_us, cost }
    }
}
