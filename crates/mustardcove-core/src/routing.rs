//! Choice of an upstream for a request.
//!
//! A choice samples a few upstreams and takes the one with the lowest expected
//! cost. Per tier of locality the router keeps the upstreams that have room in
//! a dense list, which it maintains as requests begin and end. A sample
//! therefore always has room, an exhausted tier is an empty list, and a choice
//! neither scans the upstreams nor allocates.
//!
//! Upstreams of the own failure domain and of the own region are compared with
//! each other, the latter with a small penalty. The billed link between
//! regions is crossed only when the local upstreams are exhausted, or when the
//! better local sample is slower than the better remote one by
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

/// Cost added to an upstream of the own region but another failure domain, in
/// microseconds of latency.
pub const OTHER_DOMAIN_PENALTY_US: f32 = 1_000.0;

/// Factor by which a local latency must exceed a remote one before the link
/// between regions is crossed.
pub const REMOTE_FACTOR: f32 = 2.0;

/// Latency by which a local upstream must be slower than a remote one, beyond
/// [`REMOTE_FACTOR`], before the link is crossed, in microseconds.
pub const REMOTE_MARGIN_US: f32 = 50_000.0;

/// Round trip between regions, added to the usual local latency where no remote
/// upstream was measured lately, in microseconds.
pub const REMOTE_ROUND_TRIP_US: f32 = 24_000.0;

/// Time for which measurements of remote upstreams are trusted, in
/// milliseconds.
pub const REMOTE_MEMORY_MS: u64 = 60_000;

/// Latency assumed of an upstream before it has answered, in microseconds.
pub const DEFAULT_LATENCY_US: f32 = 5_000.0;

/// Time after which half of the distance from a measured latency to the
/// tier's usual latency is forgotten, in milliseconds.
///
/// Without this an upstream that was slow once would get no request by which
/// it could show that it has recovered.
pub const LATENCY_HALF_LIFE_MS: f32 = 5_000.0;

/// Weight of a sample in the latency of its upstream when it is lower.
const LATENCY_WEIGHT: f32 = 0.2;

/// Weight of a sample in the usual latency of its tier.
const TIER_WEIGHT: f32 = 0.01;

/// Factor by which a failure raises the latency of its upstream.
///
/// Failures are often faster than answers, and their time must not attract
/// more requests.
const FAILURE_FACTOR: f32 = 2.0;

/// Highest latency kept, in microseconds.
const MAX_LATENCY_US: f32 = 60_000_000.0;

/// How far away an upstream is.
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
    /// In the own failure domain.
    Domain,
    /// In another failure domain of the own region.
    Region,
    /// In another region, across the billed link.
    Remote,
}

const TIERS: usize = 3;

/// A choice of an upstream; it holds one request in flight until it is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Choice {
    index: u32,
    generation: u32,
    tier: Tier,
}

impl Choice {
    /// Returns how far away the upstream is.
    pub fn tier(self) -> Tier {
        self.tier
    }
}

/// How a request ended, as far as routing is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteOutcome {
    /// The upstream answered after this many microseconds.
    Answered(u64),
    /// The upstream refused for lack of capacity.
    Refused,
    /// No answer came within this many microseconds.
    TimedOut(u64),
    /// The connection or the upstream failed.
    Failed,
    /// The request was given up for a reason that says nothing of the
    /// upstream.
    Abandoned,
}

/// An upstream's load, for the state dump and for tests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RouteView {
    /// The instance that the upstream runs on.
    pub worker: WorkerId,
    /// How far away it is.
    pub tier: Tier,
    /// Whether it gets new requests.
    pub accepting: bool,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that may be in flight.
    pub limit: u32,
    /// Its latency, in microseconds.
    pub latency_us: u64,
}

/// Position of an upstream that is not in the list of its tier.
const CLOSED: u32 = u32::MAX;

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
    /// When the upstream last showed that it works.
    heard_at: Timestamp,
    limit: UpstreamLimit,
}

impl Route {
    fn has_room(&self) -> bool {
        self.accepting && self.in_flight < self.limit.get()
    }

    /// Returns the latency, drawn towards `usual_us` by the time since it was
    /// measured.
    fn latency_at(&self, now: Timestamp, usual_us: f32) -> f32 {
        let age_ms = now.ms_since(self.measured_at) as f32;
        let kept = LATENCY_HALF_LIFE_MS / (LATENCY_HALF_LIFE_MS + age_ms);
        usual_us + (self.latency_us - usual_us) * kept
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
    open: [Vec<u32>; TIERS],
    usual_us: [f32; TIERS],
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
    /// Returns a router without upstreams for a process in the given place.
    pub fn new(region: RegionId, domain: FailureDomainId, seed: u64) -> Router {
        Router {
            region,
            domain,
            routes: Vec::new(),
            free: Vec::new(),
            by_worker: HashMap::new(),
            open: [Vec::new(), Vec::new(), Vec::new()],
            usual_us: [DEFAULT_LATENCY_US; TIERS],
            remote_measured_at: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies a change of the upstreams; probes are of no concern here.
    pub fn apply(&mut self, action: &MembershipAction) {
        match action {
            MembershipAction::Add(upstream) => self.add(upstream),
            MembershipAction::Stop(worker) => self.set_accepting(worker, false),
            MembershipAction::Resume(worker) => self.set_accepting(worker, true),
            MembershipAction::Remove(worker) => self.remove(worker),
            MembershipAction::Probe(_) => {}
        }
    }

    /// Chooses an upstream and counts the request as in flight there.
    ///
    /// Upstreams in `avoid`, on which earlier attempts failed, are chosen only
    /// if nothing else was sampled. Returns `None` if no upstream has room.
    pub fn choose(&mut self, now: Timestamp, avoid: &[Choice]) -> Option<Choice> {
        let domain = self.sample(now, Tier::Domain, avoid);
        let region = self.sample(now, Tier::Region, avoid);
        let local = match (domain, region) {
            (Some(lhs), Some(rhs)) => Some(if rhs.cost < lhs.cost { rhs } else { lhs }),
            (lhs, rhs) => lhs.or(rhs),
        };
        let chosen = match local {
            Some(it) => self.remote_instead(now, it, avoid).unwrap_or(it),
            None => self.sample(now, Tier::Remote, avoid)?,
        };
        Some(self.begin(chosen.index))
    }

    fn remote_is_known(&self, now: Timestamp) -> bool {
        self.remote_measured_at.is_some_and(|it| now.ms_since(it) < REMOTE_MEMORY_MS)
    }

    /// Returns a remote upstream if it justifies crossing the link.
    fn remote_instead(
        &mut self,
        now: Timestamp,
        local: Sample,
        avoid: &[Choice],
    ) -> Option<Sample> {
        let avoided = self.is_avoided(local.index, avoid);
        // Nothing below the margin can be worse than the link by the margin.
        if local.latency_us <= REMOTE_MARGIN_US && !avoided {
            return None;
        }
        let remote = self.sample(now, Tier::Remote, avoid)?;
        if avoided {
            return (!self.is_avoided(remote.index, avoid)).then_some(remote);
        }
        let assumed_us = self.usual_us[local.tier as usize] + REMOTE_ROUND_TRIP_US;
        let remote_us = if self.remote_is_known(now) { remote.latency_us } else { assumed_us };
        (remote_us * REMOTE_FACTOR + REMOTE_MARGIN_US < local.latency_us).then_some(remote)
    }

    /// Records the end of a chosen request.
    pub fn end(&mut self, now: Timestamp, choice: Choice, outcome: RouteOutcome) {
        let usual_us = &mut self.usual_us[choice.tier as usize];
        let Some(route) = self.routes.get_mut(choice.index as usize) else { return };
        if route.generation != choice.generation {
            return;
        }
        let in_flight = route.in_flight;
        route.in_flight = in_flight.saturating_sub(1);
        let before_us = route.latency_at(now, *usual_us);
        match outcome {
            RouteOutcome::Answered(latency_us) => {
                let sample = (latency_us as f32).clamp(1.0, MAX_LATENCY_US);
                // A rise is taken at once and a fall slowly.
                let weight = if before_us < sample { 1.0 } else { LATENCY_WEIGHT };
                route.latency_us = before_us + (sample - before_us) * weight;
                *usual_us += (sample - *usual_us) * TIER_WEIGHT;
                if choice.tier == Tier::Remote {
                    // The first measurement replaces the assumption.
                    if self.remote_measured_at.replace(now).is_none() {
                        *usual_us = sample;
                    }
                }
                route.limit.on_sample(now, latency_us, in_flight);
                route.measured_at = now;
                route.heard_at = now;
            }
            RouteOutcome::TimedOut(latency_us) => {
                let sample = (latency_us as f32).clamp(1.0, MAX_LATENCY_US);
                route.latency_us = before_us.max(sample);
                route.limit.on_overload();
                route.measured_at = now;
            }
            RouteOutcome::Refused | RouteOutcome::Failed => {
                let floor = before_us.max(*usual_us);
                route.latency_us = (floor * FAILURE_FACTOR).min(MAX_LATENCY_US);
                if outcome == RouteOutcome::Refused {
                    route.limit.on_overload();
                }
                route.measured_at = now;
            }
            RouteOutcome::Abandoned => {}
        }
        self.refresh(choice.index);
    }

    /// Returns the instance of a choice, or `None` if it was removed since.
    pub fn worker(&self, choice: Choice) -> Option<&WorkerId> {
        let route = self.routes.get(choice.index as usize)?;
        (route.generation == choice.generation).then_some(&route.worker)
    }

    /// Records that an upstream answered a probe.
    pub fn heard(&mut self, now: Timestamp, worker: &WorkerId) {
        if let Some(&index) = self.by_worker.get(worker) {
            self.routes[index as usize].heard_at = now;
        }
    }

    /// Returns up to `most` accepting upstreams that have not shown for
    /// `silent_ms` that they work, longest silent first.
    ///
    /// No connection shows that such an upstream leaves, and the list lags, so
    /// they are probed. Remote upstreams are left out unless one of them got a
    /// request lately, because probes cross the billed link too. This scans
    /// every upstream and is not for the path of a request.
    pub fn silent(&self, now: Timestamp, silent_ms: u64, most: usize) -> Vec<WorkerId> {
        let remote = self.remote_is_known(now);
        let routes = self.routes.iter().filter(|it| it.accepting);
        let routes = routes.filter(|it| remote || it.tier != Tier::Remote);
        let silent = routes.filter(|it| silent_ms <= now.ms_since(it.heard_at));
        let mut silent: Vec<&Route> = silent.collect();
        silent.sort_by_key(|it| it.heard_at);
        silent.iter().take(most).map(|it| it.worker.clone()).collect()
    }

    /// Reports whether any upstream could take a request now.
    pub fn has_room(&self) -> bool {
        self.open.iter().any(|it| !it.is_empty())
    }

    /// Returns the usual latency of a tier, in microseconds.
    pub fn usual_latency_us(&self, tier: Tier) -> u64 {
        self.usual_us[tier as usize] as u64
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
            position: CLOSED,
            latency_us: self.usual_us[tier as usize],
            measured_at: Timestamp(0),
            heard_at: Timestamp(0),
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
        // Beginning and ending requests must not allocate.
        self.open[tier as usize].reserve(self.routes.len());
        self.refresh(index);
    }

    fn remove(&mut self, worker: &WorkerId) {
        let Some(index) = self.by_worker.remove(worker) else { return };
        let route = &mut self.routes[index as usize];
        route.accepting = false;
        route.generation += 1;
        self.refresh(index);
        self.free.push(index);
    }

    fn set_accepting(&mut self, worker: &WorkerId, accepting: bool) {
        let Some(&index) = self.by_worker.get(worker) else { return };
        self.routes[index as usize].accepting = accepting;
        self.refresh(index);
    }

    fn begin(&mut self, index: u32) -> Choice {
        let route = &mut self.routes[index as usize];
        route.in_flight += 1;
        let choice = Choice { index, generation: route.generation, tier: route.tier };
        self.refresh(index);
        choice
    }

    /// Puts an upstream into the list of its tier, or takes it out.
    fn refresh(&mut self, index: u32) {
        let route = &mut self.routes[index as usize];
        let open = &mut self.open[route.tier as usize];
        match (route.has_room(), route.position) {
            (true, CLOSED) => {
                route.position = open.len() as u32;
                open.push(index);
            }
            (false, position) if position != CLOSED => {
                route.position = CLOSED;
                open.swap_remove(position as usize);
                if let Some(&moved) = open.get(position as usize) {
                    self.routes[moved as usize].position = position;
                }
            }
            _ => {}
        }
    }

    fn is_avoided(&self, index: u32, avoid: &[Choice]) -> bool {
        let generation = self.routes[index as usize].generation;
        avoid.iter().any(|it| it.index == index && it.generation == generation)
    }

    /// Returns the cheaper of two upstreams of a tier that have room.
    fn sample(&mut self, now: Timestamp, tier: Tier, avoid: &[Choice]) -> Option<Sample> {
        let len = self.open[tier as usize].len() as u64;
        if len == 0 {
            return None;
        }
        // Both positions come from one draw: each half is scaled to the list,
        // and the second skips the first so that two samples always differ.
        let draw = self.rng.next_u64();
        let first = ((draw & 0xffff_ffff) * len) >> 32;
        let lhs = self.sample_at(now, tier, first, avoid);
        if len == 1 {
            return Some(lhs);
        }
        let step = 1 + (((draw >> 32) * (len - 1)) >> 32);
        let rhs = self.sample_at(now, tier, (first + step) % len, avoid);
        Some(if rhs.cost < lhs.cost { rhs } else { lhs })
    }

    fn sample_at(&self, now: Timestamp, tier: Tier, at: u64, avoid: &[Choice]) -> Sample {
        let index = self.open[tier as usize][at as usize];
        let route = &self.routes[index as usize];
        let latency_us = route.latency_at(now, self.usual_us[tier as usize]);
        let penalty_us = if tier == Tier::Region { OTHER_DOMAIN_PENALTY_US } else { 0.0 };
        let mut cost = (latency_us + penalty_us) * (route.in_flight + 1) as f32;
        if self.is_avoided(index, avoid) {
            cost = f32::MAX;
        }
        Sample { index, tier, latency_us, cost }
    }
}
