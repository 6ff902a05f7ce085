//! Work that has no run because workers have crashed under its tasks.
//!
//! Guards against tasks that are suspected of the crash and wait for their turn
//! in isolation. Users accept 3 s without a run while less than half of the
//! capacity is reserved.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::collections::{BTreeMap, BTreeSet};

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, SubmissionId},
        message::{StartOrder, WorkerReport},
        submission::{StepSpec, SubmissionState},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};

const WORKERS: usize = 40;
const CPU: u64 = 32_000;
/// Workers that crash at once.
const CRASHES: usize = 6;
/// Submissions that have begun a moment before.
const SUBMISSIONS: u64 = 240;
/// Longest time without a run that users accept, in milliseconds.
const MAX_IDLE_MS: u64 = 3_000;
/// Time between two polls of a worker on which no run ends, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;
const STEP_MS: u64 = 100;
/// Time for which a deadly task runs before its worker crashes, in milliseconds.
const DEADLY_RUN_MS: u64 = 300;

struct World {
    rig: Rig,
    /// Submissions whose tasks crash their workers.
    deadly: BTreeSet<SubmissionId>,
    /// When deadly runs crash their workers.
    crash_at: BTreeMap<WorkerId, Timestamp>,
    crashed: BTreeSet<WorkerId>,
    idle_since: BTreeMap<SubmissionId, Timestamp>,
    longest_idle_ms: u64,
}

impl World {
    /// Returns a fleet on which every submission has just begun its only task,
    /// and the first workers crash at once.
    fn crashed(spec: &StepSpec, deadly: &[u64]) -> World {
        let names: Vec<String> = (0..WORKERS).map(|it| format!("w{it:02}")).collect();
        let fleet: Vec<(&str, u64)> = names.iter().map(|it| (it.as_str(), CPU)).collect();
        let mut rig = Rig::new(manifest(3), &fleet);
        for id in 1..=SUBMISSIONS {
            rig.submit(submission(id, vec![spec.clone()], START));
        }
        let starts = rig.plan();
        let ids = 1..=SUBMISSIONS;
        let mut world = World {
            deadly: deadly.iter().copied().map(SubmissionId).collect(),
            crash_at: BTreeMap::new(),
            crashed: BTreeSet::new(),
            idle_since: ids.map(|it| (SubmissionId(it), rig.now)).collect(),
            longest_idle_ms: 0,
            rig,
        };
        world.note_starts(&starts);
        world.rig.advance(STEP_MS);
        for name in &names[..CRASHES] {
            world.crash(&name.parse().expect("a valid name"));
        }
        world
    }

    fn note_starts(&mut self, starts: &[(WorkerId, StartOrder)]) {
        for (worker, start) in starts {
            if self.deadly.contains(&start.task.step.submission) {
                self.crash_at.insert(worker.clone(), self.rig.now.plus_ms(DEADLY_RUN_MS));
            }
        }
    }

    /// Crashes a worker: another one answers at its address.
    fn crash(&mut self, worker: &WorkerId) {
        self.crash_at.remove(worker);
        self.crashed.insert(worker.clone());
        let state = self.rig.workers.get_mut(worker).expect("a worker");
        state.running.clear();
        let report = WorkerReport::Replaced { incarnation: Some(Incarnation(1)) };
        self.rig.planner.report(worker, report, self.rig.now);
    }

    fn play(&mut self, ms: u64) {
        let ends_at = self.rig.now.plus_ms(ms);
        while self.rig.now < ends_at {
            self.rig.advance(STEP_MS);
            let now = self.rig.now;
            let due: Vec<WorkerId> =
                self.crash_at.iter().filter(|it| *it.1 <= now).map(|it| it.0.clone()).collect();
            for worker in due {
                self.crash(&worker);
            }
            let percent = (now.ms_since(START) / 200 % 97) as u8;
            for (task, worker) in self.rig.running() {
                self.rig.set_measurement(&worker, task, 1_000, percent);
            }
            let workers: Vec<WorkerId> = self.rig.workers.keys().cloned().collect();
            for (i, worker) in workers.iter().enumerate() {
                let is_due =
                    (now.0 / STEP_MS + i as u64).is_multiple_of(POLL_INTERVAL_MS / STEP_MS);
                if is_due && !self.crashed.contains(worker) {
                    self.rig.poll(worker, Vec::new());
                }
            }
            for _ in 0..2 {
                let starts = self.rig.plan();
                self.note_starts(&starts);
                self.rig.store();
            }
            self.measure();
        }
    }

    /// Returns the submissions that were given up.
    fn given_up(&self) -> Vec<SubmissionId> {
        let failed = self.rig.states.iter().filter(|it| *it.1 == SubmissionState::Failed);
        failed.map(|it| *it.0).collect()
    }

    fn measure(&mut self) {
        let now = self.rig.now;
        let running = self.rig.running();
        let running: BTreeSet<SubmissionId> = running.keys().map(|it| it.step.submission).collect();
        for (id, since) in &mut self.idle_since {
            if running.contains(id) || self.deadly.contains(id) {
                *since = now;
            }
            self.longest_idle_ms = self.longest_idle_ms.max(now.ms_since(*since));
        }
    }
}

/// Tasks that were new on several workers which crashed at once start again in
/// time.
#[test]
fn workers_crash_together() {
    let mut world = World::crashed(&step(1, 1_000, &[]), &[]);
    world.play(15_000);
    let idle_ms = world.longest_idle_ms;
    assert!(idle_ms < MAX_IDLE_MS, "a submission has no run for {idle_ms} ms");
}

/// The same while two other tasks crash their workers, too: sound tasks that
/// are isolated beside one of these wait once more, and are never given up.
#[test]
fn deadly_among_them() {
    let mut world = World::crashed(&step(1, 1_000, &[]), &[3, 6]);
    world.play(15_000);
    let idle_ms = world.longest_idle_ms;
    assert!(idle_ms < MAX_IDLE_MS, "a submission has no run for {idle_ms} ms");
    let given_up: Vec<SubmissionId> = world.given_up();
    assert_eq!(given_up, [SubmissionId(3), SubmissionId(6)]);
    // Four crashes under each, the first of them by its own start.
    assert!(world.crashed.len() <= CRASHES + 2 * 4, "{} workers crashed", world.crashed.len());
}

/// Tasks of a step with a limit for each worker are not isolated together beyond
/// it.
#[test]
fn limit_per_worker() {
    let limited = StepSpec { max_per_worker: Some(1), ..step(WORKERS as u16, 1_000, &[]) };
    let mut world = World::crashed(&limited, &[]);
    world.play(15_000);
    let running = world.rig.running();
    let mut placed: BTreeMap<(&WorkerId, SubmissionId), usize> = BTreeMap::new();
    for (task, worker) in &running {
        *placed.entry((worker, task.step.submission)).or_default() += 1;
    }
    assert!(placed.values().all(|it| *it == 1), "{placed:?}");
}
