//! Simulations of loads in which more work waits than fits.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::collections::BTreeMap;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{SubmissionId, TaskKey},
        message::EndKind,
        submission::{StepSpec, SubmissionState},
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::Rig;

/// How long each task works, in milliseconds.
const WORK_MS: u64 = 800;
/// Ids of the submissions that the tests watch; smaller than those of any
/// other.
const LARGE: u64 = 1;
const LONG_RUNNING: u64 = 2;
/// The first submission of a burst.
const FIRST_OF_BURST: u64 = 10;
/// SLO of the submissions below: twice a critical path of 800 ms, and 1,000 ms
/// of delay budget.
const SLO_MS: u64 = 2 * 800 + 1_000;

/// A fleet of two workers on which each batch task works for `WORK_MS`.
struct LoadedFleet {
    rig: Rig,
    ends: Vec<(Timestamp, WorkerId, TaskKey)>,
    next_small: u64,
}

impl LoadedFleet {
    fn new() -> LoadedFleet {
        let rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
        LoadedFleet { rig, ends: Vec::new(), next_small: 1_000 }
    }

    /// Advances by 50 ms, in which a submission may arrive. Returns the tasks
    /// that were started.
    fn advance(&mut self, arriving: Option<(u64, StepSpec)>) -> Vec<TaskKey> {
        self.rig.advance(50);
        if let Some((id, step)) = arriving {
            self.rig.submit(submission(id, vec![step], self.rig.now));
        }
        let now = self.rig.now;
        let ended: Vec<_> = self.ends.extract_if(.., |it| it.0 <= now).collect();
        for (_, worker, task) in ended {
            self.rig.end(&worker, task, EndKind::Done);
        }
        self.rig.poll_all();
        let starts = self.rig.plan();
        let ending = starts.iter().filter(|it| it.1.task.step.submission.0 != LONG_RUNNING);
        let ends_at = now.plus_ms(WORK_MS);
        self.ends.extend(ending.map(|it| (ends_at, it.0.clone(), it.1.task)));
        starts.into_iter().map(|it| it.1.task).collect()
    }

    /// Advances time while a small submission arrives every 50 ms: 1.6 times
    /// the fleet's throughput. Returns whether a task of the submission `id`
    /// was started.
    fn starts(&mut self, id: u64, ms: u64) -> bool {
        (0..ms / 50).any(|_| {
            self.next_small += 1;
            let started = self.advance(Some((self.next_small, step(1, 800, &[]))));
            started.iter().any(|it| it.step.submission.0 == id)
        })
    }
}

/// Simulates a burst: `per_second` submissions of one step for some seconds,
/// more than the fleet can run. Returns when each was accepted and
/// completed.
fn burst(per_second: u64, seconds: u64) -> BTreeMap<SubmissionId, (Timestamp, Timestamp)> {
    let mut fleet = LoadedFleet::new();
    let mut accepted = BTreeMap::new();
    let mut completed = BTreeMap::new();
    for tick in 0..(seconds + 12) * 20 {
        let arrives = tick < seconds * 20 && tick.is_multiple_of((20 / per_second).max(1));
        let id = FIRST_OF_BURST + accepted.len() as u64;
        fleet.advance(arrives.then(|| (id, step(4, 1_000, &[]))));
        let now = fleet.rig.now;
        if arrives {
            accepted.insert(SubmissionId(id), now);
        }
        fleet.rig.store();
        fleet.rig.plan();
        for (id, state) in &fleet.rig.states {
            if *state == SubmissionState::Completed {
                completed.entry(*id).or_insert(now);
            }
        }
    }
    completed.into_iter().map(|(id, at)| (id, (accepted[&id], at))).collect()
}

/// Guards against an order in which every submission is late under twice the
/// load that fits: the fleet has to finish in time about as many as it has
/// capacity for.
#[test]
fn burst_in_time() {
    let (per_second, seconds) = (5, 8);
    let completed = burst(per_second, seconds);
    let in_time = |it: &&(Timestamp, Timestamp)| it.1.ms_since(it.0) <= SLO_MS;
    let in_time = completed.values().filter(in_time).count();
    // Eight tasks of 800 ms fit at a time: 2.5 submissions a second.
    let capacity = seconds * 1_000 * 2 / WORK_MS;
    assert!(capacity * 7 / 10 <= in_time as u64, "{in_time} of {capacity} that fit were in time");
}

/// Guards against late work that is never done: it runs once the load falls.
#[test]
fn nothing_starves() {
    let completed = burst(5, 4);
    assert_eq!(completed.len(), 20);
}

/// Guards against large tasks that never find capacity because small ones fill
/// every gap first: on the users' platform 1,200 tasks waited while three in
/// four starts were of later and smaller tasks.
#[test]
fn large_tasks() {
    let mut fleet = LoadedFleet::new();
    fleet.starts(LARGE, 3_000);
    let large = submission(LARGE, vec![step(1, 3_000, &[])], fleet.rig.now);
    fleet.rig.submit(large);
    assert!(fleet.starts(LARGE, SLO_MS), "the large task did not start in time");
}

fn long_running() -> StepSpec {
    StepSpec { is_long_running: true, ..step(1, 800, &[]) }
}

/// Guards against new long-running tasks that take the capacity of batch work,
/// which then waits for as long as they run.
#[test]
fn long_running_after_batch() {
    let mut fleet = LoadedFleet::new();
    fleet.starts(LONG_RUNNING, 3_000);
    let submission = submission(LONG_RUNNING, vec![long_running()], fleet.rig.now);
    fleet.rig.submit(submission);
    assert!(!fleet.starts(LONG_RUNNING, 3_000), "it took the capacity of batch work");
    // After the load has ended and the waiting work is done, it starts.
    let starts_now =
        (0..400).any(|_| fleet.advance(None).iter().any(|it| it.step.submission.0 == LONG_RUNNING));
    assert!(starts_now, "it did not start when the load had ended");
}

/// Guards against long-running tasks that ran before and then wait for the load
/// to end: they restart at once.
#[test]
fn long_running_returns() {
    let mut fleet = LoadedFleet::new();
    let submission = submission(LONG_RUNNING, vec![long_running()], fleet.rig.now);
    fleet.rig.submit(submission);
    assert!(fleet.starts(LONG_RUNNING, 1_000));
    fleet.starts(LARGE, 3_000);
    let (task, worker) = (fleet.rig.running().into_iter())
        .find(|it| it.0.step.submission.0 == LONG_RUNNING)
        .expect("it runs");
    fleet.rig.end(&worker, task, EndKind::Failed);
    assert!(fleet.starts(LONG_RUNNING, 1_500), "it did not restart");
}
