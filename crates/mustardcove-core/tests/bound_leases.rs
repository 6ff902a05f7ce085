//! What is meant for one incarnation of a worker, and the connections that lead to
//! it.

use mustardcove_core::{
    fleet::{
        id::{BootMillis, EndNumber, Incarnation},
        poller::{NextPoll, PollWait, WorkerPoller},
    },
    id::ConnectionNumber,
    time::Timestamp,
};

const START: Timestamp = Timestamp(1_000_000);

fn next_poll(poller: &mut WorkerPoller, ms: u64) -> NextPoll {
    let now = START.plus_ms(ms);
    poller.next_poll(true, now, BootMillis(now.0))
}

/// Returns the poller of a worker with runs that answered over a connection.
fn poller() -> WorkerPoller {
    let mut poller = WorkerPoller::default();
    next_poll(&mut poller, 0);
    let answered = poller.poll_answered(Incarnation(1), 60_000, true, START);
    poller.confirm(Some(answered.responsive_since));
    assert!(poller.answered_over(Incarnation(1), ConnectionNumber(3)));
    poller
}

/// Guards against leases and acknowledgements that reach an incarnation for which
/// they are not meant.
#[test]
fn bound_polls() {
    let mut poller = poller();
    let extends = next_poll(&mut poller, 100);
    assert!(extends.lease_until.is_some());
    assert!(extends.is_bound());
    assert_eq!(poller.connections().through(), ConnectionNumber(3));
    let unbound = poller.without_binding().expect("a poll is out");
    assert_eq!(unbound.lease_until, None);
    assert_eq!(unbound.acknowledge_through, EndNumber::default());
    assert_eq!((unbound.wait, unbound.is_bound()), (PollWait::None, false));
    poller.poll_answered(Incarnation(1), 60_100, false, START.plus_ms(110));
    poller.acknowledge_ends(Incarnation(1), EndNumber(5));
    let acknowledges = next_poll(&mut poller, 200);
    assert_eq!(acknowledges.acknowledge_through, EndNumber(5));
    assert!(acknowledges.is_bound());
    assert_eq!(poller.connections().through(), ConnectionNumber(3));
}

/// Guards against starts over connections to the next incarnation with a lease by
/// the clock of the earlier one.
#[test]
fn next_incarnation() {
    let mut poller = poller();
    next_poll(&mut poller, 100);
    assert!(!poller.answered_over(Incarnation(2), ConnectionNumber(4)));
    assert_eq!(poller.connections().through(), ConnectionNumber(3));
    let now = START.plus_ms(500);
    assert!(poller.asked_beside(Some(Incarnation(1)), now, BootMillis(now.0)));
    poller.poll_answered(Incarnation(2), 200, false, now);
    assert!(!poller.is_polled(), "the answer to the poll before is late");
    assert_eq!(poller.connections().through(), ConnectionNumber(0));
    assert!(poller.answered_over(Incarnation(2), ConnectionNumber(4)));
    assert_eq!(poller.connections().through(), ConnectionNumber(4));
    assert!(poller.grant_start_lease(now).is_some_and(|it| it < 5_000), "by the new clock");
}

/// Guards against an answer of the earlier incarnation that is handled after one of
/// the next, and would put its clock in force again.
#[test]
fn late_identity() {
    let mut poller = poller();
    let known = poller.incarnation();
    next_poll(&mut poller, 500);
    let now = START.plus_ms(600);
    poller.poll_answered(Incarnation(2), 50, false, now);
    assert!(!poller.answered_over(Incarnation(1), ConnectionNumber(4)));
    assert!(!poller.asked_beside(known, START.plus_ms(100), BootMillis(START.0 + 100)));
    assert_eq!(poller.incarnation(), Some(Incarnation(2)));
}

/// Guards against a number of connections that goes back with a late answer.
#[test]
fn late_answer() {
    let mut poller = poller();
    assert!(poller.answered_over(Incarnation(1), ConnectionNumber(2)));
    assert_eq!(poller.connections().through(), ConnectionNumber(3));
}

/// Guards against calls that wait for a connection and then close one that was
/// found meanwhile to be theirs, and against those that use one of the next
/// incarnation.
#[test]
fn raised_meanwhile() {
    let mut poller = poller();
    let known = poller.connections();
    poller.answered_over(Incarnation(1), ConnectionNumber(8));
    assert_eq!(known.through(), ConnectionNumber(8));
    next_poll(&mut poller, 100);
    poller.poll_answered(Incarnation(2), 50, false, START.plus_ms(200));
    poller.answered_over(Incarnation(2), ConnectionNumber(9));
    assert_eq!(known.through(), ConnectionNumber(8), "they lead to the earlier one");
}
