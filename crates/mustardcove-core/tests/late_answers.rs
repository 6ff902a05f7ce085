//! An answer counts from when it was asked for: a process that was paused may
//! report it long afterwards.

use mustardcove_core::{
    fleet::{
        id::{BootMillis, EndNumber, Incarnation},
        poller::{ACK_VALID_MS, NextPoll, PollWait, WORKER_MAX_LEASE_MS, WorkerPoller},
    },
    time::Timestamp,
};

const START: Timestamp = Timestamp(50_000);

/// Guards against a lease on the clock of an earlier incarnation that is
/// forgotten because the first answer of the next one was handled late: that
/// incarnation then seemed to have begun long after the lease was granted.
#[test]
fn late_restart() {
    let mut poller = WorkerPoller::default();
    poller.poll_answered(Incarnation(1), 60_000, false, START);
    let lease_until = poller.grant_start_lease(START.plus_ms(350)).expect("a lease");
    poll(&mut poller, START.plus_ms(400));
    let (clock_ms, now) = (100, START.plus_ms(2_400));
    let held_until = lease_until.min(clock_ms + WORKER_MAX_LEASE_MS);
    let expires_at = now.plus_ms(held_until - clock_ms);
    let answered = poller.poll_answered(Incarnation(2), clock_ms, true, now);
    assert!(expires_at <= answered.leases_expire_by);
}

fn poll(poller: &mut WorkerPoller, now: Timestamp) -> NextPoll {
    poller.next_poll(true, now, BootMillis(now.0))
}

/// Returns the poller of a worker with ends to acknowledge, whose last poll was
/// asked for at [`START`] and answered `ms` later by both clocks.
fn polled_for(clock_ms: u64, ms: u64) -> (WorkerPoller, Timestamp) {
    let mut poller = WorkerPoller::default();
    let first = START.minus_ms(300);
    poll(&mut poller, first);
    let status = poller.poll_answered(Incarnation(1), 60_000, false, first);
    poller.confirm(Some(status.responsive_since));
    poll(&mut poller, START);
    let now = START.plus_ms(ms);
    poller.poll_answered(Incarnation(1), 60_300 + clock_ms, false, now);
    poller.acknowledge_ends(Incarnation(1), EndNumber(7));
    (poller, now)
}

/// Guards against acknowledging ends of a worker's next incarnation by the
/// numbers of an earlier one, whose answer was read after a pause: the worker
/// may have restarted since.
#[test]
fn late_acknowledged() {
    let (mut poller, now) = polled_for(20, 1_900);
    let next = poll(&mut poller, now);
    assert_eq!(next.acknowledge_through, EndNumber(0));
    assert_eq!(next.wait, PollWait::None, "its answer may be recent enough");
    let answered_at = now.plus_ms(10);
    poller.poll_answered(Incarnation(1), 62_210, false, answered_at);
    let next = poll(&mut poller, answered_at.plus_ms(210));
    assert_eq!(next.acknowledge_through, EndNumber(7));
    assert!(next.send_by <= answered_at.plus_ms(ACK_VALID_MS), "a pause before it is sent");
    let unsent = poller.without_acknowledgement(next).expect("the poll without it");
    assert_eq!(unsent.acknowledge_through, EndNumber(0));
    assert_eq!((unsent.lease_until, unsent.wait), (next.lease_until, next.wait));
    poller.poll_answered(Incarnation(1), 62_430, false, answered_at.plus_ms(220));
    let next = poll(&mut poller, answered_at.plus_ms(430));
    assert_eq!(next.acknowledge_through, EndNumber(7), "it was not acknowledged");
    poller.poll_answered(Incarnation(1), 62_650, false, answered_at.plus_ms(440));
    let next = poll(&mut poller, answered_at.plus_ms(650));
    assert_eq!(next.wait, PollWait::Idle, "nothing is left to acknowledge");
}

/// The time for which a worker holds a poll does not delay acknowledgements.
#[test]
fn held_acknowledged() {
    let (mut poller, now) = polled_for(2_000, 2_020);
    assert_eq!(poll(&mut poller, now).acknowledge_through, EndNumber(7));
}

/// Guards against acknowledgements after the machine was suspended, which the
/// process's clock does not show.
#[test]
fn suspended() {
    let (mut poller, now) = polled_for(10, 20);
    let woken_at = BootMillis(now.0 + ACK_VALID_MS);
    assert_eq!(poller.next_poll(true, now, woken_at).acknowledge_through, EndNumber(0));
}
