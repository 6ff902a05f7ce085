//! Admission of submissions under overload.
//!
//! Load pattern: bursts of two to three times the usual rate for some seconds.
//! Work that is accepted then and cannot be served even late takes capacity from
//! work that could be. Its caller is told at once, and told when to come back.
//!
//! The leader sends a [`LoadReport`] with its heartbeats. See
//! `docs/design/admission.md`.

use std::{collections::BTreeMap, fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use super::{
    id::SubmissionId,
    submission::{StepSpec, Submission, WORTHLESS_FACTOR},
};
use crate::{
    size::Millicores,
    time::{ClockShift, Timestamp},
};

/// Age from which on a report does not reject anything, in milliseconds: a burst
/// may have ended since.
const MAX_REPORT_AGE_MS: u64 = 2_000;
/// The forecast wait, as a percentage of the shortest that is reckoned with. It is
/// a sum over many tasks, so its error is smaller than that of an estimate.
const WAIT_ERROR_PERCENT: u64 = 150;
/// The longest critical path that is reckoned with, as a percentage of the
/// estimate: estimates are off by a factor of up to 1.9.
const ESTIMATE_ERROR_PERCENT: u64 = 190;
/// Callers that would all come back at one moment are spread over this time, in
/// milliseconds.
pub const RETURN_SPREAD_MS: u64 = 1_000;
/// Longest time after which a caller is told to come back, in milliseconds. A
/// forecast further ahead says little.
const MAX_RETURN_MS: u64 = 30_000;
/// Callers whose time would be further ahead are spread over this time before it, in
/// milliseconds.
const FAR_RETURN_SPREAD_MS: u64 = 10_000;
/// A caller that comes so much before its time finds its place, in milliseconds:
/// points in time shift by some of it between processes.
const EARLY_RETURN_MS: u64 = 500;
/// For how long a place is held after its time, in milliseconds.
const PLACE_HELD_MS: u64 = 5_000;
/// Time after which a place that the leader does not list is reported again, in
/// milliseconds: two heartbeats.
const REPORT_AGAIN_MS: u64 = 500;
/// Most places that are held: about 10 kB in each heartbeat.
pub const MAX_PLACES: usize = 200;

/// The load of one pool, as new work of one priority sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The pool's name.
    pub service: String,
    /// The priority; 0 comes first.
    pub priority: u8,
    /// Until when new work of that priority waits, which is its backlog over the
    /// measured rate; in the past if it does not wait.
    pub wait_until: Timestamp,
    /// Whether there is less room than work.
    pub is_overloaded: bool,
    /// Processors of the largest new task of that priority that a worker would take
    /// now.
    pub free_millicores: Millicores,
    /// Processors' worth of work of that priority that the pool completes.
    pub rate_millicores: Millicores,
    /// What is promised to callers that were told to come back. Filled in by the
    /// leader task, not by the planner.
    pub promised: WorkAmount,
}

/// An amount of work: thousandths of a core times milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkAmount(pub u64);

/// The load of all pools, from the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// One entry for each pool and priority with work in the last seconds.
    pub pools: Vec<PoolLoad>,
}

impl LoadReport {
    /// Converts points in time to the receiver's clock.
    pub fn to_local(mut self, shift: ClockShift) -> LoadReport {
        for it in &mut self.pools {
            it.wait_until = shift.to_local(it.wait_until);
        }
        self
    }

    /// Returns whether any pool is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.pools.iter().any(|it| it.is_overloaded)
    }

    /// Returns the load of a pool for a priority.
    pub fn find(&self, service: &str, priority: u8) -> Option<&PoolLoad> {
        self.pools.iter().find(|it| it.service == service && it.priority == priority)
    }
}

impl fmt::Display for WorkAmount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for WorkAmount {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<WorkAmount, ParseIntError> {
        text.parse().map(WorkAmount)
    }
}

impl WorkAmount {
    /// Returns the sum of two amounts, limited to the largest.
    pub fn plus(self, other: WorkAmount) -> WorkAmount {
        WorkAmount(self.0.saturating_add(other.0))
    }

    /// Returns how long a pool takes for it, in milliseconds; `None` if the pool
    /// completes nothing.
    pub fn ms_at(self, rate: Millicores) -> Option<u64> {
        self.0.checked_div(rate.0)
    }
}

/// What the admission decision needs to know of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applicant<'a> {
    /// Its id.
    pub id: SubmissionId,
    /// The pool that runs its tasks.
    pub service: &'a str,
    /// Its priority.
    pub priority: u8,
    /// Whether it is long-running or scheduled, which is never rejected for load.
    pub is_exempt: bool,
    /// The longest chain of its steps by the caller's estimates, in milliseconds.
    pub critical_path_ms: u64,
    /// Factor on the critical path that the SLO deadline allows for, in
    /// thousandths.
    pub stretch_permille: u64,
    /// Delay budget that the SLO deadline adds, in milliseconds.
    pub delay_budget_ms: u64,
    /// All of its work.
    pub work: WorkAmount,
    /// The processors of its smallest task.
    pub smallest_task: Millicores,
}

impl Applicant<'_> {
    /// Returns what the decision needs to know of a submission.
    pub fn of(submission: &Submission) -> Applicant<'_> {
        let work = |it: &StepSpec| it.task_work().saturating_mul(u64::from(it.count));
        let work = submission.steps.iter().map(work).fold(0, u64::saturating_add);
        let smallest_task = submission.steps.iter().map(|it| it.demand.cpu).min();
        Applicant {
            id: submission.id,
            service: &submission.queue.service,
            priority: submission.queue.priority,
            is_exempt: submission.is_long_running() || submission.schedule.is_some(),
            critical_path_ms: submission.critical_paths_ms().into_iter().max().unwrap_or_default(),
            stretch_permille: (submission.queue.stretch * 1_000.0) as u64,
            delay_budget_ms: submission.queue.delay_budget_ms,
            work: WorkAmount(work),
            smallest_task: smallest_task.unwrap_or_default(),
        }
    }

    /// Returns how long it can wait and still be worth something, if its
    /// critical path is `error_percent` of the estimate, in milliseconds.
    fn tolerable_wait_ms(&self, error_percent: u64) -> u64 {
        let path = u128::from(self.critical_path_ms) * u128::from(error_percent) / 100;
        let allowed =
            path * u128::from(self.stretch_permille) / 1_000 + u128::from(self.delay_budget_ms);
        let wait = (allowed * u128::from(WORTHLESS_FACTOR)).saturating_sub(path);
        u64::try_from(wait).unwrap_or(u64::MAX)
    }
}

/// The load as a process knows it.
#[derive(Clone, Copy, Debug)]
pub struct KnownLoad<'a> {
    /// The last report, on the clock of this process.
    pub report: &'a LoadReport,
    /// Age of the knowledge that it rests on, in milliseconds.
    pub age_ms: u64,
}

/// What a caller that was told to come back finds when it does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The submission.
    pub id: SubmissionId,
    /// Its pool.
    pub service: String,
    /// Its priority.
    pub priority: u8,
    /// Its work.
    pub work: WorkAmount,
    /// When the caller was first told to come back, which is its place in order.
    pub first_arrival: Timestamp,
    /// When it was told to come back.
    pub promised_at: Timestamp,
}

impl Place {
    /// Converts points in time to the receiver's clock.
    pub fn to_local(mut self, shift: ClockShift) -> Place {
        self.first_arrival = shift.to_local(self.first_arrival);
        self.promised_at = shift.to_local(self.promised_at);
        self
    }

    fn expires_at(&self) -> Timestamp {
        self.promised_at.plus_ms(PLACE_HELD_MS)
    }
}

/// The places of callers that were told to come back, bounded in number and
/// time.
#[derive(Clone, Debug, Default)]
pub struct Places {
    places: BTreeMap<SubmissionId, Place>,
}

impl FromIterator<Place> for Places {
    fn from_iter<I: IntoIterator<Item = Place>>(places: I) -> Places {
        let mut all = Places::default();
        places.into_iter().for_each(|it| all.add(it));
        all
    }
}

impl Places {
    /// Adds a place, or prolongs it: a caller keeps its first arrival. If there
    /// are too many, the last in order is dropped, whose caller is a newcomer
    /// when it returns.
    pub fn add(&mut self, mut place: Place) {
        if let Some(earlier) = self.places.get(&place.id) {
            place.first_arrival = place.first_arrival.min(earlier.first_arrival);
            place.promised_at = place.promised_at.min(earlier.promised_at);
        }
        self.places.insert(place.id, place);
        if MAX_PLACES < self.places.len() {
            let last = self.places.values().max_by_key(|it| (it.first_arrival, it.id));
            if let Some(last) = last.map(|it| it.id) {
                self.places.remove(&last);
            }
        }
    }

    /// Removes a place whose caller was accepted.
    pub fn remove(&mut self, id: SubmissionId) {
        self.places.remove(&id);
    }

    /// Removes the places whose callers have not come back in time, and those
    /// for which `is_done` holds.
    pub fn expire(&mut self, now: Timestamp, is_done: impl Fn(SubmissionId) -> bool) {
        self.places.retain(|id, it| now < it.expires_at() && !is_done(*id));
    }

    /// Returns the place of a caller.
    pub fn find(&self, id: SubmissionId) -> Option<&Place> {
        self.places.get(&id)
    }

    /// Returns all places, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Place> {
        self.places.values()
    }

    /// Returns the number of places.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns the work that is promised in a pool to callers of this or a more
    /// urgent priority who come before `before` in order.
    fn work_ahead(&self, applicant: &Applicant<'_>, before: Option<Timestamp>) -> WorkAmount {
        let order = |it: &Place| (it.first_arrival, it.id);
        let is_ahead = |it: &&Place| {
            it.service == applicant.service
                && it.priority <= applicant.priority
                && it.id != applicant.id
                && before.is_none_or(|before| order(it) < (before, applicant.id))
        };
        self.iter().filter(is_ahead).fold(WorkAmount::default(), |sum, it| sum.plus(it.work))
    }

    /// Adds the places of other lists that are not in this one.
    pub fn with(mut self, others: &Places) -> Places {
        for it in others.iter() {
            if self.find(it.id).is_none() {
                self.add(it.clone());
            }
        }
        self
    }

    /// Enters into a report what is promised in each pool and priority.
    pub fn fill(&self, report: &mut LoadReport) {
        for pool in &mut report.pools {
            let is_in = |it: &&Place| it.service == pool.service && it.priority == pool.priority;
            let promised = self.iter().filter(is_in);
            pool.promised = promised.fold(WorkAmount::default(), |sum, it| sum.plus(it.work));
        }
    }
}

/// The places that one process has promised, which it reports until the leader
/// lists them.
#[derive(Clone, Debug, Default)]
pub struct OwnPlaces {
    places: Places,
    reported_at: BTreeMap<SubmissionId, Timestamp>,
}

impl OwnPlaces {
    /// Adds a place.
    pub fn add(&mut self, place: Place) {
        self.reported_at.remove(&place.id);
        self.places.add(place);
    }

    /// Removes a place whose caller was accepted.
    pub fn remove(&mut self, id: SubmissionId) {
        self.places.remove(id);
    }

    /// Returns the places.
    pub fn places(&self) -> &Places {
        &self.places
    }

    /// Returns the places to report now: those that the leader does not list, and
    /// that were not reported a moment ago.
    pub fn take_unreported(&mut self, listed: &Places, now: Timestamp) -> Vec<Place> {
        self.places.expire(now, |_| false);
        let places = &self.places;
        self.reported_at.retain(|id, _| places.find(*id).is_some());
        let mut taken = Vec::new();
        for place in self.places.iter().filter(|it| listed.find(it.id).is_none()) {
            let reported_at = self.reported_at.get(&place.id);
            if reported_at.is_none_or(|it| REPORT_AGAIN_MS <= now.ms_since(*it)) {
                taken.push(place.clone());
            }
        }
        self.reported_at.extend(taken.iter().map(|it| (it.id, now)));
        taken
    }
}

/// Why a submission is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Acceptance {
    /// It is long-running or scheduled.
    Exempt,
    /// There is no report, since there is no leader or it has none yet.
    NoReport,
    /// The report is too old to reject anything.
    OldReport,
    /// The pool is not overloaded for its priority.
    NotOverloaded,
    /// There is room for one of its tasks.
    Room,
    /// Less urgent work waits for less long in the same pool.
    LessUrgentServed,
    /// The caller was told to come back, and does.
    Returned,
    /// The pool completes nothing, so there is no forecast.
    NoForecast,
    /// It can be served, at least late.
    InTime,
    /// It is stored, or may be by an earlier request, or the store is in doubt.
    MayBeStored,
}

/// The answer to a submission that cannot be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The forecast wait, in milliseconds.
    pub wait_ms: u64,
    /// The caller's place, with the time at which it is told to come back.
    pub place: Place,
}

impl Rejection {
    /// Returns the value of Retry-After in seconds: never before the promised
    /// time, and at least 1.
    pub fn retry_after_s(&self, now: Timestamp) -> u64 {
        now.ms_until(self.place.promised_at).div_ceil(1_000).max(1)
    }
}

/// The answer to a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is stored and planned.
    Accepted(Acceptance),
    /// It is not, and its caller comes back later.
    Rejected(Rejection),
}

/// Decides whether a submission that arrives now is accepted.
///
/// It is rejected only if it could not even be served late, and not if there is
/// room, if less urgent work is served before it, or if that depends on the error
/// of the forecast. A caller that returns is judged without what is promised to
/// callers who came after it, so never worse than a newcomer.
pub fn decide(
    applicant: &Applicant<'_>,
    load: Option<KnownLoad<'_>>,
    places: &Places,
    now: Timestamp,
) -> Admission {
    match judge(applicant, load, places, now) {
        Ok(acceptance) => Admission::Accepted(acceptance),
        Err(rejection) => Admission::Rejected(rejection),
    }
}

fn judge(
    applicant: &Applicant<'_>,
    load: Option<KnownLoad<'_>>,
    places: &Places,
    now: Timestamp,
) -> Result<Acceptance, Rejection> {
    if applicant.is_exempt {
        return Ok(Acceptance::Exempt);
    }
    let Some(load) = load else { return Ok(Acceptance::NoReport) };
    if MAX_REPORT_AGE_MS < load.age_ms {
        return Ok(Acceptance::OldReport);
    }
    let pool = load.report.find(applicant.service, applicant.priority);
    let Some(pool) = pool.filter(|it| it.is_overloaded) else {
        return Ok(Acceptance::NotOverloaded);
    };
    let has_room = |it: &PoolLoad| applicant.smallest_task <= it.free_millicores;
    if has_room(pool) {
        return Ok(Acceptance::Room);
    }
    let is_served_before = |it: &PoolLoad| {
        it.service == applicant.service
            && applicant.priority < it.priority
            && (!it.is_overloaded || has_room(it) || it.wait_until < pool.wait_until)
    };
    if load.report.pools.iter().any(is_served_before) {
        return Ok(Acceptance::LessUrgentServed);
    }
    let place = places.find(applicant.id);
    if place.is_some_and(|it| it.promised_at <= now.plus_ms(EARLY_RETURN_MS)) {
        return Ok(Acceptance::Returned);
    }
    let first_arrival = place.map_or(now, |it| it.first_arrival);
    let ahead = match place {
        Some(it) => places.work_ahead(applicant, Some(it.first_arrival)),
        None => places.work_ahead(applicant, None).max(pool.promised),
    };
    let Some(promised_ms) = ahead.ms_at(pool.rate_millicores) else {
        return Ok(Acceptance::NoForecast);
    };
    let wait_ms = now.ms_until(pool.wait_until).saturating_add(promised_ms);
    let tolerable_ms = applicant.tolerable_wait_ms(ESTIMATE_ERROR_PERCENT);
    if wait_ms.saturating_mul(100) / WAIT_ERROR_PERCENT <= tolerable_ms {
        return Ok(Acceptance::InTime);
    }
    let enough_ms = wait_ms - applicant.tolerable_wait_ms(100).min(wait_ms);
    let spread = spread_of(applicant.id);
    let promised_ms = if MAX_RETURN_MS < enough_ms {
        MAX_RETURN_MS - spread % FAR_RETURN_SPREAD_MS
    } else {
        enough_ms + spread % RETURN_SPREAD_MS
    };
    let promised_at = now.plus_ms(promised_ms);
    Err(Rejection {
        wait_ms,
        place: Place {
            id: applicant.id,
            service: applicant.service.to_owned(),
            priority: applicant.priority,
            work: applicant.work,
            first_arrival,
            promised_at: place.map_or(promised_at, |it| it.promised_at.min(promised_at)),
        },
    })
}

/// Returns a number that differs between ids, also between consecutive ones.
fn spread_of(id: SubmissionId) -> u64 {
    id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32
}
