//! A worker that lists another run of a task than the one that is planned there.
//!
//! Guards against a task that waits for good: its planned run lost its allocation
//! to the other one, so that nothing noticed that the run had ended.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{EndNumber, Incarnation, RunNumber, TaskKey},
        message::{EndKind, EndedRun, Order, PollResult, RunningTask, WorkerReport},
    },
    id::WorkerId,
};
use planner_rig::{Rig, START};

/// Longest time without a run that users accept, in milliseconds.
const MAX_IDLE_MS: u64 = 3_000;
const STEP_MS: u64 = 250;
/// The run that is not planned: an earlier order that the worker carried out late.
const LATE_RUN: RunNumber = RunNumber(9_999);

/// Places a task on the only worker, which has not answered the order yet.
fn placed() -> (Rig, WorkerId, TaskKey, RunNumber) {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    rig.submit(submission(1, vec![step(1, 2_000, &[])], START));
    rig.planner.tick(rig.now);
    let orders = rig.planner.take_actions().orders;
    let [(worker, Order::Start(start))] = &orders[..] else { panic!("{orders:?}") };
    (rig, worker.clone(), start.task, start.run)
}

/// Reports a poll that lists these runs of a task, and the end of the late one if
/// that has ended.
fn poll(rig: &mut Rig, worker: &WorkerId, task: TaskKey, runs: &[RunNumber], is_over: bool) {
    let row = |run: &RunNumber| RunningTask {
        task,
        run: *run,
        checkpoint: None,
        percent: (rig.now.0 / 100 % 100) as u8,
        measurement: 0,
    };
    let number = EndNumber(1);
    let end = EndedRun { number, task, run: LATE_RUN, kind: EndKind::Stopped, checkpoint: None };
    let poll = PollResult {
        incarnation: Incarnation(1),
        leases_expire_by: rig.now.plus_ms(4_000),
        responsive_since: START,
        asked_at: rig.now,
        running: runs.iter().map(row).collect(),
        ended: if is_over { vec![end] } else { Vec::new() },
        may_lack_ends: false,
    };
    rig.planner.report(worker, WorkerReport::Polled(poll), rig.now);
}

/// Returns how long the task waits for its next start, while the worker lists no
/// run and confirms each stop; [`u64::MAX`] if that exceeds 30 s.
fn wait_ms(rig: &mut Rig, worker: &WorkerId, task: TaskKey) -> u64 {
    let since = rig.now;
    while rig.now.ms_since(since) < 30_000 {
        rig.store();
        rig.planner.tick(rig.now);
        for (_, order) in rig.planner.take_actions().orders {
            match order {
                Order::Start(_) => return rig.now.ms_since(since),
                Order::Stop { task, run } => {
                    let report =
                        WorkerReport::Stop { task, run, is_confirmed: true, answered_at: rig.now };
                    rig.planner.report(worker, report, rig.now);
                }
                Order::Pace { .. } | Order::AcknowledgeEnds { .. } => {}
            }
        }
        rig.advance(STEP_MS);
        if rig.workers.contains_key(worker) {
            poll(rig, worker, task, &[], true);
        }
    }
    u64::MAX
}

/// The planned start never reached the worker.
#[test]
fn planned_never_begins() {
    let (mut rig, worker, task, _) = placed();
    poll(&mut rig, &worker, task, &[LATE_RUN], false);
    poll(&mut rig, &worker, task, &[], true);
    let waited_ms = wait_ms(&mut rig, &worker, task);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// The planned run was listed, and then is no longer.
#[test]
fn planned_disappears() {
    let (mut rig, worker, task, run) = placed();
    poll(&mut rig, &worker, task, &[run], false);
    poll(&mut rig, &worker, task, &[run, LATE_RUN], false);
    poll(&mut rig, &worker, task, &[run], true);
    let waited_ms = wait_ms(&mut rig, &worker, task);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// The worker crashes after the late run has ended.
#[test]
fn worker_crashes() {
    let (mut rig, worker, task, run) = placed();
    poll(&mut rig, &worker, task, &[run], false);
    poll(&mut rig, &worker, task, &[run, LATE_RUN], false);
    poll(&mut rig, &worker, task, &[run], true);
    rig.crash(&worker);
    rig.add_workers(&[fleet_world::listing("w1", 4_000, Incarnation(1))]);
    let waited_ms = wait_ms(&mut rig, &worker, task);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// The end of the late run does not end the planned one.
#[test]
fn planned_goes_on() {
    let (mut rig, worker, task, run) = placed();
    poll(&mut rig, &worker, task, &[run], false);
    poll(&mut rig, &worker, task, &[run, LATE_RUN], false);
    for _ in 0..20 {
        rig.advance(STEP_MS);
        poll(&mut rig, &worker, task, &[run], true);
        rig.planner.tick(rig.now);
        let orders = rig.planner.take_actions().orders;
        let is_start = |it: &(WorkerId, Order)| matches!(it.1, Order::Start(_));
        let stops_it = |it: &(WorkerId, Order)| matches!(&it.1, Order::Stop { run: stopped, .. } if *stopped == run);
        assert!(!orders.iter().any(|it| is_start(it) || stops_it(it)), "{orders:?}");
    }
}
