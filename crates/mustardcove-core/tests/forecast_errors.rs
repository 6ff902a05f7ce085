//! What operators see of the interference forecast.
//!
//! Guards against errors that are compared only after they are learned from, and
//! against time over the target that is charged to the wrong cause.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use std::sync::Arc;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{
        id::{SubmissionId, TaskKey},
        planner::{InterferenceErrors, OverTargetCause},
        submission::StepSpec,
    },
    id::WorkerId,
};
use planner_rig::{Rig, START};

const TAIL_TARGET_MS: u32 = 100;
const POLL_INTERVAL_MS: u64 = 400;
/// Tail of a task that nothing disturbs, in milliseconds.
const CALM_MS: u32 = 40;

/// Returns a rig with a worker for each of the tasks of a latency-critical
/// submission.
fn rig(tasks: u16) -> Rig {
    let workers = [("w0", 32_000), ("w1", 32_000)];
    let mut rig = Rig::new(manifest(3), &workers[..usize::from(tasks)]);
    let serving = StepSpec {
        is_long_running: true,
        image: Some(Arc::from("sensitive")),
        tail_target_ms: Some(TAIL_TARGET_MS),
        ..step(tasks, 20_000, &[])
    };
    rig.submit(submission(1, vec![serving], START));
    rig.plan();
    rig
}

fn best_effort(tasks: u16) -> StepSpec {
    StepSpec {
        is_best_effort: true,
        image: Some(Arc::from("harsh")),
        estimate_ms: 1_000_000,
        ..step(tasks, 8_000, &[])
    }
}

/// Polls all workers several times. Latency-critical tasks report the tail for
/// the number of the poll and for whether best-effort work runs beside them.
fn drive(rig: &mut Rig, polls: u8, tail_ms: impl Fn(u8, bool) -> u32) {
    let is_serving = |task: &TaskKey| task.step.submission == SubmissionId(1);
    for i in 0..polls {
        rig.plan();
        rig.advance(POLL_INTERVAL_MS);
        let running = rig.running();
        let is_disturbed =
            |worker: &WorkerId| running.iter().any(|it| it.1 == worker && !is_serving(it.0));
        for (task, worker) in &running {
            let tail = tail_ms(i, is_disturbed(worker));
            rig.set_measurement(worker, *task, if is_serving(task) { tail } else { 8_000 }, i);
        }
        rig.poll_all();
    }
}

fn pressure(rig: &Rig) -> f32 {
    rig.planner.learned_interference().pressures.first().expect("a pair of images").2
}

fn over_ms(errors: &InterferenceErrors, cause: OverTargetCause) -> u64 {
    errors.over_target.iter().find(|it| it.0 == cause).map_or(0, |it| it.1)
}

/// A neighbour that disturbs far more than was assumed shows as an error above
/// zero, which falls as the pressure is learned.
#[test]
fn error_falls() {
    let mut rig = rig(2);
    rig.submit(submission(2, vec![best_effort(1)], START));
    let tail = |_, is_disturbed| if is_disturbed { 70 } else { CALM_MS };
    drive(&mut rig, 10, tail);
    let first = rig.planner.interference_total();
    assert!(0 < first.measurements);
    assert!(10 < first.mean_percent, "{first:?}");
    drive(&mut rig, 90, tail);
    let later = rig.planner.interference_total();
    assert!(later.mean_percent < first.mean_percent / 2, "{first:?} {later:?}");
    let rows = rig.planner.interference_pressures(rig.now);
    assert!(rows[0].starts_with("image=sensitive neighbour=harsh pressure="), "{rows:?}");
    assert!(rows[0].contains(" age_ms="), "{rows:?}");
}

#[test]
fn beside_best_effort() {
    let mut rig = rig(2);
    rig.submit(submission(2, vec![best_effort(1)], START));
    drive(&mut rig, 8, |i, is_disturbed| if 4 <= i && is_disturbed { 150 } else { CALM_MS });
    let errors = rig.planner.interference_total();
    assert!(POLL_INTERVAL_MS <= over_ms(&errors, OverTargetCause::BestEffort), "{errors:?}");
    assert_eq!(over_ms(&errors, OverTargetCause::OwnLoad), 0);
}

/// Tasks of one submission that are all over their target have too much load.
#[test]
fn own_load() {
    let mut rig = rig(2);
    drive(&mut rig, 20, |i, _| if i < 4 { CALM_MS } else { 150 });
    let errors = rig.planner.interference_total();
    assert_eq!(over_ms(&errors, OverTargetCause::BestEffort), 0, "{errors:?}");
    assert!(4 * POLL_INTERVAL_MS <= over_ms(&errors, OverTargetCause::OwnLoad), "{errors:?}");
    let rows = rig.planner.interference_errors();
    assert!(rows[0].starts_with("image=sensitive measurements="), "{rows:?}");
    assert!(rows[0].contains(" over_own_load_ms="), "{rows:?}");
}

/// The loss of a worker's poller is no time over the target.
#[test]
fn bounded_gap() {
    let mut rig = rig(2);
    drive(&mut rig, 6, |i, _| if i < 4 { CALM_MS } else { 150 });
    let before = rig.planner.interference_total();
    rig.advance(60_000);
    rig.poll_all();
    let total = |it: &InterferenceErrors| it.over_target.iter().map(|it| it.1).sum::<u64>();
    assert!(total(&rig.planner.interference_total()) - total(&before) <= 2 * 1_000);
}

/// Guards against a load that is overestimated where best-effort work runs beside
/// all tasks of a submission: the pressure of that work was unlearned, and tasks
/// stayed over their target.
#[test]
fn all_disturbed() {
    // Utilisations of 0.40 and 0.52, by a neighbour with a quarter of the
    // processors: a pressure of 1.2.
    const DISTURBED_MS: u32 = 52;
    const UNDISTURBED_MS: u32 = 42;
    let mut rig = rig(2);
    // The lowest tail gives the base.
    drive(&mut rig, 2, |_, _| 33);
    rig.submit(submission(2, vec![best_effort(1)], START));
    drive(
        &mut rig,
        100,
        |_, is_disturbed| if is_disturbed { DISTURBED_MS } else { UNDISTURBED_MS },
    );
    let learned = pressure(&rig);
    assert!((0.8..1.8).contains(&learned), "{learned}");
    rig.submit(submission(3, vec![best_effort(1)], rig.now));
    drive(&mut rig, 100, |_, _| DISTURBED_MS);
    let later = pressure(&rig);
    assert!(0.8 * learned <= later, "{learned} before, {later} with all tasks disturbed");
}
