//! Workers that are slow for a while, as their entries say or since the evacuation of
//! their domain has ended.
//!
//! The load pattern is that a part of the pool is empty and cold at once, and all work
//! that waits would start there.

#[path = "support/fleet_world.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod fleet_world;
#[path = "support/planner_rig.rs"]
#[expect(dead_code, reason = "shared with tests that need more of it")]
mod planner_rig;

use fleet_world::{manifest, step, submission};
use mustardcove_core::{
    fleet::{evacuation::EvacuationList, id::Revision, planner::ColdEntry, submission::StepSpec},
    time::Timestamp,
};
use planner_rig::{Rig, START};

const COLD_MS: u64 = 2_000;

/// Returns a rig with the workers `a` and `b` of eight cores each.
fn two_workers() -> Rig {
    Rig::new(manifest(3), &[("a", 8_000), ("b", 8_000)])
}

fn set_cold(rig: &mut Rig, revision: u64, until: Timestamp) {
    let worker = "a".parse().expect("a valid name");
    rig.planner.set_cold(&[ColdEntry { worker, revision: Revision(revision), until }]);
}

/// Plans, and returns how many tasks run on `a`.
fn running_on_a(rig: &mut Rig) -> usize {
    rig.poll_all();
    rig.plan();
    rig.running().values().filter(|it| it.as_str() == "a").count()
}

/// Checks that `a` gets half of its capacity first, and all of it in the end.
fn check_growth(rig: &mut Rig, steps: Vec<StepSpec>) {
    rig.submit(submission(1, steps, START));
    assert_eq!(running_on_a(rig), 4);
    rig.advance(COLD_MS / 2);
    assert_eq!(running_on_a(rig), 5, "0.7 of eight tasks");
    assert_eq!(rig.planner.counts(rig.now).cold_workers, 1);
    rig.advance(COLD_MS / 2);
    assert_eq!(running_on_a(rig), 8);
    assert_eq!(rig.planner.counts(rig.now).cold_workers, 0);
}

/// Guards against a cold worker that is filled at once, and one that stays half
/// empty once it is warm.
#[test]
fn share_grows() {
    let mut rig = two_workers();
    set_cold(&mut rig, 1, START.plus_ms(COLD_MS));
    check_growth(&mut rig, vec![step(16, 1_000, &[])]);
    let best_effort = StepSpec { is_best_effort: true, ..step(16, 1_000, &[]) };
    let mut rig = two_workers();
    set_cold(&mut rig, 1, START.plus_ms(COLD_MS));
    rig.submit(submission(1, vec![best_effort], START));
    assert!((4..=5).contains(&running_on_a(&mut rig)), "with 0.6 of what one demands left over");
}

/// Guards against a worker that stays cold for good, because an entry that nobody
/// writes any more is read again and again.
#[test]
fn read_again() {
    let mut rig = two_workers();
    rig.submit(submission(1, vec![step(16, 1_000, &[])], START));
    for _ in 0..COLD_MS / 100 {
        let until = rig.now.plus_ms(COLD_MS);
        set_cold(&mut rig, 1, until);
        running_on_a(&mut rig);
        rig.advance(100);
    }
    assert_eq!(running_on_a(&mut rig), 8);
}

/// Guards against a domain that is filled at once when its evacuation ends, before
/// the entries of its workers say that they are cold.
#[test]
fn after_evacuation() {
    let mut rig = two_workers();
    rig.update_listings(|it| it.domain = it.worker.as_str().parse().expect("a valid name"));
    rig.planner.set_cold_slack(COLD_MS);
    let list = |as_of, domains: &[&str]| EvacuationList {
        as_of: Revision(as_of),
        domains: domains.iter().map(|it| it.parse().expect("a valid name")).collect(),
    };
    rig.planner.set_evacuations(&list(2, &["a"]), rig.now);
    rig.planner.set_evacuations(&list(3, &[]), rig.now);
    check_growth(&mut rig, vec![step(16, 1_000, &[])]);
}

/// Guards against work that misses its deadline on a cold worker although another one
/// has room, and against a cold worker that gets nothing.
#[test]
fn little_time_left() {
    for (waited_ms, is_cold, expected) in [(0, true, "a"), (1_500, true, "b"), (1_500, false, "a")]
    {
        let mut rig = two_workers();
        let on_b = StepSpec { requirement: Some("only-b".to_owned()), ..step(1, 2_000, &[]) };
        rig.update_listings(|it| {
            if it.worker.as_str() == "b" {
                it.labels.push("only-b".to_owned());
            }
        });
        rig.submit(submission(1, vec![on_b], START));
        rig.plan();
        if is_cold {
            set_cold(&mut rig, 1, START.plus_ms(COLD_MS));
        }
        // 800 ms of work have 2,600 ms: less than twice as long is left after 1,000 ms.
        let accepted_at = START.minus_ms(waited_ms);
        rig.submit(submission(2, vec![step(1, 2_000, &[])], accepted_at));
        let started: Vec<String> = rig.plan().into_iter().map(|it| it.0.to_string()).collect();
        assert_eq!(started, [expected], "waited {waited_ms} ms, cold: {is_cold}");
    }
}

/// Guards against large tasks and gangs that wait for as long as a worker is cold,
/// and long-running tasks that wait at all.
#[test]
fn large_first_task() {
    let mut rig = Rig::new(manifest(3), &[("a", 8_000)]);
    set_cold(&mut rig, 1, START.plus_ms(COLD_MS));
    rig.submit(submission(1, vec![step(1, 7_000, &[])], START));
    assert_eq!(running_on_a(&mut rig), 1);
    let serving = StepSpec { is_long_running: true, ..step(1, 1_000, &[]) };
    rig.submit(submission(2, vec![serving], START));
    assert_eq!(running_on_a(&mut rig), 2);
}
