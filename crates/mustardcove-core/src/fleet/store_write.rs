//! What is known about a write to the store, and what to do next.
//!
//! Load pattern: callers submit while the store begins to refuse, reset or
//! ignore calls. A caller can be told that its submission never runs as long as
//! no write of it may take effect. A write that was sent and not answered may be
//! carried out seconds later, so it decides the answer until a later write or
//! read of the same key is answered. Hence a write is not sent while the store
//! is in doubt: a read without effects shows first whether it answers.
//!
//! See `docs/design/store-outage.md`.

use std::collections::HashMap;

use strum::{Display, IntoStaticStr};

use super::{message::StoreOutcome, store_health::DOUBT_AFTER_MS};
use crate::{time::Timestamp, verdict::Verdict};

/// Pause before a failed write is tried again, in milliseconds: a few times the
/// store's usual latency.
const RETRY_PAUSE_MS: u64 = 40;
/// Longest pause between two attempts, in milliseconds.
const MAX_RETRY_PAUSE_MS: u64 = 400;
/// Number of refused writes after which the caller is told so although the
/// store answers other calls: some refusals in a row are no coincidence.
const MAX_REFUSED_WRITES: u32 = 4;
/// Time that a caller waits whose write is not sent because the store is in doubt,
/// in milliseconds: as long as it takes to notice a store that is away. It may
/// not count as away then, since watches that it held before are still answered.
const MAX_DOUBT_WAIT_MS: u64 = 1_300;
/// The same for a process that another has asked, whose caller has waited before.
const MAX_PEER_DOUBT_WAIT_MS: u64 = 300;
/// Number of times that the patience with a write doubles at most.
const MAX_PATIENCE_SHIFT: u32 = 4;
/// Most keys that are remembered as unsettled, which bounds the memory. The
/// oldest is forgotten first.
const MAX_UNSETTLED: usize = 4_096;
/// Time after which an unanswered write no longer counts as one that may be
/// carried out, in milliseconds: far longer than any connection holds it.
pub const MAX_UNSETTLED_MS: u64 = 600_000;

/// What a process knows of the store and of one key at a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreView {
    /// Whether the store counts as away; see
    /// [`StoreHealth::is_away`](super::store_health::StoreHealth::is_away).
    pub is_away: bool,
    /// Whether it is not known that the store answers; see
    /// [`StoreHealth::is_in_doubt`](super::store_health::StoreHealth::is_in_doubt).
    pub is_in_doubt: bool,
    /// Whether an earlier attempt to write the key may take effect.
    pub may_be_stored: bool,
    /// Whether there is another process to ask.
    pub has_peer: bool,
}

/// What to do next about a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the conditional write.
    Write,
    /// Read the key, which settles an unanswered write if the key exists.
    ReadBack,
    /// Ask another process to write.
    AskPeer,
    /// Wait until the store answers a call, until the peer answers, or until
    /// the time.
    Wait(Timestamp),
    /// Answer the caller.
    Finish(StoreOutcome),
}

/// The attempts to write one key for one caller.
#[derive(Clone, Debug)]
pub struct WriteAttempts {
    /// Until when a write that was not sent waits for the store.
    doubt_until: Timestamp,
    give_up_at: Timestamp,
    next_at: Timestamp,
    pause_ms: u64,
    refused_writes: u32,
    unanswered_writes: u32,
    reads_back: bool,
    has_asked_peer: bool,
    was_unknown: bool,
}

impl WriteAttempts {
    /// Returns the state before the first attempt, now, for a caller that is
    /// answered by `give_up_at`. `was_unknown` tells whether an attempt for an earlier
    /// request may take effect.
    pub fn new(now: Timestamp, give_up_at: Timestamp, was_unknown: bool) -> WriteAttempts {
        WriteAttempts {
            doubt_until: now.plus_ms(MAX_DOUBT_WAIT_MS).min(give_up_at),
            give_up_at,
            next_at: Timestamp::default(),
            pause_ms: RETRY_PAUSE_MS,
            refused_writes: 0,
            unanswered_writes: 0,
            reads_back: false,
            has_asked_peer: false,
            was_unknown,
        }
    }

    /// Returns the state as for a caller, on behalf of another process.
    pub fn for_peer(self, now: Timestamp) -> WriteAttempts {
        let doubt_until = now.plus_ms(MAX_PEER_DOUBT_WAIT_MS).min(self.give_up_at);
        WriteAttempts { doubt_until, ..self }
    }

    /// Returns what to do next. An outcome that is known is not held back, and
    /// one that is not is returned only when the caller's time has passed.
    pub fn next(&self, view: StoreView, now: Timestamp) -> NextStep {
        if self.give_up_at <= now {
            return NextStep::Finish(match view.may_be_stored {
                true => StoreOutcome::MayBeStored,
                false => StoreOutcome::NotStored,
            });
        }
        let is_refused = MAX_REFUSED_WRITES <= self.refused_writes;
        let has_waited = self.doubt_until <= now;
        let lacks_store = view.is_away || is_refused || (view.is_in_doubt && has_waited);
        let is_unanswered = view.is_in_doubt && view.may_be_stored;
        if (lacks_store || is_unanswered) && view.has_peer && !self.has_asked_peer {
            return NextStep::AskPeer;
        }
        if lacks_store && !view.may_be_stored {
            return NextStep::Finish(StoreOutcome::NotStored);
        }
        if view.is_in_doubt {
            return NextStep::Wait(if has_waited { self.give_up_at } else { self.doubt_until });
        }
        if now < self.next_at {
            return NextStep::Wait(self.next_at.min(self.give_up_at));
        }
        if self.reads_back && view.may_be_stored { NextStep::ReadBack } else { NextStep::Write }
    }

    /// Returns for how long the next write may be unanswered while the store
    /// answers other calls, in milliseconds. It grows, so that a store which is
    /// slow with writes only gets the time that it needs.
    pub fn patience_ms(&self) -> u64 {
        DOUBT_AFTER_MS << self.unanswered_writes.min(MAX_PATIENCE_SHIFT)
    }

    /// Records an attempt of this process that was not answered with an outcome.
    pub fn attempt_failed(&mut self, verdict: Verdict, now: Timestamp) {
        match verdict {
            Verdict::NotRun => self.refused_writes += 1,
            Verdict::Ran | Verdict::MayHaveRun => {
                self.unanswered_writes += 1;
                self.was_unknown = true;
            }
        }
        // Writes that are refused while reads are answered settle nothing.
        self.reads_back = verdict == Verdict::NotRun && !self.reads_back;
        self.next_at = now.plus_ms(self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
    }

    /// Records that the key was read and does not exist. A write that was sent
    /// may still be carried out.
    pub fn not_found(&mut self, now: Timestamp) {
        self.reads_back = false;
        self.next_at = now.plus_ms(self.pause_ms);
    }

    /// Records that another process was asked, or that it could not be.
    pub fn peer_asked(&mut self) {
        self.has_asked_peer = true;
    }

    /// Records that the peer does not know the outcome, or that its answer was
    /// lost.
    pub fn peer_unknown(&mut self) {
        self.was_unknown = true;
    }

    /// Returns how the write ended, for logs and metrics.
    pub fn end(&self, outcome: StoreOutcome) -> WriteEnd {
        match outcome {
            StoreOutcome::Stored | StoreOutcome::NoSuchSubmission if self.was_unknown => {
                WriteEnd::Settled
            }
            StoreOutcome::Stored | StoreOutcome::NoSuchSubmission => WriteEnd::Answered,
            StoreOutcome::NotStored if 0 < self.refused_writes => WriteEnd::Refused,
            StoreOutcome::NotStored => WriteEnd::NotSent,
            StoreOutcome::MayBeStored => WriteEnd::Unknown,
        }
    }
}

/// How a write for a caller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum WriteEnd {
    /// The store answered the first attempt that it may have carried out.
    Answered,
    /// An attempt was not answered, and a later one settled the outcome.
    Settled,
    /// No attempt left the process, since the store did not answer other calls.
    NotSent,
    /// The store refused each attempt, or could not be connected to.
    Refused,
    /// An attempt may have been or be carried out.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Unsettled {
    /// Number of attempts that may take effect.
    attempts: u32,
    since: Timestamp,
}

/// Keys with writes that may take effect: those that were sent and not
/// answered yet, or never.
#[derive(Clone, Debug, Default)]
pub struct UnsettledWrites {
    keys: HashMap<String, Unsettled>,
}

impl UnsettledWrites {
    /// Records that a write of a key is about to be sent.
    pub fn sent(&mut self, key: &str, now: Timestamp) {
        if MAX_UNSETTLED <= self.keys.len() && !self.keys.contains_key(key) {
            self.keys.retain(|_, it| now.ms_since(it.since) < MAX_UNSETTLED_MS);
            let oldest = self.keys.iter().min_by_key(|it| it.1.since).map(|it| it.0.clone());
            if MAX_UNSETTLED <= self.keys.len()
                && let Some(oldest) = oldest
            {
                self.keys.remove(&oldest);
            }
        }
        let entry = self.keys.entry(key.to_owned());
        let unsettled = entry.or_insert(Unsettled { attempts: 0, since: now });
        unsettled.attempts += 1;
        unsettled.since = now;
    }

    /// Records that one write of a key has not taken effect and will not.
    pub fn not_run(&mut self, key: &str) {
        if let Some(it) = self.keys.get_mut(key) {
            it.attempts -= 1;
            if it.attempts == 0 {
                self.keys.remove(key);
            }
        }
    }

    /// Records that it is known whether a key exists, with certainty that no
    /// write of it changes that.
    pub fn settled(&mut self, key: &str) {
        self.keys.remove(key);
    }

    /// Returns whether a write of a key may take effect.
    pub fn may_be_stored(&self, key: &str, now: Timestamp) -> bool {
        let since = self.keys.get(key).map(|it| it.since);
        since.is_some_and(|it| now.ms_since(it) < MAX_UNSETTLED_MS)
    }
}
