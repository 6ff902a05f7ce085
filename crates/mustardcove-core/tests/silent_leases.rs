//! How long the work of a silent worker waits for the end of its leases.
//!
//! Guards against waits that begin anew: with each report of a failed poll, or
//! with each leader. The bound is the users': a task runs again within 9 s after
//! its worker was lost, whatever leaders step down meanwhile.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::{collections::BTreeMap, ops::Range};

use fleet_world::{World, manifest, step, submission};
use mustardcove_core::{
    fleet::{
        handover::{Handover, WorkerHandover},
        id::{SubmissionId, TaskKey, Term},
        message::WorkerReport,
        submission::StepSpec,
    },
    time::{ClockShift, Timestamp},
};
use planner_rig::{Rig, START};
use rand::RngExt;

const WORKERS: usize = 8;
const PROCESSES: usize = 5;
/// Number of seeds, unless the environment sets `SEEDS`.
const SEEDS: u64 = 40;
/// Time for which a worker that is lost for good is down, in milliseconds.
const GONE_MS: u64 = 10_000_000;
/// Longest time without a run after the loss of a worker, in milliseconds.
const MAX_AWAY_MS: u64 = 9_000;
/// Time between two plans, in milliseconds.
const PLAN_MS: u64 = 100;
/// Age of the leader's last confirmation, in milliseconds: the interval of its
/// questions to the store, and one answer.
const CONFIRMED_MS: u64 = 260;

fn long_running(count: u16, cpu: u64) -> StepSpec {
    StepSpec { is_long_running: true, ..step(count, cpu, &[]) }
}

/// A poller goes on reporting failed polls after the leases have ended. Its clock
/// is another one than the leader's, and each report takes a while.
#[test]
fn leases_over() {
    for (under_way_ms, ahead_ms) in [(0, 0), (5, 70_000), (120, 0), (400, 3)] {
        let mut rig = Rig::new(manifest(3), &[("w0", 4_000), ("w1", 4_000)]);
        rig.submit(submission(1, vec![long_running(1, 500)], START));
        let (worker, _) = rig.plan().swap_remove(0);
        // Polls list the run, so that nothing suspects its task.
        (0..3).for_each(|_| rig.poll_all());
        let leases_expire_by = rig.now.plus_ms(6_000);
        rig.workers.remove(&worker);
        let mut restarted_at = None;
        for i in 0..120u64 {
            rig.advance(PLAN_MS);
            rig.poll_all();
            if i % 3 == 0 {
                let sent_at = rig.now.minus_ms(under_way_ms).plus_ms(ahead_ms);
                let report = WorkerReport::PollFailed {
                    leases_expire_by: Some(leases_expire_by.plus_ms(ahead_ms)),
                    is_silent: true,
                };
                let report = report.to_local(ClockShift::new(sent_at, rig.now));
                rig.planner.report(&worker, report, rig.now);
            }
            rig.planner.set_confirmed(rig.now.minus_ms(CONFIRMED_MS), true);
            if !rig.plan().is_empty() {
                restarted_at = restarted_at.or(Some(rig.now));
            }
        }
        let restarted_at = restarted_at.expect("the leases have ended");
        assert!(leases_expire_by <= restarted_at, "the run may go on until its lease ends");
        // The margin for delays is added to the end of the leases.
        let latest = leases_expire_by.plus_ms(under_way_ms + 200 + CONFIRMED_MS + PLAN_MS);
        assert!(restarted_at <= latest, "{under_way_ms} ms: {leases_expire_by} {restarted_at}");
    }
}

/// A converted time is never too early, and too late by the time on the way.
#[test]
fn converted_times() {
    for under_way_ms in [0, 7, 10_000] {
        let sent_at = Timestamp(500_000);
        let received_at = START.plus_ms(under_way_ms);
        let shift = ClockShift::new(sent_at, received_at);
        for (before_ms, after_ms) in [(0, 0), (3_000, 0), (0, 3_000), (40_000, 0)] {
            let time = sent_at.minus_ms(before_ms).plus_ms(after_ms);
            let expected = START.minus_ms(before_ms).plus_ms(after_ms + under_way_ms);
            assert_eq!(shift.to_local(time), expected);
        }
    }
    let at_start = ClockShift::new(Timestamp(90), Timestamp(20));
    assert_eq!(at_start.to_local(Timestamp(1)), Timestamp(0), "the clock began later");
}

/// Returns the long-running tasks.
fn tasks(world: &World) -> impl Iterator<Item = TaskKey> {
    let submissions = world.submissions.values().filter(|it| it.is_long_running());
    submissions.flat_map(|it| {
        let count = usize::from(it.steps[0].count);
        (0..count).map(|index| it.task(0, 0, index)).collect::<Vec<_>>()
    })
}

/// Tasks without a run, each with the time when it lost its last one.
struct Away {
    since: BTreeMap<TaskKey, Timestamp>,
    longest_ms: u64,
}

impl Away {
    fn new() -> Away {
        Away { since: BTreeMap::new(), longest_ms: 0 }
    }

    fn look(&mut self, world: &World) {
        for task in tasks(world) {
            if 0 < world.runs_of(task) {
                self.since.remove(&task);
            } else {
                let since = *self.since.entry(task).or_insert(world.now);
                self.longest_ms = self.longest_ms.max(world.now.ms_since(since));
            }
        }
    }

    fn run(&mut self, world: &mut World, ms: u64) {
        for _ in 0..ms / PLAN_MS {
            world.run(PLAN_MS);
            self.look(world);
        }
    }
}

/// Returns the seeds to play, `factor` times as many as usual. `SEEDS` and
/// `FIRST_SEED` in the environment set others.
fn seeds(factor: u64) -> Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|it| it.parse::<u64>().ok());
    let first = number("FIRST_SEED").unwrap_or(0);
    first..first + factor * number("SEEDS").unwrap_or(SEEDS)
}

fn busy_world(seed: u64) -> World {
    let mut world = World::with_processes(seed, WORKERS, PROCESSES);
    world.is_long_running_endless = true;
    world.store_delay_ms = 2..=30;
    for id in 1..=4 {
        world.submit(submission(id, vec![long_running(4, 700)], world.now));
    }
    world.run(9_000);
    world
}

/// A worker is lost, and leaders step down one after the other, as in a restart
/// of all processes in turn.
#[test]
fn planned_leaders() {
    let mut failed = Vec::new();
    for seed in seeds(1) {
        let mut world = busy_world(seed);
        let mut away = Away::new();
        let gap_ms = world.rng.random_range(700..2_600);
        let lost_in = world.rng.random_range(0..4u64);
        for i in 0..8 {
            if i == lost_in {
                let worker = world.rng.random_range(0..WORKERS);
                world.crash(worker, GONE_MS);
            }
            away.run(&mut world, gap_ms);
            let pause_ms = world.rng.random_range(0..300);
            world.step_down((i as usize + 1) % PROCESSES, pause_ms);
        }
        away.run(&mut world, 14_000);
        if MAX_AWAY_MS < away.longest_ms || !world.violations.is_empty() {
            failed.push(format!("seed {seed}: {} ms, {:?}", away.longest_ms, world.violations));
        }
    }
    assert!(failed.is_empty(), "{} failed: {}", failed.len(), failed.join("\n"));
}

/// A worker is lost while leaders follow each other so fast that some have polled
/// nothing before they step down, as when each process that starts is chosen and
/// stopped soon.
#[test]
fn brief_leaders() {
    let mut failed = Vec::new();
    for seed in seeds(1) {
        let mut world = busy_world(seed);
        let mut away = Away::new();
        let lost_in = world.rng.random_range(0..8u64);
        for i in 0..20 {
            if i == lost_in {
                let worker = world.rng.random_range(0..WORKERS);
                world.crash(worker, GONE_MS);
            }
            let gap_ms = match world.rng.random_range(0..2u32) {
                0 => world.rng.random_range(20..200),
                _ => world.rng.random_range(200..900),
            };
            away.run(&mut world, gap_ms);
            let pause_ms = world.rng.random_range(0..300);
            world.step_down((i as usize + 1) % PROCESSES, pause_ms);
        }
        away.run(&mut world, 14_000);
        if MAX_AWAY_MS < away.longest_ms || !world.violations.is_empty() {
            failed.push(format!("seed {seed}: {} ms, {:?}", away.longest_ms, world.violations));
        }
    }
    assert!(failed.is_empty(), "{} failed: {}", failed.len(), failed.join("\n"));
}

/// A worker is lost, and each leader is displaced by another one although it is sound,
/// as after a process that stood still has claimed.
#[test]
fn displaced_leaders() {
    let mut failed = Vec::new();
    for seed in seeds(1) {
        let mut world = busy_world(seed);
        (world.told.copies, world.told.delay_ms) = (1..=3, 0..=200);
        let mut away = Away::new();
        let lost_in = world.rng.random_range(0..3u64);
        for i in 0..6 {
            if i == lost_in {
                let worker = world.rng.random_range(0..WORKERS);
                world.crash(worker, GONE_MS);
            }
            let gap_ms = world.rng.random_range(700..2_600);
            away.run(&mut world, gap_ms);
            world.elect_on((i as usize + 1) % PROCESSES);
        }
        away.run(&mut world, 14_000);
        if MAX_AWAY_MS < away.longest_ms || !world.violations.is_empty() {
            failed.push(format!("seed {seed}: {} ms, {:?}", away.longest_ms, world.violations));
        }
    }
    assert!(failed.is_empty(), "{} failed: {}", failed.len(), failed.join("\n"));
}

/// Leaders step down or are lost while workers are cut off, come back, crash or
/// restart, and calls are lost, late or unanswered.
///
/// Guards against a run that begins elsewhere while a worker that was silent goes
/// on with it, because a leader took over an end of leases that was too early.
#[test]
fn cut_off_workers() {
    let mut failed = Vec::new();
    for seed in seeds(3) {
        let mut world = busy_world(seed);
        for id in 5..=9 {
            world.submit(submission(id, vec![step(5, 500, &[]), step(3, 600, &[0])], world.now));
        }
        for _ in 0..14 {
            world.call_failure_percent = world.rng.random_range(0..25);
            world.message_loss_percent = world.rng.random_range(0..10);
            let worker = world.rng.random_range(0..WORKERS);
            match world.rng.random_range(0..6u32) {
                0..=2 => {
                    let ms = world.rng.random_range(300..12_000);
                    world.workers[worker].unreachable_until = world.now.plus_ms(ms);
                }
                3 if !world.is_down(worker) => {
                    let down_ms = world.rng.random_range(1_500..9_000);
                    world.crash(worker, down_ms);
                }
                _ => world.assignment_salt += 1,
            }
            let newest = world.leaders.len() - 1;
            world.leaders[newest].lag_ms = [0, 0, 400, 1_500][world.rng.random_range(0..4usize)];
            if world.rng.random_range(0..4u32) == 0 {
                let id = world.rng.random_range(5..=9u64);
                world.cancel(SubmissionId(id));
            }
            let successor = world.rng.random_range(0..PROCESSES);
            match world.rng.random_range(0..5u32) {
                0..=2 => {
                    let pause_ms = world.rng.random_range(0..1_500);
                    world.step_down(successor, pause_ms);
                }
                // The leader before goes on until it notices.
                3 => world.elect_on(successor),
                _ => {}
            }
            let run_ms = world.rng.random_range(100..4_000);
            world.run(run_ms);
        }
        world.call_failure_percent = 0;
        world.message_loss_percent = 0;
        world.leaders.iter_mut().for_each(|it| it.lag_ms = 0);
        world.run(40_000);
        let idle: Vec<TaskKey> = tasks(&world).filter(|it| world.runs_of(*it) != 1).collect();
        if !world.violations.is_empty() || !idle.is_empty() {
            failed.push(format!("seed {seed}: {:?}, not running once: {idle:?}", world.violations));
        }
    }
    assert!(failed.is_empty(), "{} failed: {}", failed.len(), failed.join("\n"));
}

fn silent(worker: &str, leases_expire_by: Timestamp) -> WorkerHandover {
    let worker = worker.parse().expect("a valid name");
    let silent_since = Some(leases_expire_by.minus_ms(4_000));
    WorkerHandover { worker, leases_expire_by, silent_since, plan: None, poller: None }
}

/// A leader in between may have extended the leases.
#[test]
fn other_predecessor() {
    let handover = Handover {
        term: Term(7),
        written_at: START,
        workers: vec![silent("w0", START.plus_ms(3_000))],
    };
    for predecessor in [Term(0), Term(6), Term(8)] {
        assert!(handover.clone().taken_over(predecessor, START).is_empty());
    }
    assert_eq!(handover.clone().taken_over(Term(7), START), handover.workers);
}

/// A record that is read 10 s late, on another clock, lengthens the wait.
#[test]
fn late_handover() {
    let written_at = START.plus_ms(600_000);
    let workers =
        vec![silent("w0", written_at.plus_ms(3_000)), silent("w1", written_at.minus_ms(2_000))];
    let read_at = START.plus_ms(10_000);
    let handover = Handover { term: Term(7), written_at, workers };
    let read = handover.taken_over(Term(7), read_at);
    let ends: Vec<Timestamp> = read.iter().map(|it| it.leases_expire_by).collect();
    assert_eq!(ends, [START.plus_ms(13_000), START.plus_ms(8_000)]);
    assert_eq!(read[0].silent_since, Some(START.plus_ms(9_000)));
}
