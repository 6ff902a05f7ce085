//! Compares a group without failures with a naive model, which is one list of
//! workers.
//!
//! Guards against capacity that is counted twice, never released or granted to
//! two tasks.

use std::collections::BTreeMap;

use mustardcove_core::{
    group::GroupConfig,
    job::Outcome,
    message::{GroupToShard, ReserveRefusal, ShardToGroup},
    size::Resources,
    time::Timestamp,
    worker::TaskEvent,
};
use proptest::prelude::*;

#[path = "support/group_doubles.rs"]
mod group_doubles;
#[path = "support/solo_group.rs"]
mod solo_group;
#[path = "support/worker_double.rs"]
mod worker_double;

use group_doubles::fixed_config;
use solo_group::{GroupHarness, cores, task};
use worker_double::worker_info;

#[derive(Clone, Debug)]
enum Step {
    Reserve(u64),
    Release(usize),
    Start(usize),
    Finish(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1u64..9).prop_map(Step::Reserve),
        1 => any::<usize>().prop_map(Step::Release),
        4 => any::<usize>().prop_map(Step::Start),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => (1u64..400).prop_map(Step::Advance),
    ]
}

#[derive(Clone, Copy)]
struct Held {
    at: usize,
    need: Resources,
    /// When the reservation expires; `None` once the task was started.
    deadline: Option<Timestamp>,
}

/// The naive model: the free capacity of each worker and the capacity that
/// each task holds.
struct Model {
    free: Vec<Resources>,
    capacity: Resources,
    held: BTreeMap<u128, Held>,
}

impl Model {
    fn reserve(
        &mut self,
        now: Timestamp,
        job: u128,
        need: Resources,
    ) -> Result<usize, ReserveRefusal> {
        if !need.fits_in(self.capacity) {
            return Err(ReserveRefusal::NeverFits);
        }
        let at = self.free.iter().position(|it| need.fits_in(*it));
        let at = at.ok_or(ReserveRefusal::NoRoom)?;
        self.free[at] = self.free[at].checked_sub(need).unwrap();
        let deadline = Some(now.plus_ms(GroupConfig::default().reservation_ms));
        self.held.insert(job, Held { at, need, deadline });
        Ok(at)
    }

    fn release(&mut self, job: u128) {
        let Held { at, need, .. } = self.held.remove(&job).unwrap();
        self.free[at] = self.free[at].checked_add(need).unwrap();
    }

    fn expire(&mut self, now: Timestamp) {
        let expired = self.held.iter().filter(|it| it.1.deadline.is_some_and(|it| it <= now));
        let expired: Vec<u128> = expired.map(|it| *it.0).collect();
        expired.into_iter().for_each(|it| self.release(it));
    }

    fn pick(&self, pick: usize, running: bool) -> Option<(u128, Held)> {
        let mut of_state = self.held.iter().filter(|it| it.1.deadline.is_none() == running);
        let count = of_state.clone().count();
        let (job, held) = of_state.nth(pick.checked_rem(count)?)?;
        Some((*job, *held))
    }
}

fn finish(harness: &mut GroupHarness, job: u128, at: usize) {
    let result = bytes::Bytes::from_static(b"done");
    harness.workers[at].end(task(job), TaskEvent::Succeeded { result: result.clone() });
    harness.sent.clear();
    harness.advance(1_600);
    let finished =
        GroupToShard::Finished { task: task(job), outcome: Outcome::Succeeded { result } };
    assert!(harness.sent.contains(&finished), "the next renewal must report the outcome");
    harness.shard(ShardToGroup::Acknowledge { task: task(job) });
}

proptest! {
    #![proptest_config(fixed_config(128, 0x6d0d))]

    #[test]
    fn matches_naive_model(steps in proptest::collection::vec(step(), 1..80)) {
        // Two slots of a quarter core each are reserved for the upstream.
        let infos = (0..4).map(|n| worker_info(&format!("w{n}"), 8, 2)).collect();
        let mut harness = GroupHarness::new(infos, 1_000);
        harness.reserve_allotted(1, "scan", cores(7));
        harness.shard(ShardToGroup::Release { task: task(1) });
        let capacity = Resources::new(7_500, 8 * 1_024 - 512, 0);
        let mut model = Model { free: vec![capacity; 4], capacity, held: BTreeMap::new() };
        let mut job = 1;
        for step in steps {
            match step {
                Step::Reserve(n) => {
                    job += 1;
                    let answer = harness.reserve_allotted(job, "scan", cores(n));
                    model.expire(harness.now);
                    match (answer, model.reserve(harness.now, job, cores(n))) {
                        (GroupToShard::Reserved { worker, .. }, Ok(at)) => {
                            prop_assert_eq!(worker.as_str(), format!("w{at}"));
                        }
                        (GroupToShard::ReserveRefused { reason, retry_at, .. }, Err(want)) => {
                            prop_assert_eq!(reason, want);
                            prop_assert!(harness.now < retry_at);
                        }
                        (answer, want) => prop_assert!(false, "{answer:?}, model {want:?}"),
                    }
                }
                Step::Release(n) => {
                    if let Some((job, _)) = model.pick(n, false) {
                        harness.shard(ShardToGroup::Release { task: task(job) });
                        model.release(job);
                    }
                    // A release does not affect a task that was started.
                    if let Some((job, _)) = model.pick(n, true) {
                        harness.shard(ShardToGroup::Release { task: task(job) });
                    }
                }
                Step::Start(n) => {
                    // A repeated start has no effect.
                    for running in [false, true] {
                        if let Some((job, held)) = model.pick(n, running) {
                            let worker = harness.workers[held.at].id();
                            harness.start(job, &worker, "scan", held.need);
                            model.held.get_mut(&job).unwrap().deadline = None;
                        }
                    }
                }
                Step::Finish(n) => {
                    if let Some((job, held)) = model.pick(n, true) {
                        finish(&mut harness, job, held.at);
                        model.release(job);
                    }
                }
                Step::Advance(ms) => harness.advance(ms),
            }
            model.expire(harness.now);
            let dump = harness.group.dump(10);
            for (at, worker) in dump.workers.iter().enumerate() {
                prop_assert_eq!(capacity.checked_sub(worker.committed), Some(model.free[at]));
                prop_assert!(harness.workers[at].used().fits_in(worker.committed));
            }
        }
    }
}
