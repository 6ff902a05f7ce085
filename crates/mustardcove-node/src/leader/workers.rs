//! The workers that the leader may use: those that service discovery lists and
//! that are recorded in the store; see
//! [`roster`](mustardcove_core::fleet::roster).

use std::{collections::BTreeMap, sync::Arc};

use mustardcove_adapter::{
    discovery::{self, DiscoveryError},
    store::{Item, WORKERS_PREFIX},
};
use mustardcove_core::{
    fleet::{
        admission,
        id::Term,
        planner::{ColdEntry, WorkerListing},
        record,
        roster::{RosterSegment, RosterWrite},
    },
    id::WorkerId,
    time::Timestamp,
};
use slog::warn;

use super::{
    Leader, TaskResult,
    rows::{Row, RowOutcome, Written, write_rows},
};
use crate::{durable, shared::Shared};

/// Pause after a write that failed, in milliseconds.
const ROSTER_RETRY_MS: u64 = 250;

/// Most entries logged after one reading, which bounds the log if many are odd.
const MAX_LOGGED_ENTRIES: usize = 8;

/// The entries below the prefix of the workers.
pub(super) struct Entries {
    listings: Vec<WorkerListing>,
    /// The workers that are slow for a while.
    pub(super) cold: Vec<ColdEntry>,
    /// The keys of those that describe no worker, and why.
    unreadable: Vec<(String, DiscoveryError)>,
}

impl Entries {
    /// Decodes the entries, which were read at `now`.
    pub(super) fn decode(items: &[Item], now: Timestamp) -> Entries {
        let mut entries =
            Entries { listings: Vec::new(), cold: Vec::new(), unreadable: Vec::new() };
        for item in items {
            match discovery::decode(item, now) {
                Ok(entry) => {
                    entries.listings.push(entry.listing);
                    entries.cold.extend(entry.cold);
                }
                Err(error) => entries.unreadable.push((item.key.clone(), error)),
            }
        }
        entries
    }
}

/// A write of the roster that has ended.
pub(super) struct RosterWritten {
    writes: Vec<RosterWrite>,
    written: Written,
}

impl Leader {
    /// Restores the workers that earlier leaders recorded. Without a readable
    /// record, work that may have run waits until its leases have expired.
    pub(super) fn restore_roster(&mut self, items: &[Item]) {
        let mut is_complete = true;
        for item in items {
            let segment = record::roster_segment_of(&item.key);
            let value: Option<RosterSegment> = durable::decode(&self.shared, "roster", item);
            match (segment, value) {
                (Some(segment), Some(value)) => {
                    self.roster.restore(segment, value, item.revision);
                }
                (Some(segment), None) => {
                    self.roster.restore_unreadable(segment, item.revision);
                    is_complete = false;
                }
                // Leaders write no such key; an item without one may be any.
                (None, _) => is_complete &= !item.key.is_empty(),
            }
        }
        let is_first = self.planner.is_first_term();
        let is_known = is_complete && (is_first || !self.roster.is_empty());
        let recorded = || self.roster.worker_ids().cloned().collect();
        self.pollers.restore_witnesses(is_complete.then(recorded));
        self.planner.restore_workers(is_known.then(|| self.roster.workers()));
    }

    /// Returns the listed workers that may be used. The log names each
    /// other entry once, and again when the reason changes.
    pub(super) fn admit_workers(&mut self, entries: Entries, now: Timestamp) -> Vec<WorkerListing> {
        let manifest = self.shared.manifest();
        let (admitted, rejected) = admission::admit(entries.listings, manifest.as_deref(), now);
        let unreadable = entries.unreadable.into_iter().map(|it| (it.0, it.1.to_string()));
        let rejected =
            rejected.into_iter().map(|it| (format!("{WORKERS_PREFIX}{}", it.0), it.1.to_string()));
        let ignored: BTreeMap<String, String> = unreadable.chain(rejected).collect();
        self.shared.metrics.record_ignored_entries(ignored.len());
        self.logged_entries.retain(|key, reason| ignored.get(key) == Some(reason));
        let is_new = |it: &(String, String)| !self.logged_entries.contains_key(&it.0);
        let entries = ignored.len();
        let new = ignored.into_iter().filter(is_new).take(MAX_LOGGED_ENTRIES);
        let new: Vec<(String, String)> = new.collect();
        for (key, reason) in new {
            warn!(self.shared.log, "entry names no worker to use"; "key" => &key,
                "reason" => &reason, "entries" => entries);
            self.logged_entries.insert(key, reason);
        }
        admitted
    }

    /// Passes on the listed workers that are recorded, and records the others.
    pub(super) fn workers_listed(
        &mut self,
        listings: Vec<WorkerListing>,
        may_remove: bool,
        now: Timestamp,
    ) {
        self.update_roster(listings, may_remove);
        if self.planner.are_earlier_leases_expired(now) {
            self.roster.replace_unreadable();
        }
        if may_remove {
            let is_unused = |it: &&WorkerId| self.planner.is_unused(it, now);
            let unused: Vec<WorkerId> =
                self.roster.worker_ids().filter(is_unused).cloned().collect();
            for worker in unused {
                self.roster.remove(&worker);
            }
        }
        self.store_roster(now);
    }

    fn update_roster(&mut self, listings: Vec<WorkerListing>, may_remove: bool) {
        let has_answered = |it: &WorkerListing| self.planner.has_answered(it);
        let (usable, candidates) = self.roster.update_answered(listings, has_answered);
        let unknown = candidates.iter().filter(|it| !self.roster.is_known(&it.worker));
        self.unanswered = unknown.cloned().collect();
        self.planner.update_fleet(usable, candidates, may_remove);
    }

    /// Records the listed workers that have answered since the last time.
    pub(super) fn record_answered(&mut self) {
        if self.unanswered.iter().any(|it| self.planner.has_answered(it)) {
            self.update_roster(self.listed.clone(), false);
        }
    }

    /// Starts to write changes of the roster, unless a write is in flight.
    pub(super) fn store_roster(&mut self, now: Timestamp) {
        // Until then, an earlier leader may count the workers of the record.
        let may_change = self.pollers.predecessors(now).are_powerless();
        if self.is_storing_roster || now < self.store_roster_at || !may_change {
            return;
        }
        let writes = self.roster.changes();
        if writes.is_empty() {
            return;
        }
        self.is_storing_roster = true;
        self.roster.sent(&writes);
        let (shared, results, term) = (self.shared.clone(), self.results.clone(), self.term);
        tokio::spawn(async move {
            let written = write_roster(&shared, term, &writes).await;
            // The receiver is dropped when the term ends.
            let _ = results.send(TaskResult::RosterWritten(RosterWritten { writes, written }));
        });
    }

    /// Handles the end of a write of the roster.
    pub(super) fn roster_written(&mut self, result: RosterWritten, now: Timestamp) {
        self.is_storing_roster = false;
        self.write_ended(result.written.is_answered, now);
        if result.written.is_superseded {
            self.end_reason = Some("another process leads");
            return;
        }
        for (write, outcome) in result.writes.into_iter().zip(result.written.outcomes) {
            match outcome {
                RowOutcome::Stored(revision) => self.roster.stored(write, revision),
                RowOutcome::Conflict(revision) => {
                    self.roster.not_stored(write.segment, Some(revision));
                    self.store_roster_at = now.plus_ms(ROSTER_RETRY_MS);
                }
                RowOutcome::Rejected | RowOutcome::Unknown => {
                    self.roster.not_stored(write.segment, None);
                    self.store_roster_at = now.plus_ms(ROSTER_RETRY_MS);
                }
            }
        }
        // Workers that the last list lacks were handled when it was read.
        self.update_roster(self.listed.clone(), false);
    }
}

async fn write_roster(shared: &Arc<Shared>, term: Term, writes: &[RosterWrite]) -> Written {
    let rows: Vec<Row> = (writes.iter())
        .map(|it| Row {
            key: record::roster_key(it.segment),
            value: record::encode(&it.value),
            revision: it.revision,
        })
        .collect();
    write_rows(shared, term, &rows).await
}
