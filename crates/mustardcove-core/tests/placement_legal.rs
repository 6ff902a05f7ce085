//! Choices against an exhaustive reference on small fleets.

use mustardcove_core::{
    class::{ClassIndex, ClassKind, ClassTable},
    interference::SlowdownTable,
    placement::{
        BestFitPolicy, LearnedPolicy, OraclePolicy, PlacementPolicy, PlacementRequest, WorkerView,
    },
    size::Resources,
};
use proptest::prelude::*;

#[path = "support/fleet.rs"]
mod fleet;

fn classes() -> ClassTable {
    fleet::table(&[
        fleet::class("check", ClassKind::Service, 500, 512),
        fleet::class("invoice", ClassKind::Batch, 1000, 1024),
        fleet::class("album", ClassKind::Batch, 4000, 4096),
    ])
}

/// Returns the workers that accept tasks and have room, by checking each.
fn eligible_workers(workers: &[WorkerView], request: &PlacementRequest) -> Vec<usize> {
    let fits = |it: &WorkerView| {
        let sum = it.committed.checked_add(request.resources).unwrap();
        it.accepting && sum.fits_in(it.capacity)
    };
    (0..workers.len()).filter(|&index| fits(&workers[index])).collect()
}

#[derive(Clone, Debug)]
enum Step {
    Place { class: u16, cpu: u64, accelerators: u32, urgent: bool, avoid: Option<usize> },
    End { worker: usize, position: usize },
    ToggleAccepting { worker: usize, reliability: f64 },
}

fn step() -> impl Strategy<Value = Step> {
    let place = (1..3u16, 1..6u64, 0..2u32, any::<bool>(), proptest::option::of(0..6usize))
        .prop_map(|(class, cpu, accelerators, urgent, avoid)| Step::Place {
            class,
            cpu: cpu * 1000,
            accelerators,
            urgent,
            avoid,
        });
    let end = (0..6usize, 0..8usize).prop_map(|(worker, position)| Step::End { worker, position });
    let toggle = (0..6usize, 0.0..1.0f64)
        .prop_map(|(worker, reliability)| Step::ToggleAccepting { worker, reliability });
    prop_oneof![6 => place, 3 => end, 1 => toggle]
}

fn check_choices(mut policy: impl PlacementPolicy, may_wait: bool, steps: &[Step]) {
    let classes = classes();
    let capacity = |index| Resources::new(8000, 16 * 1024, u32::from(index % 2 == 0));
    let mut workers: Vec<_> = (0..6).map(|it| fleet::worker(it, capacity(it))).collect();
    workers.iter_mut().for_each(|it| fleet::add_residents(it, ClassIndex(0), 8));
    for (number, step) in steps.iter().enumerate() {
        let now = fleet::START.plus_ms(number as u64 * 300);
        match *step {
            Step::Place { class, cpu, accelerators, urgent, avoid } => {
                let needs = Resources::new(cpu, 1024, accelerators);
                let mut request = fleet::request(number as u64, ClassIndex(class), needs);
                request.urgent = urgent;
                request.avoid_workers =
                    avoid.map(|it| workers[it].id.clone()).into_iter().collect();
                let eligible = eligible_workers(&workers, &request);
                let choice = policy.choose(now, &classes, &request, &workers);
                let Some(index) = choice else {
                    assert!(
                        eligible.is_empty() || (may_wait && !urgent),
                        "no worker was chosen although one has room"
                    );
                    continue;
                };
                assert!(eligible.contains(&index), "worker {index} has no room, {eligible:?} have");
                let avoided = avoid == Some(index);
                assert!(
                    !avoided || eligible.len() == 1,
                    "an avoided worker was chosen although another has room"
                );
                fleet::start(&mut workers[index], now, &request);
            }
            Step::End { worker, position } if position < workers[worker].tasks.len() => {
                fleet::end(&mut workers[worker], position);
            }
            Step::End { .. } => {}
            Step::ToggleAccepting { worker, reliability } => {
                workers[worker].accepting = !workers[worker].accepting;
                workers[worker].reliability = reliability;
            }
        }
        if number % 5 == 0 {
            policy.choose_evictions(now, &classes, &workers, &[]);
        }
    }
}

fn strong_interference() -> SlowdownTable {
    SlowdownTable::from_fn(3, |_, victim, aggressor| f64::from(victim.0 * 2 + aggressor.0) * 0.2)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Guards against commitments beyond a worker's capacity (P1), choices of
    /// workers that do not accept tasks, and refusals while there is room.
    #[test]
    fn choices_are_valid(steps in prop::collection::vec(step(), 1..80)) {
        check_choices(BestFitPolicy::new(), false, &steps);
        check_choices(LearnedPolicy::new(5), false, &steps);
        check_choices(OraclePolicy::new(strong_interference()), true, &steps);
    }

    /// Guards against stale cached losses: after any sequence of placements,
    /// the choice equals that of a policy without a cache.
    #[test]
    fn choice_is_independent_of_history(
        steps in prop::collection::vec((0..6usize, 1..3u16, any::<bool>()), 1..60),
    ) {
        let classes = classes();
        let capacity = Resources::new(24_000, 64 * 1024, 0);
        let mut workers: Vec<_> = (0..6).map(|it| fleet::worker(it, capacity)).collect();
        let mut long_lived = OraclePolicy::new(strong_interference());
        for (number, &(worker, class, ends)) in steps.iter().enumerate() {
            // Tasks of both classes have the same size here, so that the
            // committed capacity does not tell which classes a worker holds.
            let needs = Resources::new(2000, 1024, 0);
            let mut request = fleet::request(number as u64, ClassIndex(class), needs);
            request.member = format!("member{number}").parse().unwrap();
            let now = fleet::START.plus_ms(number as u64);
            let fresh = OraclePolicy::new(strong_interference()).choose(now, &classes, &request, &workers);
            prop_assert_eq!(long_lived.choose(now, &classes, &request, &workers), fresh);
            let view = &mut workers[worker];
            if ends && !view.tasks.is_empty() {
                fleet::end(view, 0);
            } else if needs.fits_in(view.free()) {
                fleet::start(view, now, &request);
            }
        }
    }
}

/// Guards against a policy that ignores interference: a class that slows a
/// service down is placed on the worker without the service.
#[test]
fn interfering_class_is_placed_apart() {
    let classes = classes();
    let capacity = Resources::new(32_000, 64 * 1024, 0);
    let mut workers: Vec<_> = (0..4).map(|it| fleet::worker(it, capacity)).collect();
    for index in [0, 1, 3] {
        fleet::add_residents(&mut workers[index], ClassIndex(0), 8);
    }
    let truth = SlowdownTable::from_fn(3, |_, victim, aggressor| {
        if (victim, aggressor) == (ClassIndex(0), ClassIndex(2)) { 0.4 } else { 0.0 }
    });
    let mut oracle = OraclePolicy::new(truth);
    let request = fleet::request(1, ClassIndex(2), Resources::new(4000, 4096, 0));
    assert_eq!(oracle.choose(fleet::START, &classes, &request, &workers), Some(2));
}

/// Guards against losing all work of a member with one rack.
#[test]
fn tasks_spread_over_racks() {
    let classes = classes();
    let capacity = Resources::new(32_000, 64 * 1024, 0);
    let mut workers: Vec<_> = (0..32).map(|it| fleet::worker(it, capacity)).collect();
    let mut policy = OraclePolicy::new(SlowdownTable::new(3));
    for number in 0..8 {
        let now = fleet::START.plus_ms(number * 1000);
        let mut request = fleet::request(number, ClassIndex(1), Resources::new(1000, 1024, 0));
        request.member = "m0".parse().unwrap();
        policy.choose_evictions(now, &classes, &workers, &[]);
        let index = policy.choose(now, &classes, &request, &workers).unwrap();
        fleet::start(&mut workers[index], now, &request);
    }
    let per_rack = |rack: usize| -> usize {
        workers[rack * 8..(rack + 1) * 8].iter().map(|it| it.tasks.len()).sum()
    };
    let counts: Vec<usize> = (0..4).map(per_rack).collect();
    assert!(counts.iter().all(|&it| it <= 3), "tasks per rack: {counts:?}");
}
