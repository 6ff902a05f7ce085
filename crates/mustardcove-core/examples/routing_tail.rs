//! Seeded simulation of routing with slow upstreams and one that leaves. It
//! compares the tail latency and the share of requests over the billed link
//! with those of a naive version.
//!
//! Time is virtual. Seven entry processes send to 48 upstreams of 8 slots in
//! three failure domains, the sizes of the present deployment. One upstream of
//! each region is eight times slower during the middle third of the run. One
//! upstream leaves after the first third: it answers with `Connection: close`
//! for 2 s and refuses connections after that, while the instance list shows
//! this only 5 s later. The naive version is round robin over the instance
//! list, regardless of load and locality.
//!
//! Run with `cargo run --release -p mustardcove-core --example routing_tail`.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    io::Write as _,
    sync::Arc,
};

use hdrhistogram::Histogram;
use mustardcove_core::{
    id::ServiceId,
    membership::{ConnectionSignal, Membership, MembershipAction, MembershipEvent},
    routing::{RouteChoice, RouteOutcome, Router},
    size::Resources,
    time::Timestamp,
    worker::{UpstreamInfo, WorkerInfo},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PLACES: [(&str, &str); 3] =
    [("ulaanbaatar", "ub-bayangol"), ("ulaanbaatar", "ub-khanuul"), ("ulaanbaatar-2", "erd-north")];
const UPSTREAMS: usize = 48;
const ENTRIES: usize = 7;
const SLOTS: usize = 8;
const RUN_US: u64 = 60_000_000;
const SLOW_FACTOR: f64 = 8.0;
const LEAVES_AT_US: u64 = RUN_US / 3;
const REFUSES_AFTER_US: u64 = 2_000_000;
const LIST_LAG_US: u64 = 5_000_000;
const SLOW: [usize; 2] = [0, 2];
const LEAVING: usize = 4;
const SILENT_MS: u64 = 1_000;
const SILENT_PROBES: usize = 8;
const SERVICE_MS: f64 = 20.0;

#[derive(PartialEq, Eq, PartialOrd, Ord, Clone, Copy)]
enum Event {
    Arrive { entry: usize },
    Reach { request: usize },
    Finish { request: usize },
    Answer { request: usize },
    Tick,
}

struct Request {
    entry: usize,
    upstream: usize,
    started_us: u64,
    attempt_us: u64,
    choice: Option<RouteChoice>,
    refused: bool,
}

#[derive(Default)]
struct Upstream {
    busy: usize,
    queue: VecDeque<usize>,
}

struct Entry {
    router: Router,
    membership: Membership,
    next: usize,
}

struct Outcome {
    latencies: Histogram<u64>,
    remote: u64,
    requests: u64,
    retries: u64,
    refusals: u64,
    last_request_after_leaving_us: u64,
}

fn worker_infos(leaving: bool) -> Arc<[WorkerInfo]> {
    let info = |number: usize| {
        let (region, domain) = PLACES[number % 3];
        WorkerInfo {
            id: format!("w-{number}").parse().unwrap(),
            address: format!("127.0.0.1:{}", 1_000 + number),
            region: region.parse().unwrap(),
            domain: domain.parse().unwrap(),
            rack: format!("k-{}", number / 8).parse().unwrap(),
            capacity: Resources::ZERO,
            leaving: leaving && number == LEAVING,
            upstreams: vec![UpstreamInfo {
                service: service(),
                address: format!("127.0.0.1:{}", 2_000 + number),
                slots: SLOTS as u32,
                connections: 64,
            }],
        }
    };
    (0..UPSTREAMS).map(info).collect()
}

fn service() -> ServiceId {
    "album-press".parse().unwrap()
}

fn one_way_us(entry: usize, upstream: usize) -> u64 {
    let (lhs, rhs) = (PLACES[entry % 3], PLACES[upstream % 3]);
    if lhs.0 != rhs.0 {
        12_000
    } else if lhs.1 != rhs.1 {
        500
    } else {
        100
    }
}

struct Run {
    naive: bool,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    requests: Vec<Request>,
    upstreams: Vec<Upstream>,
    entries: Vec<Entry>,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

impl Run {
    fn new(naive: bool, seed: u64) -> Run {
        let entry = |at: usize| {
            let (region, domain) = PLACES[at % 3];
            let seed = seed * 100 + at as u64;
            Entry {
                router: Router::new(region.parse().unwrap(), domain.parse().unwrap(), seed),
                membership: Membership::new(service(), seed),
                next: at * 7,
            }
        };
        Run {
            naive,
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::default()).collect(),
            entries: (0..ENTRIES).map(entry).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            outcome: Outcome {
                latencies: Histogram::new(3).unwrap(),
                remote: 0,
                requests: 0,
                retries: 0,
                refusals: 0,
                last_request_after_leaving_us: 0,
            },
        }
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.now_us / 1_000)
    }

    fn handle_membership(&mut self, entry: usize, event: MembershipEvent) {
        let now = self.now();
        let mut actions = Vec::new();
        self.entries[entry].membership.handle(now, event, &mut actions);
        for action in actions {
            self.entries[entry].router.apply(&action);
            if let MembershipAction::Probe(it) = action {
                let refuses = LEAVES_AT_US + REFUSES_AFTER_US <= self.now_us;
                let ok = !(refuses && it.worker.as_str() == "w-4");
                self.handle_membership(
                    entry,
                    MembershipEvent::ProbeEnded { worker: it.worker, ok },
                );
            }
        }
    }

    fn run(mut self, rate_per_s: f64) -> Outcome {
        self.schedule(0, Event::Tick);
        for entry in 0..ENTRIES {
            self.schedule(1, Event::Arrive { entry });
        }
        let gap_us = 1_000_000.0 * ENTRIES as f64 / rate_per_s;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now_us = at;
            match event {
                Event::Arrive { entry } => {
                    if self.now_us < RUN_US {
                        let wait = -gap_us * (1.0 - self.rng.random::<f64>()).ln();
                        self.schedule(wait as u64 + 1, Event::Arrive { entry });
                        self.arrive(entry);
                    }
                }
                Event::Reach { request } => self.reach(request),
                Event::Finish { request } => self.finish(request),
                Event::Answer { request } => self.answer(request),
                Event::Tick => self.tick(),
            }
        }
        self.outcome
    }

    fn tick(&mut self) {
        let leaving = LEAVES_AT_US + LIST_LAG_US <= self.now_us;
        let workers = worker_infos(leaving);
        for entry in 0..ENTRIES {
            let version = self.now_us;
            self.handle_membership(
                entry,
                MembershipEvent::InstanceList { version, workers: workers.clone() },
            );
            self.handle_membership(entry, MembershipEvent::Tick);
            self.probe_silent(entry);
        }
        if self.now_us < RUN_US {
            self.schedule(500_000, Event::Tick);
        }
    }

    fn probe_silent(&mut self, entry: usize) {
        let now = self.now();
        for worker in
            self.entries[entry].router.without_recent_answer(now, SILENT_MS, SILENT_PROBES)
        {
            if worker.as_str() == "w-4" && LEAVES_AT_US + REFUSES_AFTER_US <= self.now_us {
                let signal = ConnectionSignal::Refused;
                self.handle_membership(entry, MembershipEvent::Signal { worker, signal });
            } else {
                self.entries[entry].router.record_answer(now, &worker);
            }
        }
    }

    fn arrive(&mut self, entry: usize) {
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            upstream: 0,
            started_us: self.now_us,
            attempt_us: self.now_us,
            choice: None,
            refused: false,
        });
        self.outcome.requests += 1;
        self.dispatch(request, &[]);
    }

    fn dispatch(&mut self, request: usize, avoid: &[RouteChoice]) {
        let now = self.now();
        let entry_at = self.requests[request].entry;
        let entry = &mut self.entries[entry_at];
        let upstream = if self.naive {
            // The naive version uses only the instance list.
            let listed = LEAVES_AT_US + LIST_LAG_US <= self.now_us;
            entry.next = (entry.next + 1) % UPSTREAMS;
            if listed && entry.next == LEAVING {
                entry.next += 1;
            }
            entry.next
        } else {
            let Some(choice) = entry.router.choose(now, avoid) else {
                self.outcome.refusals += 1;
                return;
            };
            self.requests[request].choice = Some(choice);
            entry.router.worker(choice).unwrap().as_str()[2..].parse().unwrap()
        };
        let it = &mut self.requests[request];
        it.upstream = upstream;
        it.attempt_us = self.now_us;
        if upstream == LEAVING && LEAVES_AT_US <= self.now_us {
            self.outcome.last_request_after_leaving_us = self.now_us - LEAVES_AT_US;
        }
        if PLACES[upstream % 3].0 != PLACES[entry_at % 3].0 {
            self.outcome.remote += 1;
        }
        self.schedule(one_way_us(entry_at, upstream), Event::Reach { request });
    }

    fn reach(&mut self, request: usize) {
        let (entry, upstream) = (self.requests[request].entry, self.requests[request].upstream);
        if upstream == LEAVING && LEAVES_AT_US + REFUSES_AFTER_US <= self.now_us {
            self.requests[request].refused = true;
            self.schedule(one_way_us(entry, upstream), Event::Answer { request });
        } else if self.upstreams[upstream].busy < SLOTS {
            self.serve(request);
        } else {
            self.upstreams[upstream].queue.push_back(request);
        }
    }

    fn serve(&mut self, request: usize) {
        let upstream = self.requests[request].upstream;
        self.upstreams[upstream].busy += 1;
        let slow = SLOW.contains(&upstream) && (RUN_US / 3..2 * RUN_US / 3).contains(&self.now_us);
        let factor = if slow { SLOW_FACTOR } else { 1.0 };
        let spread = 0.5 - 0.5 * (1.0 - self.rng.random::<f64>()).ln();
        self.schedule((SERVICE_MS * 1_000.0 * factor * spread) as u64, Event::Finish { request });
    }

    fn finish(&mut self, request: usize) {
        let (entry, upstream) = (self.requests[request].entry, self.requests[request].upstream);
        self.upstreams[upstream].busy -= 1;
        if let Some(next) = self.upstreams[upstream].queue.pop_front() {
            self.serve(next);
        }
        self.schedule(one_way_us(entry, upstream), Event::Answer { request });
    }

    fn answer(&mut self, request: usize) {
        let now = self.now();
        let it = &mut self.requests[request];
        let (entry, upstream, refused) = (it.entry, it.upstream, std::mem::take(&mut it.refused));
        let attempt_latency_us = self.now_us - it.attempt_us;
        let choice = it.choice.take();
        if let Some(choice) = choice {
            let outcome = if refused {
                RouteOutcome::Failed
            } else {
                RouteOutcome::Answered(attempt_latency_us)
            };
            self.entries[entry].router.end(now, choice, outcome);
            let signal = match (upstream == LEAVING, refused) {
                (true, true) => Some(ConnectionSignal::Refused),
                (true, false) if LEAVES_AT_US <= self.now_us => Some(ConnectionSignal::Closing),
                _ => None,
            };
            if let Some(signal) = signal {
                let worker = format!("w-{upstream}").parse().unwrap();
                self.handle_membership(entry, MembershipEvent::Signal { worker, signal });
            }
        }
        if refused {
            self.outcome.retries += 1;
            self.dispatch(request, choice.as_slice());
            return;
        }
        let latency_us = self.now_us - self.requests[request].started_us;
        self.outcome.latencies.record(latency_us).unwrap();
    }
}

fn main() {
    let mut out = std::io::stdout();
    for rate_per_s in [4_000.0, 8_000.0] {
        for seed in 1..=3 {
            for naive in [true, false] {
                let outcome = Run::new(naive, seed).run(rate_per_s);
                let ms = |quantile| outcome.latencies.value_at_quantile(quantile) as f64 / 1_000.0;
                writeln!(
                    out,
                    "rate={rate_per_s} seed={seed} policy={} p50_ms={:.1} p99_ms={:.1} \
                     p999_ms={:.1} cross_region={:.2}% retries={} refused={} \
                     last_new_work_after_leaving_ms={}",
                    if naive { "naive" } else { "mustardcove" },
                    ms(0.5),
                    ms(0.99),
                    ms(0.999),
                    outcome.remote as f64 * 100.0 / outcome.requests as f64,
                    outcome.retries,
                    outcome.refusals,
                    outcome.last_request_after_leaving_us / 1_000,
                )
                .unwrap();
            }
        }
    }
}
