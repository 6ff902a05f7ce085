//! What a process tells a leader of the submissions that it has stored.

use std::sync::Arc;

use mustardcove_core::fleet::{
    id::{SubmissionId, Term},
    manifest::Queue,
    message::FleetMessage,
    submission::Submission,
};
use mustardcove_node::outbox::Outbox;

fn submission() -> Arc<Submission> {
    Arc::new(Submission {
        id: SubmissionId(7),
        queue: Queue::default(),
        payload: "payload".into(),
        steps: Vec::new(),
        schedule: None,
        accepted_at: Default::default(),
        manifest: Default::default(),
    })
}

fn may_have_started(outbox: &Outbox, term: Term) -> bool {
    match outbox.messages(term).as_slice() {
        [FleetMessage::Submitted(it)] => it[0].may_have_started,
        other => panic!("one message is expected: {other:?}"),
    }
}

/// Guards against a submission that counts as not started although it was
/// written before the present leader's term, so that another process may have
/// told the leader before.
#[test]
fn written_before() {
    let outbox = Outbox::default();
    outbox.add_submission(submission(), Some(Term(4)));
    assert!(may_have_started(&outbox, Term(5)));
    assert!(!may_have_started(&outbox, Term(4)));
}

/// Guards against the same for one that was found in the store.
#[test]
fn found_stored() {
    let outbox = Outbox::default();
    outbox.add_submission(submission(), None);
    assert!(may_have_started(&outbox, Term(4)));
}
