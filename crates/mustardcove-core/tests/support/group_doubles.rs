//! Test doubles of the store and the agreement, for tests of groups and
//! quotas.

// Every test file compiles its own copy and uses only a part of it.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;

use bytes::Bytes;
use mustardcove_core::{
    agreement::{Agreement, Member, Service},
    class::{Class, ClassKind, Delivery},
    id::{MemberId, Revision},
    quota::{QuotaRecord, quota_key},
    size::Resources,
    store::{
        Entry, Expect, KeyVersion, StoreError, StoreOp, StoreReply, StoreResult, StoreRevision,
    },
    verdict::Verdict,
};
use proptest::test_runner::{Config, RngSeed};

/// Returns a configuration with a fixed seed, so that every run has the same
/// result.
pub fn fixed_config(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        max_shrink_iters: 500,
        ..Config::default()
    }
}

/// An in-memory store that executes one call at a time.
#[derive(Clone, Debug, Default)]
pub struct StoreDouble {
    entries: BTreeMap<String, (Bytes, KeyVersion)>,
    revision: u64,
    pub down: bool,
}

impl StoreDouble {
    fn entry(&self, key: &str) -> Option<Entry> {
        let (value, version) = self.entries.get(key)?;
        Some(Entry { key: key.to_owned(), value: value.clone(), version: *version })
    }

    /// Executes a call.
    pub fn execute(&mut self, op: &StoreOp) -> StoreResult {
        if self.down {
            return Err(StoreError::Unavailable { verdict: Verdict::NotRun });
        }
        let revision = StoreRevision(self.revision);
        match op {
            StoreOp::Get { key } => Ok(StoreReply::Got { entry: self.entry(key), revision }),
            StoreOp::List { prefix, start_after, limit } => {
                let keys = self.entries.keys().filter(|it| it.starts_with(prefix));
                let keys: Vec<&String> = keys.filter(|it| *it > start_after).collect();
                let more = *limit as usize <= keys.len();
                let page = keys.into_iter().take(*limit as usize);
                let entries = page.filter_map(|it| self.entry(it)).collect();
                Ok(StoreReply::Listed { entries, more, revision })
            }
            StoreOp::Put { key, value, expect, .. } => {
                let current = self.entry(key);
                let holds = match expect {
                    Expect::Absent => current.is_none(),
                    Expect::Version(version) => {
                        current.as_ref().is_some_and(|it| it.version == *version)
                    }
                    Expect::Any => true,
                };
                if !holds {
                    return Err(StoreError::Conflict { current });
                }
                self.revision += 1;
                let version = KeyVersion(self.revision);
                self.entries.insert(key.clone(), (value.clone(), version));
                Ok(StoreReply::Written { version })
            }
            other => panic!("unexpected call {other:?}"),
        }
    }

    /// Returns a member's quota record.
    pub fn quota(&self, member: &MemberId) -> Option<QuotaRecord> {
        let entry = self.entry(&quota_key(member))?;
        Some(serde_json::from_slice(&entry.value).expect("a quota record"))
    }
}

/// Returns the class `name` of one-core tasks.
pub fn class(name: &str, kind: ClassKind, delivery: Delivery, evictable: bool) -> Class {
    Class {
        id: name.parse().unwrap(),
        kind,
        delivery,
        service: None,
        urgent: false,
        evictable,
        resources: Resources::new(1_000, 1_024, 0),
        expected_run_ms: 10_000,
        latency_target_ms: 0,
        weight: 1.0,
    }
}

/// Returns an agreement of members `m0`, `m1`, ... with the given caps in
/// cores. Its classes cover the kinds and deliveries that the tests need.
pub fn agreement(revision: u64, caps: &[u64]) -> Agreement {
    let mut proof = class("proof", ClassKind::Service, Delivery::Exclusive, false);
    proof.service = Some("press".parse().unwrap());
    let mut rush = class("rush", ClassKind::Batch, Delivery::Exclusive, false);
    rush.urgent = true;
    let classes = [
        proof,
        rush,
        class("scan", ClassKind::Batch, Delivery::Exclusive, true),
        class("binding", ClassKind::Batch, Delivery::AtMostOnce, false),
        class("watch", ClassKind::Watcher, Delivery::Exclusive, true),
    ];
    let service =
        Service { id: "press".parse().unwrap(), slot_resources: Resources::new(250, 256, 0) };
    let member = |(i, cores): (usize, &u64)| {
        let id: MemberId = format!("m{i}").parse().unwrap();
        let member = Member {
            id: id.clone(),
            schema: Default::default(),
            cap: Resources::new(cores * 1_000, cores * 1_024, 0),
            max_requests: 10,
            classes: classes.iter().map(|it| it.id.clone()).collect(),
            token_digests: Vec::new(),
            evict_over_cap: true,
        };
        (id, member)
    };
    Agreement {
        revision: Revision(revision),
        members: caps.iter().enumerate().map(member).collect(),
        classes: classes.iter().map(|it| (it.id.clone(), it.clone())).collect(),
        services: [(service.id.clone(), service)].into(),
    }
}
