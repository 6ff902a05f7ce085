//! Progress of runs, as a leader sees it that is behind with its reports.
//!
//! Guards against runs that are stopped because the leader compares its clock
//! with progress that it has yet to handle: after a pause of the leader all of
//! its reports are old, and a long task has hardly progressed between the first
//! two of them. Each such stop costs the work of the run, and two of them suspend
//! its worker.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::collections::VecDeque;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{Incarnation, TaskKey},
        message::{Order, PollResult, RunningTask, WorkerReport},
        planner::DecisionKind,
        submission::StepSpec,
    },
    id::WorkerId,
    time::Timestamp,
};
use planner_rig::{Rig, START};

/// Time between two polls, in milliseconds.
const POLL_MS: u64 = 250;
/// Time between two heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 250;
/// Time in which a run progresses by a percent, in milliseconds: several polls.
const PERCENT_MS: u64 = 900;
/// Time without progress after which a run is given up, in milliseconds: 2.5 s,
/// and 4 % of the estimate.
const STALLED_MS: u64 = 2_500 + 4 * PERCENT_MS;

/// A report on its way to the leader.
struct Sent {
    at: Timestamp,
    /// The newest heartbeat that its sender had received.
    heartbeat_at: Timestamp,
    percent: u8,
}

/// What a leader did that handles reports late.
#[derive(Debug, Default, PartialEq)]
struct Reaction {
    stopped_at: Option<Timestamp>,
    suspended: usize,
}

/// A run whose reports the leader handles late, or not at all for a while.
struct Delayed {
    rig: Rig,
    worker: WorkerId,
    task: TaskKey,
    sent: VecDeque<Sent>,
    heartbeat_at: Timestamp,
    reaction: Reaction,
}

impl Delayed {
    fn new() -> Delayed {
        let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
        let long = StepSpec { estimate_ms: 100 * PERCENT_MS, ..step(1, 1_000, &[]) };
        rig.submit(submission(1, vec![long], rig.now));
        let (worker, start) = rig.plan().remove(0);
        Delayed {
            rig,
            worker,
            task: start.task,
            sent: VecDeque::new(),
            heartbeat_at: START,
            reaction: Reaction::default(),
        }
    }

    /// Lets time pass in which the run progresses or not. The leader handles
    /// reports of this age, or nothing if it is paused.
    fn run(&mut self, ms: u64, progresses: bool, lag_ms: Option<u64>) {
        for _ in 0..ms / POLL_MS {
            self.rig.advance(POLL_MS);
            let now = self.rig.now;
            let before = self.sent.back().map_or(0, |it| it.percent);
            let percent =
                if progresses { (now.ms_since(START) / PERCENT_MS) as u8 } else { before };
            self.sent.push_back(Sent { at: now, heartbeat_at: self.heartbeat_at, percent });
            let Some(lag_ms) = lag_ms else { continue };
            // The next report names the heartbeat that is sent now.
            self.heartbeat_at = now.minus_ms(now.ms_since(START) % HEARTBEAT_MS);
            while 1 < self.sent.len() && lag_ms <= now.ms_since(self.sent[0].at) {
                let sent = self.sent.pop_front().expect("a report");
                self.handle(&sent);
            }
            self.plan();
        }
    }

    fn handle(&mut self, sent: &Sent) {
        let (run, ..) = self.rig.workers[&self.worker].running[&self.task];
        let row = RunningTask {
            task: self.task,
            run,
            checkpoint: None,
            percent: sent.percent,
            measurement: 0,
        };
        let poll = PollResult {
            incarnation: Incarnation(1),
            leases_expire_by: self.rig.now.plus_ms(4_000),
            responsive_since: START,
            asked_at: sent.at,
            running: vec![row],
            ended: Vec::new(),
            may_lack_ends: false,
        };
        self.rig.planner.report(&self.worker, WorkerReport::Polled(poll), self.rig.now);
        self.rig.planner.record_heard(&self.worker, sent.heartbeat_at);
    }

    fn plan(&mut self) {
        self.rig.planner.tick(self.rig.now);
        let actions = self.rig.planner.take_actions();
        if actions.orders.iter().any(|it| matches!(it.1, Order::Stop { .. })) {
            self.reaction.stopped_at.get_or_insert(self.rig.now);
        }
        let kinds = actions.decisions.iter().map(|it| it.kind);
        self.reaction.suspended += kinds.filter(|it| *it == DecisionKind::WorkerSuspended).count();
    }
}

/// The leader handles nothing for some seconds, and then all reports at once.
#[test]
fn paused_leader() {
    for paused_ms in [3_000, 7_000, 10_000, 30_000] {
        let mut delayed = Delayed::new();
        delayed.run(5_000, true, Some(0));
        delayed.run(paused_ms, true, None);
        delayed.run(5_000, true, Some(0));
        assert_eq!(delayed.reaction, Reaction::default(), "paused for {paused_ms} ms");
    }
}

/// The leader falls behind by seconds, and catches up.
#[test]
fn late_reports() {
    for lag_ms in [1_000, 4_000, 10_000] {
        for ran_ms in (2_000..2_000 + PERCENT_MS).step_by(POLL_MS as usize) {
            let mut delayed = Delayed::new();
            delayed.run(ran_ms, true, Some(0));
            delayed.run(15_000, true, Some(lag_ms));
            delayed.run(5_000, true, Some(0));
            let message = format!("late by {lag_ms} ms after {ran_ms} ms");
            assert_eq!(delayed.reaction, Reaction::default(), "{message}");
        }
    }
}

/// A run that does stall is stopped, whether or not the leader was paused
/// meanwhile.
#[test]
fn stalled_run() {
    for paused_ms in [0, 2_000, 10_000] {
        let mut delayed = Delayed::new();
        delayed.run(5_000, true, Some(0));
        let stalled_at = delayed.rig.now;
        delayed.run(paused_ms, false, None);
        delayed.run(10_000, false, Some(0));
        let stopped_at = delayed.reaction.stopped_at.expect("the run is stopped");
        assert!(stalled_at.plus_ms(STALLED_MS - PERCENT_MS) <= stopped_at, "{stopped_at}");
        let latest = stalled_at.plus_ms(paused_ms.max(STALLED_MS) + 3 * HEARTBEAT_MS);
        assert!(stopped_at <= latest, "paused for {paused_ms} ms: {stalled_at} {stopped_at}");
    }
}
