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
        submission::SubmissionState,
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::Rig;

/// How long each task works, in milliseconds.
const WORK_MS: u64 = 800;
/// Objective of the submissions below: twice a chain of 800 ms and 1,000 ms.
const OBJECTIVE_MS: u64 = 2 * 800 + 1_000;

/// Plays a burst: `per_second` submissions of one step for some seconds on a
/// fleet that serves fewer. Returns when each was completed.
fn burst(per_second: u64, seconds: u64) -> BTreeMap<SubmissionId, (Timestamp, Timestamp)> {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
    let mut ends: Vec<(Timestamp, WorkerId, TaskKey)> = Vec::new();
    let mut accepted = BTreeMap::new();
    let mut completed = BTreeMap::new();
    for tick in 0..(seconds + 12) * 20 {
        rig.pass(50);
        if tick < seconds * 20 && tick.is_multiple_of((20 / per_second).max(1)) {
            let id = accepted.len() as u64;
            accepted.insert(SubmissionId(id), rig.now);
            rig.submit(submission(id, vec![step(4, 1_000, &[])], rig.now));
        }
        let (due, later): (Vec<_>, Vec<_>) = ends.into_iter().partition(|it| it.0 <= rig.now);
        ends = later;
        for (_, worker, task) in due {
            rig.end(&worker, task, EndKind::Done);
        }
        rig.look_all();
        for (worker, start) in rig.plan() {
            ends.push((rig.now.plus_ms(WORK_MS), worker, start.task));
        }
        rig.store();
        rig.plan();
        for (id, state) in &rig.states {
            if *state == SubmissionState::Completed {
                completed.entry(*id).or_insert(rig.now);
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

/// A fleet that runs `WORK_MS` for each task that ends.
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

    /// Passes 50 ms in which one small submission arrives: 1.6 times what the
    /// fleet can do. Returns the tasks that were started.
    fn pass(&mut self) -> Vec<TaskKey> {
        self.rig.pass(50);
        let ended: Vec<_> = self.ends.extract_if(.., |it| it.0 <= self.rig.now).collect();
        for (_, worker, task) in ended {
            self.rig.end(&worker, task, EndKind::Done);
        }
        self.rig.look_all();
        self.next_small += 1;
        self.rig.submit(submission(self.next_small, vec![step(1, 800, &[])], self.rig.now));
        let mut started = Vec::new();
        for (worker, start) in self.rig.plan() {
            started.push(start.task);
            if start.task.step.submission.0 != LASTING {
                self.ends.push((self.rig.now.plus_ms(WORK_MS), worker, start.task));
            }
        }
        started
    }

    /// Passes time, and returns whether a submission's task was started.
    fn starts(&mut self, id: u64, ms: u64) -> bool {
        (0..ms / 50).any(|_| self.pass().iter().any(|it| it.step.submission.0 == id))
    }
}

const LARGE: u64 = 1;
const LASTING: u64 = 2;

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

fn lasting(now: Timestamp) -> std::sync::Arc<mustardcove_core::fleet::submission::Submission> {
    let mut step = step(1, 800, &[]);
    step.is_long_running = true;
    submission(LASTING, vec![step], now)
}

/// Guards against new tasks that last and take the room of work that ends: it
/// waits for as long as they run.
#[test]
fn lasting_after_ending() {
    let mut busy = Busy::new();
    busy.starts(LASTING, 3_000);
    let submission = lasting(busy.rig.now);
    busy.rig.submit(submission);
    assert!(!busy.starts(LASTING, 3_000), "it took the room of work that ends");
    // The load ends, and the work that waits is done.
    let starts_now = (0..400).any(|_| {
        busy.rig.pass(50);
        let ended: Vec<_> = busy.ends.extract_if(.., |it| it.0 <= busy.rig.now).collect();
        for (_, worker, task) in ended {
            busy.rig.end(&worker, task, EndKind::Done);
        }
        busy.rig.look_all();
        let starts = busy.rig.plan();
        let ends_at = busy.rig.now.plus_ms(WORK_MS);
        busy.ends.extend(starts.iter().map(|it| (ends_at, it.0.clone(), it.1.task)));
        starts.iter().any(|it| it.1.task.step.submission.0 == LASTING)
    });
    assert!(starts_now, "it did not start when the load had ended");
}

/// Tasks that last and ran before come back at once, also under load.
#[test]
fn lasting_comes_back() {
    let mut busy = Busy::new();
    let submission = lasting(busy.rig.now);
    busy.rig.submit(submission);
    assert!(busy.starts(LASTING, 1_000));
    busy.starts(LARGE, 3_000);
    let (task, worker) = (busy.rig.running().into_iter())
        .find(|it| it.0.step.submission.0 == LASTING)
        .expect("it runs");
    busy.rig.end(&worker, task, EndKind::Failed);
    assert!(busy.starts(LASTING, 1_500), "it did not come back");
}
