//! An in-memory store with the semantics of the platform's store.

use std::collections::BTreeMap;

use bytes::Bytes;
use mustardcove_core::store::{
    Entry, Expect, KeyVersion, MAX_VALUE_BYTES, StoreError, StoreOp, StoreReply, StoreResult,
    StoreRevision,
};

#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    keys: BTreeMap<String, (Bytes, KeyVersion)>,
    revision: u64,
    pub reads: u64,
    pub writes: u64,
}

impl MemoryStore {
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|it| it.starts_with(prefix)).cloned().collect()
    }

    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.keys.get(key).map(|(value, _)| value.clone())
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let (value, version) = self.keys.get(key)?;
        Some(Entry { key: key.to_owned(), value: value.clone(), version: *version })
    }

    fn holds(&self, key: &str, expect: Expect) -> bool {
        let version = self.keys.get(key).map(|(_, version)| *version);
        match expect {
            Expect::Absent => version.is_none(),
            Expect::Version(it) => version == Some(it),
            Expect::Any => true,
        }
    }

    /// Executes a call.
    pub fn call(&mut self, op: &StoreOp) -> StoreResult {
        if op.is_write() {
            self.writes += 1;
        } else {
            self.reads += 1;
        }
        let revision = StoreRevision(self.revision);
        match op {
            StoreOp::Get { key } => Ok(StoreReply::Got { entry: self.entry(key), revision }),
            StoreOp::List { prefix, start_after, limit } => {
                let found = self.keys(prefix).into_iter().filter(|it| start_after < it);
                let found: Vec<String> = found.collect();
                let more = (*limit as usize) < found.len();
                let listed = found.iter().take(*limit as usize);
                let entries = listed.filter_map(|it| self.entry(it)).collect();
                Ok(StoreReply::Listed { entries, more, revision })
            }
            StoreOp::Put { key, value, expect, .. } => {
                if MAX_VALUE_BYTES < value.len() {
                    return Err(StoreError::TooLarge);
                }
                if !self.holds(key, *expect) {
                    return Err(StoreError::Conflict { current: self.entry(key) });
                }
                self.revision += 1;
                let version = KeyVersion(self.revision);
                self.keys.insert(key.clone(), (value.clone(), version));
                Ok(StoreReply::Written { version })
            }
            StoreOp::Delete { key, expect } => {
                if !self.holds(key, *expect) {
                    return Err(StoreError::Conflict { current: self.entry(key) });
                }
                self.revision += 1;
                self.keys.remove(key);
                Ok(StoreReply::Deleted)
            }
            _ => unreachable!("a shard makes no such call: {op:?}"),
        }
    }
}
