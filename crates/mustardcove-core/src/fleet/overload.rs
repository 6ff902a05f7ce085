//! Load of the pools, as the leader reports it for admission under overload.
//!
//! See `docs/design/admission.md`.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    size::Millicores,
    time::{ClockShift, Timestamp},
};

/// The load of one pool, as new work of one priority sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The pool's name.
    pub service: String,
    /// The priority; 0 comes first.
    pub priority: u8,
    /// Until when new work of that priority waits, which is its backlog over the
    /// measured rate; in the past if it does not wait.
    pub wait_until: Timestamp,
    /// Whether there is less room than work.
    pub is_overloaded: bool,
    /// Processors that new work of that priority could use now.
    pub free_millicores: Millicores,
    /// Processors' worth of work of that priority that the pool completes.
    pub rate_millicores: Millicores,
    /// What is promised to callers that were told to come back. Filled in by the
    /// leader task, not by the planner.
    pub promised: WorkAmount,
}

/// An amount of work: thousandths of a core times milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WorkAmount(pub u64);

/// The load of all pools, from the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// One entry for each pool and priority with work in the last seconds.
    pub pools: Vec<PoolLoad>,
}

impl LoadReport {
    /// Converts points in time to the receiver's clock.
    pub fn to_local(mut self, shift: ClockShift) -> LoadReport {
        for it in &mut self.pools {
            it.wait_until = shift.to_local(it.wait_until);
        }
        self
    }

    /// Returns the load of a pool for a priority.
    pub fn find(&self, service: &str, priority: u8) -> Option<&PoolLoad> {
        self.pools.iter().find(|it| it.service == service && it.priority == priority)
    }
}

impl fmt::Display for WorkAmount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for WorkAmount {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<WorkAmount, ParseIntError> {
        text.parse().map(WorkAmount)
    }
}

impl WorkAmount {
    /// Returns the sum of two amounts, limited to the largest.
    pub fn plus(self, other: WorkAmount) -> WorkAmount {
        WorkAmount(self.0.saturating_add(other.0))
    }

    /// Returns how long a pool takes for it, in milliseconds; `None` if the pool
    /// completes nothing.
    pub fn ms_at(self, rate: Millicores) -> Option<u64> {
        self.0.checked_div(rate.0)
    }
}
