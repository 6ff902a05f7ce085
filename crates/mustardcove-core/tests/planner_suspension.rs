//! How many workers may be suspended at once.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{SubmissionId, TaskKey},
        message::EndKind,
        submission::StepSpec,
    },
    id::WorkerId,
};
use planner_rig::Rig;

/// Processors of each worker, in millicores.
const CPU: u64 = 8_000;
const WORKERS: [(&str, u64); 6] =
    [("w0", CPU), ("w1", CPU), ("w2", CPU), ("w3", CPU), ("w4", CPU), ("w5", CPU)];
/// Longest time that accepted work may have no run beside free capacity, in
/// milliseconds, by the users' rules.
const MAX_IDLE_MS: u64 = 3_000;
/// The same for a single long-running task, from its last run on.
const MAX_TASK_IDLE_MS: u64 = 6_000;
const STEP_MS: u64 = 100;
/// Id of a submission whose tasks run for the whole test.
const LASTING: u64 = 900;
/// Ids from which submissions cannot be done.
const HOPELESS: u64 = 1_000;

/// Advances time by `STEP_MS`: the runs of hopeless submissions fail, and the
/// others are done, apart from those of `LASTING`.
fn advance(rig: &mut Rig) -> Vec<SubmissionId> {
    rig.advance(STEP_MS);
    let mut running: Vec<(TaskKey, WorkerId)> = rig.running().into_iter().collect();
    running.retain(|it| it.0.step.submission.0 != LASTING);
    for (task, worker) in running {
        let is_hopeless = HOPELESS <= task.step.submission.0;
        let kind = if is_hopeless { EndKind::Failed } else { EndKind::Done };
        rig.end(&worker, task, kind);
    }
    rig.poll_all();
    let starts = rig.plan();
    rig.store();
    starts.into_iter().map(|it| it.1.task.step.submission).collect()
}

/// Returns how long a new submission waits for its first start, up to 10 s.
fn wait_ms(rig: &mut Rig, id: u64, step: StepSpec) -> u64 {
    rig.submit(submission(id, vec![step], rig.now));
    let is_started = |_: &u64| advance(rig).contains(&SubmissionId(id));
    (1..100).find(is_started).unwrap_or(100) * STEP_MS
}

/// Guards against work that waits on an idle fleet because submissions that
/// can never be done have every worker suspended: a worker was suspended by
/// any two failures, up to 8 s at a time.
#[test]
fn hopeless_submissions() {
    let mut rig = Rig::new(manifest(3), &WORKERS);
    for id in HOPELESS..HOPELESS + 40 {
        rig.submit(submission(id, vec![step(6, 1_000, &[])], rig.now));
    }
    for _ in 0..3 {
        advance(&mut rig);
    }
    for id in 1..8 {
        let waited_ms = wait_ms(&mut rig, id, step(1, 1_000, &[]));
        assert!(waited_ms <= MAX_IDLE_MS, "submission {id} waited {waited_ms} ms");
    }
}

/// Guards against the same through long-running tasks that always fail. They
/// have no limit of attempts, so they had every worker suspended for good.
#[test]
fn hopeless_long_running() {
    let mut rig = Rig::new(manifest(3), &WORKERS);
    let step_of = |count| StepSpec { is_long_running: true, ..step(count, 500, &[]) };
    rig.submit(submission(HOPELESS, vec![step_of(12)], rig.now));
    for _ in 0..300 {
        advance(&mut rig);
    }
    for id in 1..8 {
        let waited_ms = wait_ms(&mut rig, id, step(1, 1_000, &[]));
        assert!(waited_ms <= MAX_IDLE_MS, "submission {id} waited {waited_ms} ms");
    }
}

/// Guards against work that needs a kind of workers and waits because exactly
/// those are suspended.
#[test]
fn workers_of_one_kind() {
    let mut rig = Rig::new(manifest(3), &WORKERS);
    rig.update_listings(|it| {
        let kind = if it.worker.as_str() < "w2" { "a" } else { "b" };
        it.labels = vec![kind.to_owned(), "r1".to_owned()];
    });
    let labelled =
        |count| StepSpec { requirement: Some("a".to_owned()), ..step(count, 1_000, &[]) };
    for id in HOPELESS..HOPELESS + 10 {
        rig.submit(submission(id, vec![labelled(4)], rig.now));
    }
    for _ in 0..3 {
        advance(&mut rig);
    }
    for id in 1..8 {
        let waited_ms = wait_ms(&mut rig, id, labelled(1));
        assert!(waited_ms <= MAX_IDLE_MS, "submission {id} waited {waited_ms} ms");
    }
}

/// Guards against a bound that lets failing workers use up attempts: a third
/// of the workers may fail everything, and each gets few runs.
#[test]
fn failing_workers() {
    let mut rig = Rig::new(manifest(50), &WORKERS);
    let failed = failed_runs(&mut rig);
    assert!(failed <= 12, "{failed} of 400 runs failed in 10 s on two failing workers");
}

/// Returns how many runs fail in 10 s if two workers fail everything.
fn failed_runs(rig: &mut Rig) -> usize {
    // Idle workers are chosen from the last one on.
    let is_failing = |it: &WorkerId| "w4" <= it.as_str();
    let mut failed = 0;
    for id in 1..=100 {
        rig.submit(submission(id, vec![step(4, 1_000, &[])], rig.now));
        rig.advance(STEP_MS);
        for (task, worker) in rig.running() {
            failed += usize::from(is_failing(&worker));
            let kind = if is_failing(&worker) { EndKind::Failed } else { EndKind::Done };
            rig.end(&worker, task, kind);
        }
        rig.poll_all();
        rig.plan();
    }
    assert!(0 < failed, "the failing workers were used");
    failed
}

/// Guards against a rack that uses up attempts: all its workers fail what they
/// start, and all of them have to be suspended.
#[test]
fn failing_rack() {
    let mut rig = Rig::new(manifest(50), &WORKERS);
    rig.update_listings(|it| {
        let rack = if "w4" <= it.worker.as_str() { "r1" } else { "r2" };
        it.labels = vec!["a".to_owned(), rack.to_owned()];
    });
    let failed = failed_runs(&mut rig);
    assert!(failed <= 12, "{failed} of 400 runs failed in 10 s on two failing workers");
}

/// Guards against work that waits because exactly the workers with capacity
/// for it are suspended: a third of the pool is in use, on the other workers.
#[test]
fn only_suspended_fit() {
    let mut rig = Rig::new(manifest(3), &WORKERS);
    let lasting = StepSpec { is_long_running: true, ..step(3, 5_000, &[]) };
    let lasting = StepSpec { max_per_worker: Some(1), ..lasting };
    rig.submit(submission(LASTING, vec![lasting], rig.now));
    advance(&mut rig);
    let hopeless = StepSpec { is_long_running: true, ..step(6, 4_000, &[]) };
    rig.submit(submission(HOPELESS, vec![hopeless], rig.now));
    for _ in 0..100 {
        advance(&mut rig);
    }
    for id in 1..8 {
        let waited_ms = wait_ms(&mut rig, id, step(1, 4_000, &[]));
        assert!(waited_ms <= MAX_IDLE_MS, "submission {id} waited {waited_ms} ms");
    }
}

/// Returns the longest wait of a long-running task for which only suspended
/// workers have capacity. Another task of its step runs, older work takes each
/// run that those workers get on probation, and `filler` millicores of the
/// other workers are in use beside the rest.
fn longest_task_wait_ms(filler: u64) -> u64 {
    let mut longest_ms = 0;
    for settle in 0..20 {
        let mut rig = Rig::new(manifest(3), &WORKERS);
        let hopeless = StepSpec { is_long_running: true, ..step(6, 4_000, &[]) };
        rig.submit(submission(HOPELESS, vec![hopeless], rig.now));
        rig.advance(STEP_MS);
        rig.poll_all();
        let spread = |it| StepSpec { is_long_running: true, max_per_worker: Some(1), ..it };
        let steps = vec![spread(step(3, 5_000 + filler, &[])), spread(step(2, 4_000, &[]))];
        rig.submit(submission(LASTING, steps, rig.now));
        for _ in 0..100 + 3 * settle {
            advance(&mut rig);
        }
        let running = rig.running();
        let is_second = |it: &TaskKey| it.step.submission.0 == LASTING && it.step.step == 1;
        let (task, worker) = running.iter().find(|it| is_second(it.0)).expect("it runs");
        rig.end(worker, *task, EndKind::LeaseExpired);
        rig.plan();
        let mut waited_ms = 0;
        while !rig.running().contains_key(task) && waited_ms < 60_000 {
            advance(&mut rig);
            waited_ms += STEP_MS;
        }
        longest_ms = longest_ms.max(waited_ms);
    }
    longest_ms
}

/// Guards against a task that waits for good because its submission is not
/// blocked as a whole.
#[test]
fn one_task_of_step() {
    let waited_ms = longest_task_wait_ms(0);
    assert!(waited_ms <= MAX_TASK_IDLE_MS, "waited {waited_ms} ms");
}

/// Guards against the same while most of the pool is in use: long-running tasks
/// that ran before have to run if there is capacity at all.
#[test]
fn one_task_of_full_pool() {
    let waited_ms = longest_task_wait_ms(2_900);
    assert!(waited_ms <= MAX_TASK_IDLE_MS, "waited {waited_ms} ms");
}
