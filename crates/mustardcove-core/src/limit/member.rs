use crate::{
    id::ProcessId,
    time::{Timestamp, earliest},
};

/// The part of every member's limit that one entry process may use.
///
/// Each member's limit is split evenly over the live entry processes. A
/// process that sees more processes than before uses the smaller part at once;
/// one that sees fewer waits until every other process must have seen the same
/// before it uses the larger part. While every process learns of a change
/// within the hold, the parts in use never add up to more than the limit.
///
/// Requests that were admitted under a larger part are not aborted, so the
/// requests in flight may exceed a part until they have ended.
#[derive(Clone, Debug)]
pub struct EntryShare {
    process: ProcessId,
    hold_ms: u64,
    in_use: Split,
    seen: Split,
    grows_at: Option<Timestamp>,
}

/// One of `count` even parts; the first `limit % count` parts are one larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Split {
    count: u32,
    rank: u32,
}

impl Split {
    /// Part of a process that must not admit anything yet.
    const NONE: Split = Split { count: u32::MAX, rank: u32::MAX };

    fn part_of(self, limit: u32) -> u32 {
        if self == Split::NONE {
            return 0;
        }
        limit / self.count + u32::from(self.rank < limit % self.count)
    }

    /// Reports whether this part is at most `other` for every limit.
    fn is_never_more_than(self, other: Split) -> bool {
        if self == Split::NONE {
            return true;
        }
        other.count <= self.count && other.rank <= self.rank
    }

    /// Returns a part that is at most either of the two for every limit.
    fn lower_bound(self, other: Split) -> Split {
        if self == Split::NONE || other == Split::NONE {
            return Split::NONE;
        }
        Split { count: self.count.max(other.count), rank: self.rank.max(other.rank) }
    }
}

impl EntryShare {
    /// Returns the share of a process that has not yet seen any process,
    /// itself included; `hold_ms` is the longest time in which every process
    /// learns of a change.
    pub fn new(process: ProcessId, hold_ms: u64) -> EntryShare {
        EntryShare { process, hold_ms, in_use: Split::NONE, seen: Split::NONE, grows_at: None }
    }

    /// Records the live entry processes.
    pub fn on_processes(&mut self, now: Timestamp, live: &[ProcessId]) {
        let rank = live.iter().filter(|it| **it < self.process).count() as u32;
        // The list may lag behind this process's own start.
        let listed = live.contains(&self.process);
        let count = live.len() as u32 + u32::from(!listed);
        let seen = Split { count, rank };
        if seen == self.seen {
            self.on_tick(now);
            return;
        }
        self.seen = seen;
        if seen.is_never_more_than(self.in_use) {
            self.in_use = seen;
            self.grows_at = None;
        } else {
            self.in_use = self.in_use.lower_bound(seen);
            self.grows_at = Some(now.plus_ms(self.hold_ms));
        }
    }

    /// Takes the larger part into use once the hold has passed.
    pub fn on_tick(&mut self, now: Timestamp) {
        if self.grows_at.is_some_and(|it| it <= now) {
            self.in_use = self.seen;
            self.grows_at = None;
        }
    }

    /// Returns when the next tick is due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        earliest(self.grows_at, None)
    }

    /// Returns this process's part of a limit.
    pub fn part_of(&self, limit: u32) -> u32 {
        self.in_use.part_of(limit)
    }

    /// Reports whether this process may admit anything yet.
    pub fn is_ready(&self) -> bool {
        self.in_use != Split::NONE
    }
}

/// Requests of one member in flight at one entry process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberLimit {
    in_flight: u32,
}

impl MemberLimit {
    /// Admits a request if fewer than `part` are in flight.
    pub fn try_begin(&mut self, part: u32) -> bool {
        if part <= self.in_flight {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Records the end of an admitted request.
    ///
    /// # Panics
    ///
    /// Panics if no request is in flight.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.checked_sub(1).expect("no request is in flight");
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
