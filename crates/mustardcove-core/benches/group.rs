//! Cost of a group of 64 workers with 900 tasks: one round of renewals, one
//! reservation, and a state dump.

use std::{hint::black_box, sync::Arc};

use bytes::Bytes;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use mustardcove_core::{
    group::{Group, GroupAction, GroupConfig, GroupEvent},
    id::{AttemptNumber, Epoch, JobId, ShardId, TaskId},
    job::{BodyDigest, JobSpec},
    message::{GroupToShard, ReserveRequest, ShardToGroup},
    size::Resources,
    time::Timestamp,
};

#[path = "../tests/support/group_doubles.rs"]
mod group_doubles;
#[path = "../tests/support/worker_double.rs"]
mod worker_double;

use group_doubles::{StoreDouble, agreement};
use worker_double::{FirstFit, WorkerDouble, worker_info};

const WORKERS: usize = 64;
const TASKS: u128 = 900;

struct Rig {
    now: Timestamp,
    group: Group<FirstFit>,
    workers: Vec<WorkerDouble>,
    store: StoreDouble,
    out: Vec<GroupAction>,
}

fn task(job: u128) -> TaskId {
    TaskId { job: JobId(job), attempt: AttemptNumber(1) }
}

fn request(job: u128) -> ReserveRequest {
    ReserveRequest {
        task: task(job),
        member: "m0".parse().unwrap(),
        class: "scan".parse().unwrap(),
        resources: Resources::new(1_000, 1_024, 0),
        expected_run_ms: 600_000,
        urgent: false,
        avoid_workers: Vec::new(),
        failed_attempts: 0,
        queued_since: Timestamp(0),
    }
}

impl Rig {
    fn new() -> Rig {
        let now = Timestamp(1_000_000);
        let infos: Vec<_> = (0..WORKERS).map(|n| worker_info(&format!("w{n}"), 16, 4)).collect();
        let (id, process) = ("g0".parse().unwrap(), "p0".parse().unwrap());
        let cfg = GroupConfig { shards: 1, ..GroupConfig::default() };
        let policy = FirstFit::default();
        let group = Group::new(id, Epoch(1), process, cfg, policy, 1, now);
        let workers = infos.iter().map(|it| WorkerDouble::new(it.clone(), 0)).collect();
        let mut rig = Rig { now, group, workers, store: StoreDouble::default(), out: Vec::new() };
        rig.event(GroupEvent::ClaimDeadline(Timestamp::MAX));
        rig.event(GroupEvent::Agreement(Arc::new(agreement(1, &[2_000]))));
        rig.event(GroupEvent::Workers(infos.into()));
        rig.shard(ShardToGroup::Reconcile { bound: Vec::new() });
        let mut job = 0;
        while job < TASKS {
            if rig.start(job) {
                job += 1;
            } else {
                rig.advance(1_000);
            }
        }
        rig.advance(4_000);
        rig
    }

    /// Handles an event and the answers to all calls that follow from it.
    fn event(&mut self, event: GroupEvent) -> Option<GroupToShard> {
        let mut events = vec![event];
        let mut answer = None;
        while let Some(event) = events.pop() {
            self.group.handle(self.now, event, &mut self.out);
            for action in self.out.drain(..) {
                match action {
                    GroupAction::Worker { call, worker, op, .. } => {
                        let at: usize = worker.as_str()[1..].parse().unwrap();
                        let result = self.workers[at].execute(self.now, &op);
                        events.push(GroupEvent::WorkerReply { worker, call, result });
                    }
                    GroupAction::Store { call, op } => {
                        let result = self.store.execute(&op);
                        events.push(GroupEvent::StoreReply { call, result });
                    }
                    GroupAction::ToShard { body, .. } => answer = Some(body),
                    _ => {}
                }
            }
        }
        answer
    }

    fn shard(&mut self, body: ShardToGroup) -> Option<GroupToShard> {
        self.event(GroupEvent::FromShard { from: ShardId(0), body })
    }

    fn start(&mut self, job: u128) -> bool {
        let answer = self.shard(ShardToGroup::Reserve(request(job)));
        let Some(GroupToShard::Reserved { worker, epoch, .. }) = answer else { return false };
        let request = request(job);
        let spec = JobSpec {
            member: request.member,
            key: "key".parse().unwrap(),
            digest: BodyDigest::of(&request.class, b""),
            class: request.class,
            resources: request.resources,
            expected_run_ms: request.expected_run_ms,
            deadline: None,
            payload: Bytes::new(),
        };
        let resume_from = None;
        self.shard(ShardToGroup::Start { task: task(job), worker, epoch, spec, resume_from });
        true
    }

    fn advance(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while let Some(due) = self.group.next_deadline().filter(|it| *it <= end) {
            self.now = self.now.max(due);
            self.event(GroupEvent::Tick);
        }
        self.now = end;
    }
}

fn benches(c: &mut Criterion) {
    let mut rig = Rig::new();
    assert_eq!(rig.group.dump(0).task_count, TASKS as usize);
    // One renewal interval: 64 calls for 900 tasks, including the answers, and
    // everything else that is due in that time. The cost of the worker doubles
    // is included.
    c.bench_function("group/renewal_round", |b| b.iter(|| rig.advance(1_500)));

    let mut job = TASKS;
    c.bench_function("group/reserve_and_release", |b| {
        b.iter(|| {
            job += 1;
            let answer = rig.shard(ShardToGroup::Reserve(request(job)));
            rig.shard(ShardToGroup::Release { task: task(job) });
            black_box(answer)
        });
    });
    c.bench_function("group/next_deadline", |b| b.iter(|| black_box(rig.group.next_deadline())));
    c.bench_function("group/dump_100", |b| {
        b.iter_batched(|| (), |()| rig.group.dump(100), BatchSize::SmallInput);
    });
}

criterion_group!(group, benches);
criterion_main!(group);
