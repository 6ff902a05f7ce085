//! Submissions with extreme numbers, which any caller may send.

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
        id::EndNumber,
        message::{EndKind, EndedRun, StartOrder},
        record,
        submission::{Schedule, StepSpec, Submission},
    },
    size::Resources,
    store::MAX_VALUE_BYTES,
    time::Timestamp,
};
use planner_rig::{Rig, START};

/// The widest step that is accepted.
const WIDEST: u16 = 32_768;

fn scheduled(count: u32, interval_ms: u64) -> Arc<Submission> {
    let schedule = Schedule { count, first_at: Timestamp(0), interval_ms };
    let mut it = submission(1, vec![step(1, 500, &[])], START);
    Arc::get_mut(&mut it).expect("no other owner").schedule = Some(schedule);
    it
}

/// Guards against a submission that takes all memory of each leader in turn, or
/// whose tasks cannot be told apart.
#[test]
fn too_large() {
    let check = |steps: Vec<StepSpec>| submission(1, steps, START).check();
    assert_eq!(check(vec![step(WIDEST, 500, &[])]), Ok(()));
    assert!(check(vec![step(WIDEST, 500, &[]), step(1, 500, &[])]).is_err());
    assert!(check(vec![step(u16::MAX, 500, &[]); 1_000]).is_err());
    assert!(check(vec![step(1, 500, &[]); 70_000]).is_err());
    for demand in [Resources::new(u64::MAX, 1, 0), Resources::new(1, u64::MAX, 0)] {
        assert!(check(vec![StepSpec { demand, ..step(1, 500, &[]) }]).is_err(), "{demand}");
    }
}

/// Guards against a schedule that takes all memory of each leader in turn,
/// because all of its occurrences are due.
#[test]
fn overdue_occurrences() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    rig.submit(scheduled(300_000, 0));
    let mut done = 0;
    for _ in 0..300 {
        for (worker, start) in rig.plan() {
            rig.end(&worker, start.task, EndKind::Done);
            done += 1;
        }
        let waiting = rig.planner.counts(rig.now).waiting_steps;
        assert!(0 < waiting && waiting <= 2_000, "{waiting} steps wait");
        rig.store();
        rig.advance(50);
    }
    assert!(2_000 < done, "the next occurrences begin: {done}");
}

/// Guards against a process that ends because the time that a submission may
/// take overflows.
#[test]
fn extreme_times() {
    let mut rig = Rig::new(manifest(3), &[("w0", 4_000)]);
    let long = |after: &[u16]| StepSpec { estimate_ms: u64::MAX, ..step(1, 500, after) };
    for stretch in [0.0, 1e300, f64::INFINITY, f64::NAN] {
        let mut it = submission(stretch.to_bits(), vec![long(&[]), long(&[0])], START);
        let inner = Arc::get_mut(&mut it).expect("no other owner");
        (inner.queue.stretch, inner.queue.delay_budget_ms) = (stretch, u64::MAX);
        rig.submit(it);
    }
    let schedule = Schedule { count: 9, first_at: Timestamp(5), interval_ms: u64::MAX };
    let mut it = submission(2, vec![long(&[])], START);
    Arc::get_mut(&mut it).expect("no other owner").schedule = Some(schedule);
    rig.submit(it);
    for _ in 0..20 {
        rig.plan();
        rig.advance(400);
        rig.poll_all();
    }
}

/// Guards against a progress record that is larger than the store accepts, so
/// that no end is acknowledged and no final state is shown any more.
#[test]
fn progress_fits() {
    let names: Vec<String> = (0..20).map(|it| format!("w{it}")).collect();
    let workers: Vec<(&str, u64)> = names.iter().map(|it| (it.as_str(), 4_000_000)).collect();
    let mut rig = Rig::new(manifest(3), &workers);
    let step = StepSpec { saves_progress: true, ..step(WIDEST, 500, &[]) };
    rig.submit(submission(1, vec![step], START));
    let starts = rig.plan();
    assert_eq!(starts.len(), usize::from(WIDEST));
    for worker in rig.workers.keys().cloned().collect::<Vec<_>>() {
        let here = starts.iter().filter(|it| it.0 == worker);
        let end = |(number, (_, start)): (u64, &(_, StartOrder))| EndedRun {
            number: EndNumber(number),
            task: start.task,
            run: start.run,
            kind: EndKind::Failed,
            checkpoint: Some("c".repeat(1_000)),
        };
        let ends: Vec<EndedRun> = (1..).zip(here).map(end).collect();
        rig.workers.get_mut(&worker).expect("a worker").running.clear();
        rig.poll(&worker, ends);
    }
    let (_, records) = rig.planner.take_progress();
    let largest = records.iter().map(|it| record::encode_progress(&it.1).len()).max();
    let largest = largest.expect("a record");
    assert!(largest <= MAX_VALUE_BYTES, "{largest} bytes");
}
