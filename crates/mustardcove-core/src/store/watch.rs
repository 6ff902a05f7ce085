//! A view of all keys under one prefix, kept current by a watch.
//!
//! The view lists the keys once and then follows the store's changes. If the
//! store no longer keeps the changes that the view needs, the view lists the
//! keys again and reports the difference, so that its users receive only
//! changes.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::{
    id::CallId,
    store::{
        Entry, KeyVersion, StoreError, StoreOp, StoreReply, StoreResult, StoreRevision, WatchEvent,
    },
    time::Timestamp,
};

/// How long the store is asked to hold a watch without changes, in milliseconds.
///
/// A waiting watch counts as one call, so a long wait keeps the rate of calls
/// low.
pub const WATCH_WAIT_MS: u64 = 30_000;

/// Most keys read by one listing call.
const LIST_LIMIT: u32 = 256;

/// First and longest delay before a failed call is retried, in milliseconds.
const RETRY_DELAY_MS: (u64, u64) = (100, 2_000);

/// A change to the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// A key was written, or was listed for the first time.
    Put(Entry),
    /// A key was deleted or its lease expired.
    Delete {
        /// The key.
        key: String,
        /// Its last known value.
        value: Bytes,
    },
}

#[derive(Clone, Debug)]
enum Phase {
    Listing { revision: Option<StoreRevision>, seen: BTreeMap<String, Entry> },
    Watching { after: StoreRevision },
}

/// A view of the keys under a prefix.
#[derive(Clone, Debug)]
pub struct PrefixView {
    prefix: String,
    entries: BTreeMap<String, Entry>,
    phase: Phase,
    in_flight: Option<CallId>,
    retry_at: Timestamp,
    failures: u32,
    current: bool,
    confirmed_at: Option<Timestamp>,
}

impl PrefixView {
    /// Returns an empty view of the keys that begin with `prefix`.
    pub fn new(prefix: impl Into<String>) -> PrefixView {
        PrefixView {
            prefix: prefix.into(),
            entries: BTreeMap::new(),
            phase: Phase::Listing { revision: None, seen: BTreeMap::new() },
            in_flight: None,
            retry_at: Timestamp(0),
            failures: 0,
            current: false,
            confirmed_at: None,
        }
    }

    /// Reports whether the keys have been listed completely at least once.
    pub fn is_listed(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Reports whether the last call to the store succeeded.
    pub fn is_current(&self) -> bool {
        self.current
    }

    /// Returns when the next call is due, if none is in flight.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.in_flight.is_none().then_some(self.retry_at)
    }

    /// Returns the entry under a key.
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns all entries in key order.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Applies a write of this process before the watch reports it.
    pub fn apply_own_write(&mut self, key: &str, value: Bytes, version: KeyVersion) {
        let entry = Entry { key: key.to_owned(), value, version };
        self.entries.insert(key.to_owned(), entry);
    }

    /// Returns the next call to the store, if one is due and none is in flight.
    pub fn poll(&mut self, now: Timestamp, call: CallId) -> Option<StoreOp> {
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        self.in_flight = Some(call);
        Some(match &self.phase {
            Phase::Listing { seen, .. } => StoreOp::List {
                prefix: self.prefix.clone(),
                start_after: seen.keys().next_back().cloned().unwrap_or_default(),
                limit: LIST_LIMIT,
            },
            Phase::Watching { after } => StoreOp::Watch {
                prefix: self.prefix.clone(),
                after: *after,
                wait_ms: WATCH_WAIT_MS,
            },
        })
    }

    /// Handles the result of a call; returns `None` if the call is not the one
    /// in flight, and the changes otherwise.
    pub fn handle(
        &mut self,
        now: Timestamp,
        call: CallId,
        result: &StoreResult,
    ) -> Option<Vec<ViewChange>> {
        if self.in_flight != Some(call) {
            return None;
        }
        self.in_flight = None;
        match result {
            Ok(reply) => {
                self.failures = 0;
                self.retry_at = now;
                self.current = true;
                Some(self.apply(now, reply))
            }
            Err(StoreError::Compacted { .. }) => {
                self.phase = Phase::Listing { revision: None, seen: BTreeMap::new() };
                self.retry_at = now;
                Some(Vec::new())
            }
            Err(_) => {
                self.current = false;
                self.failures += 1;
                self.retry_at = now.plus_ms(self.backoff_ms());
                Some(Vec::new())
            }
        }
    }

    /// Returns the retry delay, which doubles with each failure up to the
    /// longest.
    fn backoff_ms(&self) -> u64 {
        let (first, longest) = RETRY_DELAY_MS;
        let doubled = first << self.failures.min(5);
        doubled.min(longest)
    }

    fn apply(&mut self, now: Timestamp, reply: &StoreReply) -> Vec<ViewChange> {
        match (&mut self.phase, reply) {
            (
                Phase::Listing { revision, seen },
                StoreReply::Listed { entries, more, revision: at },
            ) => {
                // The watch starts at the revision of the first page, so that it
                // reports changes made while further pages were listed.
                let first = *revision.get_or_insert(*at);
                seen.extend(entries.iter().map(|it| (it.key.clone(), it.clone())));
                if *more {
                    return Vec::new();
                }
                let listed = std::mem::take(seen);
                self.phase = Phase::Watching { after: first };
                self.confirmed_at = Some(now);
                self.replace(listed)
            }
            (Phase::Watching { after }, StoreReply::Changes { events, revision }) => {
                *after = *revision;
                self.confirmed_at = Some(now);
                events.iter().filter_map(|it| self.apply_event(it)).collect()
            }
            _ => Vec::new(),
        }
    }

    fn replace(&mut self, listed: BTreeMap<String, Entry>) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        for (key, entry) in &self.entries {
            if !listed.contains_key(key) {
                changes.push(ViewChange::Delete { key: key.clone(), value: entry.value.clone() });
            }
        }
        for (key, entry) in &listed {
            if self.entries.get(key) != Some(entry) {
                changes.push(ViewChange::Put(entry.clone()));
            }
        }
        self.entries = listed;
        changes
    }

    fn apply_event(&mut self, event: &WatchEvent) -> Option<ViewChange> {
        match event {
            WatchEvent::Put(entry) => {
                // `apply_own_write` may already have applied this write.
                let known = self.entries.get(&entry.key);
                if known.is_some_and(|it| entry.version <= it.version) {
                    return None;
                }
                self.entries.insert(entry.key.clone(), entry.clone());
                Some(ViewChange::Put(entry.clone()))
            }
            WatchEvent::Delete { key } => {
                let entry = self.entries.remove(key)?;
                Some(ViewChange::Delete { key: key.clone(), value: entry.value })
            }
        }
    }
}
