//! Random failures of the store, of messages and of processes, combined.
//!
//! The world checks after each event that no two attempts of a job run at the
//! same time, that no attempt starts before its binding is durable, that no
//! acknowledged job is lost, that no key is accepted twice, and that no request
//! that was refused as not run took effect. Once the failures stop, every job
//! must end.

#[path = "support/doubles.rs"]
mod doubles;

use doubles::{
    group, spec,
    world::{GROUPS, World},
};
use mustardcove_core::{
    id::{ProcessId, RequestId, TaskId},
    job::{AttemptLocation, JobSpec, JobState, Outcome},
    message::ShardRequest,
    shard::{ShardConfig, ShardEvent},
    store::{StoreError, StoreOp},
    verdict::{Refusal, RefusalReason, Verdict},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Limits small enough that a short history reaches snapshots, deletions and
/// the verification of late appends; their ratios are those of the defaults.
fn small_limits() -> ShardConfig {
    ShardConfig {
        snapshot_segments: 4,
        snapshot_interval_ms: 500,
        delete_interval_ms: 100,
        delete_after_ms: 20_000,
        verify_after_ms: 1000,
        ..ShardConfig::default()
    }
}

const CLASSES: [&str; 4] = ["binding-run", "scan", "rush", "watcher"];
const SERVICES: [&str; 2] = ["proof", "booking"];

/// A random step: its kind and two arguments.
type RawStep = (u8, u8, u8);

fn task_spec(a: u8, b: u8) -> JobSpec {
    let class = CLASSES[usize::from(a % 4)];
    // One use in eight has another body, so it reuses the key.
    let body = if b.is_multiple_of(8) { "other" } else { "body" };
    spec(class, &format!("task-{}", a % 6), body)
}

fn service_spec(a: u8) -> JobSpec {
    let class = SERVICES[usize::from(a % 2)];
    spec(class, &format!("request-{}", a % 4), "body")
}

/// Returns the element that a random byte selects, or none if there is none.
fn pick<T>(items: &[T], n: u8) -> Option<&T> {
    items.get(usize::from(n) % items.len().max(1))
}

fn alive(world: &World, n: u8) -> Option<usize> {
    let alive: Vec<usize> = (0..world.owners.len()).filter(|it| world.owners[*it].alive).collect();
    pick(&alive, n).copied()
}

/// Answers the oldest call of a process; `how` selects whether it takes effect
/// at once, later or never, and what the answer says.
fn answer_call(world: &mut World, n: usize, how: u8) {
    let Some((call, op)) = world.owners[n].calls.pop_front() else { return };
    let unknown = Err(StoreError::Unavailable { verdict: Verdict::MayHaveRun });
    let result = match how % 8 {
        0 => {
            _ = world.call(&op);
            unknown
        }
        1 => unknown,
        2 => {
            world.delayed_writes.push_back(op);
            unknown
        }
        3 => Err(StoreError::Unavailable { verdict: Verdict::NotRun }),
        _ => world.call(&op),
    };
    world.event(n, ShardEvent::StoreReply { call, result });
}

fn admit(world: &mut World, n: usize, a: u8, b: u8) {
    let spec = service_spec(a);
    let deadline = world.now.plus_ms(500 + u64::from(b) * 10);
    let upstream = "upstream-1".parse().unwrap();
    let body = ShardRequest::Admit { spec, upstream, deadline };
    let entry = if b.is_multiple_of(2) { "entry-0" } else { "entry-1" };
    world.request_from(entry, n, body);
}

fn complete(world: &mut World, n: usize, a: u8, b: u8) {
    let bound: Vec<TaskId> = world.durable.admitted.keys().copied().collect();
    let Some(task) = pick(&bound, a).copied() else { return };
    let (reason, detail) = (RefusalReason::UpstreamFailed, "upstream failed");
    let outcome = match b % 4 {
        0 => Outcome::Failed { refusal: Refusal::not_run(reason, detail) },
        1 => Outcome::Failed { refusal: Refusal::may_have_run(reason, detail) },
        _ => Outcome::Succeeded { result: b"answer".to_vec().into() },
    };
    world.request(n, ShardRequest::Complete { task, outcome });
}

fn end_attempt(world: &mut World, a: u8, b: u8) {
    let running: Vec<TaskId> = world.groups.running.keys().copied().collect();
    let Some(task) = pick(&running, a).copied() else { return };
    match b % 4 {
        0 => world.groups.succeed(task),
        1 => world.groups.fail(task),
        2 => world.groups.evict(task, u16::from(b)),
        _ => world.groups.lose(task),
    }
}

/// Moves a message to the front of the queue; in one of four cases it is
/// duplicated instead.
fn shuffle<T: Clone>(queue: &mut std::collections::VecDeque<T>, a: u8, b: u8) {
    if queue.is_empty() {
        return;
    }
    let i = usize::from(a) % queue.len();
    let message = queue[i].clone();
    if !b.is_multiple_of(4) {
        queue.remove(i);
    }
    queue.push_front(message);
}

fn step(world: &mut World, (kind, a, b): RawStep) {
    let Some(n) = alive(world, a) else {
        world.add_owner();
        return;
    };
    match kind % 32 {
        0..=2 => {
            let serving = world.serving().unwrap_or(n);
            let mut spec = task_spec(a, b);
            if b.is_multiple_of(5) {
                spec.deadline = Some(world.now.plus_ms(1 + u64::from(b) * 40));
            }
            world.request(serving, ShardRequest::Submit { spec });
        }
        3 => _ = world.request(n, ShardRequest::Submit { spec: task_spec(b, a) }),
        4 => admit(world, n, a, b),
        5 => complete(world, n, a, b),
        6 => {
            let job = task_spec(b, 1).id();
            world.request(n, ShardRequest::Cancel { job, member: None });
        }
        7 => {
            let wait_until = Some(world.now.plus_ms(u64::from(b) * 20));
            let job = task_spec(b, 1).id();
            world.request(n, ShardRequest::Query { job, wait_until, member: None });
        }
        8..=13 => answer_call(world, n, b),
        14..=16 => {
            shuffle(&mut world.to_groups, a, b);
            world.deliver_to_groups();
        }
        17..=19 => {
            shuffle(&mut world.groups.outbox, a, b);
            world.deliver_to_shard(n);
        }
        20 | 21 => end_attempt(world, a, b),
        22 => world.groups.repeat_ends(),
        23 => world.groups.take_over(&group(usize::from(a) % GROUPS)),
        24 if world.owners.len() < 6 => _ = world.add_owner(),
        25 if b.is_multiple_of(2) => world.crash(n),
        25 => {
            let to: ProcessId = "sched-next".parse().unwrap();
            world.event(n, ShardEvent::HandOver { to });
        }
        26 => (world.store_up, world.outage_verdict) = (b.is_multiple_of(2), outage_verdict(b)),
        27 => {
            if let Some(op) = world.delayed_writes.pop_front() {
                _ = world.call(&op);
            }
        }
        28 => {
            let ended: ProcessId = format!("entry-{}", a % 2).parse().unwrap();
            world.event(n, ShardEvent::ProcessEnded(ended));
        }
        29 => {
            // Time passes while no process runs; then a single process runs.
            world.now = world.now.plus_ms(u64::from(b) * 200);
            world.event(n, ShardEvent::Tick);
        }
        _ => world.run(u64::from(b) * 8),
    }
}

fn outage_verdict(b: u8) -> Verdict {
    if b < 128 { Verdict::NotRun } else { Verdict::MayHaveRun }
}

/// Stops all failures, then ends attempts until every job has ended.
fn end_failures(world: &mut World) {
    world.store_up = true;
    while let Some(op) = world.delayed_writes.pop_front() {
        _ = world.call(&op);
    }
    if world.serving().is_none() {
        world.add_owner();
    }
    for _ in 0..12 {
        world.run(15_000);
        if world.serving().is_none() {
            world.add_owner();
        }
        let running: Vec<TaskId> = world.groups.running.keys().copied().collect();
        running.into_iter().for_each(|task| world.groups.succeed(task));
    }
    world.run(15_000);
    assert!(world.serving().is_some(), "no process serves the shard");
    let open: Vec<_> = world.durable.ledger.jobs().filter(|(_, job)| !job.is_done()).collect();
    let waits = |state: &JobState| {
        // An exclusive request whose attempt has ended waits to be sent again.
        matches!(state, JobState::Queued { .. })
            && world.durable.bound.values().any(|it| matches!(it, AttemptLocation::Upstream { .. }))
    };
    let stuck = open.iter().find(|(_, job)| job.admission_request.is_none() || !waits(&job.state));
    let dumps = || -> Vec<_> {
        let alive = world.owners.iter().filter(|it| it.alive);
        alive.map(|it| it.shard.dump(10)).collect()
    };
    assert!(stuck.is_none(), "a job never ends: {stuck:?} at {} {:?}", world.now, dumps());
    assert!(world.groups.ended.is_empty(), "not acknowledged: {:?}", world.groups.ended);
    for (request, (_, subject)) in &world.requests {
        let request: &RequestId = request;
        let dropped = !world.is_answered(*request);
        assert!(!dropped || world.owners.iter().any(|it| !it.alive), "{subject:?} has no answer");
    }
}

fn run_case(cfg: ShardConfig, seed: u64, steps: Vec<RawStep>) {
    let mut world = World::new(cfg, seed);
    world.add_owner();
    world.run(1000);
    steps.into_iter().for_each(|it| step(&mut world, it));
    end_failures(&mut world);
}

fn config(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(400, 17))]

    /// Guards against lost jobs, repeated work and wrong answers when failures
    /// of the store, of messages and of processes coincide.
    #[test]
    fn many_at_once(seed in 0u64..1000, steps in prop::collection::vec(any::<RawStep>(), 20..160)) {
        run_case(small_limits(), seed, steps);
    }
}

proptest! {
    #![proptest_config(config(200, 18))]

    /// Guards against faults that only the default limits reveal, such as
    /// records that wait for the end of a long outage.
    #[test]
    fn default_limits(seed in 0u64..1000, steps in prop::collection::vec(any::<RawStep>(), 20..160)) {
        run_case(ShardConfig::default(), seed, steps);
    }
}

/// Guards the injection itself: store calls must be answered in all ways.
#[test]
fn all_store_answers_injected() {
    let mut world = World::new(small_limits(), 1);
    world.add_owner();
    for how in 0..8 {
        let op = StoreOp::Get { key: "k".to_owned() };
        world.owners[0].calls.push_front((mustardcove_core::id::CallId(u64::MAX), op));
        answer_call(&mut world, 0, how);
    }
    assert_eq!(world.delayed_writes.len(), 1);
    assert_eq!(world.store.reads, 5);
}
