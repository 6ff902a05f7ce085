//! What a leader knows of those before it, which may not know that they were
//! replaced.
//!
//! An earlier leader that lacks the store goes on while most members obey it and
//! most workers answer it, for [`MAX_STORELESS_MS`] at most; with all members it
//! goes on for [`MAX_UNANIMOUS_MS`] and concludes from silence, too. Its successor
//! therefore has two thresholds, and once passed each stays so:
//!
//! | threshold | passed by | permits |
//! |---|---|---|
//! | not all members can obey an earlier leader | being a member; a member that has joined or ended; half of the workers | leases, orders |
//! | no earlier leader is permitted anything | half of the members that have joined or ended; half of the workers; [`EARLIER_TERMS_MS`] | changes of the records of members and workers; counting the leases of earlier terms |
//!
//! Time alone is the last resort, for the loss of most members and most workers.
//! See section 5 of `docs/platform.md`.

use super::{
    confirmation::{MAX_STORELESS_MS, MAX_UNANIMOUS_MS},
    poller::MAX_ORPHAN_LEASE_MS,
};
use crate::time::Timestamp;

/// Time from a claim after which no lease is left of an earlier leader that most
/// members obeyed, in milliseconds.
pub const EARLIER_TERMS_MS: u64 = MAX_STORELESS_MS + MAX_ORPHAN_LEASE_MS;

/// What shows that earlier leaders have lost those that obeyed them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Evidence {
    /// See [`Members::has_any_left`](super::members::Members::has_any_left).
    pub has_any_member_left: bool,
    /// See [`Members::is_joined_by_half`](super::members::Members::is_joined_by_half).
    pub has_half_of_members_left: bool,
    /// See [`Witnesses::have_left_earlier`](super::witnesses::Witnesses::have_left_earlier).
    pub has_half_of_workers_left: bool,
}

/// The earlier leaders, as the leader of one term knows them.
#[derive(Clone, Copy, Debug)]
pub struct Predecessors {
    term_began_at: Timestamp,
    may_order_since: Option<Timestamp>,
    leases_expire_by: Option<Timestamp>,
}

impl Predecessors {
    /// Returns the state of a leader whose claim was answered at a time.
    pub fn new(term_began_at: Timestamp) -> Predecessors {
        Predecessors { term_began_at, may_order_since: None, leases_expire_by: None }
    }

    /// Takes in what is known now.
    pub fn update(&mut self, evidence: Evidence, now: Timestamp) {
        let age_ms = now.ms_since(self.term_began_at);
        let by_workers = evidence.has_half_of_workers_left;
        let may_order = by_workers
            || evidence.has_any_member_left
            || MAX_UNANIMOUS_MS + MAX_ORPHAN_LEASE_MS <= age_ms;
        if may_order {
            self.may_order_since.get_or_insert(now);
        }
        let Some(since) = self.may_order_since else { return };
        let is_lost = by_workers || evidence.has_half_of_members_left;
        if is_lost || EARLIER_TERMS_MS <= age_ms {
            // One that all members obeyed was permitted leases until `since`.
            let by_time = self.term_began_at.plus_ms(EARLIER_TERMS_MS);
            let by_time = by_time.max(since.plus_ms(MAX_ORPHAN_LEASE_MS));
            let by_loss = now.plus_ms(MAX_ORPHAN_LEASE_MS);
            self.leases_expire_by.get_or_insert(by_time.min(by_loss));
        }
    }

    /// Returns whether this leader may grant and order anything: no earlier one
    /// takes itself for the only one. Until then workers are only asked what runs
    /// there.
    pub fn may_order(&self) -> bool {
        self.may_order_since.is_some()
    }

    /// Returns whether no earlier leader can be permitted anything any more.
    pub fn are_powerless(&self) -> bool {
        self.leases_expire_by.is_some()
    }

    /// Returns by when every lease of earlier leaders has expired on workers that
    /// this one does not reach.
    pub fn leases_expire_by(&self) -> Timestamp {
        let latest = self.term_began_at.plus_ms(EARLIER_TERMS_MS);
        self.leases_expire_by.unwrap_or(latest)
    }
}
