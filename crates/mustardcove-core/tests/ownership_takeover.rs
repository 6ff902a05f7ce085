//! Guards against two owners of one worker group, and against shards and
//! groups that stay without an owner after failures.

#[path = "support/ownership_world.rs"]
mod ownership_world;

use mustardcove_core::{id::ProcessId, ownership::OwnershipEvent};
use ownership_world::World;
use proptest::{prelude::*, test_runner::RngSeed};

/// Longest time that a takeover may take, in milliseconds: urgent work has to
/// start within 4.5 s after an owner fails, and the start itself may take 1 s.
const MAX_TAKEOVER_MS: u64 = 3_500;

/// Longest time that a planned stop of a process may take, in milliseconds.
const MAX_DRAIN_MS: u64 = 10_000;

fn started(processes: usize) -> (World, Vec<ProcessId>) {
    let mut world = World::new(3, 16);
    let names = (0..processes).map(|_| world.start_process()).collect();
    world.run_ms(12_000);
    world.assert_all_held();
    (world, names)
}

/// Guards against groups and shards that stay without an owner after a process
/// ended.
#[test]
fn killed_owner() {
    let (mut world, names) = started(7);
    for name in &names[..3] {
        world.processes.get_mut(name).unwrap().dead = true;
        world.run_ms(MAX_TAKEOVER_MS);
        world.assert_all_held();
        world.run_ms(2_000);
    }
}

/// Guards against a paused owner that acts on its old claims when it
/// continues.
#[test]
fn paused_owner() {
    let (mut world, names) = started(5);
    let owner = names.iter().find(|it| !world.processes[*it].groups.is_empty()).unwrap().clone();
    world.processes.get_mut(&owner).unwrap().paused = true;
    world.run_ms(MAX_TAKEOVER_MS);
    world.assert_all_held();
    // The resumed owner still has claims that a successor holds by now. After
    // each step, the simulation checks that it does not act on them.
    world.processes.get_mut(&owner).unwrap().paused = false;
    world.run_ms(10_000);
    world.assert_all_held();
}

/// Guards against a planned stop that leaves groups or shards without an owner
/// or takes too long.
#[test]
fn drained_owner() {
    let (mut world, names) = started(5);
    world.send(&names[0], OwnershipEvent::Drain);
    world.run_ms(MAX_DRAIN_MS);
    assert!(world.processes[&names[0]].drained);
    assert!(world.processes[&names[0]].groups.is_empty());
    assert!(world.processes[&names[0]].shards.is_empty());
    world.assert_all_held();
}

/// Guards against claims that stay valid during a long outage of the store,
/// and against a slow recovery from it.
#[test]
fn store_outage() {
    let (mut world, _) = started(7);
    world.outage = true;
    world.run_ms(3_600_000);
    assert!(world.held_groups().is_empty(), "claims are still valid after an hour of outage");
    world.outage = false;
    world.run_ms(8_000);
    world.assert_all_held();
}

/// Guards against groups that stay without an owner when a process pauses
/// across an outage of the store.
#[test]
fn pause_across_outage() {
    let (mut world, names) = started(5);
    let owner = names.iter().find(|it| !world.processes[*it].groups.is_empty()).unwrap().clone();
    world.processes.get_mut(&owner).unwrap().paused = true;
    world.run_ms(1_000);
    world.outage = true;
    world.run_ms(20_000);
    world.outage = false;
    world.run_ms(1_500);
    world.processes.get_mut(&owner).unwrap().paused = false;
    world.run_ms(12_000);
    world.assert_all_held();
}

/// Guards against claims that are stuck because the answers to their writes
/// were lost.
#[test]
fn lost_claim_answers() {
    let mut world = World::new(3, 16);
    for _ in 0..5 {
        world.start_process();
    }
    for _ in 0..200 {
        world.lose_answers = 1;
        world.run_ms(60);
    }
    world.lose_answers = 0;
    world.run_ms(12_000);
    world.assert_all_held();
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Pause(usize),
    Resume(usize),
    CutOff(usize),
    Reconnect(usize),
    Start,
    Drain(usize),
    Outage,
    Restore,
    LoseAnswers(u32),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..8_usize).prop_map(Fault::Kill),
        (0..8_usize).prop_map(Fault::Pause),
        (0..8_usize).prop_map(Fault::Resume),
        (0..8_usize).prop_map(Fault::CutOff),
        (0..8_usize).prop_map(Fault::Reconnect),
        Just(Fault::Start),
        (0..8_usize).prop_map(Fault::Drain),
        Just(Fault::Outage),
        Just(Fault::Restore),
        (1..5_u32).prop_map(Fault::LoseAnswers),
    ]
}

fn inject(world: &mut World, fault: &Fault) {
    let names: Vec<ProcessId> = world.processes.keys().cloned().collect();
    let mut with = |index: usize, change: fn(&mut ownership_world::Process)| {
        change(world.processes.get_mut(&names[index % names.len()]).unwrap());
    };
    match fault {
        Fault::Kill(index) => with(*index, |it| it.dead = true),
        Fault::Pause(index) => with(*index, |it| it.paused = true),
        Fault::Resume(index) => with(*index, |it| it.paused = false),
        Fault::CutOff(index) => with(*index, |it| it.cut_off = true),
        Fault::Reconnect(index) => with(*index, |it| it.cut_off = false),
        Fault::Start => {
            world.start_process();
        }
        Fault::Drain(index) => world.send(&names[index % names.len()], OwnershipEvent::Drain),
        Fault::Outage => world.outage = true,
        Fault::Restore => world.outage = false,
        Fault::LoseAnswers(count) => world.lose_answers = *count,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x6f77_6e65),
        ..ProptestConfig::default()
    })]

    /// Whatever fails, no two processes may act on a group at the same time.
    /// Once the faults end and a process runs, every group and shard gets an
    /// owner.
    #[test]
    fn combined_faults(faults in prop::collection::vec((fault(), 0..4_000_u64), 1..24)) {
        let (mut world, _) = started(4);
        for (fault, wait_ms) in &faults {
            inject(&mut world, fault);
            world.run_ms(*wait_ms);
        }
        world.outage = false;
        world.lose_answers = 0;
        for process in world.processes.values_mut() {
            process.paused = false;
            process.cut_off = false;
        }
        world.start_process();
        world.run_ms(30_000);
        world.assert_all_held();
    }
}

/// Guards against groups and shards that stay without an owner after an
/// outage, several drains and a process that reconnects to the store.
#[test]
fn reconnect_after_drains() {
    let (mut world, _) = started(4);
    let faults = [
        (Fault::Outage, 961),
        (Fault::Restore, 281),
        (Fault::CutOff(1), 581),
        (Fault::Drain(3), 1_081),
        (Fault::Drain(0), 1_541),
        (Fault::Reconnect(1), 0),
        (Fault::Drain(6), 0),
    ];
    for (fault, wait_ms) in &faults {
        inject(&mut world, fault);
        world.run_ms(*wait_ms);
    }
    world.start_process();
    world.run_ms(30_000);
    world.assert_all_held();
}
