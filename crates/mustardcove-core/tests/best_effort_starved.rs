//! Best-effort submissions that get no run on workers that are mostly free.
//!
//! Guards against accepted work that waits without a bound because every
//! worker rejects it: for the interference that was learned, or because other
//! best-effort work uses all processor time that is left over. Users accept 3 s
//! without a run while less than half of the capacity is reserved.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{SubmissionId, TaskKey},
        message::Order,
        record::LearnedInterference,
        submission::StepSpec,
    },
    size::Resources,
};
use planner_rig::{Rig, START};

const CPU: u64 = 64_000;
const WORKERS: [(&str, u64); 4] = [("w0", CPU), ("w1", CPU), ("w2", CPU), ("w3", CPU)];
/// Longest time without a run that users accept, in milliseconds.
const MAX_IDLE_MS: u64 = 3_000;
const TAIL_TARGET_MS: u32 = 24;
/// Identifier from which the best-effort submissions are numbered.
const FIRST_BEST_EFFORT: u64 = 10;

fn long_running(count: u16, cpu: u64) -> StepSpec {
    StepSpec {
        is_long_running: true,
        max_per_worker: Some(1),
        image: Some(Arc::from("sensitive")),
        tail_target_ms: Some(TAIL_TARGET_MS),
        ..step(count, cpu, &[])
    }
}

fn best_effort(image: &str, count: u16, cpu: u64) -> StepSpec {
    StepSpec {
        is_best_effort: true,
        saves_progress: true,
        image: Some(Arc::from(image)),
        ..step(count, cpu, &[])
    }
}

/// Returns a plan whose latency-critical tasks reserve `reserved_cpu` on each
/// worker, and that knows that the best-effort image interferes with them.
fn rig(reserved_cpu: u64) -> Rig {
    let mut rig = Rig::new(manifest(3), &WORKERS);
    rig.planner.restore_learned_interference(&LearnedInterference {
        images: vec![("sensitive".into(), Some(4.0)), ("harsh".into(), None)],
        pressures: vec![(0, 1, 10.0)],
    });
    rig.submit(submission(1, vec![long_running(4, reserved_cpu)], START));
    rig.plan();
    rig
}

/// What a simulation of some seconds showed.
struct Outcome {
    /// Longest time that a best-effort submission with work left had no run,
    /// in milliseconds.
    longest_idle_ms: u64,
    /// Most best-effort tasks of one submission that ran at once.
    most_of_one: usize,
    /// Submissions that had a run at some time.
    started: BTreeSet<SubmissionId>,
    /// The last pace that was ordered for each run, in percent.
    paces: BTreeMap<TaskKey, u8>,
}

/// Polls and plans every 200 ms; latency-critical tasks report `tail_ms`, and
/// best-effort tasks progress slowly and never end.
fn simulate(rig: &mut Rig, submissions: u64, tail_ms: u32, seconds: u64) -> Outcome {
    let ids = || (FIRST_BEST_EFFORT..FIRST_BEST_EFFORT + submissions).map(SubmissionId);
    let mut idle_since: BTreeMap<SubmissionId, _> = ids().map(|it| (it, rig.now)).collect();
    let mut outcome = Outcome {
        longest_idle_ms: 0,
        most_of_one: 0,
        started: BTreeSet::new(),
        paces: BTreeMap::new(),
    };
    for tick in 0..seconds * 5 {
        rig.advance(200);
        let running = rig.running();
        for (task, worker) in &running {
            let is_long_running = task.step.submission < SubmissionId(FIRST_BEST_EFFORT);
            let (measurement, percent) =
                if is_long_running { (tail_ms, 100) } else { (1_000, (tick % 97) as u8) };
            rig.set_measurement(worker, *task, measurement, percent);
        }
        rig.poll_all();
        rig.plan();
        for (_, order) in std::mem::take(&mut rig.orders) {
            if let Order::Pace { task, percent, .. } = order {
                outcome.paces.insert(task, percent);
            }
        }
        let running = rig.running();
        for id in ids() {
            let runs = running.keys().filter(|it| it.step.submission == id).count();
            outcome.most_of_one = outcome.most_of_one.max(runs);
            if 0 < runs {
                outcome.started.insert(id);
                idle_since.insert(id, rig.now);
            }
            let idle_ms = rig.now.ms_since(idle_since[&id]);
            outcome.longest_idle_ms = outcome.longest_idle_ms.max(idle_ms);
        }
    }
    outcome
}

fn submit_best_effort(rig: &mut Rig, submissions: u64, step: &StepSpec) {
    for id in 0..submissions {
        let submission = submission(FIRST_BEST_EFFORT + id, vec![step.clone()], rig.now);
        rig.submit(submission);
    }
}

/// Guards against interference that is predicted on every worker (incident
/// LOST: no run for 20 s with 42 % of the processors reserved).
#[test]
fn interference_everywhere() {
    let mut rig = rig(26_000);
    simulate(&mut rig, 0, TAIL_TARGET_MS - 6, 2);
    submit_best_effort(&mut rig, 3, &best_effort("harsh", 5, 8_000));
    let outcome = simulate(&mut rig, 3, TAIL_TARGET_MS - 6, 12);
    assert!(outcome.longest_idle_ms < MAX_IDLE_MS, "no run for {} ms", outcome.longest_idle_ms);
    assert_eq!(outcome.started.len(), 3);
    assert_eq!(outcome.most_of_one, 1, "interfering work gets one run only");
    let slowed = outcome.paces.iter().filter(|it| *it.1 <= 30).count();
    assert!(3 <= slowed, "these runs are slowed down: {:?}", outcome.paces);
}

/// Guards against a submission that waits because the first of its steps fits
/// nowhere, although another one is ready, too, and fits (found by
/// submissions_resume: no run for 8 s and more).
#[test]
fn first_step_fits_nowhere() {
    let mut rig = rig(26_000);
    simulate(&mut rig, 0, TAIL_TARGET_MS - 6, 2);
    let step = best_effort("harsh", 5, 8_000);
    let elsewhere = StepSpec { requirement: Some("elsewhere".to_owned()), ..step.clone() };
    let steps = vec![elsewhere, step];
    rig.submit(submission(FIRST_BEST_EFFORT, steps, rig.now));
    let outcome = simulate(&mut rig, 1, TAIL_TARGET_MS - 6, 12);
    assert!(outcome.longest_idle_ms < MAX_IDLE_MS, "no run for {} ms", outcome.longest_idle_ms);
}

/// Guards against best-effort work that waits for all the work ahead of it to
/// end (incident LOST: a burst of submissions queued for 25 s).
#[test]
fn leftover_in_use() {
    let mut rig = rig(26_000);
    submit_best_effort(&mut rig, 40, &best_effort("gentle", 8, 8_000));
    let outcome = simulate(&mut rig, 40, 1, 12);
    assert!(outcome.longest_idle_ms < MAX_IDLE_MS, "no run for {} ms", outcome.longest_idle_ms);
    assert_eq!(outcome.started.len(), 40);
    let slowed = outcome.paces.values().filter(|it| **it <= 5).count();
    assert!(30 <= slowed, "runs without processor time are slowed down: {:?}", outcome.paces);
}

/// Guards against best-effort runs that are started beside predicted
/// interference or without processor time while the workers are mostly
/// reserved: they would slow down what serves users, and end no sooner.
#[test]
fn mostly_reserved() {
    let mut rig = rig(46_000);
    submit_best_effort(&mut rig, 40, &best_effort("gentle", 8, 8_000));
    let outcome = simulate(&mut rig, 40, 1, 12);
    assert!(outcome.started.len() < 40, "{} submissions have a run", outcome.started.len());
}

/// Guards against a run that is given although its memory does not fit.
#[test]
fn memory_full() {
    let mut rig = rig(20_000);
    let large =
        StepSpec { demand: Resources::new(8_000, 1 << 40, 0), ..best_effort("gentle", 1, 8_000) };
    submit_best_effort(&mut rig, 1, &large);
    assert_eq!(simulate(&mut rig, 1, 1, 6).started.len(), 0);
}

/// Guards against work that stays at one run after the obstacle is gone.
#[test]
fn resumes_in_full() {
    let mut rig = rig(26_000);
    submit_best_effort(&mut rig, 40, &best_effort("gentle", 8, 8_000));
    simulate(&mut rig, 40, 1, 4);
    let runs_of = |rig: &Rig, id: u64| {
        let running = rig.running();
        running.keys().filter(|it| it.step.submission == SubmissionId(id)).count()
    };
    let waiting = FIRST_BEST_EFFORT + 20;
    assert_eq!(runs_of(&rig, waiting), 1);
    for id in FIRST_BEST_EFFORT..FIRST_BEST_EFFORT + 40 {
        if id != waiting {
            rig.planner.cancel(SubmissionId(id), rig.now);
        }
    }
    let outcome = simulate(&mut rig, 0, 1, 2);
    assert_eq!(runs_of(&rig, waiting), 8);
    let paces: BTreeSet<u8> = outcome.paces.values().copied().collect();
    assert_eq!(paces, BTreeSet::from([100]), "the first run is at its full pace again");
}
