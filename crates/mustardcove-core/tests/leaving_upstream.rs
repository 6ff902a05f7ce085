//! Guards against new requests to an upstream that is leaving, while the
//! instance list lags, upstreams flap, connections are reset and probe results
//! arrive late.

use std::{collections::BTreeMap, sync::Arc};

use mustardcove_core::{
    id::{ServiceId, WorkerId},
    membership::{
        ConnectionSignal, DEPARTURE_PROBE_DELAY_MS, Membership, MembershipAction, MembershipEvent,
        UpstreamState,
    },
    routing::{RouteOutcome, Router},
    size::Resources,
    time::Timestamp,
    worker::{UpstreamInfo, WorkerInfo},
};
use proptest::prelude::*;

fn service() -> ServiceId {
    "coop-desk".parse().unwrap()
}

fn worker(number: u32) -> WorkerId {
    format!("w-{number}").parse().unwrap()
}

fn info(number: u32, port: u32, leaving: bool) -> WorkerInfo {
    WorkerInfo {
        id: worker(number),
        address: format!("127.0.0.1:{port}"),
        region: "r1".parse().unwrap(),
        domain: "d1".parse().unwrap(),
        rack: "k1".parse().unwrap(),
        capacity: Resources::ZERO,
        leaving,
        upstreams: vec![UpstreamInfo {
            service: service(),
            address: format!("127.0.0.1:{}", port + 1),
            slots: 8,
            connections: 64,
        }],
    }
}

fn list(version: u64, workers: Vec<WorkerInfo>) -> MembershipEvent {
    MembershipEvent::InstanceList { version, workers: Arc::from(workers) }
}

struct Rig {
    membership: Membership,
    router: Router,
    probes: Vec<WorkerId>,
}

impl Rig {
    fn new(seed: u64) -> Rig {
        let router = Router::new("r1".parse().unwrap(), "d1".parse().unwrap(), seed);
        Rig { membership: Membership::new(service(), seed), router, probes: Vec::new() }
    }

    fn handle(&mut self, now: u64, event: MembershipEvent) {
        let mut actions = Vec::new();
        self.membership.handle(Timestamp(now), event, &mut actions);
        for action in &actions {
            self.router.apply(action);
            if let MembershipAction::Probe(it) = action {
                self.probes.push(it.worker.clone());
            }
        }
    }

    fn signal(&mut self, now: u64, number: u32, signal: ConnectionSignal) {
        self.handle(now, MembershipEvent::Signal { worker: worker(number), signal });
    }

    fn probed(&mut self, now: u64, number: u32, ok: bool) {
        self.handle(now, MembershipEvent::ProbeEnded { worker: worker(number), ok });
    }

    fn state(&self, number: u32) -> Option<UpstreamState> {
        self.membership.state(&worker(number))
    }
}

/// Guards against a signal that does not stop new requests, or that a list
/// made before it undoes.
#[test]
fn every_signal_stops_new_work() {
    use strum::IntoEnumIterator as _;
    for signal in ConnectionSignal::iter() {
        let mut rig = Rig::new(1);
        rig.handle(0, list(0, vec![info(0, 9000, false)]));
        assert!(rig.router.has_room());
        rig.signal(10, 0, signal);
        assert!(!rig.router.has_room(), "{signal}");
        // A list that was made before the signal was seen must not undo it.
        rig.handle(20, list(20, vec![info(0, 9000, false)]));
        assert!(!rig.router.has_room(), "{signal}");
    }
}

/// Guards against a successful probe that makes an upstream active although
/// the list shows it as leaving.
#[test]
fn leaving_in_list_overrides_probes() {
    let mut rig = Rig::new(2);
    rig.handle(0, list(0, vec![info(0, 9000, false)]));
    rig.signal(10, 0, ConnectionSignal::Reset);
    rig.handle(400, MembershipEvent::Tick);
    rig.handle(450, list(450, vec![info(0, 9000, true)]));
    rig.probed(460, 0, true);
    assert_eq!(rig.state(0), Some(UpstreamState::Leaving));
    assert!(!rig.router.has_room());
    assert_eq!(rig.membership.next_deadline(), None);
}

/// Guards against a draining upstream that becomes active again because an
/// early or a single probe succeeded.
#[test]
fn planned_departure_needs_hold_and_two_probes() {
    let mut rig = Rig::new(3);
    rig.handle(0, list(0, vec![info(0, 9000, false)]));
    rig.signal(0, 0, ConnectionSignal::Closing);
    rig.handle(DEPARTURE_PROBE_DELAY_MS - 1, MembershipEvent::Tick);
    assert!(rig.probes.is_empty());
    let at = rig.membership.next_deadline().unwrap().0;
    rig.handle(at, MembershipEvent::Tick);
    rig.probed(at + 1, 0, true);
    assert!(!rig.router.has_room());
    let at = rig.membership.next_deadline().unwrap().0;
    rig.handle(at, MembershipEvent::Tick);
    rig.probed(at + 1, 0, true);
    assert!(rig.router.has_room());
}

/// Guards against counting the result of a probe that has already timed out.
#[test]
fn late_probe_result_is_not_counted() {
    let mut rig = Rig::new(4);
    rig.handle(0, list(0, vec![info(0, 9000, false)]));
    rig.signal(0, 0, ConnectionSignal::Refused);
    let at = rig.membership.next_deadline().unwrap().0;
    rig.handle(at, MembershipEvent::Tick);
    let timeout = rig.membership.next_deadline().unwrap().0;
    rig.handle(timeout, MembershipEvent::Tick);
    rig.probed(timeout + 1, 0, true);
    assert_eq!(rig.state(0), Some(UpstreamState::Suspended));
}

/// Guards against an upstream that stays suspended after it moved to a new
/// address, and against an older list that restores the old one.
#[test]
fn new_address_clears_suspension() {
    let mut rig = Rig::new(5);
    rig.handle(0, list(0, vec![info(0, 9000, false)]));
    rig.signal(0, 0, ConnectionSignal::GoAway);
    rig.handle(10, list(10, vec![info(0, 9100, false)]));
    assert_eq!(rig.state(0), Some(UpstreamState::Active));
    // An older version of the list must not restore the old address.
    rig.handle(20, list(5, vec![info(0, 9000, false)]));
    let view = rig.membership.iter().next().unwrap();
    assert_eq!(view.upstream.address, "127.0.0.1:9101");
}

/// When one upstream leaves, and when it resets connections.
#[derive(Clone, Debug)]
struct UpstreamSchedule {
    leaves_at: u64,
    resets_at: Vec<u64>,
}

fn schedule() -> impl Strategy<Value = UpstreamSchedule> {
    (2_000..20_000u64, prop::collection::vec(0..20_000u64, 0..3))
        .prop_map(|(leaves_at, resets_at)| UpstreamSchedule { leaves_at, resets_at })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Upstreams leave at random times, refuse connections from 2 s after
    /// that, and reset connections at other times. The list lags by up to 6 s.
    /// An upstream may get no traffic, so that only a probe detects that it
    /// left.
    #[test]
    fn no_new_work_after_bound(
        seed: u64,
        schedules in prop::collection::vec(schedule(), 4),
        lag in 0..6_000u64,
        late_probe_ms in 1..1_500u64,
    ) {
        let mut rig = Rig::new(seed);
        let mut last_request: BTreeMap<usize, u64> = BTreeMap::new();
        let mut probes: Vec<(u64, u32, bool)> = Vec::new();
        let mut silent: Vec<(u64, u32, bool)> = Vec::new();
        for now in (0..30_000u64).step_by(50) {
            if now % 1_000 == 0 {
                let seen = now.saturating_sub(lag);
                let workers = schedules.iter().enumerate();
                let workers = workers.map(|(at, it)| {
                    info(at as u32, 9000 + at as u32 * 10, it.leaves_at <= seen)
                });
                rig.handle(now, list(now, workers.collect()));
            }
            rig.handle(now, MembershipEvent::Tick);
            for worker in std::mem::take(&mut rig.probes) {
                let number: u32 = worker.as_str()[2..].parse().unwrap();
                let ok = now < schedules[number as usize].leaves_at;
                probes.push((now + late_probe_ms, number, ok));
            }
            for (_, number, ok) in probes.extract_if(.., |it| it.0 <= now) {
                rig.probed(now, number, ok);
            }
            if now % 500 == 0 {
                for worker in rig.router.without_recent_answer(Timestamp(now), 1_000, 8) {
                    let number: u32 = worker.as_str()[2..].parse().unwrap();
                    let ok = now < schedules[number as usize].leaves_at;
                    silent.push((now + late_probe_ms.min(1_000), number, ok));
                }
            }
            for (_, number, ok) in silent.extract_if(.., |it| it.0 <= now) {
                if ok {
                    rig.router.record_answer(Timestamp(now), &worker(number));
                } else {
                    rig.signal(now, number, ConnectionSignal::Refused);
                }
            }
            for _ in 0..4 {
                let Some(choice) = rig.router.choose(Timestamp(now), &[]) else { break };
                let worker = rig.router.worker(choice).unwrap().clone();
                let at: usize = worker.as_str()[2..].parse().unwrap();
                let schedule = &schedules[at];
                let reset = schedule.resets_at.iter().any(|it| (*it..*it + 50).contains(&now));
                let (outcome, signal) = if schedule.leaves_at + 2_000 <= now {
                    (RouteOutcome::Failed, Some(ConnectionSignal::Refused))
                } else if schedule.leaves_at <= now {
                    (RouteOutcome::Answered(10_000), Some(ConnectionSignal::Closing))
                } else if reset {
                    (RouteOutcome::Failed, Some(ConnectionSignal::Reset))
                } else {
                    (RouteOutcome::Answered(10_000), None)
                };
                last_request.insert(at, now);
                rig.router.end(Timestamp(now), choice, outcome);
                if let Some(signal) = signal {
                    rig.signal(now, at as u32, signal);
                }
            }
        }
        for (at, last) in last_request {
            prop_assert!(
                last <= schedules[at].leaves_at + 3_000,
                "upstream {at} left at {} and got a request at {last}", schedules[at].leaves_at
            );
        }
    }

    /// An upstream that flaps is probed at growing intervals, and becomes
    /// active again after a successful probe.
    #[test]
    fn flapping_upstream_recovers(seed: u64, flaps in 1..8u64) {
        let mut rig = Rig::new(seed);
        rig.handle(0, list(0, vec![info(0, 9000, false)]));
        let mut now = 0;
        let mut waits = Vec::new();
        for _ in 0..flaps {
            rig.signal(now, 0, ConnectionSignal::Reset);
            let at = rig.membership.next_deadline().unwrap().0;
            waits.push(at - now);
            rig.handle(at, MembershipEvent::Tick);
            now = at + 1;
            rig.probed(now, 0, true);
            prop_assert_eq!(rig.state(0), Some(UpstreamState::Active));
        }
        for pair in waits.windows(2).take(4) {
            prop_assert!(pair[0] < pair[1], "{:?}", waits);
        }
    }
}
