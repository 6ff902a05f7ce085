//! When a leader that lacks the store asks for a successor.
//!
//! Load pattern: the store refuses the leader's machine, or leaves it without
//! answers, while other processes reach it. All of them obey the leader, which
//! therefore keeps its right to lead, but it can store nothing: no end is
//! acknowledged and no final state shown.
//!
//! That others read from the store does not show that they could write there,
//! and a leader that ended its term because of it would leave the fleet without
//! one while the store refuses every write. So the leader only asks processes
//! that reach the store to claim the leadership, and goes on until a successor
//! is heard. A claim is a read and a write: it succeeds only for a process that
//! can do both, and otherwise changes nothing.
//!
//! A change of the leader costs starts. Where the store fails one process after
//! the other, or serves claims and refuses what leaders write, such changes are
//! therefore a minute apart.

use strum::{Display, IntoStaticStr};

use crate::time::Timestamp;

/// Time from the first of several failed calls, none of them answered, to the
/// request for a successor, in milliseconds: several timeouts of a call, and
/// longer than other processes count as reaching a store that has failed for
/// everybody.
pub const LACKING_AFTER_MS: u64 = 5_000;
/// Age up to which the last failure shows that calls still fail, in
/// milliseconds: longer than a call with its timeout and the pause before it.
/// The leader does not write while there is nothing to store.
const RECENT_FAILURE_MS: u64 = 3_000;
/// Time between two requests in one term, in milliseconds: the claims that
/// follow from one have ended by then.
pub const REPEAT_MS: u64 = 10_000;
/// Shortest time from the request of one leader to that of the next, in
/// milliseconds.
pub const MIN_CHANGE_INTERVAL_MS: u64 = 60_000;

/// A kind of call to the store; it may serve one and refuse the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreCall {
    /// Reads a key or several.
    Read,
    /// A conditional write.
    Write,
}

/// The calls of one kind that have failed since the last answer.
#[derive(Clone, Copy, Debug)]
struct Failures {
    first_at: Timestamp,
    last_at: Timestamp,
}

/// What the calls of one leader show of the store, and when it may ask for a
/// successor.
#[derive(Clone, Copy, Debug)]
pub struct Succession {
    reads: Option<Failures>,
    writes: Option<Failures>,
    /// No successor is asked for before this time.
    ask_from: Timestamp,
}

impl Succession {
    /// Returns the state of a new leader. `asked_at` is when its process last
    /// asked for a successor or was asked to be one.
    pub fn new(asked_at: Option<Timestamp>) -> Succession {
        let ask_from = asked_at.map(|it| it.plus_ms(MIN_CHANGE_INTERVAL_MS)).unwrap_or_default();
        Succession { reads: None, writes: None, ask_from }
    }

    fn failures_mut(&mut self, call: StoreCall) -> &mut Option<Failures> {
        match call {
            StoreCall::Read => &mut self.reads,
            StoreCall::Write => &mut self.writes,
        }
    }

    /// Records that the store answered a call.
    pub fn record_answer(&mut self, call: StoreCall) {
        *self.failures_mut(call) = None;
    }

    /// Records a call that was refused or not answered.
    pub fn record_failure(&mut self, call: StoreCall, now: Timestamp) {
        let failures = self.failures_mut(call);
        let first_at = failures.map_or(now, |it| it.first_at);
        *failures = Some(Failures { first_at, last_at: now });
    }

    /// Returns what the leader lacks if it has to ask for a successor now, and
    /// records that it does. `is_reached_by_others` states that other processes
    /// reached the store recently.
    pub fn take_request(
        &mut self,
        is_reached_by_others: bool,
        now: Timestamp,
    ) -> Option<StoreCall> {
        let is_lacking = |failures: Option<Failures>| {
            failures.is_some_and(|it| {
                LACKING_AFTER_MS <= now.ms_since(it.first_at)
                    && now.ms_since(it.last_at) < RECENT_FAILURE_MS
            })
        };
        let call = match (is_lacking(self.reads), is_lacking(self.writes)) {
            (true, _) => StoreCall::Read,
            (false, true) => StoreCall::Write,
            (false, false) => return None,
        };
        if !is_reached_by_others || now < self.ask_from {
            return None;
        }
        self.ask_from = now.plus_ms(REPEAT_MS);
        Some(call)
    }
}
