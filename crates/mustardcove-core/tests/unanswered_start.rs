//! The time from a start without an answer to the next start of its task.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{BootMillis, Incarnation, Term},
        message::{Order, PollResult, StartOutcome, WorkerReport},
        planner::Planner,
        poller::{PollWait, WorkerPoller},
    },
    id::WorkerId,
    time::Timestamp,
};

const BEGIN: Timestamp = Timestamp(50_000);
/// How long a worker that runs nothing holds a poll, in milliseconds.
const IDLE_HOLD_MS: u64 = 2_000;
const BUSY_HOLD_MS: u64 = 800;
const MIN_INTERVAL_MS: u64 = 220;
/// Time after which an unanswered start is reported, in milliseconds.
const START_GIVEN_UP_MS: u64 = 1_000;
const STEP_MS: u64 = 20;
/// Longest time that accepted work may have no run beside free capacity, in
/// milliseconds, by the users' rules.
const MAX_IDLE_MS: u64 = 3_000;

/// Guards against a task without a run for more than 3 s after one lost call:
/// the stop of its first run shows in two polls, and a worker that runs nothing
/// held each of them for up to 2 s.
#[test]
fn lost_start() {
    for ms in (100..2_500).step_by(100) {
        let idle_ms = ms_between_starts(BEGIN.plus_ms(ms));
        assert!(idle_ms <= MAX_IDLE_MS, "submitted after {ms} ms: {idle_ms} ms without a run");
    }
}

/// Returns the time between the first start, whose answer is lost, and the
/// second start of a task that is submitted at a time.
fn ms_between_starts(submitted_at: Timestamp) -> u64 {
    let worker: WorkerId = "w0".parse().expect("a valid name");
    let mut planner = Planner::new(Term(1), 1, manifest(3), BEGIN);
    planner.update_workers(vec![listing("w0", 4_000, Incarnation(1))], true);
    let mut poller = WorkerPoller::default();
    let mut now = BEGIN;
    // The next answer to a poll; the first is answered at once.
    let (mut asked_at, mut answer_at) = (now, now);
    let mut unanswered = None;
    let mut starts: Vec<Timestamp> = Vec::new();
    while starts.len() < 2 {
        now = now.plus_ms(STEP_MS);
        assert!(now < BEGIN.plus_ms(20_000), "the task is started again");
        if answer_at <= now {
            let status = poller.poll_answered(Incarnation(1), 0, false, now);
            poller.confirm(Some(status.responsive_since));
            let poll = PollResult {
                incarnation: Incarnation(1),
                leases_expire_by: status.leases_expire_by,
                responsive_since: status.responsive_since,
                asked_at,
                running: Vec::new(),
                ended: Vec::new(),
                may_lack_ends: false,
            };
            planner.report(&worker, WorkerReport::Polled(poll), now);
            asked_at = now;
            let hold_ms = match poller.next_poll(true, now, BootMillis(now.0)).wait {
                PollWait::None => MIN_INTERVAL_MS,
                PollWait::Busy => BUSY_HOLD_MS,
                PollWait::Idle => IDLE_HOLD_MS,
            };
            answer_at = now.plus_ms(hold_ms);
        }
        if now == submitted_at {
            planner.submit(submission(1, vec![step(1, 500, &[])], now), true, now);
        }
        if let Some((task, run, _)) = unanswered.take_if(|it: &mut (_, _, Timestamp)| it.2 <= now) {
            let outcome = StartOutcome::MayHaveRun;
            planner.report(
                &worker,
                WorkerReport::Start { task, run, outcome, answered_at: now },
                now,
            );
        }
        planner.tick(now);
        for (_, order) in planner.take_actions().orders {
            match order {
                Order::Start(start) => {
                    starts.push(now);
                    poller.grant_start_lease(now);
                    unanswered = Some((start.task, start.run, now.plus_ms(START_GIVEN_UP_MS)));
                }
                Order::Stop { task, run } => {
                    poller.stop_confirmed();
                    let report =
                        WorkerReport::Stop { task, run, is_confirmed: true, answered_at: now };
                    planner.report(&worker, report, now);
                }
                Order::Pace { .. } | Order::AcknowledgeEnds { .. } => {}
            }
        }
    }
    starts[1].ms_since(starts[0])
}

/// Guards against a second run elsewhere of a task whose first start got no
/// answer and whose second was refused: the worker may carry out the first
/// later, when it has capacity.
#[test]
fn refused_after_unanswered() {
    for refusal in [StartOutcome::NoRoom, StartOutcome::NoTicket, StartOutcome::NotRun] {
        let mut planner = Planner::new(Term(1), 1, manifest(3), BEGIN);
        let listings = ["w0", "w1"].map(|it| listing(it, 4_000, Incarnation(1)));
        for listing in &listings {
            planner.update_workers(vec![listing.clone()], false);
            let poll = PollResult {
                incarnation: Incarnation(1),
                leases_expire_by: BEGIN.plus_ms(4_000),
                responsive_since: BEGIN,
                asked_at: BEGIN,
                running: Vec::new(),
                ended: Vec::new(),
                may_lack_ends: false,
            };
            planner.report(&listing.worker, WorkerReport::Polled(poll), BEGIN);
        }
        planner.submit(submission(1, vec![step(1, 500, &[])], BEGIN), true, BEGIN);
        planner.tick(BEGIN);
        let orders = planner.take_actions().orders;
        let [(worker, Order::Start(start))] = &orders[..] else { panic!("{orders:?}") };
        let outcome = StartOutcome::after_unanswered(refusal);
        let report =
            WorkerReport::Start { task: start.task, run: start.run, outcome, answered_at: BEGIN };
        planner.report(worker, report, BEGIN);
        planner.tick(BEGIN.plus_ms(400));
        let orders = planner.take_actions().orders;
        let is_stop = |it: &(WorkerId, Order)| matches!(it.1, Order::Stop { .. });
        assert!(orders.iter().all(is_stop), "{refusal}: {orders:?}");
        assert_eq!(orders.len(), 1, "{refusal}");
    }
}
