//! Limits that hold for each pool of workers.
//!
//! Guards against work of a small pool that waits because a limit, or a share of
//! the capacity in use, is that of all pools together. Users count each pool by
//! itself, and accept 3 s without a run while less than half of it is in use.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::sync::Arc;

use fleet_world::{listing, manifest, queue, step};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, SubmissionId, TaskKey},
        manifest::{Manifest, Queue},
        message::{EndKind, WorkerReport},
        planner::WorkerListing,
        submission::{StepSpec, Submission},
    },
    id::WorkerId,
};
use planner_rig::Rig;

const MAX_IDLE_MS: u64 = 3_000;
const STEP_MS: u64 = 100;
/// Longest time that a test simulates, in milliseconds.
const MAX_WAIT_MS: u64 = 20_000;
const SMALL: &str = "small";
const LARGE: &str = "large";
/// Ids of submissions whose runs last, fail, or are done after one round.
const LASTING: u64 = 100;
const FAILING: u64 = 200;
const SHORT: u64 = 1;

fn pool(service: &str, count: usize, cpu: u64) -> Vec<WorkerListing> {
    let worker = |it| WorkerListing {
        service: service.to_owned(),
        ..listing(&format!("{service}{it:02}"), cpu, Incarnation(1))
    };
    (0..count).map(worker).collect()
}

fn add_workers(rig: &mut Rig, added: Vec<WorkerListing>) {
    rig.workers.extend(added.iter().map(|it| (it.worker.clone(), Default::default())));
    rig.listings.extend(added);
    rig.planner.update_workers(rig.listings.clone(), true);
    rig.poll_all();
}

fn submit(rig: &mut Rig, service: &str, id: u64, spec: StepSpec) {
    let queue = Queue { service: service.to_owned(), prefix: format!("/{service}/"), ..queue(3) };
    let submission = Submission {
        id: SubmissionId(id),
        queue,
        payload: "payload".into(),
        steps: vec![spec],
        schedule: None,
        accepted_at: rig.now,
        manifest: Default::default(),
    };
    rig.submit(Arc::new(submission));
}

fn spread(count: u16, cpu: u64) -> StepSpec {
    let estimate_ms = 10_000_000;
    StepSpec { max_per_worker: Some(1), estimate_ms, ..step(count, cpu, &[]) }
}

/// Returns a large pool that is in full use, beside a small one without work.
fn rig(small: usize, cpu: u64) -> Rig {
    let manifest = Manifest { queues: Vec::new(), ..(*manifest(3)).clone() };
    let mut rig = Rig::new(manifest.into(), &[]);
    add_workers(&mut rig, pool(LARGE, 40, 8_000));
    submit(&mut rig, LARGE, LASTING, spread(40, 8_000));
    assert_eq!(rig.plan().len(), 40);
    add_workers(&mut rig, pool(SMALL, small, cpu));
    rig
}

/// Advances time: runs that neither last nor fail are done.
fn advance(rig: &mut Rig) {
    rig.store();
    rig.advance(STEP_MS);
    let running: Vec<(TaskKey, WorkerId)> = rig.running().into_iter().collect();
    for (task, worker) in running {
        match task.step.submission.0 {
            FAILING.. => rig.end(&worker, task, EndKind::Failed),
            LASTING.. => continue,
            _ => rig.end(&worker, task, EndKind::Done),
        };
    }
    rig.poll_all();
}

/// Returns how long a submission waits for its next start.
fn wait_ms(rig: &mut Rig, id: u64) -> u64 {
    for waited in 0..MAX_WAIT_MS / STEP_MS {
        if rig.plan().iter().any(|it| it.1.task.step.submission == SubmissionId(id)) {
            return waited * STEP_MS;
        }
        advance(rig);
    }
    MAX_WAIT_MS
}

/// Large tasks have workers reserved until other work ends there; 48 % of the pool
/// is in use.
#[test]
fn workers_reserved() {
    let mut rig = rig(3, 10_000);
    let lasting = StepSpec { max_per_worker: Some(2), ..spread(6, 2_400) };
    submit(&mut rig, SMALL, LASTING + 1, lasting);
    assert_eq!(rig.plan().len(), 6);
    submit(&mut rig, SMALL, LASTING + 2, spread(3, 8_000));
    assert!(rig.plan().is_empty());
    advance(&mut rig);
    submit(&mut rig, SMALL, SHORT, step(1, 500, &[]));
    let waited_ms = wait_ms(&mut rig, SHORT);
    assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms");
}

/// Only suspended workers have capacity for it. A third of the pool is in use.
#[test]
fn only_suspended_fit() {
    let mut rig = rig(6, 8_000);
    submit(&mut rig, SMALL, LASTING + 1, StepSpec { is_long_running: true, ..spread(3, 5_000) });
    rig.plan();
    advance(&mut rig);
    let failing = StepSpec { is_long_running: true, ..step(6, 4_000, &[]) };
    submit(&mut rig, SMALL, FAILING, failing);
    for _ in 0..100 {
        rig.plan();
        advance(&mut rig);
    }
    for id in SHORT..SHORT + 7 {
        submit(&mut rig, SMALL, id, step(1, 4_000, &[]));
        let waited_ms = wait_ms(&mut rig, id);
        assert!(waited_ms <= MAX_IDLE_MS, "submission {id} waited {waited_ms} ms");
    }
}

/// The same for a task that may have crashed a worker.
#[test]
fn only_suspended_fit_suspect() {
    for rounds in (60..160).step_by(10) {
        let mut rig = rig(0, 0);
        add_workers(&mut rig, pool(SMALL, 1, 4_000));
        let mut others = pool("s", 6, 2_000);
        others.iter_mut().for_each(|it| it.service = SMALL.to_owned());
        add_workers(&mut rig, others);
        let failing = StepSpec { is_long_running: true, ..step(1, 3_000, &[]) };
        submit(&mut rig, SMALL, FAILING, failing);
        for _ in 0..rounds {
            rig.plan();
            advance(&mut rig);
        }
        rig.planner.cancel(SubmissionId(FAILING), rig.now);
        let mut crashing = pool("c", 1, 9_000);
        crashing[0].service = SMALL.to_owned();
        let crashed = crashing[0].worker.clone();
        add_workers(&mut rig, crashing);
        submit(&mut rig, SMALL, SHORT, step(1, 3_000, &[]));
        assert_eq!(rig.plan()[0].0, crashed);
        rig.workers.remove(&crashed);
        let report = WorkerReport::Replaced { incarnation: Some(Incarnation(1)) };
        rig.planner.report(&crashed, report, rig.now);
        rig.listings.retain(|it| it.worker != crashed);
        rig.planner.update_workers(rig.listings.clone(), true);
        let waited_ms = wait_ms(&mut rig, SHORT);
        assert!(waited_ms <= MAX_IDLE_MS, "{waited_ms} ms after {rounds} rounds");
    }
}
