//! Races between group owners for one member's cap.
//!
//! Guards against allotments whose sum exceeds the cap, after lost replies,
//! writes that take effect late, takeovers, outages and lowered caps.

use std::collections::BTreeMap;

use mustardcove_core::{
    id::{AttemptNumber, CallId, Epoch, GroupId, JobId, MemberId, TaskId},
    quota::{MIN_CALL_INTERVAL_MS, Quotas},
    size::Resources,
    store::{StoreError, StoreOp},
    time::Timestamp,
    verdict::Verdict,
};
use proptest::prelude::*;

#[path = "support/group_doubles.rs"]
mod group_doubles;

use group_doubles::{StoreDouble, agreement, fixed_config};

const GROUPS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Reserve {
        group: usize,
        cores: u64,
        urgent: bool,
    },
    End {
        group: usize,
    },
    ReceiveAgreement {
        group: usize,
    },
    ChangeCap(u64),
    /// Executes a call in flight; the reply arrives or is lost.
    Reply {
        pick: usize,
        lost: bool,
    },
    /// Reports the outcome of a call as unknown and executes it some steps later.
    DelayCall {
        pick: usize,
    },
    Refuse {
        pick: usize,
    },
    Takeover {
        group: usize,
    },
    Outage(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let group = 0..GROUPS;
    prop_oneof![
        4 => (0u64..1_500).prop_map(Step::Wait),
        6 => (group.clone(), 1u64..5, any::<bool>())
            .prop_map(|(group, cores, urgent)| Step::Reserve { group, cores, urgent }),
        3 => group.clone().prop_map(|group| Step::End { group }),
        2 => group.clone().prop_map(|group| Step::ReceiveAgreement { group }),
        1 => (2u64..20).prop_map(Step::ChangeCap),
        8 => (0usize..4, proptest::bool::weighted(0.2))
            .prop_map(|(pick, lost)| Step::Reply { pick, lost }),
        1 => (0usize..4).prop_map(|pick| Step::DelayCall { pick }),
        1 => (0usize..4).prop_map(|pick| Step::Refuse { pick }),
        1 => group.prop_map(|group| Step::Takeover { group }),
        1 => any::<bool>().prop_map(Step::Outage),
    ]
}

struct Race {
    now: Timestamp,
    store: StoreDouble,
    caps: Vec<u64>,
    owners: Vec<Quotas>,
    epochs: Vec<u64>,
    running: Vec<Vec<Resources>>,
    in_flight: Vec<(usize, u64, CallId, StoreOp)>,
    delayed: Vec<StoreOp>,
    /// Times of the last two calls of each owner, by group and epoch.
    last_calls: BTreeMap<(usize, u64), [Timestamp; 2]>,
    next_job: u128,
}

fn member() -> MemberId {
    "m0".parse().unwrap()
}

fn group_id(group: usize) -> GroupId {
    format!("g{group}").parse().unwrap()
}

fn quotas(group: usize, epoch: u64, now: Timestamp) -> Quotas {
    let process = format!("p{group}-{epoch}").parse().unwrap();
    Quotas::new(group_id(group), Epoch(epoch), process, group as u64 * 100 + epoch, now)
}

/// Least time between two calls for one member while urgent work waits, in
/// milliseconds. One call per second may be expedited, because urgent work has
/// to start within a second.
const URGENT_SPACING_MS: u64 = 250;

impl Race {
    fn new() -> Race {
        let now = Timestamp(1_000_000);
        let mut owners: Vec<Quotas> = (0..GROUPS).map(|it| quotas(it, 1, now)).collect();
        owners.iter_mut().for_each(|it| it.set_agreement(&agreement(1, &[12])));
        Race {
            now,
            store: StoreDouble::default(),
            caps: vec![12],
            owners,
            epochs: vec![1; GROUPS],
            running: vec![Vec::new(); GROUPS],
            in_flight: Vec::new(),
            delayed: Vec::new(),
            last_calls: BTreeMap::new(),
            next_job: 0,
        }
    }

    fn poll(&mut self) {
        for group in 0..GROUPS {
            let mut out = Vec::new();
            self.owners[group].poll(self.now, &mut out);
            for (call, op) in out {
                if !matches!(op, StoreOp::List { .. }) {
                    let key = (group, self.epochs[group]);
                    let calls = self.last_calls.entry(key).or_default();
                    let [before, last] = *calls;
                    *calls = [last, self.now];
                    let within_rate = before.plus_ms(MIN_CALL_INTERVAL_MS) <= self.now;
                    assert!(within_rate, "more than two calls per member and second");
                    let is_spaced = last.plus_ms(URGENT_SPACING_MS) <= self.now;
                    assert!(is_spaced, "a call {} ms after the last", self.now.ms_since(last));
                }
                self.in_flight.push((group, self.epochs[group], call, op));
            }
            let due = self.owners[group].next_deadline();
            assert!(due.is_none_or(|it| self.now < it), "a call is still due after a poll");
        }
    }

    fn reply(&mut self, pick: usize, apply: impl Fn(&mut Race, &StoreOp) -> Option<StoreError>) {
        if self.in_flight.is_empty() {
            return;
        }
        let (group, epoch, call, op) = self.in_flight.remove(pick % self.in_flight.len());
        let result = match apply(self, &op) {
            Some(error) => Err(error),
            None => self.store.execute(&op),
        };
        if epoch == self.epochs[group] {
            self.owners[group].on_reply(self.now, call, result);
        }
    }

    fn reserve(&mut self, group: usize, cores: u64, urgent: bool) {
        let need = Resources::new(cores * 1_000, cores * 1_024, 0);
        self.next_job += 1;
        let task = TaskId { job: JobId(self.next_job), attempt: AttemptNumber(1) };
        let owner = &mut self.owners[group];
        if owner.fits(&member(), need) {
            owner.charge(self.now, &member(), need);
            self.running[group].push(need);
        } else {
            owner.record_demand(self.now, &member(), task, need, urgent, self.now);
        }
    }

    fn take_over(&mut self, group: usize) {
        self.epochs[group] += 1;
        let mut owner = quotas(group, self.epochs[group], self.now);
        owner.set_agreement(&agreement(self.caps.len() as u64, &[*self.caps.last().unwrap()]));
        self.running[group].iter().for_each(|it| owner.charge(self.now, &member(), *it));
        self.owners[group] = owner;
    }

    fn apply(&mut self, step: &Step) {
        let lost = || Some(StoreError::Unavailable { verdict: Verdict::MayHaveRun });
        match *step {
            Step::Wait(ms) => self.now = self.now.plus_ms(ms),
            Step::Reserve { group, cores, urgent } => self.reserve(group, cores, urgent),
            Step::End { group } => {
                if let Some(it) = self.running[group].pop() {
                    self.owners[group].release(self.now, &member(), it);
                }
            }
            Step::ReceiveAgreement { group } => {
                let cap = *self.caps.last().unwrap();
                self.owners[group].set_agreement(&agreement(self.caps.len() as u64, &[cap]));
            }
            Step::ChangeCap(cap) => self.caps.push(cap),
            Step::Reply { pick, lost: true } => self.reply(pick, |race, op| {
                let _ = race.store.execute(op);
                lost()
            }),
            Step::Reply { pick, lost: false } => self.reply(pick, |_, _| None),
            Step::DelayCall { pick } => self.reply(pick, |race, op| {
                race.delayed.push(op.clone());
                lost()
            }),
            Step::Refuse { pick } => {
                self.reply(pick, |_, _| Some(StoreError::Unavailable { verdict: Verdict::NotRun }))
            }
            Step::Takeover { group } => self.take_over(group),
            Step::Outage(down) => self.store.down = down,
        }
    }

    fn check(&self) {
        let granted = self.owners.iter().map(|it| it.allotment(&member()));
        let granted = granted.fold(Resources::ZERO, Resources::saturating_add);
        let used = self.running.iter().flatten().copied();
        let used = used.fold(Resources::ZERO, Resources::saturating_add);
        let Some(record) = self.store.quota(&member()) else {
            assert!(granted.is_zero() && used.is_zero(), "allotment without a record");
            return;
        };
        assert!(record.allotted().fits_in(record.cap), "{record:?}");
        assert!(granted.fits_in(record.cap), "granted {granted} of {}", record.cap);
        assert!(used.fits_in(record.cap), "used {used} of {}", record.cap);
    }
}

proptest! {
    #![proptest_config(fixed_config(600, 0x7100))]

    #[test]
    fn allotments_stay_within_cap(steps in proptest::collection::vec(step(), 1..160)) {
        let mut race = Race::new();
        for step in &steps {
            race.apply(step);
            if executes_delayed_call(step) && !race.delayed.is_empty() {
                let op = race.delayed.remove(0);
                let _ = race.store.execute(&op);
            }
            race.poll();
            race.check();
        }
    }
}

/// Reports whether a step executes a delayed call: writes that were reported as
/// unknown take effect while time passes.
fn executes_delayed_call(step: &Step) -> bool {
    matches!(step, Step::Wait(ms) if *ms % 3 == 0)
}

/// Runs the owners without faults for `ms` milliseconds.
fn run_without_faults(race: &mut Race, ms: u64) {
    let end = race.now.plus_ms(ms);
    while race.now < end {
        race.poll();
        while !race.in_flight.is_empty() {
            race.reply(0, |_, _| None);
            race.check();
        }
        race.now = race.now.plus_ms(100);
    }
}

/// Guards against an unused allotment that is kept from other groups, and
/// against calls to the store while nothing changes.
#[test]
fn idle_allotment_is_returned() {
    let mut race = Race::new();
    run_without_faults(&mut race, 100);
    race.reserve(0, 4, false);
    run_without_faults(&mut race, 200);
    race.reserve(0, 4, false);
    assert_eq!(race.running[0].len(), 1, "a refused reservation obtains an allotment");
    let task = race.running[0].pop().unwrap();
    race.owners[0].release(race.now, &member(), task);
    run_without_faults(&mut race, 8_000);
    let record = race.store.quota(&member()).unwrap();
    assert_eq!(record.allotted(), Resources::ZERO, "idle allotment is returned");
    let calls: u64 = race.owners.iter().map(Quotas::calls_made).sum();
    run_without_faults(&mut race, 60_000);
    let later: u64 = race.owners.iter().map(Quotas::calls_made).sum();
    assert!(later - calls <= GROUPS as u64, "calls are made although nothing changes");
}

/// Guards against a lower cap that is put in force while more is in use, and
/// against one that is never put in force.
#[test]
fn lower_cap_waits_until_excess_is_returned() {
    let mut race = Race::new();
    run_without_faults(&mut race, 100);
    for group in 0..2 {
        race.reserve(group, 3, false);
        run_without_faults(&mut race, 1_500);
        race.reserve(group, 3, false);
        run_without_faults(&mut race, 6_000);
    }
    assert_eq!(race.running.iter().flatten().count(), 2);
    race.caps.push(4);
    for group in 0..GROUPS {
        race.apply(&Step::ReceiveAgreement { group });
    }
    run_without_faults(&mut race, 4_000);
    let record = race.store.quota(&member()).unwrap();
    assert_eq!(record.cap, Resources::new(12_000, 12 * 1_024, 0), "not in force yet");
    assert!(record.pending.is_some());
    assert!(!race.owners[0].evictable_excess().is_empty(), "the excess has to be evicted");
    let task = race.running[0].pop().unwrap();
    race.owners[0].release(race.now, &member(), task);
    run_without_faults(&mut race, 4_000);
    let record = race.store.quota(&member()).unwrap();
    assert_eq!(record.cap, Resources::new(4_000, 4 * 1_024, 0), "in force");
    assert_eq!(record.pending, None);
}

/// Guards against an outage of the store that takes the allotment of running
/// tasks, that lets groups start more, or that causes a burst of calls.
#[test]
fn outage_keeps_allotment() {
    let mut race = Race::new();
    run_without_faults(&mut race, 100);
    race.reserve(0, 2, false);
    run_without_faults(&mut race, 1_200);
    race.reserve(0, 2, false);
    assert_eq!(race.running[0].len(), 1);
    race.store.down = true;
    run_without_faults(&mut race, 30_000);
    let used = Resources::new(2_000, 2_048, 0);
    let allotment = race.owners[0].allotment(&member());
    assert!(used.fits_in(allotment), "the allotment covers the use");
    race.reserve(1, 2, false);
    assert!(race.running[1].is_empty(), "nothing is granted while the store is down");
    assert!(race.owners[0].calls_made() < 15, "calls back off while the store is down");
}

/// Returns a race in which the owner of group `g0` was granted two cores.
fn granted_race() -> Race {
    let mut race = Race::new();
    run_without_faults(&mut race, 100);
    race.reserve(0, 2, false);
    run_without_faults(&mut race, 1_200);
    race.reserve(0, 2, false);
    assert_eq!(race.running[0].len(), 1);
    race
}

/// Guards against a new owner that uses an allotment which a delayed write of
/// its predecessor may still lower.
#[test]
fn new_owner_rewrites_allotment_before_use() {
    let mut race = granted_race();
    race.take_over(0);
    race.poll();
    assert_eq!(race.in_flight.len(), 1, "the records are listed");
    race.reply(0, |_, _| None);
    // A write of the predecessor may still be in flight.
    assert_eq!(race.owners[0].allotment(&member()), Resources::ZERO);
    race.poll();
    race.reply(0, |_, _| None);
    let used = Resources::new(2_000, 2_048, 0);
    assert!(used.fits_in(race.owners[0].allotment(&member())));
}

/// Guards against a late listing that restores an allotment which was returned
/// after the listing was read.
#[test]
fn late_listing_is_ignored() {
    let mut race = granted_race();
    // The store executes the second listing, but its reply is late.
    let is_list =
        |it: &(usize, u64, CallId, StoreOp)| it.0 == 0 && matches!(it.3, StoreOp::List { .. });
    while !race.in_flight.iter().any(is_list) {
        race.now = race.now.plus_ms(100);
        race.poll();
        while let Some(pick) = race.in_flight.iter().position(|it| !is_list(it)) {
            race.reply(pick, |_, _| None);
        }
    }
    let (group, _, call, op) = race.in_flight.remove(0);
    let listed = race.store.execute(&op);
    let task = race.running[0].pop().unwrap();
    race.owners[0].release(race.now, &member(), task);
    run_without_faults(&mut race, 6_000);
    assert_eq!(race.owners[0].allotment(&member()), Resources::ZERO, "returned");
    race.owners[group].on_reply(race.now, call, listed);
    assert_eq!(
        race.owners[0].allotment(&member()),
        Resources::ZERO,
        "the late listing restored an allotment"
    );
}
