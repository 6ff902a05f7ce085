use crate::{
    id::ProcessId,
    time::{Timestamp, earliest},
};

/// The part of every member's limit that one entry process may use.
///
/// Each member's limit is divided evenly among the live entry processes. A
/// process that sees more processes than before uses the smaller part at once.
/// A process that sees fewer uses the larger part only after a hold time, the
/// longest time in which every other process learns of the change. As long as
/// every process does so within the hold time, the parts in use never add up to
/// more than the limit.
///
/// Requests that were admitted under a larger part are not aborted, so the
/// requests in flight may exceed the part until they have ended.
#[derive(Clone, Debug)]
pub struct EntryShare {
    process: ProcessId,
    hold_ms: u64,
    in_use: LimitPart,
    latest: LimitPart,
    grows_at: Option<Timestamp>,
}

/// One of `count` even parts of a limit; the first `limit % count` parts are
/// larger by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LimitPart {
    count: u32,
    rank: u32,
}

impl LimitPart {
    /// Part of a process that must not admit any request yet.
    const NONE: LimitPart = LimitPart { count: u32::MAX, rank: u32::MAX };

    fn part_of(self, limit: u32) -> u32 {
        if self == LimitPart::NONE {
            return 0;
        }
        limit / self.count + u32::from(self.rank < limit % self.count)
    }

    /// Reports whether this part is at most as large as `other` for every limit.
    fn is_at_most(self, other: LimitPart) -> bool {
        if self == LimitPart::NONE {
            return true;
        }
        other.count <= self.count && other.rank <= self.rank
    }

    /// Returns a part that is at most as large as either part for every limit.
    fn lower_bound(self, other: LimitPart) -> LimitPart {
        if self == LimitPart::NONE || other == LimitPart::NONE {
            return LimitPart::NONE;
        }
        LimitPart { count: self.count.max(other.count), rank: self.rank.max(other.rank) }
    }
}

impl EntryShare {
    /// Returns the share of a process that has not yet seen any process,
    /// itself included; `hold_ms` is the longest time in which every process
    /// learns of a change.
    pub fn new(process: ProcessId, hold_ms: u64) -> EntryShare {
        EntryShare {
            process,
            hold_ms,
            in_use: LimitPart::NONE,
            latest: LimitPart::NONE,
            grows_at: None,
        }
    }

    /// Records the live entry processes.
    pub fn on_processes(&mut self, now: Timestamp, live: &[ProcessId]) {
        let rank = live.iter().filter(|it| **it < self.process).count() as u32;
        // The list may not contain this process yet.
        let listed = live.contains(&self.process);
        let count = live.len() as u32 + u32::from(!listed);
        let latest = LimitPart { count, rank };
        if latest == self.latest {
            self.on_tick(now);
            return;
        }
        self.latest = latest;
        if latest.is_at_most(self.in_use) {
            self.in_use = latest;
            self.grows_at = None;
        } else {
            self.in_use = self.in_use.lower_bound(latest);
            self.grows_at = Some(now.plus_ms(self.hold_ms));
        }
    }

    /// Uses the larger part once the hold time has passed.
    pub fn on_tick(&mut self, now: Timestamp) {
        if self.grows_at.is_some_and(|it| it <= now) {
            self.in_use = self.latest;
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

    /// Reports whether this process may admit requests yet.
    pub fn is_ready(&self) -> bool {
        self.in_use != LimitPart::NONE
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
