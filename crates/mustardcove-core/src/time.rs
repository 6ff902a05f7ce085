//! Points in time.
//!
//! The core never reads a clock. Drivers pass a [`Timestamp`] that never steps
//! back within a process: wall time taken once at start, plus monotonic time
//! since. Deadlines are stored rather than durations, so that a value keeps
//! its meaning when it is handled late; see `docs/design.md`, section 2.2.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Largest difference assumed between the clocks of two processes, in
/// milliseconds.
pub const MAX_CLOCK_ERROR_MS: u64 = 500;

/// A point in time, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// A point in time after every other.
    pub const MAX: Timestamp = Timestamp(u64::MAX);

    /// Returns the point `ms` milliseconds later, limited to [`Timestamp::MAX`].
    pub fn plus_ms(self, ms: u64) -> Timestamp {
        Timestamp(self.0.saturating_add(ms))
    }

    /// Returns the point `ms` milliseconds earlier, limited to the epoch.
    pub fn minus_ms(self, ms: u64) -> Timestamp {
        Timestamp(self.0.saturating_sub(ms))
    }

    /// Returns the milliseconds since `earlier`, or zero if it is later than
    /// this point.
    pub fn ms_since(self, earlier: Timestamp) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds until `deadline`, or zero if it has passed.
    pub fn ms_until(self, deadline: Timestamp) -> u64 {
        deadline.0.saturating_sub(self.0)
    }
}

/// Converts points in time from the clock of a message's sender to that of its
/// receiver.
///
/// The time that the message was under way is not known and counts as none, so
/// a converted point is too late by as much and never too early.
#[derive(Clone, Copy, Debug)]
pub struct ClockShift {
    sent_at: Timestamp,
    received_at: Timestamp,
}

impl ClockShift {
    /// Returns the conversion for a message that was sent at `sent_at` on the
    /// sender's clock, and handled at `received_at` on the receiver's.
    pub fn new(sent_at: Timestamp, received_at: Timestamp) -> ClockShift {
        ClockShift { sent_at, received_at }
    }

    /// Returns a point in time on the receiver's clock. One that had passed when
    /// the message was sent stays in the past.
    pub fn to_local(self, time: Timestamp) -> Timestamp {
        if time < self.sent_at {
            self.received_at.minus_ms(self.sent_at.ms_since(time))
        } else {
            self.received_at.plus_ms(time.ms_since(self.sent_at))
        }
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Timestamp {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Timestamp)
    }
}

/// Returns the earlier of two optional deadlines.
pub fn earliest(lhs: Option<Timestamp>, rhs: Option<Timestamp>) -> Option<Timestamp> {
    match (lhs, rhs) {
        (Some(lhs), Some(rhs)) => Some(lhs.min(rhs)),
        (deadline, None) | (None, deadline) => deadline,
    }
}
