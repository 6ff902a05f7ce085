//! The states of submissions with which a process answers callers.

use mustardcove_core::fleet::{
    id::{SubmissionId, Term},
    state_cache::StateCache,
    submission::SubmissionState::{Completed, Queued, Running},
};

const ID: SubmissionId = SubmissionId(1);

/// Guards against a state that goes back: a new leader publishes work as
/// queued until it has found what runs.
#[test]
fn never_back() {
    let mut state_cache = StateCache::default();
    state_cache.apply(Term(1), &[(ID, Running)]);
    state_cache.apply(Term(2), &[(ID, Queued)]);
    assert_eq!(state_cache.state(ID), Some(Running));
    state_cache.apply(Term(2), &[(ID, Completed)]);
    state_cache.apply(Term(2), &[(ID, Running)]);
    assert_eq!(state_cache.state(ID), Some(Completed));
}

/// Guards against delayed states from an earlier leader that replace those of
/// the current one.
#[test]
fn earlier_term() {
    let mut state_cache = StateCache::default();
    state_cache.apply(Term(2), &[(ID, Queued)]);
    state_cache.apply(Term(1), &[(ID, Running)]);
    assert_eq!(state_cache.state(ID), Some(Queued));
}
