//! Cost of one routing choice, compared with a naive version in the same run.
//!
//! Criterion reports means, but the bound is stated in percentiles. These are
//! printed afterwards from individually timed choices, which include the cost
//! of reading the clock twice.

use std::{hint::black_box, io::Write as _, time::Instant};

use criterion::{BenchmarkId, Criterion};
use hdrhistogram::Histogram;
use mustardcove_core::{
    membership::{MembershipAction, Upstream},
    routing::{RouteChoice, RouteOutcome, Router},
    time::Timestamp,
};

const SIZES: [u32; 2] = [48, 750];

/// Requests that stay in flight while choices are measured, per upstream.
const LOAD_PER_UPSTREAM: usize = 3;

const TIMED_CHOICES: u32 = 1_000_000;

fn upstreams(count: u32) -> Vec<Upstream> {
    let places = [("r1", "d1"), ("r1", "d2"), ("r1", "d3"), ("r2", "d4"), ("r2", "d5")];
    let upstream = |number: u32| {
        let (region, domain) = places[number as usize % places.len()];
        Upstream {
            worker: format!("w-{number}").parse().unwrap(),
            address: format!("127.0.0.1:{}", 10_000 + number),
            region: region.parse().unwrap(),
            domain: domain.parse().unwrap(),
            slots: 8,
            connections: 64,
        }
    };
    (0..count).map(upstream).collect()
}

/// Round robin over the instance list, regardless of load and locality.
struct Naive {
    upstreams: Vec<Upstream>,
    next: usize,
}

impl Naive {
    fn choose(&mut self) -> usize {
        self.next = (self.next + 1) % self.upstreams.len();
        self.next
    }
}

/// A router with a constant number of requests in flight: each choice is
/// followed by the end of the oldest request.
struct LoadedRouter {
    router: Router,
    in_flight: Vec<RouteChoice>,
    at: usize,
    now: u64,
}

impl LoadedRouter {
    fn new(count: u32) -> LoadedRouter {
        let mut router = Router::new("r1".parse().unwrap(), "d1".parse().unwrap(), 7);
        for upstream in upstreams(count) {
            router.apply(&MembershipAction::Add(upstream));
        }
        let load = count as usize * LOAD_PER_UPSTREAM;
        let in_flight = (0..load).map(|_| router.choose(Timestamp(0), &[]).unwrap()).collect();
        LoadedRouter { router, in_flight, at: 0, now: 0 }
    }

    fn choose(&mut self) -> RouteChoice {
        self.router.choose(Timestamp(self.now / 64), &[]).expect("no upstream has room")
    }

    fn end_oldest(&mut self, newest: RouteChoice) {
        self.now += 1;
        let oldest = std::mem::replace(&mut self.in_flight[self.at], newest);
        self.at = (self.at + 1) % self.in_flight.len();
        let latency_us = 10_000 + self.now * 7_919 % 20_000;
        self.router.end(Timestamp(self.now / 64), oldest, RouteOutcome::Answered(latency_us));
    }
}

fn bench(c: &mut Criterion) {
    let mut group = c.benchmark_group("routing_choice");
    for size in SIZES {
        let mut router_under_load = LoadedRouter::new(size);
        group.bench_function(BenchmarkId::new("choose_and_end", size), |b| {
            b.iter(|| {
                let choice = router_under_load.choose();
                router_under_load.end_oldest(choice);
                choice
            });
        });
        let mut naive = Naive { upstreams: upstreams(size), next: 0 };
        group.bench_function(BenchmarkId::new("naive_round_robin", size), |b| {
            b.iter(|| black_box(naive.choose()));
        });
    }
    group.finish();
}

fn percentiles(name: &str, size: u32, mut timed: impl FnMut() -> u64) {
    let mut histogram = Histogram::<u64>::new(3).unwrap();
    for _ in 0..TIMED_CHOICES {
        histogram.record(timed()).unwrap();
    }
    let at = |quantile| histogram.value_at_quantile(quantile);
    let mut out = std::io::stdout();
    writeln!(
        out,
        "{name}/{size}: ns p50={} p99={} p99.9={} max={}",
        at(0.5),
        at(0.99),
        at(0.999),
        histogram.max()
    )
    .unwrap();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench(&mut criterion);
    criterion.final_summary();
    for size in SIZES {
        let mut router_under_load = LoadedRouter::new(size);
        percentiles("choose", size, || {
            let start = Instant::now();
            let choice = black_box(router_under_load.choose());
            let ns = start.elapsed().as_nanos() as u64;
            router_under_load.end_oldest(choice);
            ns
        });
        let mut naive = Naive { upstreams: upstreams(size), next: 0 };
        percentiles("naive", size, || {
            let start = Instant::now();
            black_box(naive.choose());
            start.elapsed().as_nanos() as u64
        });
    }
}
