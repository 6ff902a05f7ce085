//! Guards against a process that puts an older revision in force, or that
//! never learns of a new one.

use std::{collections::BTreeMap, sync::Arc};

use mustardcove_core::{
    agreement::{Agreement, record::AgreementRecord},
    configuration::{
        AgreementFollower, AgreementFollowerAction, AgreementFollowerConfig,
        AgreementFollowerEvent, Dissemination,
    },
    id::{ProcessId, Revision},
    message::PeerMessage,
    ownership::{ProcessKind, SessionRecord, record::encode_record},
    store::{Expect, StoreError, StoreOp, StoreReply},
    time::Timestamp,
    verdict::Verdict,
};
use mustardcove_platform::memory::store_state::StoreState;
use proptest::{prelude::*, test_runner::RngSeed};

/// Longest time until a revision is in force everywhere at the size planned for
/// in two years, in milliseconds.
const MAX_IN_FORCE_MS: u64 = 19_000;

fn session(index: usize) -> SessionRecord {
    SessionRecord {
        process: format!("process-{index}").parse().unwrap(),
        kind: ProcessKind::Scheduler,
        peer_address: "127.0.0.1:1".to_owned(),
        admin_address: "127.0.0.1:2".to_owned(),
        region: "region".parse().unwrap(),
        domain: format!("domain-{}", index % 2).parse().unwrap(),
        draining: false,
    }
}

/// Simulated followers with one store and messages that may be lost, late or
/// reordered.
struct World {
    now: Timestamp,
    store: StoreState,
    outage: bool,
    lose_messages: bool,
    followers: BTreeMap<ProcessId, AgreementFollower>,
    in_force: BTreeMap<ProcessId, Vec<Revision>>,
    messages: Vec<(ProcessId, Arc<Agreement>)>,
}

impl World {
    fn new(processes: usize, dissemination: Dissemination) -> World {
        let sessions: Vec<SessionRecord> = (0..processes).map(session).collect();
        let mut world = World {
            now: Timestamp(1_000),
            store: StoreState::default(),
            outage: false,
            lose_messages: false,
            followers: BTreeMap::new(),
            in_force: BTreeMap::new(),
            messages: Vec::new(),
        };
        for record in &sessions {
            let cfg = AgreementFollowerConfig { record: record.clone(), dissemination };
            world.followers.insert(record.process.clone(), AgreementFollower::new(cfg));
        }
        for record in &sessions {
            let event = AgreementFollowerEvent::Processes(sessions.clone());
            world.handle(&record.process, event);
        }
        world
    }

    fn put(&mut self, revision: u64) {
        let record = AgreementRecord { revision: Revision(revision), ..AgreementRecord::default() };
        let put = StoreOp::Put {
            key: "config/agreement".to_owned(),
            value: encode_record(&record),
            expect: Expect::Any,
            lease: None,
        };
        self.store.apply(self.now, &put).unwrap();
    }

    fn handle(&mut self, name: &ProcessId, event: AgreementFollowerEvent) {
        let mut actions = Vec::new();
        let now = self.now;
        self.followers.get_mut(name).unwrap().handle(now, event, &mut actions);
        for action in actions {
            match action {
                AgreementFollowerAction::Store { call, op } => {
                    let result = if self.outage {
                        Err(StoreError::Unavailable { verdict: Verdict::NotRun })
                    } else {
                        self.store.apply(now, &op)
                    };
                    // A watch without changes would wait at the store. Here it
                    // fails instead, and the follower sends it again in a later
                    // step.
                    let waits = matches!(&result,
                        Ok(StoreReply::Changes { events, .. }) if events.is_empty());
                    if !waits {
                        self.handle(name, AgreementFollowerEvent::StoreReply { call, result });
                        continue;
                    }
                    let result = Err(StoreError::Unavailable { verdict: Verdict::NotRun });
                    self.handle(name, AgreementFollowerEvent::StoreReply { call, result });
                }
                AgreementFollowerAction::Activate(agreement) => {
                    let seen = self.in_force.entry(name.clone()).or_default();
                    assert!(
                        seen.last().is_none_or(|it| *it < agreement.revision),
                        "{name} went from {seen:?} to {}",
                        agreement.revision
                    );
                    seen.push(agreement.revision);
                }
                AgreementFollowerAction::Forward { to, message } => {
                    if let PeerMessage::Configuration(agreement) = message {
                        self.messages.push((to, agreement));
                    }
                }
            }
        }
    }

    fn step(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        let names: Vec<ProcessId> = self.followers.keys().cloned().collect();
        for name in &names {
            let due = self.followers[name].next_deadline().is_some_and(|it| it <= self.now);
            if due {
                self.handle(name, AgreementFollowerEvent::Tick);
            }
        }
    }

    fn deliver(&mut self, index: usize, keep: bool) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        let (to, agreement) =
            if keep { self.messages[index].clone() } else { self.messages.swap_remove(index) };
        if !self.lose_messages {
            self.handle(&to, AgreementFollowerEvent::Forwarded(agreement));
        }
    }

    fn assert_in_force(&self, revision: u64) {
        for (name, follower) in &self.followers {
            assert_eq!(follower.revision(), Revision(revision), "{name}");
        }
    }
}

/// Guards against a late message that puts an older revision in force.
#[test]
fn replayed_revision() {
    let mut world = World::new(4, Dissemination::Relay);
    world.put(5);
    world.step(10_000);
    let name = session(1).process;
    let old = AgreementRecord { revision: Revision(3), ..AgreementRecord::default() };
    world.handle(&name, AgreementFollowerEvent::Forwarded(Arc::new(old.to_agreement())));
    assert_eq!(world.followers[&name].revision(), Revision(5));
}

/// Guards against a revision that never takes effect because every message of
/// the relay was lost.
#[test]
fn lost_forwards() {
    // Every message of the relay is lost, so that the other processes learn of
    // the revision only by the fallback read.
    let mut world = World::new(8, Dissemination::Relay);
    world.lose_messages = true;
    world.step(100);
    world.put(1);
    for _ in 0..MAX_IN_FORCE_MS / 500 {
        world.step(500);
    }
    world.assert_in_force(1);
}

/// Guards against a process without a configuration after the record was
/// deleted.
#[test]
fn deleted_record() {
    let mut world = World::new(3, Dissemination::Flat);
    world.put(2);
    world.step(1_000);
    let key = "config/agreement".to_owned();
    world.store.apply(world.now, &StoreOp::Delete { key, expect: Expect::Any }).unwrap();
    world.step(5_000);
    world.assert_in_force(2);
}

#[derive(Clone, Debug)]
enum Step {
    Put,
    Wait(u64),
    Deliver(usize),
    Repeat(usize),
    Outage(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Put),
        (1..3_000_u64).prop_map(Step::Wait),
        any::<usize>().prop_map(Step::Deliver),
        any::<usize>().prop_map(Step::Repeat),
        any::<bool>().prop_map(Step::Outage),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x636f_6e66),
        ..ProptestConfig::default()
    })]

    /// The revision in force at a process only rises, in whatever order
    /// revisions arrive, and the last one is in force everywhere within the
    /// limit once the store answers.
    #[test]
    fn any_order(
        steps in prop::collection::vec(step(), 1..40),
        relay in any::<bool>(),
    ) {
        let dissemination = if relay { Dissemination::Relay } else { Dissemination::Flat };
        let mut world = World::new(6, dissemination);
        let mut revision = 0;
        for step in steps {
            match step {
                Step::Put => {
                    revision += 1;
                    world.put(revision);
                }
                Step::Wait(ms) => world.step(ms),
                Step::Deliver(index) => world.deliver(index, false),
                Step::Repeat(index) => world.deliver(index, true),
                Step::Outage(outage) => world.outage = outage,
            }
        }
        world.outage = false;
        world.lose_messages = true;
        for _ in 0..MAX_IN_FORCE_MS / 500 {
            world.step(500);
        }
        world.assert_in_force(revision);
    }
}
