//! Deadlines by key, with cheap access to the earliest one.

use std::collections::{BTreeMap, BTreeSet};

use crate::time::Timestamp;

/// A set of deadlines with at most one per key.
#[derive(Clone, Debug)]
pub(super) struct Timers<K> {
    by_time: BTreeSet<(Timestamp, K)>,
    by_key: BTreeMap<K, Timestamp>,
}

impl<K: Ord + Copy> Timers<K> {
    pub(super) fn new() -> Timers<K> {
        Timers { by_time: BTreeSet::new(), by_key: BTreeMap::new() }
    }

    /// Sets, replaces or removes the key's deadline.
    pub(super) fn set(&mut self, key: K, deadline: Option<Timestamp>) {
        if self.by_key.get(&key).copied() == deadline {
            return;
        }
        if let Some(earlier) = self.by_key.remove(&key) {
            self.by_time.remove(&(earlier, key));
        }
        if let Some(deadline) = deadline {
            self.by_key.insert(key, deadline);
            self.by_time.insert((deadline, key));
        }
    }

    /// Removes the key with the earliest deadline and returns it, if that
    /// deadline has been reached.
    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<K> {
        let (deadline, key) = *self.by_time.first()?;
        if now < deadline {
            return None;
        }
        self.by_time.pop_first();
        self.by_key.remove(&key);
        Some(key)
    }

    pub(super) fn earliest(&self) -> Option<Timestamp> {
        self.by_time.first().map(|(deadline, _)| *deadline)
    }

    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }
}
