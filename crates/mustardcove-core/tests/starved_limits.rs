//! Best-effort submissions that stay without a run, or with one that does not
//! progress, although starved work is placed.
//!
//! Users accept 3 s without a run while less than half of the capacity is
//! reserved.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::{collections::BTreeMap, sync::Arc};

use fleet_world::{manifest, silent_poller, step, submission};
use mustardcove_core::{
    fleet::{
        id::{EndNumber, SubmissionId, TaskKey},
        message::{EndKind, EndedRun, Order, StartOutcome, WorkerReport},
        record::LearnedInterference,
        submission::StepSpec,
    },
    id::WorkerId,
    size::Resources,
    time::Timestamp,
};
use planner_rig::{Rig, START};

const CPU: u64 = 64_000;
const WORKERS: [(&str, u64); 4] = [("w0", CPU), ("w1", CPU), ("w2", CPU), ("w3", CPU)];
const MAX_IDLE_MS: u64 = 3_000;
const TAIL_TARGET_MS: u32 = 24;
const TAIL_MS: u32 = TAIL_TARGET_MS - 6;

fn best_effort(count: u16) -> StepSpec {
    StepSpec {
        is_best_effort: true,
        saves_progress: true,
        image: Some(Arc::from("harsh")),
        ..step(count, 8_000, &[])
    }
}

/// Returns a plan with 40 % of each worker reserved by latency-critical tasks,
/// on which the best-effort image is known to put `pressure`.
fn rig(pressure: f32) -> Rig {
    let mut rig = Rig::new(manifest(3), &WORKERS);
    rig.planner.restore_learned_interference(&LearnedInterference {
        images: vec![("sensitive".into(), Some(4.0)), ("harsh".into(), None)],
        pressures: vec![(0, 1, pressure)],
    });
    let serving = StepSpec {
        is_long_running: true,
        max_per_worker: Some(1),
        image: Some(Arc::from("sensitive")),
        tail_target_ms: Some(TAIL_TARGET_MS),
        ..step(4, 26_000, &[])
    };
    rig.submit(submission(1, vec![serving], START));
    rig.plan();
    for _ in 0..10 {
        round(&mut rig, 0);
    }
    rig
}

/// Polls and plans after 200 ms; best-effort runs report `percent`.
fn round(rig: &mut Rig, percent: u8) {
    rig.advance(200);
    for (task, worker) in rig.running() {
        let is_serving = task.step.submission == SubmissionId(1);
        let (measurement, percent) = if is_serving { (TAIL_MS, 100) } else { (1_000, percent) };
        rig.set_measurement(&worker, task, measurement, percent);
    }
    rig.poll_all();
    rig.plan();
}

fn runs_of(rig: &Rig, id: u64) -> Vec<(TaskKey, WorkerId)> {
    rig.running().into_iter().filter(|it| it.0.step.submission == SubmissionId(id)).collect()
}

/// Guards against a submission that is never tried because as many others as
/// are tried in one round fit on no worker.
#[test]
fn hopeless_ahead() {
    let mut rig = rig(10.0);
    let hopeless = StepSpec { demand: Resources::new(8_000, 1 << 40, 0), ..best_effort(1) };
    for id in 0..250 {
        let now = rig.now;
        rig.submit(submission(10 + id, vec![hopeless.clone()], now));
    }
    let now = rig.now;
    rig.submit(submission(1_000, vec![best_effort(1)], now));
    while rig.now.ms_since(now) < MAX_IDLE_MS {
        round(&mut rig, 0);
    }
    assert_eq!(runs_of(&rig, 1_000).len(), 1);
}

/// Guards against a run that hangs for good because its pace is low.
#[test]
fn hung_at_low_pace() {
    let mut rig = rig(10.0);
    let now = rig.now;
    rig.submit(submission(10, vec![best_effort(1)], now));
    while rig.now.ms_since(now) < 30_000 {
        round(&mut rig, 0);
    }
    let stopped = rig.orders.iter().any(|it| matches!(it.1, Order::Stop { .. }));
    assert!(stopped, "a run without progress for 28 s goes on");
}

/// Guards against a pace that is lost with the process that polled the worker.
#[test]
fn pace_lost_with_poller() {
    let mut rig = rig(10.0);
    let now = rig.now;
    rig.submit(submission(10, vec![best_effort(1)], now));
    for percent in 0..15 {
        round(&mut rig, percent);
    }
    let (_, worker) = runs_of(&rig, 10).remove(0);
    let pace = |it: &(WorkerId, Order)| matches!(it.1, Order::Pace { .. });
    assert!(rig.orders.iter().any(pace), "the run is slowed down");
    rig.orders.clear();
    rig.planner.poller_replaced(&worker, silent_poller(), rig.now.plus_ms(4_000));
    for percent in 15..30 {
        round(&mut rig, percent);
    }
    assert!(rig.orders.iter().any(pace), "the pace is not ordered again");
}

/// Guards against work that waits because failures of other work have
/// suspended every worker.
#[test]
fn all_suspended() {
    const ROUNDS: u64 = 100;
    let mut rig = Rig::new(manifest(3), &WORKERS);
    let failing = SubmissionId(100);
    let mut ends = 0;
    let mut waiting_since: BTreeMap<SubmissionId, Timestamp> = BTreeMap::new();
    let mut longest_wait_ms = 0;
    for i in 0..ROUNDS {
        rig.advance(200);
        rig.poll_all();
        let now = rig.now;
        for id in [100 + 2 * i, 101 + 2 * i] {
            rig.submit(submission(id, vec![step(4, 1_000, &[])], now));
        }
        if i % 5 == 0 {
            rig.submit(submission(10 + i / 5, vec![step(1, 1_000, &[])], now));
            waiting_since.insert(SubmissionId(10 + i / 5), now);
        }
        rig.planner.tick(now);
        for (worker, order) in rig.planner.take_actions().orders {
            let Order::Start(start) = order else { continue };
            let (task, run) = (start.task, start.run);
            let id = task.step.submission;
            let kind = if failing <= id { EndKind::Failed } else { EndKind::Done };
            waiting_since.remove(&id);
            let outcome = StartOutcome::Started;
            rig.planner.report(
                &worker,
                WorkerReport::Start { task, run, outcome, answered_at: now },
                now,
            );
            ends += 1;
            let number = EndNumber(ends);
            let end = EndedRun { number, task, run, kind, checkpoint: None };
            rig.poll(&worker, vec![end]);
        }
        let waits = waiting_since.values().map(|it| now.ms_since(*it));
        longest_wait_ms = waits.fold(longest_wait_ms, u64::max);
    }
    assert!(longest_wait_ms < MAX_IDLE_MS, "no run for {longest_wait_ms} ms on idle workers");
}

/// Guards against a submission that waits for the stop of its only run while
/// other tasks of it are ready.
#[test]
fn start_unanswered() {
    let mut rig = rig(10.0);
    let now = rig.now;
    rig.submit(submission(10, vec![best_effort(5)], now));
    let mut started: BTreeMap<WorkerId, Timestamp> = BTreeMap::new();
    while rig.now.ms_since(now) < 6_000 {
        rig.advance(200);
        rig.poll_all();
        rig.planner.tick(rig.now);
        for (worker, order) in rig.planner.take_actions().orders {
            if let Order::Start(_) = order {
                started.entry(worker).or_insert(rig.now);
            }
        }
    }
    assert!(2 <= started.len(), "another task is tried elsewhere: {started:?}");
}

/// Guards against a best-effort step that waits because another ready step of
/// its submission fits nowhere.
#[test]
fn mixed_steps() {
    let mut rig = rig(10.0);
    let now = rig.now;
    let large = step(1, CPU, &[]);
    rig.submit(submission(10, vec![large, best_effort(1)], now));
    while rig.now.ms_since(now) < MAX_IDLE_MS {
        round(&mut rig, 0);
    }
    assert_eq!(runs_of(&rig, 10).len(), 1);
}

/// Guards against the same if that step is best-effort, too.
#[test]
fn mixed_best_effort_steps() {
    let mut rig = rig(10.0);
    let now = rig.now;
    let huge = StepSpec { demand: Resources::new(8_000, 1 << 40, 0), ..best_effort(1) };
    rig.submit(submission(10, vec![huge, best_effort(1)], now));
    while rig.now.ms_since(now) < MAX_IDLE_MS {
        round(&mut rig, 0);
    }
    assert_eq!(runs_of(&rig, 10).len(), 1);
}

/// Guards against a submission whose only run is on a silent worker, and that
/// gets no other before the lease of that run has expired.
#[test]
fn worker_silent() {
    let mut rig = rig(10.0);
    let now = rig.now;
    rig.submit(submission(10, vec![best_effort(5)], now));
    for _ in 0..10 {
        round(&mut rig, 1);
    }
    let before = runs_of(&rig, 10);
    let silent = before[0].1.clone();
    assert_eq!(before.len(), 1);
    let since = rig.now;
    let failed = WorkerReport::PollFailed { leases_expire_by: None, is_silent: true };
    while rig.now.ms_since(since) < MAX_IDLE_MS {
        rig.advance(200);
        for worker in ["w0", "w1", "w2", "w3"].map(|it| it.parse::<WorkerId>().expect("a name")) {
            if worker == silent {
                rig.planner.report(&worker, failed.clone(), rig.now);
            } else {
                rig.poll(&worker, Vec::new());
            }
        }
        rig.plan();
    }
    assert!(2 <= runs_of(&rig, 10).len(), "no run on a worker that answers");
}

/// Guards against the full pace of a run that is predicted to make a
/// latency-critical task miss its target.
#[test]
fn lifted_beside_interference() {
    let mut rig = rig(0.8);
    let now = rig.now;
    rig.submit(submission(10, vec![best_effort(1)], now));
    let mut percent = 0;
    round(&mut rig, percent);
    assert_eq!(runs_of(&rig, 10).len(), 0, "no worker has headroom for it");
    while rig.now.ms_since(now) < 4_000 {
        percent = (percent + 1) % 97;
        round(&mut rig, percent);
    }
    assert_eq!(runs_of(&rig, 10).len(), 1);
    let mut paces = rig.orders.iter().filter_map(|it| match it.1 {
        Order::Pace { percent, .. } => Some(percent),
        _ => None,
    });
    let last = paces.next_back();
    assert!(last.is_some_and(|it| it <= 20), "last pace: {last:?}");
}
