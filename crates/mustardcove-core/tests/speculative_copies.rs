//! Copies of tasks on slow workers.
//!
//! Guards against a step that waits for a run on a slow worker although a copy would
//! be done sooner, and against what a second run may break: a task that starts again
//! after its end, attempts that are used up twice, and runs that nothing stops.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::sync::Arc;

use fleet_world::{World, listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, RunNumber, SubmissionId, TaskKey, Term},
        message::{EndKind, Order, StartOrder, StartOutcome, WorkerReport},
        planner::{DecisionKind, Planner},
        poller::{MAX_ORPHAN_LEASE_MS, MAX_START_LEASE_MS},
        submission::{StepSpec, Submission, SubmissionState},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};
use rand::RngExt;

const CPU: u64 = 900;
const POLL_MS: u64 = 250;
/// Longest time after the last fault until everything has ended, in milliseconds.
const SETTLE_MS: u64 = 60_000;

fn speculative() -> StepSpec {
    StepSpec { is_speculative: true, estimate_ms: 1_000, ..step(1, CPU, &[]) }
}

fn worker(name: &str) -> WorkerId {
    name.parse().expect("a valid name")
}

fn submissions(spec: &StepSpec) -> [Arc<Submission>; 2] {
    [1, 2].map(|id| submission(id, vec![spec.clone()], START))
}

/// Lets two submissions begin on `w0`, which then progresses by 1 % a second, beside
/// two free workers.
fn slow_rig(spec: &StepSpec, attempts: u32) -> Rig {
    let mut rig = Rig::new(manifest(attempts), &[("w0", 2 * CPU)]);
    submissions(spec).into_iter().for_each(|it| rig.submit(it));
    assert_eq!(rig.plan().len(), 2 * usize::from(spec.count));
    rig.add_workers(&["w1", "w2"].map(|it| listing(it, CPU, Incarnation(1))));
    rig
}

/// Polls until a start is ordered, for 4 s at most. The start is not carried out.
fn next_start(rig: &mut Rig) -> Option<(WorkerId, StartOrder)> {
    for i in 0..4_000 / POLL_MS {
        rig.advance(POLL_MS);
        for (task, at) in rig.running() {
            if at.as_str() == "w0" {
                rig.set_measurement(&at, task, CPU as u32, (i / 4) as u8);
            }
        }
        rig.poll_all();
        rig.store();
        rig.planner.tick(rig.now);
        let actions = rig.planner.take_actions();
        rig.decisions.extend(actions.decisions);
        for (at, order) in actions.orders {
            if let Order::Start(start) = order {
                return Some((at, start));
            }
        }
    }
    None
}

fn answer(rig: &mut Rig, copy: &(WorkerId, StartOrder), outcome: StartOutcome) {
    let (task, run) = (copy.1.task, copy.1.run);
    if outcome == StartOutcome::Started {
        let state = rig.workers.get_mut(&copy.0).expect("a worker");
        state.running.insert(task, (run, 0, 0));
    }
    let report = WorkerReport::Start { task, run, outcome, answered_at: rig.now };
    rig.planner.report(&copy.0, report, rig.now);
}

/// Returns a rig with a copy that has begun, the copy's worker and the task.
fn copied_rig(attempts: u32) -> (Rig, WorkerId, TaskKey) {
    let mut rig = slow_rig(&speculative(), attempts);
    let copy = next_start(&mut rig).expect("a copy");
    assert_ne!(copy.0.as_str(), "w0");
    answer(&mut rig, &copy, StartOutcome::Started);
    (rig, copy.0, copy.1.task)
}

/// Polls, plans and stores a few times, and returns the number of starts of a task.
fn go_on(rig: &mut Rig, task: TaskKey) -> usize {
    let mut starts = 0;
    for _ in 0..3 {
        rig.advance(POLL_MS);
        rig.poll_all();
        starts += rig.plan().iter().filter(|it| it.1.task == task).count();
        rig.store();
    }
    starts
}

fn is_completed(rig: &Rig, task: TaskKey) -> bool {
    rig.states.get(&task.step.submission) == Some(&SubmissionState::Completed)
}

fn runs_on(rig: &Rig, at: &WorkerId, task: TaskKey) -> bool {
    rig.workers.get(at).is_some_and(|it| it.running.contains_key(&task))
}

fn is_acknowledged(rig: &Rig, at: &WorkerId) -> bool {
    rig.orders.iter().any(|it| it.0 == *at && matches!(it.1, Order::AcknowledgeEnds { .. }))
}

#[test]
fn copy_wins() {
    let (mut rig, at, task) = copied_rig(3);
    rig.end(&at, task, EndKind::Done);
    assert_eq!(go_on(&mut rig, task), 0);
    assert!(is_completed(&rig, task));
    assert!(!runs_on(&rig, &worker("w0"), task), "the first run is stopped");
    assert!(is_acknowledged(&rig, &at) && is_acknowledged(&rig, &worker("w0")));
    let copies = rig.planner.counts(rig.now).copies;
    assert_eq!((copies.won, copies.dropped), (1, 0));
    assert!(rig.decisions.iter().any(|it| it.kind == DecisionKind::CopyEnded));
}

#[test]
fn first_wins() {
    let (mut rig, at, task) = copied_rig(3);
    rig.end(&worker("w0"), task, EndKind::Done);
    assert_eq!(go_on(&mut rig, task), 0);
    assert!(is_completed(&rig, task));
    assert!(!runs_on(&rig, &at, task), "the copy is stopped");
    assert!(is_acknowledged(&rig, &at) && is_acknowledged(&rig, &worker("w0")));
    let copies = rig.planner.counts(rig.now).copies;
    assert_eq!((copies.won, copies.dropped), (0, 1));
}

/// The other run goes on, and both failures together use two attempts.
#[test]
fn one_fails() {
    for is_first in [true, false] {
        let (mut rig, at, task) = copied_rig(2);
        let (failing, other) = if is_first { (worker("w0"), at) } else { (at, worker("w0")) };
        rig.end(&failing, task, EndKind::Failed);
        assert_eq!(go_on(&mut rig, task), 0, "there is no attempt for another copy");
        assert!(runs_on(&rig, &other, task));
        rig.end(&other, task, EndKind::Failed);
        assert_eq!(go_on(&mut rig, task), 0);
        assert_eq!(rig.states[&task.step.submission], SubmissionState::Failed);
    }
}

#[test]
fn refused_copy() {
    let mut rig = slow_rig(&speculative(), 3);
    let copy = next_start(&mut rig).expect("a copy");
    answer(&mut rig, &copy, StartOutcome::NoRoom);
    assert!(runs_on(&rig, &worker("w0"), copy.1.task), "the first run goes on");
    assert_eq!(rig.planner.counts(rig.now).copies.dropped, 1);
    rig.end(&worker("w0"), copy.1.task, EndKind::Done);
    go_on(&mut rig, copy.1.task);
    assert!(is_completed(&rig, copy.1.task) && is_acknowledged(&rig, &worker("w0")));
}

/// The other run goes on, whichever worker is lost.
#[test]
fn lost_workers() {
    for is_first in [true, false] {
        let (mut rig, at, task) = copied_rig(3);
        let (lost, other) = if is_first { (worker("w0"), at) } else { (at, worker("w0")) };
        rig.crash(&lost);
        assert!(runs_on(&rig, &other, task));
        rig.end(&other, task, EndKind::Done);
        assert_eq!(go_on(&mut rig, task), 0);
        assert!(is_completed(&rig, task));
    }
}

/// Returns the planner of the next leader, which knows the workers and not what
/// runs there.
fn successor(rig: &Rig, submissions: &[Arc<Submission>]) -> Planner {
    let expire_by = rig.now.plus_ms(MAX_ORPHAN_LEASE_MS);
    let mut planner = Planner::new(Term(2), 2, manifest(3), expire_by);
    planner.restore_workers(Some(rig.listings.clone()));
    planner.update_workers(rig.listings.clone(), true);
    submissions.iter().for_each(|it| planner.restore(it.clone(), false, None, rig.now));
    planner
}

/// A new leader finds both runs, and keeps the one with more progress.
#[test]
fn two_listed() {
    for (percent, is_copy_kept) in [(50, true), (0, false), (3, false)] {
        let (mut rig, at, task) = copied_rig(3);
        let w0 = worker("w0");
        rig.set_measurement(&w0, task, CPU as u32, 3);
        rig.set_measurement(&at, task, CPU as u32, percent);
        rig.planner = successor(&rig, &submissions(&speculative()));
        rig.orders.clear();
        assert_eq!(go_on(&mut rig, task), 0);
        assert_eq!(
            (runs_on(&rig, &at, task), runs_on(&rig, &w0, task)),
            (is_copy_kept, !is_copy_kept)
        );
    }
}

/// The worker of a copy has no plan that is handed over, so that a successor waits
/// for it; that of the first run has one.
#[test]
fn handed_copy() {
    let (mut rig, at, task) = copied_rig(3);
    (0..3).for_each(|_| rig.poll_all());
    rig.planner.prepare_hand_over(rig.now);
    rig.store();
    let plans = rig.planner.hand_over(rig.now, |_| None);
    let plan = |it: &WorkerId| plans.iter().find(|of| of.worker == *it)?.plan.as_ref();
    assert!(plan(&at).is_none());
    let first = plan(&worker("w0")).expect("a plan");
    assert!(first.runs.iter().any(|it| it.task == task && it.run < RunNumber(10_000)));
}

/// A fault of the first run's failure domain should not hit both runs.
#[test]
fn other_domain() {
    for other in ["w1", "w2"] {
        let mut rig = slow_rig(&speculative(), 3);
        rig.update_listings(|it| {
            if it.worker.as_str() == other {
                it.domain = "d2".parse().expect("a valid name");
            }
        });
        assert_eq!(next_start(&mut rig).map(|it| it.0), Some(worker(other)));
    }
}

/// One copy is allowed of any number of runs, and the second task waits.
#[test]
fn bounded_number() {
    let (mut rig, _, task) = copied_rig(3);
    assert!(next_start(&mut rig).is_none(), "a second copy");
    assert!(runs_on(&rig, &worker("w0"), task));
}

#[test]
fn other_steps() {
    let plain = StepSpec { is_speculative: false, ..speculative() };
    let gang = StepSpec { is_gang: true, ..speculative() };
    let best_effort = StepSpec { is_best_effort: true, ..speculative() };
    let long_running = StepSpec { is_long_running: true, ..speculative() };
    for spec in [plain, gang, best_effort, long_running] {
        let mut rig = slow_rig(&spec, 3);
        assert!(next_start(&mut rig).is_none(), "{spec:?}");
        assert_eq!(rig.planner.counts(rig.now).copies.started, 0);
    }
}

/// With a single attempt, a copy could make it two failed runs.
#[test]
fn attempts_budget() {
    assert!(next_start(&mut slow_rig(&speculative(), 1)).is_none());
    assert!(next_start(&mut slow_rig(&speculative(), 2)).is_some());
}

/// A copy needs room that no other work waits for.
#[test]
fn waiting_work() {
    let mut rig = slow_rig(&speculative(), 3);
    rig.submit(submission(3, vec![step(1, 3 * CPU, &[])], START));
    assert!(next_start(&mut rig).is_some(), "no worker can ever hold it");
    let mut rig = slow_rig(&speculative(), 3);
    rig.submit(submission(3, vec![step(1, 2 * CPU, &[])], START));
    assert!(next_start(&mut rig).is_none(), "it waits for w0, which may lack room for long");
}

/// The first run's end is not acknowledged while the copy may still begin.
#[test]
fn late_start() {
    for is_answered in [true, false] {
        let mut rig = slow_rig(&speculative(), 3);
        let copy = next_start(&mut rig).expect("a copy");
        let (w0, task) = (worker("w0"), copy.1.task);
        rig.end(&w0, task, EndKind::Done);
        go_on(&mut rig, task);
        assert!(!is_acknowledged(&rig, &w0), "the copy may begin");
        if is_answered {
            answer(&mut rig, &copy, StartOutcome::Started);
        } else {
            rig.advance(MAX_START_LEASE_MS);
        }
        go_on(&mut rig, task);
        assert!(is_acknowledged(&rig, &w0));
        assert!(!runs_on(&rig, &copy.0, task), "the copy is stopped");
    }
}

/// A new leader acknowledges no end of a copied task while another worker may still
/// carry out a start of the earlier leader.
#[test]
fn earlier_copy() {
    let (mut rig, at, task) = copied_rig(3);
    let w0 = worker("w0");
    rig.planner = successor(&rig, &submissions(&speculative()));
    rig.orders.clear();
    rig.end(&w0, task, EndKind::Done);
    for _ in 0..2 {
        rig.plan();
        rig.store();
    }
    assert!(!is_acknowledged(&rig, &w0), "{at} was not polled");
    assert_eq!(go_on(&mut rig, task), 0);
    assert!(is_acknowledged(&rig, &w0) && !runs_on(&rig, &at, task));
    assert_eq!(rig.states[&SubmissionId(task.step.submission.0)], SubmissionState::Completed);
    assert!(rig.now < Timestamp(START.0 + MAX_ORPHAN_LEASE_MS));
}

/// Returns the world after faults that hit tasks with copies, and the number of
/// copies.
fn simulate(seed: u64, has_handovers: bool) -> (World, usize) {
    let mut world =
        if has_handovers { World::with_processes(seed, 5, 3) } else { World::new(seed, 5) };
    for (i, worker) in world.workers.iter_mut().enumerate() {
        worker.incarnation = Incarnation(5_000 + 100 * i as u64);
        worker.speed_percent = if i == 0 { 12 } else { 100 };
    }
    (world.has_progress, world.restart_ms) = (true, 1_000);
    (world.call_failure_percent, world.run_failure_percent) = (20, 4);
    for id in 1..=12 {
        let saves_progress = world.rng.random_range(0..2) == 0;
        let spec = StepSpec { count: 5, saves_progress, ..speculative() };
        world.submit(submission(id, vec![spec, step(2, 700, &[0])], world.now));
        let pause = world.rng.random_range(500..2_000);
        world.run(pause);
        let worker = world.rng.random_range(0..world.workers.len());
        match world.rng.random_range(0..5) {
            2 | 3 if has_handovers => {
                let pause_ms = world.rng.random_range(0..500);
                world.step_down(id as usize % 3, pause_ms);
            }
            0 => world.restart(worker),
            1 => {
                let until = world.now.plus_ms(world.rng.random_range(1_000..6_000));
                world.workers[worker].unreachable_until = until;
            }
            2 => world.elect(),
            3 => world.elect_beside(400),
            _ => {}
        }
        let spare = world.leaders.len().saturating_sub(2);
        world.leaders.drain(..spare);
    }
    (world.call_failure_percent, world.run_failure_percent) = (0, 0);
    world.end_earlier_leaders();
    world.workers.iter_mut().for_each(|it| it.unreachable_until = Timestamp(0));
    world.run(SETTLE_MS);
    let copies = world.log.iter().filter(|it| it.contains("CopyStarted")).count();
    (world, copies)
}

/// Crashes, lost calls and changes of the leader: a task has at most two runs, and
/// none begins after its end was acknowledged.
#[test]
fn random_faults() {
    check(false);
}

/// The same with leaders that step down and hand over their plans.
#[test]
fn random_handovers() {
    check(true);
}

fn check(has_handovers: bool) {
    let mut copies = 0;
    for seed in 0..200 {
        let (world, started) = simulate(seed, has_handovers);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert!(world.unfinished().is_empty(), "seed {seed}: {:?}", world.unfinished());
        assert_eq!(world.running(), 0, "seed {seed}: something still runs");
        copies += started;
    }
    assert!(100 <= copies, "{copies} copies");
}
