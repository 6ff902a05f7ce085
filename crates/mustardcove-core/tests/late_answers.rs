//! An answer counts from when it was asked for: a process that was paused may
//! report it long afterwards.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{listing, manifest, silent_poller, step, submission};
use mustardcove_core::{
    fleet::{
        id::{BootMillis, EndNumber, Incarnation, Term},
        message::{Order, PollResult, RunningTask, StartOrder, StartOutcome, WorkerReport},
        planner::{Planner, WorkerListing},
        poller::{ACK_VALID_MS, NextPoll, PollWait, WORKER_MAX_LEASE_MS, WorkerPoller},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};

/// A planner that has ordered a start, whose outcome it does not know.
struct Started {
    rig: Rig,
    worker: WorkerId,
    start: StartOrder,
}

impl Started {
    fn new() -> Started {
        let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
        rig.advance(1_000);
        rig.submit(submission(1, vec![step(1, 500, &[])], START));
        rig.planner.tick(rig.now);
        let order = rig.planner.take_actions().orders.pop();
        let Some((worker, Order::Start(start))) = order else { panic!("no start: {order:?}") };
        Started { rig, worker, start }
    }

    /// Reports the outcome of the start, which the poller had at `answered_at`.
    fn answer(&mut self, outcome: StartOutcome, answered_at: Timestamp) {
        let (task, run) = (self.start.task, self.start.run);
        let report = WorkerReport::Start { task, run, outcome, answered_at };
        self.rig.planner.report(&self.worker, report, self.rig.now);
    }

    /// Reports the answer to a poll that was asked for at `asked_at`, and lets
    /// the planner plan. Returns the orders.
    fn poll(&mut self, asked_at: Timestamp, lists_run: bool) -> Vec<Order> {
        let row = RunningTask {
            task: self.start.task,
            run: self.start.run,
            checkpoint: None,
            percent: 10,
            measurement: 0,
        };
        let poll = PollResult {
            incarnation: Incarnation(1),
            leases_expire_by: self.rig.now.plus_ms(4_000),
            responsive_since: START,
            asked_at,
            running: if lists_run { vec![row] } else { Vec::new() },
            ended: Vec::new(),
            may_lack_ends: false,
        };
        self.rig.planner.report(&self.worker, WorkerReport::Polled(poll), self.rig.now);
        self.plan()
    }

    fn plan(&mut self) -> Vec<Order> {
        self.rig.planner.tick(self.rig.now);
        let orders = self.rig.planner.take_actions().orders;
        orders.into_iter().map(|it| it.1).collect()
    }
}

fn is_start(order: &Order) -> bool {
    matches!(order, Order::Start(_))
}

/// Guards against a run that is given up, and started again beside itself,
/// because of polls that were asked for before the worker had begun it.
#[test]
fn asked_before_start() {
    let mut started = Started::new();
    let answered_at = started.rig.now.plus_ms(100);
    started.rig.advance(1_600);
    started.answer(StartOutcome::Started, answered_at);
    for asked_at in [answered_at.minus_ms(300), answered_at, answered_at] {
        assert_eq!(started.poll(asked_at, false), [], "asked for before the answer");
    }
    assert!(!started.poll(answered_at.plus_ms(1), false).iter().any(is_start));
    let orders = started.poll(answered_at.plus_ms(2), false);
    assert!(orders.iter().any(is_start), "two later polls do not list it: {orders:?}");
}

/// The order in which the reports of a poll and of a start arrive makes no
/// difference.
#[test]
fn any_order() {
    let mut started = Started::new();
    let answered_at = started.rig.now.plus_ms(100);
    started.rig.advance(200);
    assert_eq!(started.poll(answered_at.plus_ms(5), false), []);
    started.answer(StartOutcome::Started, answered_at);
    for asked_at in [answered_at.minus_ms(2), answered_at.minus_ms(1)] {
        assert_eq!(started.poll(asked_at, false), []);
    }
}

/// Guards against a start whose answer is read long after a poll has listed its
/// run: polls count from the first proof.
#[test]
fn listed_first() {
    let mut started = Started::new();
    let listed_at = started.rig.now.plus_ms(100);
    started.rig.advance(1_600);
    assert_eq!(started.poll(listed_at, true), []);
    started.answer(StartOutcome::Started, started.rig.now);
    assert_eq!(started.poll(listed_at, false), []);
    assert_eq!(started.poll(listed_at.minus_ms(1), false), []);
    assert!(!started.poll(listed_at.plus_ms(1), false).iter().any(is_start));
    assert!(started.poll(listed_at.plus_ms(2), false).iter().any(is_start));
}

/// Guards against a task that is started again because of polls that were asked
/// for before the worker had confirmed the stop of its unanswered start: that
/// start may have been carried out in between.
#[test]
fn asked_before_stop() {
    let mut started = Started::new();
    started.answer(StartOutcome::MayHaveRun, started.rig.now);
    assert!(matches!(started.plan()[..], [Order::Stop { .. }]));
    let answered_at = started.rig.now.plus_ms(100);
    started.rig.advance(500);
    let (task, run) = (started.start.task, started.start.run);
    let report = WorkerReport::Stop { task, run, is_confirmed: true, answered_at };
    started.rig.planner.report(&started.worker, report, started.rig.now);
    for asked_at in [answered_at.minus_ms(300), answered_at, answered_at] {
        assert_eq!(started.poll(asked_at, false), [], "asked for before the answer");
    }
    assert_eq!(started.poll(answered_at.plus_ms(1), false), []);
    assert!(started.poll(answered_at.plus_ms(2), false).iter().any(is_start));
}

/// Guards against the clock of one poller being compared with that of another,
/// which may be behind: all polls of the next one are later.
#[test]
fn next_poller() {
    let mut started = Started::new();
    started.answer(StartOutcome::Started, started.rig.now.plus_ms(60_000));
    let now = started.rig.now;
    started.rig.planner.poller_replaced(&started.worker, silent_poller(), now);
    started.rig.advance(500);
    assert!(!started.poll(Timestamp(1), false).iter().any(is_start));
    assert!(started.poll(Timestamp(2), false).iter().any(is_start));
}

/// Returns a poll of an incarnation that was asked for at `asked_at` and lists
/// these runs.
fn poll_of(incarnation: u64, asked_at: u64, running: &[RunningTask]) -> WorkerReport {
    WorkerReport::Polled(PollResult {
        incarnation: Incarnation(incarnation),
        leases_expire_by: START.plus_ms(60_000),
        responsive_since: START,
        asked_at: Timestamp(asked_at),
        running: running.to_vec(),
        ended: Vec::new(),
        may_lack_ends: false,
    })
}

/// A worker restarts under its id with an earlier time of birth. Guards against
/// answers that are reported late: whichever incarnation they are of, they do
/// not count after one to a poll that was asked for later.
#[test]
fn earlier_birth() {
    const FIRST: u64 = 9;
    const NEXT: u64 = 4;
    let now = START;
    let mut planner = Planner::new(Term(9), 1, manifest(3), now);
    let listed = listing("w0", 4_000, Incarnation(FIRST));
    let worker = listed.worker.clone();
    planner.update_workers(vec![listed.clone()], true);
    planner.report(&worker, poll_of(FIRST, 1_000, &[]), now);
    planner.submit(submission(1, vec![step(1, 500, &[])], now), true, now);
    planner.tick(now);
    let order = planner.take_actions().orders.pop();
    let Some((_, Order::Start(start))) = order else { panic!("no start: {order:?}") };
    let (task, run) = (start.task, start.run);
    let row = RunningTask { task, run, checkpoint: None, percent: 1, measurement: 0 };
    planner.report(&worker, poll_of(FIRST, 2_000, std::slice::from_ref(&row)), now);

    for asked_at in [900, 1_000, 2_000] {
        planner.report(&worker, poll_of(NEXT, asked_at, &[]), now);
        assert_eq!(planner.counts(now).placed_runs, 1, "asked for at {asked_at}");
        assert_eq!(planner.counts(now).worker_crashes, 0, "asked for at {asked_at}");
    }
    planner.report(&worker, poll_of(NEXT, 2_001, &[]), now);
    assert_eq!(planner.counts(now).placed_runs, 0, "the next incarnation lists nothing");
    assert_eq!(planner.counts(now).worker_crashes, 1);

    planner.report(&worker, poll_of(FIRST, 2_000, &[row]), now);
    planner.update_workers(vec![WorkerListing { incarnation: Incarnation(NEXT), ..listed }], true);
    assert_eq!(planner.counts(now).placed_runs, 0, "a late answer of what has ended");
    assert_eq!(planner.counts(now).worker_crashes, 1);
    assert_eq!(planner.counts(now).schedulable_workers, 1, "it is used again");

    // The clock of the next poller is behind.
    planner.poller_replaced(&worker, silent_poller(), now);
    planner.report(&worker, poll_of(NEXT - 1, 5, &[]), now);
    assert_eq!(planner.counts(now).worker_crashes, 2, "it answered the next poller");
    planner.report(&worker, poll_of(NEXT, 4, &[]), now);
    assert_eq!(planner.counts(now).worker_crashes, 2, "asked for before that");
}

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
