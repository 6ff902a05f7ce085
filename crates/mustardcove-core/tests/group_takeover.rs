//! Takeover of a group under failures.
//!
//! Guards against tasks that run twice or exceed a worker's capacity or a cap,
//! against capacity that is released without evidence, and against jobs that
//! stay stuck after the failures have ended.

use mustardcove_core::{id::JobId, job::EndEvidence};
use proptest::prelude::*;

#[path = "support/group_doubles.rs"]
mod group_doubles;
#[path = "support/group_world.rs"]
mod group_world;
#[path = "support/shard_double.rs"]
mod shard_double;
#[path = "support/worker_double.rs"]
mod worker_double;

use group_doubles::fixed_config;
use group_world::{GROUPS, WORKERS, World};

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Submit { class: usize, member: usize, cores: u64, run: u8 },
    Cancel(usize),
    Faults(u32),
    Reach { worker: usize, reachable: bool },
    Restart(usize),
    List { worker: usize, listed: bool },
    Leave { worker: usize, leaving: bool },
    Break { worker: usize, broken: bool },
    Pause(usize),
    Resume(usize),
    IsolateFromStore { owner: usize, store_unreachable: bool },
    IsolateFromWorkers { owner: usize, workers_unreachable: bool },
    DelayStarts(u64),
    Store { down: bool },
    Cap(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let worker = 0..GROUPS * WORKERS;
    prop_oneof![
        8 => (50u64..3_000).prop_map(Step::Advance),
        8 => (0usize..4, 0usize..2, 1u64..4, 1u8..160)
            .prop_map(|(class, member, cores, run)| Step::Submit { class, member, cores, run }),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => prop_oneof![Just(0u32), Just(20), Just(150)].prop_map(Step::Faults),
        2 => (worker.clone(), any::<bool>())
            .prop_map(|(worker, reachable)| Step::Reach { worker, reachable }),
        1 => worker.clone().prop_map(Step::Restart),
        1 => (worker.clone(), any::<bool>())
            .prop_map(|(worker, listed)| Step::List { worker, listed }),
        1 => (worker.clone(), any::<bool>())
            .prop_map(|(worker, leaving)| Step::Leave { worker, leaving }),
        1 => (worker, any::<bool>()).prop_map(|(worker, broken)| Step::Break { worker, broken }),
        2 => any::<usize>().prop_map(Step::Pause),
        2 => any::<usize>().prop_map(Step::Resume),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(owner, store_unreachable)| Step::IsolateFromStore { owner, store_unreachable }),
        1 => (any::<usize>(), any::<bool>())
            .prop_map(|(owner, workers_unreachable)| Step::IsolateFromWorkers { owner, workers_unreachable }),
        1 => prop_oneof![Just(0u64), 200u64..2_400].prop_map(Step::DelayStarts),
        1 => any::<bool>().prop_map(|down| Step::Store { down }),
        1 => (3u64..16).prop_map(Step::Cap),
    ]
}

const CLASSES: [&str; 4] = ["scan", "binding", "rush", "watch"];

fn apply(world: &mut World, step: &Step) {
    let owners = world.owners.len();
    match *step {
        Step::Advance(ms) => world.advance(ms),
        Step::Submit { class, member, cores, run } => {
            let run = if CLASSES[class] == "watch" { 0 } else { run };
            world.submit(CLASSES[class], member, cores, run);
        }
        Step::Cancel(pick) => {
            let ids: Vec<JobId> = world.jobs.keys().copied().collect();
            if !ids.is_empty() {
                world.cancel(ids[pick % ids.len()]);
            }
        }
        Step::Faults(permille) => world.fault_permille = permille,
        Step::Reach { worker, reachable } => world.reachable[worker] = reachable,
        Step::Restart(worker) => world.restart(worker),
        Step::List { worker, listed } => {
            // The list drops an instance only after the instance has ended.
            if !listed {
                world.reachable[worker] = false;
                world.restart(worker);
            }
            world.listed[worker] = listed;
            world.publish_workers();
        }
        Step::Leave { worker, leaving } => {
            world.workers[worker].info.leaving = leaving;
            world.publish_workers();
        }
        Step::Break { worker, broken } => world.workers[worker].broken = broken,
        Step::Pause(owner) => world.pause(owner % owners),
        Step::Resume(owner) => world.resume(owner % owners),
        Step::IsolateFromStore { owner, store_unreachable } => {
            world.owners[owner % owners].store_unreachable = store_unreachable
        }
        Step::IsolateFromWorkers { owner, workers_unreachable } => {
            world.owners[owner % owners].workers_unreachable = workers_unreachable
        }
        Step::DelayStarts(ms) => world.delay_starts_ms = ms,
        Step::Store { down } => world.store.down = down,
        Step::Cap(cores) => world.set_cap(cores),
    }
}

/// Ends all faults and runs until every job is done.
fn finish_all_jobs(world: &mut World) {
    world.clear_faults();
    world.delay_starts_ms = 0;
    world.set_cap(30);
    for worker in &mut world.workers {
        worker.info.leaving = false;
    }
    world.publish_workers();
    let watchers: Vec<JobId> = world.jobs.keys().copied().collect();
    for job in watchers {
        if world.jobs[&job].spec.class.as_str() == "watch" {
            world.cancel(job);
        }
    }
    for _ in 0..24 {
        world.advance(5_000);
        if world.jobs.values().all(|it| it.done.is_some()) {
            break;
        }
    }
    for (id, job) in &world.jobs {
        let dump = || world.owner(job.group).machine.dump(100);
        assert!(job.done.is_some(), "job {id} is stuck: {job:?} {:?}", dump());
    }
    world.advance(12_000);
    for group in 0..GROUPS {
        let dump = world.owner(group).machine.dump(100);
        assert_eq!(dump.task_count, 0, "tasks are left over: {:?}", dump.tasks);
        assert!(dump.workers.iter().all(|it| it.committed.is_zero()), "capacity was not released");
        assert_eq!(dump.stats.policy_errors, 0);
        assert_eq!(dump.stats.killed_after_end, 0);
    }
}

proptest! {
    #![proptest_config(fixed_config(192, 0x7a4e))]

    #[test]
    fn invariants_hold(seed in any::<u64>(), steps in proptest::collection::vec(step(), 1..60)) {
        let mut world = World::new(seed, &[12]);
        world.advance(500);
        for step in &steps {
            apply(&mut world, step);
        }
        world.check_starts();
        finish_all_jobs(&mut world);
        world.check_starts();
    }
}

/// Guards against tasks that stop or restart because the owner of their group
/// failed.
#[test]
fn running_tasks_survive_takeover() {
    let mut world = World::new(7, &[12]);
    world.advance(500);
    let jobs: Vec<JobId> = (0..4).map(|_| world.submit("scan", 0, 1, 160)).collect();
    world.advance(3_000);
    assert!(jobs.iter().all(|it| world.jobs[it].started));
    for group in 0..GROUPS {
        let owner = world.owner_index(group);
        world.pause(owner);
    }
    world.advance(12_000);
    for job in &jobs {
        let job = &world.jobs[job];
        assert_eq!(job.done, Some("succeeded"), "{job:?}");
        assert_eq!(job.attempt, 1, "the failure of an owner must not stop a task");
    }
    world.check_starts();
}

/// Guards against an old owner, cut off from the store and the workers, that
/// reports tasks as lost while the new owner renews their leases.
#[test]
fn isolated_owner_reports_nothing_lost() {
    let mut world = World::new(11, &[12]);
    world.advance(500);
    let job = world.submit("watch", 0, 1, 0);
    world.advance(4_000);
    assert!(world.jobs[&job].started);
    // The old owner reaches the shards, but neither the store nor any worker.
    let old = world.owner_index(world.jobs[&job].group);
    world.owners[old].store_unreachable = true;
    world.owners[old].workers_unreachable = true;
    world.advance(30_000);
    let job = &world.jobs[&job];
    assert!(job.lost.is_empty(), "lost although the new owner renews its lease: {job:?}");
}

/// Guards against reporting an attempt as lost while its start is in flight.
#[test]
fn delayed_start_is_not_lost() {
    for delay in [300, 900, 1_500, 2_100] {
        let mut world = World::new(12, &[12]);
        world.advance(500);
        world.delay_starts_ms = delay;
        let job = world.submit("scan", 0, 1, 100);
        world.advance(15_000);
        let job = &world.jobs[&job];
        assert!(job.lost.is_empty(), "lost although the start was still in flight: {job:?}");
        assert_eq!(job.done, Some("succeeded"));
    }
}

/// Guards against an urgent start that takes longer than 4.5 s when its
/// group's owner fails.
#[test]
fn urgent_start_after_owner_failure() {
    let mut world = World::new(8, &[12]);
    world.advance(2_000);
    for group in 0..GROUPS {
        let owner = world.owner_index(group);
        world.pause(owner);
    }
    let failed_at = world.now;
    let job = world.submit("rush", 0, 1, 100);
    while !world.jobs[&job].started {
        world.advance(50);
        assert!(world.now.ms_since(failed_at) <= 4_500, "not started within the bound");
    }
}

/// Guards against losing the result of a task that ends while its group has no
/// owner.
#[test]
fn result_survives_takeover() {
    let mut world = World::new(9, &[12]);
    world.advance(500);
    let job = world.submit("binding", 0, 1, 40);
    world.advance(1_500);
    assert!(world.jobs[&job].started);
    let owner = world.owner_index(world.jobs[&job].group);
    world.pause(owner);
    // The task ends while the group has no owner that could receive its
    // report.
    world.advance(6_000);
    assert_eq!(world.jobs[&job].done, Some("succeeded"));
}

/// Guards against a paused owner that starts an attempt when it continues,
/// although its claim has expired.
#[test]
fn resumed_owner_starts_nothing() {
    let mut world = World::new(10, &[12]);
    world.advance(500);
    let owner = world.owner_index(1);
    let job = world.submit("scan", 0, 1, 100);
    assert_eq!(world.jobs[&job].group, 1);
    // The owner is paused between the reservation and the start.
    while world.jobs[&job].bound.is_none() {
        world.advance(50);
    }
    world.pause(owner);
    world.advance(6_000);
    world.resume(owner);
    world.advance(6_000);
    let lost = &world.jobs[&job].lost;
    assert!(!lost.contains(&EndEvidence::LeaseExpired), "{lost:?}");
    world.check_starts();
    assert_eq!(world.jobs[&job].done, Some("succeeded"));
}
