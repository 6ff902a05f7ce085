//! Suspension of workers whose runs fail.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;

use fleet_world::{listing, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{EndNumber, Incarnation, RunNumber, TaskKey, Term},
        message::{EndKind, EndedRun, Order, PollResult, RunningTask, WorkerReport},
        planner::Planner,
        submission::StepSpec,
    },
    time::Timestamp,
};

const START: Timestamp = Timestamp(50_000);

/// A planner with one worker and the runs on it.
struct Rig {
    planner: Planner,
    now: Timestamp,
    running: Vec<(TaskKey, RunNumber)>,
    ends: u64,
}

impl Rig {
    fn new() -> Rig {
        let mut planner = Planner::new(Term(1), 1, manifest(50), START);
        planner.update_workers(vec![listing("w0", 32_000, Incarnation(1))], true);
        let mut rig = Rig { planner, now: START, running: Vec::new(), ends: 0 };
        rig.poll(Vec::new());
        rig
    }

    fn poll(&mut self, ended: Vec<EndedRun>) {
        let running = self.running.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: None,
            percent: 100,
            measurement: 0,
        });
        let poll = PollResult {
            incarnation: Incarnation(1),
            leases_expire_by: self.now.plus_ms(4_000),
            responsive_since: START,
            asked_at: self.now,
            running: running.collect(),
            ended,
            may_lack_ends: false,
        };
        let worker = "w0".parse().expect("a valid name");
        self.planner.report(&worker, WorkerReport::Polled(poll), self.now);
    }

    fn starts(&mut self) -> Vec<(TaskKey, RunNumber)> {
        self.planner.tick(self.now);
        let orders = self.planner.take_actions().orders;
        let starts = orders.into_iter().filter_map(|it| match it.1 {
            Order::Start(start) => Some((start.task, start.run)),
            _ => None,
        });
        starts.collect()
    }

    fn fail(&mut self, runs: Vec<(TaskKey, RunNumber)>) {
        let ended = runs.into_iter().map(|(task, run)| {
            self.ends += 1;
            let number = EndNumber(self.ends);
            EndedRun { number, task, run, kind: EndKind::Failed, checkpoint: None }
        });
        let ended = ended.collect();
        self.poll(ended);
    }
}

fn long_running(count: u16) -> StepSpec {
    StepSpec { is_long_running: true, ..step(count, 500, &[]) }
}

/// Guards against a worker that stays suspended because long-running tasks run
/// on it: they are never done, and were counted as the one run that it may
/// have on probation.
#[test]
fn resumes_beside_long_running() {
    let mut rig = Rig::new();
    rig.planner.submit(submission(1, vec![long_running(3)], rig.now), true, rig.now);
    rig.running = rig.starts();
    assert_eq!(rig.running.len(), 3);
    rig.poll(Vec::new());
    rig.planner.submit(submission(2, vec![step(2, 500, &[])], rig.now), true, rig.now);
    let failing = rig.starts();
    assert_eq!(failing.len(), 2);
    rig.fail(failing);
    assert_eq!(rig.starts(), Vec::new(), "the worker is suspended");
    let mut restarted = 0;
    for _ in 0..60 {
        rig.now = rig.now.plus_ms(100);
        rig.poll(Vec::new());
        restarted += rig.starts().len();
    }
    assert!(0 < restarted, "the worker is probed again");
}

/// Guards against a failing worker that uses up the attempts of many tasks.
#[test]
fn few_attempts_lost() {
    let mut rig = Rig::new();
    rig.planner.submit(submission(1, vec![step(40, 100, &[])], rig.now), true, rig.now);
    let mut failed = 0;
    for i in 0..100 {
        let starts = rig.starts();
        // The first round is placed before any failure is reported.
        failed += if i == 0 { 0 } else { starts.len() };
        rig.fail(starts);
        rig.now = rig.now.plus_ms(100);
    }
    assert!(failed <= 5, "{failed} runs were lost in 10 s");
}
