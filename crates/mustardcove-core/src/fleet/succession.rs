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
//! A change of the leader costs starts for a second or two, and more if a process
//! with less processor time or in another region takes over. A leader therefore
//! waits for longer than the store refuses single machines as a rule, and asks the
//! strongest process of its region first. Only if that does not lead by the next
//! request are all asked. Where the store fails one process after the other, or
//! serves claims and refuses what leaders write, such changes are a minute apart.

use strum::{Display, IntoStaticStr};

use crate::{id::ProcessId, time::Timestamp};

/// Time from the first of several failed calls, none of them answered, to the
/// request for a successor, in milliseconds: many timeouts of a call, and longer
/// than other processes count as reaching a store that has failed for everybody.
/// With 5 s, a change often came just before the store was back.
pub const LACKING_AFTER_MS: u64 = 10_000;
/// Least share of a processor of the process that is asked first, in percent of
/// the leader's.
const MIN_CPU_PERCENT: f64 = 80.0;
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

/// A process that reaches the store and may be asked to lead.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The process.
    pub process: ProcessId,
    /// Whether it is in the leader's region.
    pub is_same_region: bool,
    /// Its share of a processor.
    pub cpu_share: f64,
}

/// A request for a successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// What the store does not answer.
    pub lacks: StoreCall,
    /// The processes that are asked.
    pub asked: Vec<ProcessId>,
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
    /// Whether this leader has asked before.
    has_asked: bool,
}

impl Succession {
    /// Returns the state of a new leader. `asked_at` is when its process last
    /// asked for a successor or was asked to be one.
    pub fn new(asked_at: Option<Timestamp>) -> Succession {
        let ask_from = asked_at.map(|it| it.plus_ms(MIN_CHANGE_INTERVAL_MS)).unwrap_or_default();
        Succession { reads: None, writes: None, ask_from, has_asked: false }
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

    /// Returns whether the leader lacks the store.
    pub fn is_lacking(&self, now: Timestamp) -> bool {
        self.lacked_call(now).is_some()
    }

    fn lacked_call(&self, now: Timestamp) -> Option<StoreCall> {
        let is_lacking = |failures: Option<Failures>| {
            failures.is_some_and(|it| {
                LACKING_AFTER_MS <= now.ms_since(it.first_at)
                    && now.ms_since(it.last_at) < RECENT_FAILURE_MS
            })
        };
        match (is_lacking(self.reads), is_lacking(self.writes)) {
            (true, _) => Some(StoreCall::Read),
            (false, true) => Some(StoreCall::Write),
            (false, false) => None,
        }
    }

    /// Returns whom a leader with a share of a processor has to ask now, and records
    /// that it does. `candidates` are the other processes that reached the store
    /// recently.
    pub fn take_request(
        &mut self,
        candidates: &[Candidate],
        own_cpu_share: f64,
        now: Timestamp,
    ) -> Option<Request> {
        let lacks = self.lacked_call(now)?;
        if candidates.is_empty() || now < self.ask_from {
            return None;
        }
        let is_first = !std::mem::replace(&mut self.has_asked, true);
        self.ask_from = now.plus_ms(REPEAT_MS);
        let least = own_cpu_share * MIN_CPU_PERCENT / 100.0;
        let strong = candidates.iter().filter(|it| it.is_same_region && least <= it.cpu_share);
        let strongest = strong.max_by(|lhs, rhs| lhs.cpu_share.total_cmp(&rhs.cpu_share));
        let asked = match strongest.filter(|_| is_first) {
            Some(it) => vec![it.process.clone()],
            None if is_first => return None,
            None => candidates.iter().map(|it| it.process.clone()).collect(),
        };
        Some(Request { lacks, asked })
    }
}
