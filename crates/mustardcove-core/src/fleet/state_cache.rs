//! Cache of submission states, from which every process answers callers.
//!
//! The leader sends changes; a process reads the store only for a submission
//! that is not in the cache. A state never goes back: a new leader publishes
//! work as queued until it has found what runs.

use std::collections::HashMap;

use super::{
    id::{SubmissionId, Term},
    submission::SubmissionState,
};

/// The newest state of each submission that this process has learned of.
#[derive(Debug, Default)]
pub struct StateCache {
    term: Term,
    states: HashMap<SubmissionId, SubmissionState>,
}

impl StateCache {
    /// Applies states from the leader of a term; those of an older term are
    /// ignored.
    pub fn apply(&mut self, term: Term, states: &[(SubmissionId, SubmissionState)]) {
        if term < self.term {
            return;
        }
        self.term = term;
        for (id, state) in states {
            self.record(*id, *state);
        }
    }

    /// Records a state, unless it would go back.
    pub fn record(&mut self, id: SubmissionId, state: SubmissionState) {
        let known = self.states.entry(id).or_insert(state);
        let goes_back = known.is_final()
            || (*known == SubmissionState::Running && state == SubmissionState::Queued);
        if !goes_back {
            *known = state;
        }
    }

    /// Returns the state of a submission, if it is in the cache.
    pub fn state(&self, id: SubmissionId) -> Option<SubmissionState> {
        self.states.get(&id).copied()
    }

    /// Returns the number of submissions in the cache.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
