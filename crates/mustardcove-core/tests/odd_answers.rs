//! Odd answers of what listens at the address of a worker.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::time::{Duration, Instant};

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{EndNumber, Incarnation, RunNumber, StepKey, SubmissionId, TaskKey},
        message::{EndKind, EndedRun, PollResult, RunningTask, WorkerReport},
        poller::{LEASE_MS, WorkerPoller},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};

fn task(submission: u64, index: u16) -> TaskKey {
    let step = StepKey { submission: SubmissionId(submission), occurrence: 0, step: 0 };
    TaskKey { step, index }
}

fn running(task: TaskKey, run: RunNumber) -> RunningTask {
    RunningTask { task, run, checkpoint: None, percent: 0, measurement: 0 }
}

fn poll(rig: &mut Rig, incarnation: u64, running: Vec<RunningTask>, ended: Vec<EndedRun>) {
    let worker: WorkerId = "w0".parse().expect("a valid name");
    let poll = PollResult {
        incarnation: Incarnation(incarnation),
        leases_expire_by: rig.now.plus_ms(4_000),
        responsive_since: START,
        asked_at: rig.now,
        running,
        ended,
        may_lack_ends: false,
    };
    rig.planner.report(&worker, WorkerReport::Polled(poll), rig.now);
}

/// Guards against a process that ends, or a lease that never does, because a
/// worker's clock is too large or goes back.
#[test]
fn odd_clocks() {
    let now = Timestamp(1_000);
    for clock_ms in [u64::MAX, u64::MAX - LEASE_MS, 1 << 63, 1 << 48] {
        let mut poller = WorkerPoller::default();
        poller.poll_answered(Incarnation(1), clock_ms, true, now);
        poller.grant_start_lease(now);
        let status = poller.poll_answered(Incarnation(1), 5, true, now);
        let wait_ms = status.leases_expire_by.ms_since(now);
        assert!(wait_ms <= 3_600_000, "clock {clock_ms}: runs would wait for {wait_ms} ms");
    }
}

/// Guards against an address where no worker listens that is polled as often, for
/// as long as its entry is there, as a worker that may be back at any moment.
#[test]
fn never_answers() {
    let mut polls = 0;
    let mut poller = WorkerPoller::default();
    let mut now = Timestamp(0);
    while now < Timestamp(60_000) {
        polls += 1;
        poller.poll_failed();
        now = now.plus_ms(poller.failed_poll_pause_ms());
    }
    assert!(polls <= 80, "{polls} polls in a minute");
    poller.poll_answered(Incarnation(1), 5, false, now);
    for _ in 0..100 {
        poller.poll_failed();
        assert_eq!(poller.failed_poll_pause_ms(), 250, "it has answered before");
    }
}

/// Guards against a process that ends because a worker lists a run after which
/// none can be counted.
#[test]
fn last_run_number() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    rig.submit(submission(1, vec![step(2, 500, &[])], START));
    let most = RunNumber(u64::MAX);
    let end = |number, task, kind| EndedRun {
        number: EndNumber(number),
        task,
        run: most,
        kind,
        checkpoint: None,
    };
    poll(&mut rig, 1, vec![running(task(1, 0), most)], vec![end(1, task(1, 1), EndKind::Failed)]);
    rig.plan();
    poll(&mut rig, 1, Vec::new(), vec![end(2, task(1, 0), EndKind::Failed)]);
    rig.plan();
}

/// Guards against a leader that is busy with one worker's answer, or asks the
/// store for each of its rows again and again, because it lists tasks that
/// nobody submitted.
#[test]
fn unknown_tasks() {
    const ROWS: u64 = 4_000;
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    let rows: Vec<RunningTask> =
        (0..ROWS).map(|it| running(task(1_000 + it, 0), RunNumber(1))).collect();
    let began = Instant::now();
    let mut most = 0;
    for _ in 0..10 {
        poll(&mut rig, 1, rows.clone(), Vec::new());
        rig.plan();
        let lookups = std::mem::take(&mut rig.lookups);
        most = most.max(lookups.len());
        for id in lookups {
            rig.planner.submission_not_found(id, rig.now);
        }
        rig.plan();
        rig.advance(500);
    }
    assert!(most <= 100, "{most} readings at once");
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    // Their lookups go on, each once.
    let mut asked = Vec::new();
    for _ in 0..200 {
        rig.plan();
        for id in std::mem::take(&mut rig.lookups) {
            rig.planner.submission_not_found(id, rig.now);
            asked.push(id);
        }
        rig.advance(200);
        poll(&mut rig, 1, rows.clone(), Vec::new());
    }
    let all = asked.len();
    asked.sort();
    asked.dedup();
    assert_eq!(all, asked.len(), "asked again although it is being stopped");
}

/// Guards against a worker that is shut out for the whole term because an answer
/// at its address claimed an incarnation long after the present.
#[test]
fn future_incarnation() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    poll(&mut rig, 1 << 47, Vec::new(), Vec::new());
    rig.advance(300);
    rig.poll_all();
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    assert_eq!(rig.plan().len(), 1);
}
