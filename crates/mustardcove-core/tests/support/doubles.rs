//! Test doubles of the store and of group owners, and a simulated world that
//! drives shards.
//!
//! Each test file uses only some of the items, hence `allow(dead_code)`.
#![allow(dead_code, unreachable_pub)]

pub mod durable_state;
pub mod group_owners;
pub mod store;
pub mod world;

use std::sync::Arc;

use bytes::Bytes;
use mustardcove_core::{
    agreement::{Agreement, Member},
    class::{Class, ClassKind, Delivery},
    id::{Epoch, GroupId, MemberId, Revision},
    job::{BodyDigest, JobSpec},
    message::GroupSummary,
    size::Resources,
    time::Timestamp,
};

/// Capacity of one worker of every group.
pub const WORKER: Resources = Resources::new(32_000, 128_000, 4);

fn class(name: &str, kind: ClassKind, delivery: Delivery, urgent: bool) -> Class {
    Class {
        id: name.parse().unwrap(),
        kind,
        delivery,
        service: None,
        urgent,
        evictable: true,
        resources: Resources::new(1000, 1024, 0),
        expected_run_ms: 60_000,
        latency_target_ms: 0,
        weight: 1.0,
    }
}

/// Returns an agreement with the members `bindery` and `coops` and classes of
/// every kind.
pub fn agreement() -> Arc<Agreement> {
    let classes = [
        class("binding-run", ClassKind::Batch, Delivery::AtMostOnce, false),
        class("scan", ClassKind::Batch, Delivery::Exclusive, false),
        class("rush", ClassKind::Batch, Delivery::Exclusive, true),
        class("watcher", ClassKind::Watcher, Delivery::Exclusive, false),
        class("proof", ClassKind::Service, Delivery::Exclusive, false),
        class("booking", ClassKind::Service, Delivery::AtMostOnce, false),
    ];
    let member = |name: &str| Member {
        id: name.parse().unwrap(),
        schema: Default::default(),
        cap: Resources::new(64_000, 512_000, 8),
        max_requests: 100,
        classes: classes.iter().map(|it| it.id.clone()).collect(),
        token_digests: Vec::new(),
        evict_over_cap: false,
    };
    let members = [member("bindery"), member("coops")];
    Arc::new(Agreement {
        revision: Revision(1),
        members: members.into_iter().map(|it| (it.id.clone(), it)).collect(),
        classes: classes.iter().map(|it| (it.id.clone(), it.clone())).collect(),
        services: Default::default(),
    })
}

/// Returns a submission of `bindery`; its digest is that of class and body.
pub fn spec(class: &str, key: &str, body: &str) -> JobSpec {
    let class = class.parse().unwrap();
    JobSpec {
        member: bindery(),
        key: key.parse().unwrap(),
        digest: BodyDigest::of(&class, body.as_bytes()),
        class,
        resources: Resources::new(1000, 1024, 0),
        expected_run_ms: 60_000,
        deadline: None,
        payload: Bytes::from(body.to_owned()),
    }
}

pub fn bindery() -> MemberId {
    "bindery".parse().unwrap()
}

pub fn group(n: usize) -> GroupId {
    format!("group-{n}").parse().unwrap()
}

/// Returns a summary of a group with ample free capacity.
pub fn summary(n: usize, epoch: Epoch, made_at: Timestamp) -> GroupSummary {
    GroupSummary {
        group: group(n),
        epoch,
        made_at,
        free: WORKER.saturating_mul(16),
        largest_free: WORKER,
        largest_worker: WORKER,
        workers: 16,
    }
}
