//! Guards against limits above an upstream's slots, limits that do not adapt to
//! a queue at the upstream, and parts that add up to more than a member's limit.

use mustardcove_core::{
    id::ProcessId,
    limit::{EntryShare, MemberLimit, UpstreamLimit},
    time::Timestamp,
};
use proptest::prelude::*;

/// Keeps as many requests in flight as the limit allows, against an upstream
/// that serves `parallel` at once and queues the rest.
fn run_at_limit(limit: &mut UpstreamLimit, parallel: u32, rounds: u64, start: u64) {
    for round in 0..rounds {
        let in_flight = limit.get();
        let queued = in_flight.div_ceil(parallel);
        let now = Timestamp(start + round * 10);
        limit.on_sample(now, 10_000 * u64::from(queued), in_flight);
    }
}

/// Guards against a limit that ignores a queue at the upstream, or that stays
/// low after the queue has ended.
#[test]
fn limit_adapts_to_queue() {
    let mut limit = UpstreamLimit::new(32);
    run_at_limit(&mut limit, 32, 500, 0);
    assert_eq!(limit.get(), 32);
    // Other entry processes now use most of the slots.
    run_at_limit(&mut limit, 4, 100, 10_000);
    let low = limit.get();
    assert!(low <= 16, "limit is {low}");
    run_at_limit(&mut limit, 32, 2_000, 20_000);
    assert_eq!(limit.get(), 32);
}

/// Guards against a limit that grows from latencies measured under a low load,
/// and against one that falls below 1.
#[test]
fn unused_limit_does_not_grow() {
    let mut limit = UpstreamLimit::new(32);
    for _ in 0..20 {
        limit.on_overload();
    }
    assert_eq!(limit.get(), 1);
    let mut limit = UpstreamLimit::new(64);
    for _ in 0..8 {
        limit.on_overload();
    }
    let before = limit.get();
    for round in 0..500 {
        limit.on_sample(Timestamp(round), 10_000, 1);
    }
    assert_eq!(limit.get(), before);
}

proptest! {
    /// Guards against a limit below 1 or above the upstream's slots.
    #[test]
    fn limit_stays_in_bounds(
        slots in 0..200u32,
        samples in prop::collection::vec((0..5_000u64, 0..u64::MAX, 0..300u32, any::<bool>()), 1..300),
    ) {
        let mut limit = UpstreamLimit::new(slots);
        let mut now = Timestamp(0);
        for (wait, latency_us, in_flight, overload) in samples {
            now = now.plus_ms(wait);
            limit.on_sample(now, latency_us, in_flight);
            if overload {
                limit.on_overload();
            }
            prop_assert!((1..=slots.max(1)).contains(&limit.get()));
        }
    }

    /// Processes start and end; each sees the list of processes with a lag below
    /// the hold time. The parts in use never add up to more than the limit.
    #[test]
    fn parts_stay_below_limit(
        total in 0..40u32,
        lifetimes in prop::collection::vec((0..400u64, 1..400u64, 0..50u64), 1..10),
    ) {
        const HOLD: u64 = 50;
        let name = |at: usize| -> ProcessId { format!("p-{at}").parse().unwrap() };
        let live_at = |time: u64| -> Vec<ProcessId> {
            let live = lifetimes.iter().enumerate();
            let live = live.filter(|(_, it)| it.0 <= time && time < it.0 + it.1);
            live.map(|(at, _)| name(at)).collect()
        };
        let mut shares: Vec<EntryShare> =
            (0..lifetimes.len()).map(|at| EntryShare::new(name(at), HOLD)).collect();
        for now in 0..800u64 {
            let mut sum = 0;
            for (at, (start, length, lag)) in lifetimes.iter().enumerate() {
                if now < *start || *start + *length <= now {
                    continue;
                }
                let seen = now.saturating_sub(*lag).max(*start);
                shares[at].on_processes(Timestamp(now), &live_at(seen));
                sum += shares[at].part_of(total);
            }
            prop_assert!(sum <= total, "{sum} of {total} in use at {now}");
        }
    }
}

/// Guards against parts that leave some of a member's limit unused, and
/// against admission before the hold time has passed.
#[test]
fn whole_limit_is_used() {
    let names: Vec<ProcessId> = (0..7).map(|at| format!("p-{at}").parse().unwrap()).collect();
    let mut sum = 0;
    for name in &names {
        let mut share = EntryShare::new(name.clone(), 100);
        share.on_processes(Timestamp(0), &names);
        assert_eq!(share.part_of(500), 0);
        assert!(!share.is_ready());
        share.on_tick(share.next_deadline().unwrap());
        assert!(share.is_ready());
        sum += share.part_of(500);
    }
    assert_eq!(sum, 500);
}

/// Guards against more requests in flight than the part, also after it
/// shrinks.
#[test]
fn member_stays_in_part() {
    let mut limit = MemberLimit::default();
    assert!(limit.try_begin(2));
    assert!(limit.try_begin(2));
    assert!(!limit.try_begin(2));
    // A smaller part admits no request until enough requests have ended.
    limit.end();
    assert!(!limit.try_begin(1));
    limit.end();
    assert!(limit.try_begin(1));
    assert_eq!(limit.in_flight(), 1);
}
