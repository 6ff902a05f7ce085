//! Best-effort runs that are stopped so that they can go on elsewhere.
//!
//! Guards against stops of more runs than the free worker has processor time for:
//! each of them is without a run until its end is listed, and work in vain.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, TaskKey},
        message::{EndKind, Order, StartOutcome, WorkerReport},
        submission::StepSpec,
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::Rig;

const CPU: u64 = 32_000;
const STEP_MS: u64 = 50;
/// Time that a run takes to stop, in milliseconds.
const STOP_MS: u64 = 400;
const FILLING: u64 = 900;

fn best_effort(count: u16) -> StepSpec {
    StepSpec { is_best_effort: true, saves_progress: true, ..step(count, CPU, &[]) }
}

struct World {
    rig: Rig,
    stopping: Vec<(Timestamp, WorkerId, TaskKey)>,
    stops: usize,
}

impl World {
    fn advance(&mut self) {
        let rig = &mut self.rig;
        rig.store();
        rig.advance(STEP_MS);
        let percent = (rig.now.0 / 200 % 97) as u8;
        for (task, worker) in rig.running() {
            rig.set_measurement(&worker, task, 1_000, percent);
        }
        if rig.now.0.is_multiple_of(250) {
            rig.poll_all();
        }
        let now = rig.now;
        for (_, worker, task) in self.stopping.extract_if(.., |it| it.0 <= now) {
            rig.end(&worker, task, EndKind::Stopped);
        }
        rig.planner.tick(now);
        for (worker, order) in rig.planner.take_actions().orders {
            match order {
                Order::Start(start) => {
                    let state = rig.workers.get_mut(&worker).expect("a worker");
                    state.running.insert(start.task, (start.run, 0, 0));
                    let (task, run, outcome) = (start.task, start.run, StartOutcome::Started);
                    rig.planner.report(
                        &worker,
                        WorkerReport::Start { task, run, outcome, answered_at: now },
                        now,
                    );
                }
                Order::Stop { task, run } => {
                    self.stops += 1;
                    self.stopping.push((now.plus_ms(STOP_MS), worker.clone(), task));
                    let report =
                        WorkerReport::Stop { task, run, is_confirmed: true, answered_at: now };
                    rig.planner.report(&worker, report, now);
                }
                Order::Pace { .. } | Order::AcknowledgeEnds { .. } => {}
            }
        }
    }
}

/// One worker becomes free beside 60 runs that hardly progress.
#[test]
fn one_free_worker() {
    let names: Vec<String> = (0..20).map(|it| format!("w{it:02}")).collect();
    let fleet: Vec<(&str, u64)> = names.iter().map(|it| (it.as_str(), CPU)).collect();
    let rig = Rig::new(manifest(3), &fleet);
    let mut world = World { rig, stopping: Vec::new(), stops: 0 };
    let rig = &mut world.rig;
    rig.submit(submission(FILLING, vec![best_effort(20)], rig.now));
    rig.plan();
    for id in 1..=60 {
        rig.submit(submission(id, vec![best_effort(1)], rig.now));
    }
    for _ in 0..100 {
        world.advance();
    }
    assert_eq!(world.rig.running().len(), 80);
    assert_eq!(world.stops, 0);
    let rig = &mut world.rig;
    let free = listing("x0", CPU, Incarnation(1));
    rig.workers.insert(free.worker.clone(), Default::default());
    rig.listings.push(free);
    rig.planner.update_workers(rig.listings.clone(), true);
    rig.poll_all();
    for _ in 0..60 {
        world.advance();
    }
    let moved = world.rig.workers.iter().find(|it| it.0.as_str() == "x0");
    assert!(moved.is_some_and(|it| !it.1.running.is_empty()), "the worker is used");
    // The place of the first may be taken by another one.
    assert!(world.stops <= 2, "{} runs were stopped", world.stops);
}
