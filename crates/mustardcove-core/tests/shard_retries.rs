//! What a shard requests or writes again after a refusal or a failed append.

use std::sync::Arc;

use bytes::Bytes;
use mustardcove_core::{
    agreement::{Agreement, Member},
    class::{Class, ClassKind, Delivery},
    id::{Epoch, GroupId, JobId, RequestId, ShardId, TaskId},
    job::{BodyDigest, Checkpoint, JobSpec, Outcome},
    ledger::{Record, Segment},
    message::{GroupSummary, GroupToShard, ReserveRefusal, ShardRequest, ShardToGroup},
    shard::{Shard, ShardAction, ShardConfig, ShardEvent},
    size::Resources,
    store::{StoreError, StoreOp},
    time::Timestamp,
    verdict::Verdict,
};
use mustardcove_platform::memory::store_state::StoreState;

const SIZE: Resources = Resources::new(1_000, 1_024, 0);

/// One shard and one store that answers at once.
struct World {
    now: Timestamp,
    shard: Shard,
    store: StoreState,
    store_down: bool,
    sent: Vec<(GroupId, ShardToGroup)>,
    written: Vec<Record>,
}

impl World {
    fn new() -> World {
        let (now, process) = (Timestamp(1_000_000), "sched-1".parse().unwrap());
        let shard = Shard::new(ShardId(0), 1, process, ShardConfig::default(), 1, now);
        let (sent, written) = (Vec::new(), Vec::new());
        let store = StoreState::default();
        let mut world = World { now, shard, store, store_down: false, sent, written };
        world.handle(ShardEvent::Agreement(Arc::new(agreement())));
        world.run_until(now.plus_ms(1_000));
        for group in ["a/0", "b/0"] {
            world.handle(ShardEvent::Summary(summary(group, world.now)));
        }
        world
    }

    fn handle(&mut self, event: ShardEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.shard.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    ShardAction::Store { call, op } => {
                        let result = self.call(&op);
                        events.push(ShardEvent::StoreReply { call, result });
                    }
                    ShardAction::ToGroup { to, body } => self.sent.push((to, body)),
                    _ => (),
                }
            }
        }
    }

    fn call(&mut self, op: &StoreOp) -> mustardcove_core::store::StoreResult {
        if self.store_down {
            return Err(StoreError::Unavailable { verdict: Verdict::NotRun });
        }
        if let StoreOp::Put { key, value, .. } = op
            && key.contains("/log/")
        {
            self.written.extend(Segment::decode(value).unwrap().records);
        }
        self.store.apply(self.now, op)
    }

    fn run_until(&mut self, until: Timestamp) {
        while self.now < until {
            self.now = self.now.plus_ms(5);
            if self.shard.next_deadline().is_some_and(|it| it <= self.now) {
                self.handle(ShardEvent::Tick);
            }
        }
    }

    fn submit(&mut self, class: &str) -> TaskId {
        let class = class.parse().unwrap();
        let spec = JobSpec {
            member: "coop".parse().unwrap(),
            key: "key".parse().unwrap(),
            digest: BodyDigest::of(&class, b""),
            class,
            resources: SIZE,
            expected_run_ms: 1_000,
            deadline: None,
            payload: Bytes::new(),
        };
        let job: JobId = spec.id();
        let (from, request) = ("entry-1".parse().unwrap(), RequestId(1));
        let body = ShardRequest::Submit { spec };
        self.handle(ShardEvent::Request { from, request, body });
        TaskId { job, attempt: mustardcove_core::id::AttemptNumber(1) }
    }

    /// Returns the groups from which capacity was requested since the last call.
    fn reserves(&mut self) -> Vec<GroupId> {
        let sent = std::mem::take(&mut self.sent).into_iter();
        let reserves = sent.filter(|(_, body)| matches!(body, ShardToGroup::Reserve(_)));
        reserves.map(|(group, _)| group).collect()
    }

    fn deliver(&mut self, from: &GroupId, body: GroupToShard) {
        self.handle(ShardEvent::FromGroup { from: from.clone(), body });
    }
}

fn agreement() -> Agreement {
    let class = |name: &str, urgent| Class {
        id: name.parse().unwrap(),
        kind: ClassKind::Batch,
        delivery: Delivery::Exclusive,
        service: None,
        urgent,
        evictable: false,
        resources: SIZE,
        expected_run_ms: 1_000,
        latency_target_ms: 0,
        weight: 1.0,
    };
    let classes = [class("urgent", true), class("batch", false)];
    let member = Member {
        id: "coop".parse().unwrap(),
        schema: Default::default(),
        cap: Resources::new(64_000, 64_000, 0),
        max_requests: 10,
        classes: classes.iter().map(|it| it.id.clone()).collect(),
        token_digests: Vec::new(),
        evict_over_cap: false,
    };
    Agreement {
        revision: mustardcove_core::id::Revision(1),
        members: [(member.id.clone(), member)].into(),
        classes: classes.into_iter().map(|it| (it.id.clone(), it)).collect(),
        services: Default::default(),
    }
}

fn summary(group: &str, now: Timestamp) -> GroupSummary {
    let free = Resources::new(32_000, 32_000, 0);
    GroupSummary {
        group: group.parse().unwrap(),
        epoch: Epoch(1),
        made_at: now,
        free,
        largest_free: free,
        largest_worker: free,
        workers: 1,
    }
}

/// Guards against urgent work that waits for the full backoff although the
/// groups that refused it gave a much earlier retry time.
#[test]
fn urgent_retries_at_refusal_time() {
    let mut world = World::new();
    let task = world.submit("urgent");
    let mut refused = 0;
    let start = world.now;
    while refused < 2 {
        for group in world.reserves() {
            let (reason, retry_at) = (ReserveRefusal::OverAllotment, world.now.plus_ms(60));
            world.deliver(&group, GroupToShard::ReserveRefused { task, reason, retry_at });
            refused += 1;
        }
        world.run_until(world.now.plus_ms(5));
    }
    world.run_until(start.plus_ms(500));
    assert!(!world.reserves().is_empty(), "no group was asked again within 500 ms");
}

/// Guards against an older checkpoint that is written after a newer one: the
/// append with the older one failed, so that both wait for the next append.
#[test]
fn checkpoints_in_order() {
    let mut world = World::new();
    let task = world.submit("batch");
    world.run_until(world.now.plus_ms(500));
    let group = world.reserves().remove(0);
    let (worker, epoch, deadline) = ("w".parse().unwrap(), Epoch(1), world.now.plus_ms(5_000));
    world.deliver(&group, GroupToShard::Reserved { task, worker, epoch, deadline });
    world.run_until(world.now.plus_ms(500));
    world.store_down = true;
    for progress in [1, 2] {
        let token = format!("ms-{progress}");
        let checkpoint = Checkpoint { token, progress_permille: progress * 100 };
        world.deliver(&group, GroupToShard::Checkpointed { task, checkpoint });
        world.run_until(world.now.plus_ms(2_000));
    }
    let outcome = Outcome::Succeeded { result: Bytes::from_static(b"done") };
    world.deliver(&group, GroupToShard::Finished { task, outcome });
    world.written.clear();
    world.store_down = false;
    world.run_until(world.now.plus_ms(10_000));
    let saved = world.written.iter().filter_map(|it| match it {
        Record::Checkpointed { checkpoint, .. } => Some(checkpoint.progress_permille),
        _ => None,
    });
    assert_eq!(saved.collect::<Vec<_>>(), [200]);
    assert!(world.written.iter().any(|it| matches!(it, Record::Done { .. })));
}
