//! Replays of the loads in which more work waits than fits.

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
/// The submissions of the tests below; smaller numbers than any other.
const LARGE: u64 = 1;
const LASTING: u64 = 2;
/// The first submission of a burst.
const FIRST_OF_BURST: u64 = 10;
/// Objective of the submissions below: twice a chain of 800 ms and 1,000 ms.
const OBJECTIVE_MS: u64 = 2 * 800 + 1_000;

/// A fleet of two workers on which each task that ends works `WORK_MS`.
struct Busy {
    rig: Rig,
    ends: Vec<(Timestamp, WorkerId, TaskKey)>,
    next_small: u64,
}

impl Busy {
    fn new() -> Busy {
        let rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
        Busy { rig, ends: Vec::new(), next_small: 1_000 }
    }

    /// Passes 50 ms, in which a submission may arrive. Returns the tasks that
    /// were started.
    fn pass(&mut self, arriving: Option<(u64, StepSpec)>) -> Vec<TaskKey> {
        self.rig.pass(50);
        if let Some((id, step)) = arriving {
            self.rig.submit(submission(id, vec![step], self.rig.now));
        }
        let now = self.rig.now;
        let ended: Vec<_> = self.ends.extract_if(.., |it| it.0 <= now).collect();
        for (_, worker, task) in ended {
            self.rig.end(&worker, task, EndKind::Done);
        }
        self.rig.look_all();
        let starts = self.rig.plan();
        let ending = starts.iter().filter(|it| it.1.task.step.submission.0 != LASTING);
        let ends_at = now.plus_ms(WORK_MS);
        self.ends.extend(ending.map(|it| (ends_at, it.0.clone(), it.1.task)));
        starts.into_iter().map(|it| it.1.task).collect()
    }

    /// Passes time in which a small submission arrives every 50 ms: 1.6 times
    /// what the fleet can do. Returns whether a submission's task was started.
    fn starts(&mut self, id: u64, ms: u64) -> bool {
        (0..ms / 50).any(|_| {
            self.next_small += 1;
            let started = self.pass(Some((self.next_small, step(1, 800, &[]))));
            started.iter().any(|it| it.step.submission.0 == id)
        })
    }
}

/// Plays a burst: `per_second` submissions of one step for some seconds on a
/// fleet that serves fewer. Returns when each was completed.
fn burst(per_second: u64, seconds: u64) -> BTreeMap<SubmissionId, (Timestamp, Timestamp)> {
    let mut busy = Busy::new();
    let mut accepted = BTreeMap::new();
    let mut completed = BTreeMap::new();
    for tick in 0..(seconds + 12) * 20 {
        let arrives = tick < seconds * 20 && tick.is_multiple_of((20 / per_second).max(1));
        let id = FIRST_OF_BURST + accepted.len() as u64;
        busy.pass(arrives.then(|| (id, step(4, 1_000, &[]))));
        let now = busy.rig.now;
        if arrives {
            accepted.insert(SubmissionId(id), now);
        }
        busy.rig.store();
        busy.rig.plan();
        for (id, state) in &busy.rig.states {
            if *state == SubmissionState::Completed {
                completed.entry(*id).or_insert(now);
            }
        }
    }
    completed.into_iter().map(|(id, at)| (id, (accepted[&id], at))).collect()
}

/// Guards against an order in which, under twice the load that fits, every
/// submission is finished late: the fleet is to serve about as many in time as
/// it has room for.
#[test]
fn burst_in_time() {
    let (per_second, seconds) = (5, 8);
    let served = burst(per_second, seconds);
    let in_time = |it: &&(Timestamp, Timestamp)| it.1.ms_since(it.0) <= OBJECTIVE_MS;
    let in_time = served.values().filter(in_time).count();
    // Eight tasks of 800 ms fit at a time: 2.5 submissions a second.
    let room = seconds * 1_000 * 2 / WORK_MS;
    assert!(room * 7 / 10 <= in_time as u64, "{in_time} of room for {room} were in time");
}

/// Work that is late is still done once the load falls.
#[test]
fn nothing_starves() {
    let served = burst(5, 4);
    assert_eq!(served.len(), 20);
}

/// Guards against large tasks that never find room because small ones take
/// every hole first: on the users' platform 1,200 tasks waited while three in
/// four starts were later and smaller.
#[test]
fn large_tasks() {
    let mut busy = Busy::new();
    busy.starts(LARGE, 3_000);
    let large = submission(LARGE, vec![step(1, 3_000, &[])], busy.rig.now);
    busy.rig.submit(large);
    assert!(busy.starts(LARGE, OBJECTIVE_MS), "the large task did not start in time");
}

fn lasting() -> StepSpec {
    StepSpec { is_long_running: true, ..step(1, 800, &[]) }
}

/// Guards against new tasks that last and take the room of work that ends: it
/// waits for as long as they run.
#[test]
fn lasting_after_ending() {
    let mut busy = Busy::new();
    busy.starts(LASTING, 3_000);
    let submission = submission(LASTING, vec![lasting()], busy.rig.now);
    busy.rig.submit(submission);
    assert!(!busy.starts(LASTING, 3_000), "it took the room of work that ends");
    // The load ends, and the work that waits is done.
    let starts_now =
        (0..400).any(|_| busy.pass(None).iter().any(|it| it.step.submission.0 == LASTING));
    assert!(starts_now, "it did not start when the load had ended");
}

/// Tasks that last and ran before come back at once, also under load.
#[test]
fn lasting_comes_back() {
    let mut busy = Busy::new();
    let submission = submission(LASTING, vec![lasting()], busy.rig.now);
    busy.rig.submit(submission);
    assert!(busy.starts(LASTING, 1_000));
    busy.starts(LARGE, 3_000);
    let (task, worker) = (busy.rig.running().into_iter())
        .find(|it| it.0.step.submission.0 == LASTING)
        .expect("it runs");
    busy.rig.end(&worker, task, EndKind::Failed);
    assert!(busy.starts(LASTING, 1_500), "it did not come back");
}
