//! When a process tries to become the leader.
//!
//! Fencing tokens make two leaders harmless, so a process need not wait for a
//! lease: it claims the leadership as soon as the leader seems lost. The claim
//! is a conditional write that fails if the leader record has changed since it
//! was read, so of several processes one wins. What remains to be decided is
//! how long to wait. A broken connection is strong evidence of a lost leader
//! and silence is weaker, and processes with more processor time and a shorter
//! way to the store try first.
//!
//! When the link between two regions is full, all processes of the other region
//! lose the leader at once. If they replaced it, the new leader's messages
//! would fill the link again, so the processes of the leader's own region go
//! first.
//!
//! A deadline that passes while the process cannot hear shows nothing, so the waits
//! begin anew after a [`standstill`](super::standstill), and before a claim other
//! processes are asked whether they hear the leader ([`pre_vote`](super::pre_vote)).

use super::standstill::Extensions;
use crate::time::Timestamp;

/// Time between two heartbeats of a leader, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// Wait after the connection to the leader broke, in milliseconds: a leader
/// that is alive has reconnected by then.
const BROKEN_WAIT_MS: u64 = 250;
/// Wait after the last heartbeat of a leader that is still connected, in
/// milliseconds: a leader is sometimes slowed down for longer than a heartbeat
/// interval, and a needless change costs as much as this wait.
const SILENT_WAIT_MS: u64 = 1_200;
/// Additional wait of a process in another region than the leader, in
/// milliseconds: a process in the leader's region claims within this time if
/// the leader is lost.
const OTHER_REGION_WAIT_MS: u64 = 1_500;
/// Wait for a heartbeat after the start of a process, in milliseconds: a
/// leader that is alive finds a new process within this time.
const STARTED_WAIT_MS: u64 = 150;
/// Longest additional wait of the lowest-ranked process, in milliseconds.
const RANK_WAIT_MS: u64 = 500;
/// Age of the last heartbeat up to which a process says that it hears the leader, in
/// milliseconds: less than the wait of those that ask.
const HEARD_MS: u64 = 3 * HEARTBEAT_INTERVAL_MS;
/// Wait after a claim that most of the others opposed, in milliseconds. It is short
/// at first, since they may not have noticed yet that the leader is lost.
const OPPOSED_WAIT_MS: u64 = 200;
/// Times that this wait doubles while others go on hearing the leader.
const MAX_OPPOSED_DOUBLINGS: u32 = 3;
/// Processor share above which more makes no difference to a leader.
const AMPLE_CPU_SHARE: f64 = 0.4;
/// Bandwidth above which more makes no difference to a leader, in megabits per
/// second.
const AMPLE_LINK_MBPS: f64 = 100.0;
/// Random part of the rank, so that equal processes do not claim together.
const SPREAD: f64 = 0.15;
/// Additional wait for each millisecond that the store takes to answer: all
/// writes of a leader go there.
const STORE_DISTANCE_FACTOR: u64 = 3;
/// Longest additional wait because of the store's latency, in milliseconds.
const MAX_STORE_WAIT_MS: u64 = 150;

/// Longest wait of a process before it claims once its connection to a leader in its
/// region broke, in milliseconds.
pub const MAX_BROKEN_CLAIM_MS: u64 = BROKEN_WAIT_MS + RANK_WAIT_MS + MAX_STORE_WAIT_MS;

/// The wait of a process before it claims the leadership.
#[derive(Clone, Copy, Debug)]
pub struct Candidacy {
    rank_wait_ms: u64,
    /// Additional wait because of the leader's region.
    region_wait_ms: u64,
    claim_at: Timestamp,
    /// The same since the connection to the leader broke, until it is back.
    broken_claim_at: Option<Timestamp>,
    stepped_down_at: Option<Timestamp>,
    /// When the last heartbeat arrived, unless its leader has stepped down or asked
    /// for a successor since.
    heard_at: Option<Timestamp>,
    /// Whether the next claim follows a step-down or the request for a successor.
    is_planned: bool,
    /// Before this time a broken connection is no evidence: others close connections
    /// to a process that stands still.
    hears_from: Timestamp,
    extensions: Extensions,
    /// Claims in a row that others opposed.
    opposed: u32,
}

impl Candidacy {
    /// Returns the state of a process that has just started. `cpu_share` is
    /// its share of a processor, `link_mbps` its bandwidth and `spread` a
    /// random number from 0 to 1.
    pub fn new(cpu_share: f64, link_mbps: f64, spread: f64, now: Timestamp) -> Candidacy {
        let lacks = |has: f64, ample: f64| 1.0 - (has / ample).clamp(0.0, 1.0);
        let weakness = lacks(cpu_share, AMPLE_CPU_SHARE).max(lacks(link_mbps, AMPLE_LINK_MBPS));
        let rank = (1.0 - SPREAD) * weakness + SPREAD * spread.clamp(0.0, 1.0);
        let rank_wait_ms = (rank * RANK_WAIT_MS as f64) as u64;
        Candidacy {
            rank_wait_ms,
            region_wait_ms: 0,
            claim_at: now.plus_ms(STARTED_WAIT_MS + rank_wait_ms),
            broken_claim_at: None,
            stepped_down_at: None,
            heard_at: None,
            is_planned: false,
            hears_from: now,
            extensions: Extensions::default(),
            opposed: 0,
        }
    }

    /// Records that the process has asked the leader named in the store to
    /// answer. `store_ms` is the time that the store took to name it.
    pub fn greeting_sent(&mut self, store_ms: u64, now: Timestamp) {
        self.rank_wait_ms += (store_ms * STORE_DISTANCE_FACTOR).min(MAX_STORE_WAIT_MS);
        self.postpone_to(now.plus_ms(STARTED_WAIT_MS + self.rank_wait_ms));
    }

    /// Handles a heartbeat of the leader. `is_same_region` states that the
    /// leader is in the region of this process.
    pub fn heartbeat_received(&mut self, is_same_region: bool, now: Timestamp) {
        self.region_wait_ms = if is_same_region { 0 } else { OTHER_REGION_WAIT_MS };
        self.set_claim(self.silent_until(now));
        self.heard_at = Some(now);
        self.is_planned = false;
        self.hears_from = now;
        self.extensions.reset();
        self.opposed = 0;
    }

    fn silent_until(&self, since: Timestamp) -> Timestamp {
        since.plus_ms(SILENT_WAIT_MS + self.rank_wait_ms + self.region_wait_ms)
    }

    /// Handles that the process stood still until now: its waits begin anew, so that
    /// it hears first. Without a heartbeat this happens a few times at most.
    pub fn stood_still(&mut self, now: Timestamp) {
        if self.extensions.take() {
            self.hears_from = self.silent_until(now);
            self.postpone_to(self.hears_from);
        }
    }

    /// Returns whether the leader is connected and was heard a moment ago.
    pub fn hears_leader(&self, now: Timestamp) -> bool {
        let is_recent = self.heard_at.is_some_and(|it| now.ms_since(it) < HEARD_MS);
        is_recent && self.broken_claim_at.is_none()
    }

    /// Returns whether the leader has stepped down or asks for a successor, so that
    /// others need not be asked whether they hear it.
    pub fn is_planned(&self) -> bool {
        self.is_planned
    }

    /// Handles that most of those that answered hear the leader.
    pub fn claim_opposed(&mut self, now: Timestamp) {
        let doublings = self.opposed.min(MAX_OPPOSED_DOUBLINGS);
        self.opposed = self.opposed.saturating_add(1);
        self.postpone_to(now.plus_ms(OPPOSED_WAIT_MS << doublings));
    }

    /// Handles a broken connection to the leader.
    pub fn connection_broke(&mut self, now: Timestamp) {
        let wait_ms = BROKEN_WAIT_MS + self.rank_wait_ms + self.region_wait_ms;
        let broken_claim_at = self.claim_at().min(now.plus_ms(wait_ms));
        self.broken_claim_at = Some(broken_claim_at.max(self.hears_from));
    }

    /// Handles a connection to the leader that is back: it was closed in favour of
    /// another one, or broke while the leader went on. Its heartbeats decide again.
    pub fn connection_restored(&mut self) {
        self.broken_claim_at = None;
    }

    /// Handles the leader's message that it has stepped down or asks for a
    /// successor. A leader that goes on postpones a claim that fails by its next
    /// heartbeat.
    pub fn leader_stepped_down(&mut self, now: Timestamp) {
        self.set_claim(now.plus_ms(self.rank_wait_ms / 4));
        self.stepped_down_at = Some(now);
        self.heard_at = None;
        self.is_planned = true;
    }

    /// Returns when a leader last stepped down or asked for a successor, as far
    /// as this process knows.
    pub fn stepped_down_at(&self) -> Option<Timestamp> {
        self.stepped_down_at
    }

    /// Handles the record of another leader, which has been asked to answer.
    /// `is_same_region` states that it is in the region of this process.
    pub fn found_leader(&mut self, is_same_region: bool, now: Timestamp) {
        self.region_wait_ms = if is_same_region { 0 } else { OTHER_REGION_WAIT_MS };
        // The step-down was that of an earlier leader.
        self.is_planned = false;
        self.claim_failed(now);
    }

    /// Handles a claim of this process, which hears itself before it has sent its first
    /// heartbeat.
    pub fn claimed(&mut self, now: Timestamp) {
        self.heard_at = Some(now);
        self.is_planned = false;
        self.broken_claim_at = None;
    }

    /// Handles a claim that another process has made, whose heartbeats are on
    /// their way.
    pub fn claim_failed(&mut self, now: Timestamp) {
        let wait_ms = SILENT_WAIT_MS / 2 + self.rank_wait_ms + self.region_wait_ms;
        self.postpone_to(now.plus_ms(wait_ms));
    }

    /// Sets a new claim time after the end of a term of this process. A successor
    /// whose heartbeat has arrived keeps the wait that this set: it may still restore
    /// the plan.
    pub fn reschedule_claim(&mut self, now: Timestamp) {
        self.postpone_to(now.plus_ms(SILENT_WAIT_MS / 2 + self.rank_wait_ms));
    }

    fn set_claim(&mut self, at: Timestamp) {
        (self.claim_at, self.broken_claim_at) = (at, None);
    }

    fn postpone_to(&mut self, earliest: Timestamp) {
        self.claim_at = self.claim_at.max(earliest);
        self.broken_claim_at = self.broken_claim_at.map(|it| it.max(earliest));
    }

    /// Returns when to claim unless another event arrives before.
    pub fn claim_at(&self) -> Timestamp {
        self.broken_claim_at.map_or(self.claim_at, |it| it.min(self.claim_at))
    }
}

/// Returns the number of leaders so far, including a new one, from the count
/// in the record that it replaces and that record's revision.
///
/// Run numbers rise with the count, so it must not fall when a record cannot
/// be read. The revision is a safe substitute because revisions rise faster
/// than claims.
pub fn next_claims(before: Option<u64>, revision: u64) -> u64 {
    before.unwrap_or(revision) + 1
}
