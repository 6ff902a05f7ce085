//! Failure domains that operators evacuate.
//!
//! The load pattern is that all workers of one domain take no new work for a while,
//! and what runs there goes on.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{Side, World, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        evacuation::{EvacuationChange, EvacuationList},
        id::Revision,
        message::{EndKind, StartOutcome, WorkerReport},
        planner::DecisionKind,
        submission::StepSpec,
    },
    id::{FailureDomainId, WorkerId},
};
use planner_rig::{Rig, START};
use rand::RngExt;

fn domain(name: &str) -> FailureDomainId {
    name.parse().expect("a valid name")
}

fn list(as_of: u64, domains: &[&str]) -> EvacuationList {
    let domains = domains.iter().map(|it| domain(it)).collect();
    EvacuationList { as_of: Revision(as_of), domains }
}

fn worker(name: &str) -> WorkerId {
    name.parse().expect("a valid name")
}

/// Returns a rig with the workers `a` and `b`, each in a domain of its name.
fn two_domains(cpu: u64) -> Rig {
    let mut rig = Rig::new(manifest(3), &[("a", cpu), ("b", cpu)]);
    rig.update_listings(|it| it.domain = domain(it.worker.as_str()));
    rig
}

fn set_evacuated(rig: &mut Rig, as_of: u64, domains: &[&str]) {
    rig.planner.set_evacuations(&list(as_of, domains), rig.now);
}

/// Lets the planner plan for a while, with polls and stored progress.
fn run(rig: &mut Rig, ms: u64) -> Vec<WorkerId> {
    let mut started = Vec::new();
    for _ in 0..ms / 100 {
        rig.advance(100);
        rig.poll_all();
        started.extend(rig.plan().into_iter().map(|it| it.0));
        rig.store();
    }
    started
}

/// Guards against an older list, from a process that lags, that ends an evacuation,
/// and against changes that are heard twice.
#[test]
fn newest_list() {
    let mut known = list(5, &["a"]);
    assert!(!known.merge(&list(5, &[])) && !known.merge(&list(4, &["b"])));
    assert!(!known.merge(&list(6, &["a"])) && known.as_of == Revision(6));
    assert!(known.merge(&list(7, &[])) && known.domains.is_empty());
    let evacuated = |it| EvacuationChange::Evacuated(domain(it));
    let ended = |it| EvacuationChange::Ended(domain(it));
    let changes = [evacuated("a"), ended("a"), evacuated("a"), evacuated("b")];
    let once = known.with_changes(changes.clone(), Revision(9));
    assert_eq!(once.with_changes(changes, Revision(9)), once);
    assert_eq!(once, list(9, &["a", "b"]));
}

/// Guards against starts in an evacuated domain, also of what was there before,
/// and against a domain that stays unused after its evacuation.
#[test]
fn starts_elsewhere() {
    let mut rig = two_domains(4_000);
    rig.submit(submission(1, vec![step(2, 3_000, &[])], START));
    assert_eq!(rig.plan().len(), 2);
    let changes = rig.planner.set_evacuations(&list(2, &["a", "none"]), rig.now);
    let changes: Vec<_> =
        changes.iter().map(|it| (it.domain.as_str(), it.workers, it.runs)).collect();
    assert_eq!(changes, [("a", 1, 1), ("none", 0, 0)]);
    rig.submit(submission(2, vec![step(1, 3_000, &[])], START));
    assert!(run(&mut rig, 1_000).is_empty(), "a full and an evacuated worker");
    assert_eq!(rig.running().len(), 2, "runs go on");
    let task = *rig.workers[&worker("a")].running.keys().next().expect("a run");
    rig.end(&worker("a"), task, EndKind::Failed);
    let other = *rig.workers[&worker("b")].running.keys().next().expect("a run");
    rig.end(&worker("b"), other, EndKind::Done);
    assert_eq!(run(&mut rig, 1_000), [worker("b")]);
    set_evacuated(&mut rig, 3, &[]);
    assert_eq!(run(&mut rig, 300), [worker("a")]);
}

/// Guards against an evacuated worker that counts as room: best-effort work waits
/// while most of the rest is reserved, and nothing waits for the end of the
/// evacuation beside free workers.
#[test]
fn counts_as_no_room() {
    let mut rig = two_domains(4_000);
    rig.submit(submission(1, vec![step(1, 3_500, &[])], START));
    assert_eq!(rig.plan().len(), 1);
    let free = if rig.workers[&worker("a")].running.is_empty() { "a" } else { "b" };
    set_evacuated(&mut rig, 2, &[free]);
    let best_effort = StepSpec { is_best_effort: true, ..step(1, 2_000, &[]) };
    rig.submit(submission(2, vec![best_effort], START));
    assert!(run(&mut rig, 2_000).is_empty());
    let counts = rig.planner.counts(rig.now);
    assert_eq!((counts.evacuated_domains, counts.evacuated_workers), (1, 1));
    assert_eq!(counts.schedulable_workers, 1);
}

/// Guards against a start that the process refuses because it knows of the
/// evacuation first: it must not use up an attempt, nor count against the worker,
/// and the task starts elsewhere at once.
#[test]
fn refused_by_process() {
    let mut rig = two_domains(4_000);
    rig.submit(submission(1, vec![step(1, 3_000, &[])], START));
    rig.planner.tick(rig.now);
    let orders = rig.planner.take_actions().orders;
    let [(first, mustardcove_core::fleet::message::Order::Start(order))] = orders.as_slice() else {
        panic!("no start: {orders:?}");
    };
    let report = WorkerReport::Start {
        task: order.task,
        run: order.run,
        outcome: StartOutcome::Evacuated,
        answered_at: rig.now,
    };
    set_evacuated(&mut rig, 2, &[first.as_str()]);
    rig.planner.report(first, report, rig.now);
    let started = rig.plan();
    assert!(started.iter().all(|it| it.0 != *first) && started.len() == 1);
    assert_eq!(
        StartOutcome::after_unanswered(StartOutcome::Evacuated),
        StartOutcome::MayHaveRun,
        "the first attempt may still be carried out"
    );
}

/// Guards against a start that waits for its record and is ordered after the
/// evacuation, and against an isolated worker that keeps its claim.
#[test]
fn withheld_start() {
    let mut rig = Rig::new(manifest(3), &[("a", 4_000), ("b", 4_000), ("c", 4_000)]);
    rig.update_listings(|it| it.domain = domain(it.worker.as_str()));
    rig.submit(submission(1, vec![step(1, 500, &[])], START));
    let first = rig.plan().remove(0).0;
    rig.crash(&first);
    rig.store();
    // The suspected task is placed, and its start waits for its record.
    let is_withheld = |rig: &Rig| rig.planner.counts(rig.now).isolated_workers == 1;
    while !is_withheld(&rig) {
        rig.advance(100);
        rig.poll_all();
        assert!(rig.plan().is_empty());
        rig.store_except(submission(1, Vec::new(), START).id);
    }
    let others: Vec<&str> = ["a", "b", "c"].into_iter().filter(|it| worker(it) != first).collect();
    set_evacuated(&mut rig, 2, &others);
    rig.store();
    assert!(run(&mut rig, 4_000).is_empty(), "it starts in an evacuated domain");
    set_evacuated(&mut rig, 3, &others[..1]);
    assert_eq!(run(&mut rig, 2_000), [worker(others[1])]);
}

/// Guards against a gang that is torn apart: one that has begun stays, and one
/// that has lost a member starts as a whole elsewhere.
#[test]
fn whole_gang() {
    let names = ["a", "b", "c", "d"];
    let mut rig = Rig::new(manifest(3), &names.map(|it| (it, 4_000)));
    rig.update_listings(|it| it.domain = domain(it.worker.as_str()));
    let gang = StepSpec { is_gang: true, max_per_worker: Some(1), ..step(2, 3_000, &[]) };
    rig.submit(submission(1, vec![gang], START));
    let began: Vec<WorkerId> = rig.plan().into_iter().map(|it| it.0).collect();
    set_evacuated(&mut rig, 2, &[began[0].as_str()]);
    assert!(run(&mut rig, 2_000).is_empty());
    assert_eq!(rig.running().len(), 2);
    for (task, at) in rig.running() {
        rig.end(&at, task, EndKind::GangBroken);
    }
    let again = run(&mut rig, 1_000);
    assert!(again.len() == 2 && !again.contains(&began[0]), "{again:?}");
}

/// Guards against long waits that the log does not put down to the evacuation.
#[test]
fn waits_explained() {
    let mut rig = two_domains(4_000);
    set_evacuated(&mut rig, 2, &["a", "b"]);
    let serving = StepSpec { is_long_running: true, ..step(1, 1_000, &[]) };
    rig.submit(submission(1, vec![serving], START));
    let mut lines = Vec::new();
    for _ in 0..50 {
        rig.advance(100);
        rig.poll_all();
        rig.planner.tick(rig.now);
        lines.extend(rig.planner.take_actions().decisions);
    }
    let has = |kind, text: &str| lines.iter().any(|it| it.kind == kind && it.inputs.contains(text));
    assert!(has(DecisionKind::TaskWaiting, "for=evacuation"));
    assert!(has(DecisionKind::TaskWaiting, " evacuated=2"));
    assert!(has(DecisionKind::SubmissionBlocked, " evacuated=2"));
}

const WORKERS: usize = 8;
const DOMAINS: usize = 4;
const PROCESSES: usize = 5;
const SEEDS: u64 = 120;
/// Longest time after the last fault until everything has ended, in milliseconds.
const SETTLE_MS: u64 = 60_000;

/// Disturbs the store, the leader or the processes, and evacuates domains.
fn disturb(world: &mut World) {
    let domain = world.rng.random_range(0..DOMAINS);
    match world.rng.random_range(0..12u32) {
        0..4 => world.set_evacuated(domain, true),
        4..6 => world.set_evacuated(domain, false),
        6 => {
            // Twice within a second.
            for is_evacuated in [true, false, true] {
                world.set_evacuated(domain, is_evacuated);
                world.run(100);
            }
        }
        7 => world.is_store_away = !world.is_store_away,
        8 => world.evacuations.is_slow = !world.evacuations.is_slow,
        9 => {
            let process = world.rng.random_range(0..PROCESSES);
            world.processes[process].is_turned_away ^= true;
        }
        10 => elect(world),
        _ => {
            world.kill_processes();
            elect(world);
        }
    }
}

/// Elects a leader in a process that the store answers, if there is any.
fn elect(world: &mut World) {
    world.is_store_away = false;
    let process = world.rng.random_range(0..PROCESSES);
    world.processes[process].is_turned_away = false;
    world.processes[process].side = Side::Main;
    world.elect_on(process);
    let spare = world.leaders.len().saturating_sub(2);
    world.leaders.drain(..spare);
}

/// Guards against any start in an evacuated domain after the bound, whoever leads
/// and whatever of the store is reached, and against work that never ends.
#[test]
fn random_evacuations() {
    let mut withheld = 0;
    for seed in 0..SEEDS {
        let mut world = World::with_processes(seed, WORKERS, PROCESSES);
        world.evacuations.domains = DOMAINS;
        world.store_delay_ms = 2..=200;
        world.call_failure_percent = [0, 10][world.rng.random_range(0..2usize)];
        for id in 1..=25u64 {
            let steps = vec![step(4, 1_500, &[]), step(2, 700, &[0])];
            world.submit(submission(id, steps, world.now));
            let pause_ms = world.rng.random_range(100..2_500);
            world.run(pause_ms);
            disturb(&mut world);
        }
        world.is_store_away = false;
        world.evacuations.is_slow = false;
        world.processes.iter_mut().for_each(|it| it.is_turned_away = false);
        elect(&mut world);
        (0..DOMAINS).for_each(|it| world.set_evacuated(it, false));
        world.run(SETTLE_MS);
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        assert!(world.unfinished().is_empty(), "seed {seed}: {:?}", world.unfinished());
        withheld += world.evacuations.withheld;
    }
    assert!(0 < withheld, "no process has refused a start");
}
