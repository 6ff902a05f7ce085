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
use mustardcove_core::fleet::{
    id::SubmissionId,
    planner::{InterferenceErrors, OverTargetCause},
    submission::StepSpec,
};
use planner_rig::{Rig, START};

const TAIL_TARGET_MS: u32 = 100;
const POLL_INTERVAL_MS: u64 = 400;
/// Tail of a task that nothing disturbs, in milliseconds.
const CALM_MS: u32 = 40;

/// Plays two tasks of a latency-critical submission on two workers, the first
/// beside a best-effort task if there is one.
fn play(
    beside_best_effort: bool,
    polls: u8,
    tails: impl Fn(u8) -> [u32; 2],
) -> (InterferenceErrors, Rig) {
    let mut rig = Rig::new(manifest(3), &[("w0", 32_000), ("w1", 32_000)]);
    let serving = StepSpec {
        is_long_running: true,
        image: Some(Arc::from("sensitive")),
        tail_target_ms: Some(TAIL_TARGET_MS),
        ..step(2, 20_000, &[])
    };
    let best_effort = StepSpec {
        is_best_effort: true,
        image: Some(Arc::from("harsh")),
        estimate_ms: 1_000_000,
        ..step(1, 8_000, &[])
    };
    rig.submit(submission(1, vec![serving], START));
    rig.plan();
    if beside_best_effort {
        rig.submit(submission(2, vec![best_effort], START));
        rig.plan();
    }
    for i in 0..polls {
        rig.advance(POLL_INTERVAL_MS);
        let running = rig.running();
        let other = running.iter().find(|it| it.0.step.submission != SubmissionId(1));
        let disturbed = other.or(running.first_key_value()).map(|it| it.1.clone());
        for (task, worker) in &running {
            let is_serving = task.step.submission == SubmissionId(1);
            let tails = tails(i);
            let tail = if Some(worker) == disturbed.as_ref() { tails[0] } else { tails[1] };
            rig.set_measurement(worker, *task, if is_serving { tail } else { 8_000 }, i);
        }
        rig.poll_all();
        rig.plan();
    }
    (rig.planner.interference_total(), rig)
}

fn over_ms(errors: &InterferenceErrors, cause: OverTargetCause) -> u64 {
    errors.over_target.iter().find(|it| it.0 == cause).map_or(0, |it| it.1)
}

/// A neighbour that disturbs far more than was assumed shows as an error above
/// zero, which falls as the pressure is learned.
#[test]
fn error_falls() {
    let tails = |_| [70, CALM_MS];
    let (first, _) = play(true, 10, tails);
    assert!(0 < first.measurements);
    assert!(10 < first.mean_percent, "{first:?}");
    let (later, rig) = play(true, 100, tails);
    assert!(later.mean_percent < first.mean_percent / 2, "{first:?} {later:?}");
    let rows = rig.planner.interference_pressures(rig.now);
    assert!(rows[0].starts_with("image=sensitive neighbour=harsh pressure="), "{rows:?}");
    assert!(rows[0].contains(" age_ms="), "{rows:?}");
}

#[test]
fn beside_best_effort() {
    let over = |i| if i < 4 { [CALM_MS, CALM_MS] } else { [150, CALM_MS] };
    let (errors, _) = play(true, 8, over);
    assert!(POLL_INTERVAL_MS <= over_ms(&errors, OverTargetCause::BestEffort), "{errors:?}");
    assert_eq!(over_ms(&errors, OverTargetCause::OwnLoad), 0);
}

/// Tasks of one submission that are all over their target have too much load.
#[test]
fn own_load() {
    let over = |i| if i < 4 { [CALM_MS, CALM_MS] } else { [150, 150] };
    let (errors, rig) = play(false, 20, over);
    assert_eq!(over_ms(&errors, OverTargetCause::BestEffort), 0, "{errors:?}");
    assert!(4 * POLL_INTERVAL_MS <= over_ms(&errors, OverTargetCause::OwnLoad), "{errors:?}");
    let rows = rig.planner.interference_errors();
    assert!(rows[0].starts_with("image=sensitive measurements="), "{rows:?}");
    assert!(rows[0].contains(" over_own_load_ms="), "{rows:?}");
}

/// The loss of a worker's poller is no time over the target.
#[test]
fn bounded_gap() {
    let over = |i| if i < 4 { [CALM_MS, CALM_MS] } else { [150, 150] };
    let (_, mut rig) = play(false, 6, over);
    let before = rig.planner.interference_total();
    rig.advance(60_000);
    rig.poll_all();
    let total = |it: &InterferenceErrors| it.over_target.iter().map(|it| it.1).sum::<u64>();
    assert!(total(&rig.planner.interference_total()) - total(&before) <= 2 * 1_000);
}
