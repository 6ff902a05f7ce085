//! When a process tries to become the leader.
//!
//! Fencing tokens make two leaders harmless, so a process need not wait for a
//! lease: it claims as soon as the leader seems lost. The claim is a write on
//! the condition that the leader record has not changed since it was read, so
//! of several processes one wins. What is left to decide is only how long to
//! wait. A connection that broke is strong evidence, silence is weaker, and
//! processes with more processor time and a shorter way to the store try
//! first.

use crate::time::Timestamp;

/// Time between two beats of a leader, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// Wait after a leader's connection broke, in milliseconds: a leader that
/// lives has connected again by then.
const BROKEN_WAIT_MS: u64 = 250;
/// Wait after the last beat of a leader whose connection stands, in
/// milliseconds: a leader is slowed down for longer than a beat at times, and
/// a needless change costs as much as this wait.
const SILENT_WAIT_MS: u64 = 1_200;
/// Wait for a beat after a process has started, in milliseconds: a leader that
/// lives finds a new process within this time.
const STARTED_WAIT_MS: u64 = 150;
/// Longest additional wait of the process that ranks last, in milliseconds.
const RANK_WAIT_MS: u64 = 500;
/// Processor share from which more makes no difference to a leader.
const AMPLE_CPU_SHARE: f64 = 0.4;
/// Bandwidth from which more makes no difference to a leader, in megabits per
/// second.
const AMPLE_LINK_MBPS: f64 = 100.0;
/// Part of the wait that is random, so that equals do not claim together.
const SPREAD: f64 = 0.15;
/// Additional wait for each millisecond that the store takes to answer: all
/// writes of a leader go there.
const STORE_DISTANCE_FACTOR: u64 = 3;
/// Longest additional wait for the distance to the store, in milliseconds.
const MAX_STORE_WAIT_MS: u64 = 150;

/// What a process knows of the leader.
#[derive(Clone, Copy, Debug)]
pub struct Candidacy {
    rank_wait_ms: u64,
    claim_at: Timestamp,
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
        Candidacy { rank_wait_ms, claim_at: now.plus_ms(STARTED_WAIT_MS + rank_wait_ms) }
    }

    /// Notes that the process has asked the last known leader to answer, and
    /// how long the store took.
    pub fn greeting_sent(&mut self, store_ms: u64, now: Timestamp) {
        self.rank_wait_ms += (store_ms * STORE_DISTANCE_FACTOR).min(MAX_STORE_WAIT_MS);
        self.claim_at = self.claim_at.max(now.plus_ms(STARTED_WAIT_MS + self.rank_wait_ms));
    }

    /// Notes a beat of the leader.
    pub fn heartbeat_received(&mut self, now: Timestamp) {
        self.claim_at = now.plus_ms(SILENT_WAIT_MS + self.rank_wait_ms);
    }

    /// Notes that the connection to the leader broke.
    pub fn connection_broke(&mut self, now: Timestamp) {
        self.claim_at = self.claim_at.min(now.plus_ms(BROKEN_WAIT_MS + self.rank_wait_ms));
    }

    /// Notes that the leader gave its role back.
    pub fn leader_stepped_down(&mut self, now: Timestamp) {
        self.claim_at = now.plus_ms(self.rank_wait_ms / 4);
    }

    /// Notes that a claim found another leader, whose beats are on their way.
    pub fn found_leader(&mut self, now: Timestamp) {
        self.claim_at = self.claim_at.max(now.plus_ms(SILENT_WAIT_MS / 2 + self.rank_wait_ms));
    }

    /// Notes that another process became leader or that a claim failed.
    pub fn wait_for_leader(&mut self, now: Timestamp) {
        self.claim_at = now.plus_ms(SILENT_WAIT_MS / 2 + self.rank_wait_ms);
    }

    /// Returns when to claim unless something is heard before.
    pub fn claim_at(&self) -> Timestamp {
        self.claim_at
    }
}

/// Returns how many leaders there are with a new one, by the count in the
/// record that it replaces and by that record's revision.
///
/// Run numbers rise with the count, so it must not fall when a record cannot be
/// read: revisions rise faster than claims.
pub fn next_claims(before: Option<u64>, revision: u64) -> u64 {
    before.unwrap_or(revision) + 1
}
