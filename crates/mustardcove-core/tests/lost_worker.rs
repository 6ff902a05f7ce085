//! Unreachable workers and lost starts.
//!
//! Guards against a new attempt without evidence that the old one has ended,
//! and against a new attempt that is delayed for longer than the evidence
//! takes.

use mustardcove_core::{id::JobId, job::EndEvidence};

#[path = "support/group_doubles.rs"]
mod group_doubles;
#[path = "support/group_world.rs"]
mod group_world;
#[path = "support/shard_double.rs"]
mod shard_double;
#[path = "support/worker_double.rs"]
mod worker_double;

use group_world::{GROUPS, World};

/// Returns a world whose members have allotment in both groups.
fn world_with_allotments(seed: u64) -> World {
    let mut world = World::new(seed, &[30]);
    world.advance(1_000);
    for _ in 0..2 * GROUPS {
        world.submit("scan", 0, 1, 1);
    }
    world.advance(4_000);
    world
}

/// Starts a job of a class and returns it with the index of its worker.
fn start_job(world: &mut World, class: &str) -> (JobId, usize) {
    let job = world.submit(class, 0, 2, if class == "watch" { 0 } else { 255 });
    while !world.jobs[&job].started {
        world.advance(50);
    }
    let worker = world.jobs[&job].bound.clone().unwrap().0;
    let at = world.workers.iter().position(|it| it.id() == worker).unwrap();
    (job, at)
}

fn lost_within(world: &mut World, job: JobId, ms: u64) -> Option<EndEvidence> {
    let end = world.now.plus_ms(ms);
    while world.now < end && world.jobs[&job].lost.is_empty() {
        world.advance(50);
    }
    world.jobs[&job].lost.first().copied()
}

/// Guards against an urgent start that waits too long because its first worker
/// is in a rack that has just failed.
#[test]
fn start_on_lost_rack_is_placed_again() {
    let mut world = world_with_allotments(1);
    world.refused_chance = 0.0;
    let first = world.workers.iter().map(|it| it.id()).next().unwrap();
    assert_eq!(first.as_str(), "w0");
    // The rack fails without any sign. The start that follows is never
    // answered.
    world.reachable[0] = false;
    world.reachable[3] = false;
    let begin = world.now;
    let job = world.submit("rush", 0, 1, 100);
    while !world.jobs[&job].started {
        world.advance(50);
        assert!(world.now.ms_since(begin) <= 4_500, "not started within the bound");
    }
    assert_eq!(world.jobs[&job].lost, [EndEvidence::LeaseExpired]);
}

/// Guards against a second attempt while the worker's slow clock still keeps
/// the lease of an unconfirmed start.
#[test]
fn unconfirmed_start_outlasts_clock_error() {
    let mut world = world_with_allotments(9);
    world.workers.iter_mut().for_each(|it| it.clock_error = -490);
    // The start reaches its worker, and no later call does.
    world.reachable[0] = false;
    world.reachable[3] = false;
    world.refused_chance = 0.0;
    world.delay_starts_ms = 50;
    let job = world.submit("scan", 0, 1, 255);
    while world.workers.iter().all(|it| it.tasks.keys().all(|it| it.job != job)) {
        world.advance(50);
    }
    world.delay_starts_ms = 0;
    // The world's checks fail if a second attempt starts while the first runs.
    assert_eq!(lost_within(&mut world, job, 5_000), Some(EndEvidence::LeaseExpired));
    world.advance(5_000);
    assert!(world.jobs[&job].started);
}

/// Guards against waiting for a lease although the start was certainly never
/// sent.
#[test]
fn refused_connection_releases_capacity_at_once() {
    let mut world = world_with_allotments(2);
    world.refused_chance = 1.0;
    world.reachable[0] = false;
    world.reachable[3] = false;
    let job = world.submit("rush", 0, 1, 100);
    assert_eq!(lost_within(&mut world, job, 1_000), Some(EndEvidence::NeverSent));
}

/// Guards against a watcher that is started again before the lease on its
/// failed worker has expired, or much later.
#[test]
fn task_on_failed_worker_is_lost_after_its_lease() {
    let mut world = world_with_allotments(3);
    let (job, at) = start_job(&mut world, "watch");
    // The short lease of the start is renewed before the worker fails.
    world.advance(2_000);
    // Its clock is behind, so it runs the task for longer than the group's
    // clock suggests.
    world.workers[at].clock_error = -490;
    world.reachable[at] = false;
    let failed_at = world.now;
    assert_eq!(lost_within(&mut world, job, 10_000), Some(EndEvidence::LeaseExpired));
    let waited = world.now.ms_since(failed_at);
    assert!(6_000 <= waited, "given up after {waited} ms, before its lease expired");
    while !world.jobs[&job].started {
        world.advance(50);
    }
    let waited = world.now.ms_since(failed_at);
    assert!(waited <= 10_000, "the watcher was down for {waited} ms");
}

/// Guards against at-most-once work that is given up because of a timeout
/// only.
#[test]
fn at_most_once_waits_for_instance_list() {
    let mut world = world_with_allotments(4);
    let (job, at) = start_job(&mut world, "binding");
    world.reachable[at] = false;
    assert_eq!(lost_within(&mut world, job, 60_000), None, "a timeout is not evidence");
    world.listed[at] = false;
    world.publish_workers();
    assert_eq!(lost_within(&mut world, job, 6_000), Some(EndEvidence::InstanceGone));
}

/// Guards against a new owner that reports a task as lost while the old owner
/// may still renew its lease.
#[test]
fn successor_without_contact_relies_on_list() {
    let mut world = world_with_allotments(5);
    let (job, at) = start_job(&mut world, "scan");
    let owner = world.owner_index(world.jobs[&job].group);
    world.pause(owner);
    world.reachable[at] = false;
    // The new owner cannot rule out that the old owner still renews the lease.
    assert_eq!(lost_within(&mut world, job, 60_000), None);
    world.listed[at] = false;
    world.publish_workers();
    let gone_at = world.now;
    assert_eq!(lost_within(&mut world, job, 10_000), Some(EndEvidence::InstanceGone));
    assert!(6_500 <= world.now.ms_since(gone_at), "the lease may not have expired yet");
}

/// Guards against waiting for a lease although the worker's new incarnation
/// shows that its tasks have ended.
#[test]
fn restarted_worker_lost_its_tasks() {
    let mut world = world_with_allotments(6);
    let (job, at) = start_job(&mut world, "scan");
    world.restart(at);
    assert_eq!(lost_within(&mut world, job, 2_000), Some(EndEvidence::NewIncarnation));
    world.advance(20_000);
    assert_eq!(world.jobs[&job].done, Some("succeeded"));
}

/// Guards against tasks that stop during an outage of the store, and against
/// starts after the claim's deadline.
#[test]
fn leases_outlive_store_outage() {
    let mut world = world_with_allotments(7);
    let (job, _) = start_job(&mut world, "watch");
    world.store.down = true;
    world.advance(60_000);
    assert!(world.jobs[&job].started && world.jobs[&job].attempt == 1);
    let late = world.submit("scan", 0, 1, 10);
    world.advance(2_000);
    assert!(world.jobs[&late].bound.is_none(), "started after the claim's deadline");
    world.store.down = false;
    world.advance(10_000);
    assert_eq!(world.jobs[&late].done, Some("succeeded"));
    assert_eq!(world.jobs[&job].attempt, 1);
}

/// Guards against an old owner that keeps renewing leases, or stays busy,
/// after a new owner was seen.
#[test]
fn superseded_owner_stops_renewing() {
    let mut world = world_with_allotments(8);
    let (job, _) = start_job(&mut world, "watch");
    let old = world.owner_index(world.jobs[&job].group);
    world.owners[old].store_unreachable = true;
    world.advance(8_000);
    assert_ne!(world.owner_index(world.jobs[&job].group), old);
    assert!(world.owners[old].machine.is_superseded());
    assert_eq!(world.jobs[&job].attempt, 1, "the new owner must renew the lease");
    let due = world.owners[old].machine.next_deadline();
    assert!(due.is_none_or(|it| world.now < it));
}
