//! Stores progress, under the condition that this process still leads.

use std::sync::Arc;

use mustardcove_adapter::store::{Item, MAX_WRITE_ROWS, Write, Written};
use mustardcove_core::{
    fleet::{
        id::{SubmissionId, Term},
        record::{self, LEADER_KEY, LEARNED_KEY, PROGRESS_PREFIX, ProgressRecord},
    },
    time::Timestamp,
};
use slog::{debug, warn};

use super::{Found, Leader};
use crate::shared::Shared;

/// Time between two writes of progress, in milliseconds: few enough writes for
/// the store, and short against the time in which workers want ends to be
/// acknowledged.
const FLUSH_MS: u64 = 200;
/// Time between two writes while a caller waits to see a final state, in
/// milliseconds.
const URGENT_FLUSH_MS: u64 = 25;
/// Pause after a write that failed, in milliseconds.
const FAILED_FLUSH_MS: u64 = 250;
/// Records in one write: each takes a condition and a value, and the leader
/// record takes a condition.
const RECORDS_PER_WRITE: usize = (MAX_WRITE_ROWS - 1) / 2;

type Records = Vec<(SubmissionId, ProgressRecord, u64)>;

/// What became of a flush.
pub(super) struct Flushed {
    /// The last change that it held.
    change: u64,
    /// Records that are stored, with their new revisions.
    stored: Vec<(SubmissionId, u64)>,
    /// Records that are not, with their revisions if these were learned.
    failed: Vec<(SubmissionId, Option<u64>)>,
    /// Whether the leader record has changed.
    is_superseded: bool,
}

impl Leader {
    /// Begins to store progress if that is due and not under way.
    pub(super) fn flush(&mut self, now: Timestamp) {
        let is_due = self.flush_at <= now
            || (self.planner.has_unpublished_states()
                && self.flush_at <= now.plus_ms(FLUSH_MS - URGENT_FLUSH_MS));
        if self.is_flushing || !is_due || !self.planner.has_progress() {
            return;
        }
        self.is_flushing = true;
        let (change, records) = self.planner.take_progress();
        let (shared, found, term) = (self.shared.clone(), self.found.clone(), self.term);
        tokio::spawn(async move {
            let flushed = write_all(&shared, term, change, records).await;
            // The term is over if nobody receives it.
            let _ = found.send(Found::Flushed(flushed));
        });
    }

    /// Stores what was learned; a failure is made up for by the next time.
    pub(super) fn store_learned(&self) {
        let learned = self.planner.learned_interference();
        if learned.pressures.is_empty() {
            return;
        }
        let (shared, term) = (self.shared.clone(), self.term);
        tokio::spawn(async move {
            let write = Write::default()
                .expect(LEADER_KEY, term.0)
                .set(LEARNED_KEY, &record::encode(&learned));
            if let Err(fault) = shared.store.write(&write).await {
                shared.metrics.store_fault();
                debug!(shared.log, "what was learned is not stored"; "error" => %fault);
            }
        });
    }

    pub(super) fn flushed(&mut self, flushed: Flushed, now: Timestamp) {
        self.is_flushing = false;
        self.flush_at = now.plus_ms(FLUSH_MS);
        if flushed.is_superseded {
            self.ends_because = Some("another process leads");
            return;
        }
        for (id, revision) in &flushed.stored {
            self.planner.set_progress_revision(*id, *revision);
        }
        if flushed.failed.is_empty() {
            self.planner.progress_stored(flushed.change);
            return;
        }
        self.flush_at = now.plus_ms(FAILED_FLUSH_MS);
        for (id, revision) in flushed.failed {
            if let Some(revision) = revision {
                self.planner.set_progress_revision(id, revision);
            }
            self.planner.progress_failed(id);
        }
    }
}

async fn write_all(shared: &Arc<Shared>, term: Term, change: u64, records: Records) -> Flushed {
    let mut flushed =
        Flushed { change, stored: Vec::new(), failed: Vec::new(), is_superseded: false };
    for records in records.chunks(RECORDS_PER_WRITE) {
        write_chunk(shared, term, records, &mut flushed).await;
        if flushed.is_superseded {
            break;
        }
    }
    flushed
}

async fn write_chunk(
    shared: &Arc<Shared>,
    term: Term,
    records: &[(SubmissionId, ProgressRecord, u64)],
    flushed: &mut Flushed,
) {
    let mut write = Write::default().expect(LEADER_KEY, term.0);
    for (id, progress, revision) in records {
        let key = record::key_of(PROGRESS_PREFIX, *id);
        write = write.expect(key.clone(), *revision).set(key, &record::encode(progress));
    }
    match shared.store.write(&write).await {
        Ok(Written::Done(revision)) => {
            shared.store_answered();
            flushed.stored.extend(records.iter().map(|it| (it.0, revision)));
        }
        Ok(Written::Conflict(items)) => {
            shared.store_answered();
            conflict(term, records, &items, flushed);
        }
        Err(fault) => {
            // The write may have taken effect: then the next one conflicts and
            // learns the revisions.
            shared.metrics.store_fault();
            warn!(shared.log, "progress not stored"; "records" => records.len(),
                "error" => %fault);
            flushed.failed.extend(records.iter().map(|it| (it.0, None)));
        }
    }
}

/// Learns the revisions of records that a write with an unknown outcome may
/// have changed.
fn conflict(
    term: Term,
    records: &[(SubmissionId, ProgressRecord, u64)],
    items: &[Item],
    flushed: &mut Flushed,
) {
    let leader = items.iter().find(|it| it.key == LEADER_KEY);
    flushed.is_superseded |= leader.is_none_or(|it| it.revision != term.0);
    for (id, ..) in records {
        let key = record::key_of(PROGRESS_PREFIX, *id);
        let revision = items.iter().find(|it| it.key == key).map_or(0, |it| it.revision);
        flushed.failed.push((*id, Some(revision)));
    }
}
