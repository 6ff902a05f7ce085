//! When a leader that lacks the store asks for a successor, and what becomes of
//! it in a fleet whose processes reach the store differently.

use mustardcove_core::{
    fleet::{
        election::{Candidacy, HEARTBEAT_INTERVAL_MS},
        store_health::StoreHealth,
        succession::{
            Candidate, LACKING_AFTER_MS, MIN_CHANGE_INTERVAL_MS, REPEAT_MS, StoreCall, Succession,
        },
    },
    id::ProcessId,
    time::Timestamp,
};
use proptest::prelude::*;

const START: Timestamp = Timestamp(500_000);
/// Time between two steps of the simulated fleet, in milliseconds.
const STEP_MS: u64 = 50;
/// Time between two calls of a leader, and between those of another process to
/// the store, in milliseconds.
const LEADER_CALL_MS: u64 = 250;
const OTHER_CALL_MS: u64 = 1_000;
/// Pause after a failed claim, in milliseconds.
const CLAIM_PAUSE_MS: u64 = 200;
/// Longest time from a request to the claim that follows, in milliseconds.
const CLAIM_MS: u64 = HEARTBEAT_INTERVAL_MS;
/// Longest time from the loss of the store to the next leader, in milliseconds,
/// unless another change was recent.
const REPLACED_MS: u64 = LACKING_AFTER_MS + 1_500;

/// What the store does with the calls of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Access {
    reads: bool,
    writes: bool,
}

const ALL: Access = Access { reads: true, writes: true };
const NONE: Access = Access { reads: false, writes: false };
const READS: Access = Access { reads: true, writes: false };

struct Process {
    access: Access,
    health: StoreHealth,
    candidacy: Candidacy,
    /// No claim before this time, after one that failed.
    claim_from: Timestamp,
}

fn process(number: usize) -> ProcessId {
    format!("p{number}.1").parse().expect("a valid name")
}

fn candidate(number: usize) -> Candidate {
    Candidate { process: process(number), is_same_region: true, cpu_share: 0.1 }
}

/// Processes that all hear each other, and each have their own access to the
/// store. They claim and ask for successors as the node does.
struct Fleet {
    now: Timestamp,
    processes: Vec<Process>,
    leader: usize,
    succession: Succession,
    /// When which process became the leader.
    changes: Vec<(Timestamp, usize)>,
    requests: Vec<(Timestamp, StoreCall)>,
    claims: usize,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let new = |i: usize| Process {
            access: ALL,
            health: StoreHealth::default(),
            candidacy: Candidacy::new(0.1 * i as f64, 1_000.0, 0.5, START),
            claim_from: START,
        };
        Fleet {
            now: START,
            processes: (0..count).map(new).collect(),
            leader: 0,
            succession: Succession::new(None),
            changes: Vec::new(),
            requests: Vec::new(),
            claims: 0,
        }
    }

    fn is_due(&self, interval_ms: u64) -> bool {
        self.now.ms_since(START).is_multiple_of(interval_ms)
    }

    fn set_all(&mut self, access: &[Access]) {
        for (process, access) in self.processes.iter_mut().zip(access) {
            process.access = *access;
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        let (now, leader) = (self.now, self.leader);
        if self.is_due(OTHER_CALL_MS) {
            for it in &mut self.processes {
                match it.access.reads {
                    true => it.health.record_answer(now),
                    false => it.health.record_failure(),
                }
            }
        }
        if self.is_due(LEADER_CALL_MS) {
            let Access { reads, writes } = self.processes[leader].access;
            for (call, is_answered) in [(StoreCall::Read, reads), (StoreCall::Write, writes)] {
                match is_answered {
                    true => self.succession.record_answer(call),
                    false => self.succession.record_failure(call, now),
                }
            }
        }
        if self.is_due(HEARTBEAT_INTERVAL_MS) {
            self.send_heartbeat();
        }
        for i in (0..self.processes.len()).filter(|it| *it != leader) {
            let it = &mut self.processes[i];
            if now < it.candidacy.claim_at().max(it.claim_from) {
                continue;
            }
            self.claims += 1;
            if it.access == ALL {
                self.lead(i);
                break;
            }
            it.claim_from = now.plus_ms(CLAIM_PAUSE_MS);
        }
        self.now = now.plus_ms(STEP_MS);
    }

    fn send_heartbeat(&mut self) {
        let (now, leader) = (self.now, self.leader);
        for it in &mut self.processes {
            it.candidacy.heartbeat_received(true, now);
        }
        let reaches = |it: &usize| *it != leader && self.processes[*it].health.is_reached(now);
        let reaching = (0..self.processes.len()).filter(reaches);
        let candidates: Vec<Candidate> = reaching.map(candidate).collect();
        let Some(request) = self.succession.take_request(&candidates, 0.1, now) else { return };
        self.requests.push((now, request.lacks));
        let asked = (0..self.processes.len()).filter(|it| request.asked.contains(&process(*it)));
        for i in asked.chain([leader]) {
            self.processes[i].candidacy.leader_stepped_down(now);
        }
    }

    fn lead(&mut self, i: usize) {
        self.processes[self.leader].candidacy.reschedule_claim(self.now);
        self.succession = Succession::new(self.processes[i].candidacy.stepped_down_at());
        self.leader = i;
        self.changes.push((self.now, i));
        self.send_heartbeat();
    }
}

/// Guards against a leader that keeps its term although the store refuses, or
/// does not answer, only its machine.
#[test]
fn refused_alone() {
    for lost in [NONE, READS, Access { reads: false, writes: true }] {
        let mut fleet = Fleet::new(5);
        fleet.run(20_000);
        fleet.set_all(&[lost, ALL, ALL, ALL, ALL]);
        let lost_at = fleet.now;
        fleet.run(300_000);
        assert_eq!(fleet.changes.len(), 1, "{lost:?}: {:?}", fleet.changes);
        let after_ms = fleet.changes[0].0.ms_since(lost_at);
        assert!((LACKING_AFTER_MS..REPLACED_MS).contains(&after_ms), "{lost:?}: {after_ms} ms");
    }
}

/// Guards against a fleet without a leader, or whose processes replace each
/// other, while the store answers reads and refuses every write; and against a
/// load of claims then.
#[test]
fn all_writes_refused() {
    let mut fleet = Fleet::new(5);
    fleet.run(20_000);
    fleet.set_all(&[READS; 5]);
    fleet.run(600_000);
    assert_eq!(fleet.changes, [], "nobody can be elected");
    assert!(fleet.requests.iter().all(|it| it.1 == StoreCall::Write), "{:?}", fleet.requests);
    let requests = fleet.requests.len() as u64;
    assert!(requests <= 600_000 / REPEAT_MS, "{requests} requests");
    assert!(fleet.claims <= 2 * 4 * fleet.requests.len(), "{} claims", fleet.claims);
    fleet.set_all(&[ALL; 5]);
    fleet.run(60_000);
    assert_eq!(fleet.changes, [], "the leader reaches the store again");
    // The leader's own machine is refused altogether, and no other can write.
    fleet.set_all(&[NONE, READS, READS, READS, READS]);
    fleet.run(60_000);
    assert_eq!(fleet.changes, [], "a successor could store nothing either");
}

/// Guards against requests while the store is away for everybody.
#[test]
fn store_away() {
    let mut fleet = Fleet::new(5);
    fleet.run(20_000);
    fleet.set_all(&[NONE; 5]);
    fleet.run(600_000);
    assert_eq!((fleet.requests.len(), fleet.claims), (0, 0));
}

/// Guards against leaders that replace each other in turn, because the store
/// fails each of them a while after its claim.
#[test]
fn failing_in_turn() {
    let mut fleet = Fleet::new(5);
    for _ in 0..6_000 {
        let mut access = [ALL; 5];
        access[fleet.leader] = READS;
        fleet.set_all(&access);
        fleet.run(100);
    }
    assert!(5 <= fleet.changes.len(), "{:?}", fleet.changes);
    for it in fleet.changes.windows(2) {
        let after_ms = it[1].0.ms_since(it[0].0) + CLAIM_MS;
        assert!(MIN_CHANGE_INTERVAL_MS <= after_ms, "{:?}", fleet.changes);
    }
}

/// Returns what a leader lacks if it asks now.
fn ask(succession: &mut Succession, is_reached: bool, now: Timestamp) -> Option<StoreCall> {
    let candidates = if is_reached { vec![candidate(1)] } else { Vec::new() };
    succession.take_request(&candidates, 0.1, now).map(|it| it.lacks)
}

/// Guards against a change that costs more than it brings: a weak process, or one
/// of another region, takes over although a strong one of the leader's region could.
#[test]
fn strongest_first() {
    let of = |number, is_same_region, cpu_share| Candidate {
        is_same_region,
        cpu_share,
        ..candidate(number)
    };
    let others = [of(1, false, 0.5), of(2, true, 0.05)];
    let strong = [of(3, true, 0.09), of(4, true, 0.2)];
    let mut now = START;
    let mut asked = |candidates: &[Candidate]| {
        let mut succession = Succession::new(None);
        let mut asked = Vec::new();
        for _ in 0..(LACKING_AFTER_MS + 2 * REPEAT_MS) / 1_000 {
            now = now.plus_ms(1_000);
            succession.record_failure(StoreCall::Write, now);
            let request = succession.take_request(candidates, 0.1, now);
            asked.extend(request.map(|it| it.asked));
        }
        asked
    };
    let all = [&others[..], &strong[..]].concat();
    let everyone = all.iter().map(|it| it.process.clone()).collect::<Vec<_>>();
    assert_eq!(asked(&all), [vec![process(4)], everyone]);
    let weak = others.iter().map(|it| it.process.clone()).collect::<Vec<_>>();
    assert_eq!(asked(&others), [weak], "they are asked later");
}

/// Guards against a request of a leader that has nothing to write since its last
/// write failed: nothing shows that it still lacks the store.
#[test]
fn old_failure() {
    let mut succession = Succession::new(None);
    for ms in [0, 3_500, 7_000] {
        succession.record_failure(StoreCall::Write, START.plus_ms(ms));
    }
    assert_eq!(ask(&mut succession, true, START.plus_ms(LACKING_AFTER_MS)), None);
    let now = START.plus_ms(LACKING_AFTER_MS + 1_000);
    succession.record_failure(StoreCall::Write, now);
    assert_eq!(ask(&mut succession, false, now), None, "nobody reaches the store");
    assert_eq!(ask(&mut succession, true, now), Some(StoreCall::Write));
}

/// What happens to a leader.
#[derive(Clone, Copy, Debug)]
enum Input {
    Answer(StoreCall),
    Failure(StoreCall),
    Ask { is_reached_by_others: bool },
}

fn input() -> impl Strategy<Value = (u64, Input)> {
    let call = || prop_oneof![Just(StoreCall::Read), Just(StoreCall::Write)];
    let input = prop_oneof![
        1 => call().prop_map(Input::Answer),
        8 => call().prop_map(Input::Failure),
        8 => prop::bool::weighted(0.8).prop_map(|it| Input::Ask { is_reached_by_others: it }),
    ];
    (0..1_500u64, input)
}

proptest! {
    /// Guards against a request without evidence: each rests on calls of one
    /// kind that have failed for long enough without an answer, the last one
    /// recently, and on others that reach the store, and comes no earlier than
    /// the limits allow.
    #[test]
    fn evidence_of_requests(
        inputs in prop::collection::vec(input(), 0..200),
        asked_before_ms in prop::option::of(0..100_000u64),
    ) {
        let mut now = START;
        let asked_at = asked_before_ms.map(|it| START.minus_ms(it));
        let mut succession = Succession::new(asked_at);
        let mut ask_from = asked_at.map(|it| it.plus_ms(MIN_CHANGE_INTERVAL_MS));
        // The failures since the last answer.
        let mut failed: [Vec<Timestamp>; 2] = Default::default();
        for (ms, input) in inputs {
            now = now.plus_ms(ms);
            match input {
                Input::Answer(call) => {
                    succession.record_answer(call);
                    failed[call as usize].clear();
                }
                Input::Failure(call) => {
                    succession.record_failure(call, now);
                    failed[call as usize].push(now);
                }
                Input::Ask { is_reached_by_others } => {
                    let lacks = |call: StoreCall| {
                        let failed = &failed[call as usize];
                        let is_long = failed.first().is_some_and(|it| LACKING_AFTER_MS <= now.ms_since(*it));
                        is_long && failed.last().is_some_and(|it| now.ms_since(*it) < 3_000)
                    };
                    let may_ask = is_reached_by_others && ask_from.is_none_or(|it| it <= now);
                    let lacking = [StoreCall::Read, StoreCall::Write].into_iter().find(|it| lacks(*it));
                    let expected = lacking.filter(|_| may_ask);
                    prop_assert_eq!(ask(&mut succession, is_reached_by_others, now), expected);
                    if expected.is_some() {
                        ask_from = Some(now.plus_ms(REPEAT_MS));
                    }
                }
            }
        }
    }

    /// Guards against frequent changes of the leader however the store treats
    /// each process, and against a leader that lacks the store for good although
    /// another process has it.
    #[test]
    fn changing_access(
        phases in prop::collection::vec((prop::collection::vec(0..4u8, 4), 1..40_000u64), 1..12),
        able in 0..4usize,
    ) {
        let mut fleet = Fleet::new(4);
        let access = |it: &u8| Access { reads: it & 1 != 0, writes: it & 2 != 0 };
        for (processes, ms) in &phases {
            let processes: Vec<Access> = processes.iter().map(access).collect();
            fleet.set_all(&processes);
            fleet.run(*ms);
        }
        fleet.processes[able].access = ALL;
        fleet.run(MIN_CHANGE_INTERVAL_MS + 2 * REPEAT_MS);
        prop_assert_eq!(fleet.processes[fleet.leader].access, ALL);
        for it in fleet.changes.windows(2) {
            let after_ms = it[1].0.ms_since(it[0].0) + CLAIM_MS;
            prop_assert!(MIN_CHANGE_INTERVAL_MS <= after_ms, "{:?}", fleet.changes);
        }
    }
}
