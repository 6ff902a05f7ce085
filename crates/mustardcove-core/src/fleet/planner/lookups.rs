//! Submissions that workers run or ran and the plan does not contain, which are
//! to be read from the store.
//!
//! A worker may list any number of them, so readings are spread over time: the
//! store refuses what exceeds its rate, work records included.

use std::collections::{BTreeSet, VecDeque};

use crate::{fleet::id::SubmissionId, time::Timestamp};

/// Most readings that begin in one interval.
const MAX_LOOKUPS: usize = 32;
/// Length of that interval, in milliseconds.
const LOOKUP_INTERVAL_MS: u64 = 200;

/// The submissions to read.
#[derive(Clone, Debug, Default)]
pub(super) struct Lookups {
    /// Those that are not resolved yet.
    wanted: BTreeSet<SubmissionId>,
    /// Those of them whose reading has not begun.
    queue: VecDeque<SubmissionId>,
    /// When the present interval ends, and how many readings have begun in it.
    interval_ends_at: Timestamp,
    begun: usize,
}

impl Lookups {
    /// Adds a submission unless it is being read already.
    pub(super) fn request(&mut self, id: SubmissionId) {
        if self.wanted.insert(id) {
            self.queue.push_back(id);
        }
    }

    /// Records that a submission was read, or is in the plan.
    pub(super) fn resolved(&mut self, id: SubmissionId) {
        if self.wanted.remove(&id) {
            self.queue.retain(|it| *it != id);
        }
    }

    /// Takes the submissions whose reading begins now.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<SubmissionId> {
        if self.interval_ends_at <= now {
            self.interval_ends_at = now.plus_ms(LOOKUP_INTERVAL_MS);
            self.begun = 0;
        }
        let due = self.queue.len().min(MAX_LOOKUPS - self.begun);
        self.begun += due;
        self.queue.drain(..due).collect()
    }
}
