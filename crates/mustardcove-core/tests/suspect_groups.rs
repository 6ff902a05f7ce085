//! Suspected tasks that are isolated in groups.
//!
//! Guards against groups that break a limit, that hide which task has crashed a
//! worker, or that keep too many workers from other work.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{EndNumber, Incarnation, SubmissionId},
        message::{EndKind, EndedRun, Order, StartOrder, StartOutcome, WorkerReport},
        planner::WorkerListing,
        record::SuspectTask,
        submission::{StepSpec, Submission},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::Rig;

/// Longest time without a run that users accept, in milliseconds.
const MAX_IDLE_MS: u64 = 3_000;
const CPU: u64 = 32_000;

fn workers(prefix: &str, count: usize) -> Vec<WorkerListing> {
    (0..count).map(|it| listing(&format!("{prefix}{it:02}"), CPU, Incarnation(1))).collect()
}

/// Starts the submissions on new workers, adds others, and crashes the first.
fn crashed_rig(submitted: Vec<Arc<Submission>>, crashing: usize, others: usize) -> Rig {
    let mut rig = Rig::new(manifest(3), &[]);
    let first = workers("c", crashing);
    rig.add_workers(&first);
    for it in submitted {
        rig.submit(it);
    }
    assert!(!rig.plan().is_empty());
    rig.add_workers(&workers("w", others));
    for it in &first {
        rig.crash(&it.worker);
    }
    rig
}

/// Returns the next starts, and what was stored with them.
fn next_starts(rig: &mut Rig) -> (Vec<(WorkerId, StartOrder)>, Vec<SuspectTask>) {
    rig.store();
    assert!(rig.plan().is_empty(), "no start precedes its record");
    let suspects = rig.store();
    (rig.plan(), suspects)
}

fn single(id: u64, spec: StepSpec) -> Arc<Submission> {
    submission(id, vec![spec], Timestamp(50_000))
}

/// Tasks of a step with a limit for each worker are not isolated together beyond
/// it.
#[test]
fn limit_in_group() {
    let limited = StepSpec { max_per_worker: Some(1), ..step(4, 500, &[]) };
    let mut rig = crashed_rig(vec![single(1, limited.clone()), single(2, limited)], 4, 12);
    for _ in 0..40 {
        rig.store();
        rig.plan();
        let mut placed: BTreeMap<(WorkerId, SubmissionId), usize> = BTreeMap::new();
        for (task, worker) in rig.running() {
            *placed.entry((worker, task.step.submission)).or_default() += 1;
        }
        assert!(placed.values().all(|it| *it == 1), "{placed:?}");
        rig.advance(100);
        rig.poll_all();
    }
    assert_eq!(rig.running().len(), 8);
}

/// The record of a group's runs does not name each as the only new one, by which a
/// new leader would judge them.
#[test]
fn group_not_sole() {
    let submitted = (1..=4).map(|it| single(it, step(1, 500, &[]))).collect();
    let mut rig = crashed_rig(submitted, 1, 4);
    let (starts, suspects) = next_starts(&mut rig);
    let on: BTreeSet<&WorkerId> = starts.iter().map(|it| &it.0).collect();
    assert_eq!((starts.len(), on.len()), (4, 1));
    let open: Vec<bool> =
        suspects.iter().flat_map(|it| &it.open_runs).map(|it| it.is_sole).collect();
    assert_eq!(open, [false; 4]);
}

/// A task that was the only suspect of a crash is isolated alone, however many
/// others wait.
#[test]
fn sole_suspect_alone() {
    let mut rig = crashed_rig(vec![single(1, step(1, 500, &[]))], 1, 1);
    // Its worker crashes while others are suspected, too.
    rig.add_workers(&workers("d", 1));
    rig.update_listings(|it| it.is_draining = it.worker.to_string() == "w00");
    let others = step(4, 500, &[]);
    rig.submit(single(2, others));
    assert_eq!(rig.plan().len(), 4);
    rig.crash(&"d00".parse().expect("a valid name"));
    rig.update_listings(|it| it.is_draining = false);
    rig.add_workers(&workers("x", 6));
    let (starts, _) = next_starts(&mut rig);
    assert_eq!(starts.len(), 5);
    let sole = starts.iter().find(|it| it.1.task.step.submission == SubmissionId(1));
    let sole = &sole.expect("a start").0;
    assert_eq!(starts.iter().filter(|it| it.0 == *sole).count(), 1);
}

/// The end of one member does not open the worker to others while the rest are new.
#[test]
fn member_ends() {
    let submitted = (1..=4).map(|it| single(it, step(1, 500, &[]))).collect();
    let mut rig = crashed_rig(submitted, 1, 1);
    let (starts, _) = next_starts(&mut rig);
    assert_eq!(starts.len(), 4);
    // Each poll also lists the rest.
    for (i, (worker, start)) in starts.iter().take(2).enumerate() {
        let i = i as u64;
        rig.submit(single(10 + i, step(1, 500, &[])));
        let state = rig.workers.get_mut(worker).expect("a worker");
        let (run, ..) = state.running.remove(&start.task).expect("a run");
        let (number, task) = (EndNumber(i + 1), start.task);
        let end = EndedRun { number, task, run, kind: EndKind::Done, checkpoint: None };
        rig.poll(worker, vec![end]);
        assert_eq!(rig.plan().is_empty(), i == 0, "listed {} times", i + 1);
    }
}

/// A member whose run failed waited for the others, of which the worker neither
/// listed a run nor confirmed the stop.
#[test]
fn members_unlisted() {
    let submitted = (1..=4).map(|it| single(it, step(1, 500, &[]))).collect();
    let mut rig = crashed_rig(submitted, 1, 4);
    rig.store();
    assert!(rig.plan().is_empty());
    rig.store();
    rig.planner.tick(rig.now);
    let starts = |rig: &mut Rig| -> Vec<(WorkerId, StartOrder)> {
        let orders = rig.planner.take_actions().orders.into_iter();
        let start = |it| match it {
            (worker, Order::Start(start)) => Some((worker, start)),
            _ => None,
        };
        orders.filter_map(start).collect()
    };
    for (worker, start) in starts(&mut rig) {
        let (task, run) = (start.task, start.run);
        let is_failing = task.step.submission == SubmissionId(1);
        let outcome = if is_failing { StartOutcome::Started } else { StartOutcome::MayHaveRun };
        rig.planner.report(
            &worker,
            WorkerReport::Start { task, run, outcome, answered_at: rig.now },
            rig.now,
        );
        if is_failing {
            let state = rig.workers.get_mut(&worker).expect("a worker");
            state.running.insert(task, (run, 0, 0));
            rig.end(&worker, task, EndKind::Failed);
        }
    }
    let mut waited_ms = 0;
    loop {
        rig.planner.tick(rig.now);
        if starts(&mut rig).iter().any(|it| it.1.task.step.submission == SubmissionId(1)) {
            break;
        }
        rig.store();
        rig.advance(100);
        rig.poll_all();
        waited_ms += 100;
        assert!(waited_ms < MAX_IDLE_MS, "{waited_ms} ms");
    }
}

/// Suspected tasks of a small pool had all of its workers isolated, as the limit
/// was a share of all pools.
#[test]
fn small_pool_isolated() {
    let limited = StepSpec { max_per_worker: Some(30), ..step(30, 500, &[]) };
    let mut rig = crashed_rig(vec![single(1, limited)], 1, 4);
    let in_other_pool = |it: WorkerListing| WorkerListing { service: "other".to_owned(), ..it };
    let others: Vec<WorkerListing> = workers("o", 36).into_iter().map(in_other_pool).collect();
    rig.add_workers(&others);
    for round in 0..20 {
        rig.store();
        rig.plan();
        rig.advance(100);
        if round % 10 == 9 {
            rig.poll_all();
        }
    }
    rig.submit(submission(2, vec![step(1, 500, &[])], rig.now));
    let mut waited_ms = 0;
    while !rig.plan().iter().any(|it| it.1.task.step.submission == SubmissionId(2)) {
        rig.store();
        rig.advance(100);
        waited_ms += 100;
        if waited_ms % 1_000 == 0 {
            rig.poll_all();
        }
        assert!(waited_ms < MAX_IDLE_MS, "{waited_ms} ms");
    }
}

/// While many tasks are suspected, other work finds workers that are not
/// isolated.
#[test]
fn isolated_share() {
    let limited = StepSpec { max_per_worker: Some(40), ..step(40, 500, &[]) };
    let mut rig = crashed_rig(vec![single(1, limited)], 1, 20);
    for _ in 0..8 {
        rig.store();
        rig.plan();
    }
    let isolated: BTreeSet<WorkerId> = rig.running().into_values().collect();
    assert!((8..=11).contains(&isolated.len()), "{} of 20 workers are isolated", isolated.len());
}

/// A crash under a large group would cost many sound tasks another turn.
#[test]
fn group_size() {
    let submitted = (1..=40).map(|it| single(it, step(1, 100, &[]))).collect();
    let mut rig = crashed_rig(submitted, 1, 20);
    let (starts, _) = next_starts(&mut rig);
    assert!(4 <= starts.len(), "{} starts", starts.len());
    let mut placed: BTreeMap<WorkerId, usize> = BTreeMap::new();
    for (worker, _) in starts {
        *placed.entry(worker).or_default() += 1;
    }
    assert!(placed.values().all(|it| *it <= 4), "{placed:?}");
}

/// The members of a group under which a worker has crashed are not isolated
/// together again: a sound one would be given up with the one that crashes them.
#[test]
fn crashed_group_splits() {
    let submitted = (1..=4).map(|it| single(it, step(1, 500, &[]))).collect();
    let mut rig = crashed_rig(submitted, 1, 12);
    let (starts, _) = next_starts(&mut rig);
    assert_eq!(starts.len(), 4);
    rig.crash(&starts[0].0);
    let mut on: BTreeMap<WorkerId, usize> = BTreeMap::new();
    for _ in 0..6 {
        rig.store();
        for (worker, _) in rig.plan() {
            *on.entry(worker).or_default() += 1;
        }
    }
    assert_eq!(on.values().sum::<usize>(), 4);
    assert!(on.values().all(|it| *it == 1), "{on:?}");
}
