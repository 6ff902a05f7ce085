//! The number of workers that the planner scores.
//!
//! Guards against plans that take longer than the time between two of them:
//! confirmations are then handled late, runs are stopped and started again,
//! and the leader does not catch up even after the load has fallen.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{id::Incarnation, message::EndKind, submission::StepSpec},
    size::Resources,
};
use planner_rig::Rig;

const WORKERS: usize = 1_000;
const CORES_8: u64 = 8_000;

fn rig() -> Rig {
    let names: Vec<String> = (0..WORKERS).map(|it| format!("w{it}")).collect();
    let fleet: Vec<(&str, u64)> = names.iter().map(|it| (it.as_str(), CORES_8)).collect();
    Rig::new(manifest(3), &fleet)
}

fn scored(rig: &Rig) -> u64 {
    rig.planner.counts(rig.now).scored_workers
}

/// A burst of wide steps: each worker is scored once for a step, and once more
/// for each task placed there.
#[test]
fn wide_steps() {
    let mut rig = rig();
    let tasks = 160;
    rig.submit(submission(1, vec![step(tasks, 500, &[])], rig.now));
    assert_eq!(rig.plan().len(), usize::from(tasks));
    assert!(scored(&rig) <= WORKERS as u64 + u64::from(tasks), "{} scored", scored(&rig));
}

/// A backlog on a full fleet: a round scores only the workers that have changed
/// since the last one.
#[test]
fn full_fleet() {
    let mut rig = rig();
    rig.submit(submission(1, vec![step(WORKERS as u16, CORES_8, &[])], rig.now));
    let running = rig.plan();
    assert_eq!(running.len(), WORKERS);
    // Each demand is a little smaller than the one before, so that none of them
    // shows that another fits nowhere.
    let backlog: u64 = 100;
    for i in 0..backlog {
        let demand = Resources::new(CORES_8 - i, 64 + i, 0);
        let spec = StepSpec { demand, ..step(2, CORES_8, &[]) };
        rig.submit(submission(2 + i, vec![spec], rig.now));
    }
    rig.advance(10);
    rig.plan();
    let (rounds, ends_each) = (20, 5);
    let before = scored(&rig);
    let mut started = 0;
    for ended in running.chunks(ends_each).take(rounds) {
        for (worker, start) in ended {
            rig.end(worker, start.task, EndKind::Done);
        }
        rig.advance(10);
        started += rig.plan().len();
    }
    assert_eq!(started, rounds * ends_each, "freed workers are used at once");
    let most = rounds as u64 * (backlog * ends_each as u64 * 2 + WORKERS as u64);
    assert!(scored(&rig) - before <= most, "{} scored", scored(&rig) - before);
}

/// Many suspected tasks that fit on no worker: the search for one of them answers
/// for the others.
#[test]
fn unfit_suspects() {
    let mut rig = rig();
    let long_running = |cpu| StepSpec { is_long_running: true, ..step(1, cpu, &[]) };
    let filling = StepSpec { count: WORKERS as u16, ..long_running(CORES_8 - 500) };
    rig.submit(submission(1, vec![filling], rig.now));
    assert_eq!(rig.plan().len(), WORKERS);
    let suspects: u64 = 1_000;
    let crashing = listing("c", suspects * CORES_8, Incarnation(1));
    rig.add_workers(std::slice::from_ref(&crashing));
    for i in 0..suspects {
        rig.submit(submission(2 + i, vec![long_running(CORES_8 - i)], rig.now));
    }
    assert_eq!(rig.plan().len(), suspects as usize);
    rig.crash(&crashing.worker);
    rig.store();
    assert_eq!(rig.planner.counts(rig.now).suspect_tasks, suspects as usize);
    let seconds = 3;
    let before = scored(&rig);
    for _ in 0..seconds * 10 {
        rig.plan();
        rig.store();
        rig.advance(100);
        rig.poll_all();
    }
    // Beside four searches, up to seven explanations in each second.
    let most = seconds * (4 + 7) * WORKERS as u64;
    assert!(scored(&rig) - before <= most, "{} scored", scored(&rig) - before);
}
