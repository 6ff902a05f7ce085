//! States that a process shows to callers.

use mustardcove_core::fleet::{
    answers::Answers,
    id::{SubmissionId, Term},
    submission::SubmissionState::{Completed, Queued, Running},
};

const ID: SubmissionId = SubmissionId(1);

/// Guards against a state that goes back: a new leader shows work as waiting
/// until it has found what runs.
#[test]
fn never_back() {
    let mut answers = Answers::default();
    answers.apply(Term(1), &[(ID, Running)]);
    answers.apply(Term(2), &[(ID, Queued)]);
    assert_eq!(answers.state(ID), Some(Running));
    answers.apply(Term(2), &[(ID, Completed)]);
    answers.apply(Term(2), &[(ID, Running)]);
    assert_eq!(answers.state(ID), Some(Completed));
}

/// What an earlier leader sends late is ignored.
#[test]
fn earlier_term() {
    let mut answers = Answers::default();
    answers.apply(Term(2), &[(ID, Queued)]);
    answers.apply(Term(1), &[(ID, Running)]);
    assert_eq!(answers.state(ID), Some(Queued));
}
