//! Compares the router with a full scan of the upstreams.
//!
//! Guards against choices of upstreams without room, against wrong counts of
//! requests in flight, and against needless use of the billed link.

use std::collections::BTreeMap;

use mustardcove_core::{
    id::WorkerId,
    membership::{MembershipAction, Upstream},
    routing::{RouteChoice, RouteOutcome, Router, Tier},
    time::Timestamp,
};
use proptest::prelude::*;

fn upstream(number: u32, slots: u32) -> Upstream {
    let (region, domain) = [("r1", "d1"), ("r1", "d2"), ("r2", "d3")][number as usize % 3];
    Upstream {
        worker: worker(number),
        address: format!("127.0.0.1:{}", 9000 + number),
        region: region.parse().unwrap(),
        domain: domain.parse().unwrap(),
        slots,
        connections: 64,
    }
}

fn worker(number: u32) -> WorkerId {
    format!("w-{number}").parse().unwrap()
}

fn router(seed: u64) -> Router {
    Router::new("r1".parse().unwrap(), "d1".parse().unwrap(), seed)
}

/// The state that a full scan of the upstreams would use.
#[derive(Default)]
struct Naive {
    upstreams: BTreeMap<WorkerId, (Tier, bool)>,
    in_flight: BTreeMap<WorkerId, u32>,
}

impl Naive {
    fn has_room(&self, router: &Router, tiers: &[Tier]) -> bool {
        router.iter().any(|it| {
            let (tier, accepting) = self.upstreams[&it.worker];
            tiers.contains(&tier) && accepting && self.in_flight[&it.worker] < it.limit
        })
    }
}

#[derive(Clone, Debug)]
enum Step {
    Add(u32, u32),
    Stop(u32),
    Resume(u32),
    Remove(u32),
    Choose(bool),
    End(usize, u8, u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..9u32, 1..5u32).prop_map(|(it, slots)| Step::Add(it, slots)),
        1 => (0..9u32).prop_map(Step::Stop),
        1 => (0..9u32).prop_map(Step::Resume),
        1 => (0..9u32).prop_map(Step::Remove),
        8 => any::<bool>().prop_map(Step::Choose),
        6 => (any::<usize>(), 0..5u8, 1..400_000u64).prop_map(|(at, how, us)| Step::End(at, how, us)),
        1 => (1..5_000u64).prop_map(Step::Wait),
    ]
}

fn outcome(how: u8, latency_us: u64) -> RouteOutcome {
    match how {
        0 => RouteOutcome::Refused,
        1 => RouteOutcome::TimedOut(latency_us),
        2 => RouteOutcome::Failed,
        3 => RouteOutcome::Abandoned,
        _ => RouteOutcome::Answered(latency_us),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn choice_agrees_with_full_scan(seed: u64, steps in prop::collection::vec(step(), 1..200)) {
        let mut router = router(seed);
        let mut naive = Naive::default();
        let mut in_flight_choices: Vec<(RouteChoice, WorkerId)> = Vec::new();
        let mut now = Timestamp(1_000);
        for step in steps {
            match step {
                Step::Add(number, slots) => {
                    let upstream = upstream(number, slots);
                    let tier = [Tier::Domain, Tier::Region, Tier::Remote][number as usize % 3];
                    naive.upstreams.insert(upstream.worker.clone(), (tier, true));
                    naive.in_flight.insert(upstream.worker.clone(), 0);
                    // Requests to an earlier address no longer count.
                    in_flight_choices.retain(|(_, it)| *it != upstream.worker);
                    router.apply(&MembershipAction::Add(upstream));
                }
                Step::Stop(number) => {
                    naive.upstreams.entry(worker(number)).and_modify(|it| it.1 = false);
                    router.apply(&MembershipAction::Pause(worker(number)));
                }
                Step::Resume(number) => {
                    naive.upstreams.entry(worker(number)).and_modify(|it| it.1 = true);
                    router.apply(&MembershipAction::Resume(worker(number)));
                }
                Step::Remove(number) => {
                    naive.upstreams.remove(&worker(number));
                    in_flight_choices.retain(|(_, it)| *it != worker(number));
                    router.apply(&MembershipAction::Remove(worker(number)));
                }
                Step::Choose(avoid_all) => {
                    let avoid: Vec<RouteChoice> =
                        if avoid_all { in_flight_choices.iter().map(|it| it.0).collect() } else { Vec::new() };
                    let any = naive.has_room(&router, &[Tier::Domain, Tier::Region, Tier::Remote]);
                    let local = naive.has_room(&router, &[Tier::Domain, Tier::Region]);
                    let limits: BTreeMap<_, _> =
                        router.iter().map(|it| (it.worker, it.limit)).collect();
                    let choice = router.choose(now, &avoid);
                    prop_assert_eq!(choice.is_some(), any);
                    let Some(choice) = choice else { continue };
                    let chosen = router.worker(choice).unwrap().clone();
                    let (tier, accepting) = naive.upstreams[&chosen];
                    prop_assert!(accepting);
                    prop_assert_eq!(tier, choice.tier());
                    let in_flight = naive.in_flight.get_mut(&chosen).unwrap();
                    prop_assert!(*in_flight < limits[&chosen]);
                    prop_assert!(local || tier == Tier::Remote);
                    *in_flight += 1;
                    in_flight_choices.push((choice, chosen));
                }
                Step::End(at, how, latency_us) => {
                    if in_flight_choices.is_empty() {
                        continue;
                    }
                    let (choice, worker) = in_flight_choices.swap_remove(at % in_flight_choices.len());
                    router.end(now, choice, outcome(how, latency_us));
                    *naive.in_flight.get_mut(&worker).unwrap() -= 1;
                }
                Step::Wait(ms) => now = now.plus_ms(ms),
            }
            for it in router.iter() {
                prop_assert_eq!(it.in_flight, naive.in_flight[&it.worker]);
            }
            let any = naive.has_room(&router, &[Tier::Domain, Tier::Region, Tier::Remote]);
            prop_assert_eq!(router.has_room(), any);
        }
    }
}

/// Guards against counting the end of a request of a removed upstream for the
/// new upstream on the same instance.
#[test]
fn late_end_is_ignored() {
    let mut router = router(1);
    router.apply(&MembershipAction::Add(upstream(0, 2)));
    let old = router.choose(Timestamp(0), &[]).unwrap();
    router.apply(&MembershipAction::Remove(worker(0)));
    router.apply(&MembershipAction::Add(upstream(0, 2)));
    let new = router.choose(Timestamp(0), &[]).unwrap();
    router.end(Timestamp(9), old, RouteOutcome::Answered(10));
    assert_eq!(router.worker(old), None);
    assert_eq!(router.iter().next().unwrap().in_flight, 1);
    router.end(Timestamp(9), new, RouteOutcome::Answered(10));
    assert_eq!(router.iter().next().unwrap().in_flight, 0);
}

/// Guards against using the billed link for a small gain, and against not
/// using it when local answers are far slower.
#[test]
fn link_is_used_only_beyond_margin() {
    let mut router = router(2);
    for number in 0..6 {
        router.apply(&MembershipAction::Add(upstream(number, 8)));
    }
    // Local answers in 40 ms do not justify the link, however fast it is.
    for _ in 0..500 {
        let choice = router.choose(Timestamp(0), &[]).unwrap();
        assert_ne!(choice.tier(), Tier::Remote);
        router.end(Timestamp(0), choice, RouteOutcome::Answered(40_000));
    }
    // Local answers in 2 s do, as long as remote ones take 60 ms.
    let mut remote = 0;
    for _ in 0..500 {
        let choice = router.choose(Timestamp(0), &[]).unwrap();
        let is_remote = choice.tier() == Tier::Remote;
        remote += u32::from(is_remote);
        let latency_us = if is_remote { 60_000 } else { 2_000_000 };
        router.end(Timestamp(0), choice, RouteOutcome::Answered(latency_us));
    }
    assert!(400 < remote, "{remote} of 500 requests used the link");
}

/// Guards against an upstream that gets most requests because it fails at
/// once.
#[test]
fn fast_failures_do_not_attract_requests() {
    let mut router = router(3);
    for number in [0, 3, 6] {
        router.apply(&MembershipAction::Add(upstream(number, 8)));
    }
    let bad = worker(3);
    let mut count = 0;
    for ms in 0..1_000 {
        let choice = router.choose(Timestamp(ms), &[]).unwrap();
        let is_bad = *router.worker(choice).unwrap() == bad;
        count += u32::from(is_bad);
        let outcome = if is_bad { RouteOutcome::Failed } else { RouteOutcome::Answered(20_000) };
        router.end(Timestamp(ms), choice, outcome);
    }
    assert!(count < 50, "{count} of 1000 requests went to an upstream that fails at once");
}

/// Guards against a retry on the upstream on which the attempt before it
/// failed.
#[test]
fn avoided_upstream_is_last_choice() {
    let mut router = router(4);
    router.apply(&MembershipAction::Add(upstream(0, 8)));
    router.apply(&MembershipAction::Add(upstream(3, 8)));
    for ms in 0..200 {
        let first = router.choose(Timestamp(ms), &[]).unwrap();
        let second = router.choose(Timestamp(ms), &[first]).unwrap();
        assert_ne!(router.worker(first), router.worker(second));
        router.end(Timestamp(ms), first, RouteOutcome::Failed);
        router.end(Timestamp(ms), second, RouteOutcome::Answered(1_000));
    }
}
