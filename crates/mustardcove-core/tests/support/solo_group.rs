//! A test harness for one group whose workers and store answer at once.

// Every test file compiles its own copy and uses only a part of it.
#![allow(dead_code, unreachable_pub)]

use std::sync::Arc;

use bytes::Bytes;
use mustardcove_core::{
    group::{Group, GroupAction, GroupConfig, GroupEvent},
    id::{AttemptNumber, Epoch, JobId, ShardId, TaskId, WorkerId},
    job::{BodyDigest, JobSpec},
    message::{GroupToShard, ReserveRequest, ShardToGroup},
    size::Resources,
    time::Timestamp,
    worker::{WorkerInfo, WorkerOp},
};

use crate::{
    group_doubles::{StoreDouble, agreement},
    worker_double::{FirstFit, WorkerDouble},
};

pub struct GroupHarness {
    pub now: Timestamp,
    pub group: Group<FirstFit>,
    pub workers: Vec<WorkerDouble>,
    pub store: StoreDouble,
    pub sent: Vec<GroupToShard>,
    pub calls: Vec<(WorkerId, WorkerOp)>,
    /// Workers that do not answer.
    pub unresponsive: Vec<WorkerId>,
    /// Workers that later requests avoid.
    pub avoid: Vec<WorkerId>,
}

pub fn task(job: u128) -> TaskId {
    TaskId { job: JobId(job), attempt: AttemptNumber(1) }
}

pub fn cores(cores: u64) -> Resources {
    Resources::new(cores * 1_000, cores * 1_024, 0)
}

pub fn spec(class: &str, need: Resources) -> JobSpec {
    let class = class.parse().unwrap();
    JobSpec {
        member: "m0".parse().unwrap(),
        key: "key".parse().unwrap(),
        digest: BodyDigest::of(&class, b""),
        class,
        resources: need,
        expected_run_ms: 1_000,
        deadline: None,
        payload: Bytes::new(),
    }
}

impl GroupHarness {
    pub fn new(infos: Vec<WorkerInfo>, cap: u64) -> GroupHarness {
        let mut harness = GroupHarness::unreconciled(infos.clone(), cap);
        harness.event(GroupEvent::Workers(infos.into()));
        harness.shard(ShardToGroup::Reconcile { bound: Vec::new() });
        harness
    }

    /// Returns a group that knows neither its workers nor any bound attempts.
    pub fn unreconciled(infos: Vec<WorkerInfo>, cap: u64) -> GroupHarness {
        let now = Timestamp(1_000_000);
        let cfg = GroupConfig { shards: 1, ..GroupConfig::default() };
        let id = "g0".parse().unwrap();
        let process = "p0".parse().unwrap();
        let group = Group::new(id, Epoch(1), process, cfg, FirstFit::default(), 5, now);
        let workers = infos.into_iter().map(|it| WorkerDouble::new(it, 0)).collect();
        let mut harness = GroupHarness {
            now,
            group,
            workers,
            store: StoreDouble::default(),
            sent: Vec::new(),
            calls: Vec::new(),
            unresponsive: Vec::new(),
            avoid: Vec::new(),
        };
        harness.event(GroupEvent::ClaimDeadline(Timestamp::MAX));
        harness.event(GroupEvent::Agreement(Arc::new(agreement(1, &[cap]))));
        harness
    }

    /// Handles an event and the answers to all calls that follow from it.
    pub fn event(&mut self, event: GroupEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.group.handle(self.now, event, &mut out);
            for action in out {
                match action {
                    GroupAction::Worker { call, worker, op, .. } => {
                        self.calls.push((worker.clone(), op.clone()));
                        if self.unresponsive.contains(&worker) {
                            continue;
                        }
                        let double = self.workers.iter_mut().find(|it| it.info.id == worker);
                        let result = double.expect("a worker").execute(self.now, &op);
                        events.push(GroupEvent::WorkerReply { worker, call, result });
                    }
                    GroupAction::Store { call, op } => {
                        let result = self.store.execute(&op);
                        events.push(GroupEvent::StoreReply { call, result });
                    }
                    GroupAction::ToShard { body, .. } => self.sent.push(body),
                    _ => {}
                }
            }
        }
    }

    pub fn shard(&mut self, body: ShardToGroup) {
        self.event(GroupEvent::FromShard { from: ShardId(0), body });
    }

    pub fn advance(&mut self, ms: u64) {
        let end = self.now.plus_ms(ms);
        while let Some(due) = self.group.next_deadline().filter(|it| *it <= end) {
            self.now = self.now.max(due);
            let now = self.now;
            self.workers.iter_mut().for_each(|it| it.run(now));
            self.event(GroupEvent::Tick);
        }
        self.now = end;
    }

    /// Requests capacity and returns the answer.
    pub fn reserve(&mut self, job: u128, class: &str, need: Resources) -> GroupToShard {
        self.sent.clear();
        self.shard(ShardToGroup::Reserve(ReserveRequest {
            task: task(job),
            member: "m0".parse().unwrap(),
            class: class.parse().unwrap(),
            resources: need,
            expected_run_ms: 1_000,
            urgent: class == "rush",
            avoid_workers: self.avoid.clone(),
            failed_attempts: 0,
            queued_since: self.now,
        }));
        let answer = self.sent.iter().find(|it| {
            matches!(it, GroupToShard::Reserved { .. } | GroupToShard::ReserveRefused { .. })
        });
        answer.expect("an immediate answer").clone()
    }

    /// Repeats a request until the member's allotment suffices.
    pub fn reserve_allotted(&mut self, job: u128, class: &str, need: Resources) -> GroupToShard {
        use mustardcove_core::message::ReserveRefusal::OverAllotment;
        for _ in 0..10 {
            let answer = self.reserve(job, class, need);
            if !matches!(answer, GroupToShard::ReserveRefused { reason: OverAllotment, .. }) {
                return answer;
            }
            self.advance(700);
        }
        panic!("the allotment did not grow although the cap allows it");
    }

    pub fn start(&mut self, job: u128, worker: &WorkerId, class: &str, need: Resources) {
        self.shard(ShardToGroup::Start {
            task: task(job),
            worker: worker.clone(),
            epoch: Epoch(1),
            spec: spec(class, need),
            resume_from: None,
        });
    }

    /// Reserves and starts a task, and returns its worker.
    pub fn run(&mut self, job: u128, class: &str, need: Resources) -> WorkerId {
        match self.reserve_allotted(job, class, need) {
            GroupToShard::Reserved { worker, .. } => {
                self.start(job, &worker, class, need);
                worker
            }
            other => panic!("not reserved: {other:?}"),
        }
    }
}
