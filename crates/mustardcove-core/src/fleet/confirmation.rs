//! What a leader knows about still being the only one.
//!
//! A leader that is cut off from the others cannot tell that it was replaced,
//! and workers that its successor does not reach go on obeying it. Whatever a
//! leader permits or concludes therefore rests on a confirmation, which is
//! dated by when it was asked for: an answer may be handled long after it was
//! given, and says nothing about the time after the question.
//!
//! | confirmation | through | what it shows |
//! |---|---|---|
//! | the store names this term | when the store was asked | nobody had claimed the leadership |
//! | every member obeys this term, and most workers answer it | the oldest heartbeat that they acknowledge | nobody had ordered anything in a later term |
//! | most members do, and most workers answer it | that which most acknowledge | no successor had been joined by half of the members, or answered by half of the workers |
//!
//! The store says which processes the [members](super::members) are, and which
//! workers the [witnesses](super::witnesses). The second and the third
//! confirmation serve an outage of the store. The third permits leases and
//! starts, since a successor counts the leases of this term from when half of the
//! members have joined it or half of the workers have answered it. It is no proof
//! that a silent worker's runs have ended: a successor may have reached that
//! worker.
//!
//! Load pattern: regions lose each other with a leader and workers on either
//! side, beside outages of the store in which work has to go on. See section 5
//! of `docs/platform.md`.

use std::collections::VecDeque;

use super::id::BootMillis;
use crate::time::Timestamp;

/// Longest time without the store for which most of the processes and workers
/// suffice, in milliseconds. A successor waits for as long that neither half of
/// the processes join nor half of the workers answer.
pub const MAX_STORELESS_MS: u64 = 60_000;
/// Longest time without the store for which all members and most workers suffice,
/// in milliseconds. A successor waits for as long that no member joins and that
/// half of the workers do not answer.
pub const MAX_UNANIMOUS_MS: u64 = 600_000;
/// Age of the last confirmation by the store from which on others are collected,
/// in milliseconds: the time of two questions and a slow answer.
const STORE_RECENT_MS: u64 = 600;
/// Shortest time between two reports that are kept, in milliseconds.
const KEPT_REPORT_INTERVAL_MS: u64 = 50;
/// Most reports that are kept, which cover several times the duration of a
/// permission.
const MAX_KEPT_REPORTS: usize = 128;

/// The confirmations that a leader has received; see the module documentation.
/// Times without a unit are on the leader's clock.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    store: Timestamp,
    /// The same on the boot clock, which goes on while the machine is
    /// suspended.
    store_boot: BootMillis,
    /// Through which all members, or most of them, obey this term and most workers
    /// answer it.
    everyone: Option<Timestamp>,
    majority: Option<Timestamp>,
}

impl Confirmation {
    /// Returns the state of a leader whose claim was sent at a time.
    pub fn new(claimed_at: Timestamp, claimed_boot: BootMillis) -> Confirmation {
        Confirmation { store: claimed_at, store_boot: claimed_boot, everyone: None, majority: None }
    }

    /// Records that the store, asked at a time, named this term.
    pub fn store_answered(&mut self, asked_at: Timestamp, asked_boot: BootMillis) {
        self.store = self.store.max(asked_at);
        self.store_boot = self.store_boot.max(asked_boot);
    }

    /// Records when the newest heartbeat was sent that each member has
    /// acknowledged, for each list of members that has to agree; `None` for those
    /// that acknowledged none. Most workers have answered what was asked after
    /// `workers`; `None` if they have not.
    pub fn heard(
        &mut self,
        lists: impl IntoIterator<Item = Vec<Option<Timestamp>>>,
        workers: Option<Timestamp>,
        now: BootMillis,
    ) {
        let sorted = |mut heard: Vec<Option<Timestamp>>| {
            heard.sort_unstable_by(|lhs, rhs| rhs.cmp(lhs));
            heard
        };
        let lists: Vec<_> = lists.into_iter().map(sorted).collect();
        // `None` is the smallest.
        let most = lists.iter().map(|it| it.get(it.len() / 2).copied().flatten());
        self.majority = most.min().flatten().min(workers);
        let all = lists.iter().map(|it| it.last().copied().flatten());
        let is_recent = now.ms_since(self.store_boot) < MAX_UNANIMOUS_MS;
        self.everyone = all.min().flatten().min(workers).filter(|_| is_recent);
    }

    /// Returns the time through which no other process can have granted or ordered
    /// anything in a later term.
    pub fn sole_through(&self) -> Timestamp {
        self.everyone.map_or(self.store, |it| it.max(self.store))
    }

    /// Returns the time from which the permission to extend leases and to start
    /// work counts.
    pub fn permitted_from(&self, now: BootMillis) -> Timestamp {
        let is_recent = now.ms_since(self.store_boot) < MAX_STORELESS_MS;
        let majority = self.majority.filter(|_| is_recent).unwrap_or_default();
        self.sole_through().max(majority)
    }

    /// Returns whether the workers have to answer soon, since the store has not
    /// confirmed the term for a while.
    pub fn needs_witnesses(&self, now: Timestamp) -> bool {
        STORE_RECENT_MS <= now.ms_since(self.store)
    }

    /// Returns when the store was asked that confirmed the term last.
    pub fn store_through(&self) -> Timestamp {
        self.store
    }

    /// Returns the newest heartbeat that most processes have acknowledged, and after
    /// which most workers were asked.
    pub fn majority_through(&self) -> Option<Timestamp> {
        self.majority
    }
}

/// The handled reports of one process that a confirmation may still cover.
///
/// A permission counts from the sending of the newest report that was handled
/// before the leader was confirmed. The process reads that time on its own
/// boot clock, so that no delay on the way and no suspended machine lengthens
/// the permission.
#[derive(Clone, Debug, Default)]
pub struct CoveredReports {
    /// When a report was handled, and when it was sent by its sender's clock.
    kept: VecDeque<(Timestamp, BootMillis)>,
    covered: Option<BootMillis>,
}

impl CoveredReports {
    /// Records a report that was handled.
    pub fn handled(&mut self, sent_at: BootMillis, now: Timestamp) {
        let is_due =
            (self.kept.back()).is_none_or(|it| KEPT_REPORT_INTERVAL_MS <= now.ms_since(it.0));
        if !is_due {
            return;
        }
        if self.kept.len() == MAX_KEPT_REPORTS {
            self.kept.pop_front();
        }
        self.kept.push_back((now, sent_at));
    }

    /// Records that the leader is confirmed from a time on.
    pub fn confirm(&mut self, from: Timestamp) {
        while let Some((_, sent_at)) = self.kept.pop_front_if(|it| it.0 <= from) {
            self.covered = self.covered.max(Some(sent_at));
        }
    }

    /// Returns when the newest report was sent that was handled before the
    /// leader was last confirmed.
    pub fn covered(&self) -> Option<BootMillis> {
        self.covered
    }
}
