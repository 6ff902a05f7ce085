//! Semantics of the store, as a state machine without I/O.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use mustardcove_core::{
    store::{
        Entry, Expect, KeyVersion, LeaseId, MAX_VALUE_BYTES, StoreError, StoreOp, StoreReply,
        StoreResult, StoreRevision, WatchEvent,
    },
    time::{Timestamp, earliest},
};

/// Number of changes that are kept for watches; older ones are compacted.
pub const DEFAULT_KEPT_CHANGES: usize = 10_000;

/// Largest number of entries or changes in one answer.
pub const MAX_ANSWER_ENTRIES: usize = 1_000;

/// Largest size of the keys and values in one answer, in bytes. A single
/// entry may exceed it.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Counts of the calls that the store has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoreCounters {
    /// Reads: `Get`, `List` and `Watch`.
    pub reads: u64,
    /// Writes: all other calls, including those whose expectation did not hold.
    pub writes: u64,
    /// Writes refused because an expectation did not hold.
    pub conflicts: u64,
    /// Calls refused or dropped by a fault.
    pub refused: u64,
    /// Writes that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Leases that expired.
    pub expired_leases: u64,
    /// Watches that are waiting.
    pub waiting_watches: u64,
    /// Largest number of watches that waited at once.
    pub most_waiting_watches: u64,
    /// Bytes of values written.
    pub bytes_written: u64,
    /// Bytes of values read.
    pub bytes_read: u64,
}

#[derive(Clone, Debug)]
struct StoredEntry {
    value: Bytes,
    version: KeyVersion,
    lease: Option<LeaseId>,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl_ms: u64,
    expires_at: Timestamp,
    keys: BTreeSet<String>,
}

/// The keys, leases and recent changes of a store.
#[derive(Debug)]
pub struct StoreState {
    entries: BTreeMap<String, StoredEntry>,
    leases: BTreeMap<LeaseId, Lease>,
    changes: VecDeque<(StoreRevision, WatchEvent)>,
    max_kept_changes: usize,
    /// Revision up to and including which changes have been discarded.
    compacted: StoreRevision,
    revision: StoreRevision,
    next_lease: LeaseId,
    /// Counts of calls.
    pub counters: StoreCounters,
}

impl Default for StoreState {
    fn default() -> StoreState {
        StoreState {
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            changes: VecDeque::new(),
            max_kept_changes: DEFAULT_KEPT_CHANGES,
            compacted: StoreRevision(0),
            revision: StoreRevision(0),
            next_lease: LeaseId(1),
            counters: StoreCounters::default(),
        }
    }
}

impl StoreState {
    /// Returns the current revision.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the time at which the next lease expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.leases.values().fold(None, |first, it| earliest(first, Some(it.expires_at)))
    }

    /// Deletes the keys of leases that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        let is_expired = |lease: &Lease| lease.expires_at <= now;
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, it)| is_expired(it)).map(|(&id, _)| id).collect();
        for id in expired {
            self.counters.expired_leases += 1;
            self.end_lease(id);
        }
    }

    /// Discards changes up to and including `revision`.
    pub fn compact(&mut self, revision: StoreRevision) {
        while self.changes.front().is_some_and(|(it, _)| *it <= revision) {
            self.changes.pop_front();
        }
        self.compacted = self.compacted.max(revision.min(self.revision));
    }

    /// Limits the number of changes that are kept.
    pub fn keep_changes(&mut self, count: usize) {
        self.max_kept_changes = count;
        self.trim_changes();
    }

    /// Applies a call. A [`StoreOp::Watch`] returns at once, possibly without
    /// changes; waiting is up to the caller.
    pub fn apply(&mut self, now: Timestamp, op: &StoreOp) -> StoreResult {
        self.expire(now);
        match op {
            StoreOp::Get { key } => Ok(self.get(key)),
            StoreOp::List { prefix, start_after, limit } => {
                Ok(self.list(prefix, start_after, *limit))
            }
            StoreOp::Put { key, value, expect, lease } => self.put(key, value, *expect, *lease),
            StoreOp::Delete { key, expect } => self.delete(key, *expect),
            StoreOp::GrantLease { ttl_ms } => Ok(self.grant(now, *ttl_ms)),
            StoreOp::RenewLease { lease } => self.renew(now, *lease),
            StoreOp::RevokeLease { lease } => self.revoke(*lease),
            StoreOp::Watch { prefix, after, .. } => self.changes_after(prefix, *after),
        }
    }

    /// Counts one call.
    pub fn count(&mut self, op: &StoreOp) {
        if op.is_write() {
            self.counters.writes += 1;
        } else {
            self.counters.reads += 1;
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let stored = self.entries.get(key)?;
        Some(Entry { key: key.to_owned(), value: stored.value.clone(), version: stored.version })
    }

    fn get(&mut self, key: &str) -> StoreReply {
        let entry = self.entry(key);
        self.counters.bytes_read += entry.as_ref().map_or(0, |it| it.value.len() as u64);
        StoreReply::Got { entry, revision: self.revision }
    }

    fn list(&mut self, prefix: &str, start_after: &str, limit: u32) -> StoreReply {
        let limit = match limit as usize {
            0 => MAX_ANSWER_ENTRIES,
            limit => limit.min(MAX_ANSWER_ENTRIES),
        };
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, stored) in self.entries.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= start_after {
                continue;
            }
            let size = key.len() + stored.value.len();
            if entries.len() == limit || (!entries.is_empty() && MAX_ANSWER_BYTES < bytes + size) {
                more = true;
                break;
            }
            bytes += size;
            entries.push(Entry {
                key: key.clone(),
                value: stored.value.clone(),
                version: stored.version,
            });
        }
        self.counters.bytes_read += bytes as u64;
        StoreReply::Listed { entries, more, revision: self.revision }
    }

    fn check(&mut self, key: &str, expect: Expect) -> Result<(), StoreError> {
        let found = self.entries.get(key).map(|it| it.version);
        let holds = match expect {
            Expect::Any => true,
            Expect::Absent => found.is_none(),
            Expect::Version(version) => found == Some(version),
        };
        if holds {
            return Ok(());
        }
        self.counters.conflicts += 1;
        Err(StoreError::Conflict { current: self.entry(key) })
    }

    fn put(
        &mut self,
        key: &str,
        value: &Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> StoreResult {
        if MAX_VALUE_BYTES < value.len() {
            return Err(StoreError::TooLarge);
        }
        if lease.is_some_and(|it| !self.leases.contains_key(&it)) {
            return Err(StoreError::LeaseLost);
        }
        self.check(key, expect)?;
        self.detach(key);
        if let Some(lease) = lease.and_then(|it| self.leases.get_mut(&it)) {
            lease.keys.insert(key.to_owned());
        }
        let version = KeyVersion(self.revision.0 + 1);
        self.entries.insert(key.to_owned(), StoredEntry { value: value.clone(), version, lease });
        self.counters.bytes_written += value.len() as u64;
        let entry = Entry { key: key.to_owned(), value: value.clone(), version };
        self.record(WatchEvent::Put(entry));
        Ok(StoreReply::Written { version })
    }

    fn delete(&mut self, key: &str, expect: Expect) -> StoreResult {
        self.check(key, expect)?;
        self.remove(key);
        Ok(StoreReply::Deleted)
    }

    fn remove(&mut self, key: &str) {
        self.detach(key);
        if self.entries.remove(key).is_some() {
            self.record(WatchEvent::Delete { key: key.to_owned() });
        }
    }

    /// Detaches a key from its lease, if it has one.
    fn detach(&mut self, key: &str) {
        let lease = self.entries.get(key).and_then(|it| it.lease);
        if let Some(lease) = lease.and_then(|it| self.leases.get_mut(&it)) {
            lease.keys.remove(key);
        }
    }

    fn grant(&mut self, now: Timestamp, ttl_ms: u64) -> StoreReply {
        let id = self.next_lease;
        self.next_lease = LeaseId(id.0 + 1);
        let lease = Lease { ttl_ms, expires_at: now.plus_ms(ttl_ms), keys: BTreeSet::new() };
        self.leases.insert(id, lease);
        StoreReply::Granted { lease: id }
    }

    fn renew(&mut self, now: Timestamp, id: LeaseId) -> StoreResult {
        let lease = self.leases.get_mut(&id).ok_or(StoreError::LeaseLost)?;
        lease.expires_at = now.plus_ms(lease.ttl_ms);
        Ok(StoreReply::Renewed)
    }

    fn revoke(&mut self, id: LeaseId) -> StoreResult {
        if !self.leases.contains_key(&id) {
            return Err(StoreError::LeaseLost);
        }
        self.end_lease(id);
        Ok(StoreReply::Revoked)
    }

    fn end_lease(&mut self, id: LeaseId) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        for key in lease.keys {
            self.remove(&key);
        }
    }

    fn record(&mut self, event: WatchEvent) {
        self.revision.0 += 1;
        self.changes.push_back((self.revision, event));
        self.trim_changes();
    }

    fn trim_changes(&mut self) {
        while self.max_kept_changes < self.changes.len() {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.compacted = revision;
            }
        }
    }

    fn changes_after(&mut self, prefix: &str, after: StoreRevision) -> StoreResult {
        if after < self.compacted {
            return Err(StoreError::Compacted { oldest: self.compacted });
        }
        let mut events = Vec::new();
        let mut bytes = 0;
        let first = self.changes.partition_point(|(it, _)| *it <= after);
        for (revision, event) in self.changes.iter().skip(first) {
            let (key, size) = match event {
                WatchEvent::Put(entry) => (&entry.key, entry.value.len()),
                WatchEvent::Delete { key } => (key, 0),
            };
            if !key.starts_with(prefix) {
                continue;
            }
            let is_full = events.len() == MAX_ANSWER_ENTRIES || MAX_ANSWER_BYTES < bytes + size;
            if is_full && !events.is_empty() {
                // This revision precedes the change that does not fit, so
                // that the next watch starts with that change.
                let revision = StoreRevision(revision.0 - 1);
                self.counters.bytes_read += bytes as u64;
                return Ok(StoreReply::Changes { events, revision });
            }
            bytes += size;
            events.push(event.clone());
        }
        self.counters.bytes_read += bytes as u64;
        Ok(StoreReply::Changes { events, revision: self.revision })
    }
}
