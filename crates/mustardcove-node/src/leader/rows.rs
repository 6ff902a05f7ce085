//! Conditional writes of records that only the leader writes.
//!
//! Each write requires that this process still leads, and that each record is
//! the one which it replaces: a write without an answer may take effect
//! seconds later, and must not undo a newer one then.
//!
//! A record that the store does not accept fails alone: the records of a write
//! that is rejected are written in smaller ones, and large records by
//! themselves.

use std::{collections::VecDeque, sync::Arc};

use mustardcove_adapter::store::{Item, MAX_WRITE_ROWS, StoreFault, Write, WriteOutcome};
use mustardcove_core::fleet::{id::Term, record::LEADER_KEY};
use slog::{error, warn};

use crate::shared::Shared;

/// Most records in one write: each takes a row for its condition and one for
/// its value, and the condition on the leader record takes one row.
pub(super) const RECORDS_PER_WRITE: usize = (MAX_WRITE_ROWS - 1) / 2;

/// Most bytes of records in one write, unless a single one is larger: a write
/// that takes too long delays only a few others.
const BYTES_PER_WRITE: usize = 128 << 10;

/// A record to write.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) key: String,
    pub(super) value: Vec<u8>,
    /// The revision that it replaces; 0 if there must be none.
    pub(super) revision: u64,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowOutcome {
    /// It is stored as this revision.
    Stored(u64),
    /// It is not stored, because the store holds another revision; 0 if it
    /// holds none.
    Conflict(u64),
    /// It is not stored, because the store does not accept it, for example
    /// because it is too large.
    Rejected,
    /// It may be stored, or may be later.
    Unknown,
}

/// Result of writing records.
#[derive(Debug, Default)]
pub(super) struct Written {
    /// The outcome of each record, in order.
    pub(super) outcomes: Vec<RowOutcome>,
    /// Whether the leader record has changed, so that another process leads.
    pub(super) is_superseded: bool,
    /// Whether the store answered the last of the writes.
    pub(super) is_answered: bool,
}

/// Writes records in as few calls as possible; ends early if another process
/// leads.
pub(super) async fn write_rows(shared: &Arc<Shared>, term: Term, rows: &[Row]) -> Written {
    let mut written = Written::default();
    let mut chunks = chunks(rows);
    while let Some(rows) = chunks.pop_front() {
        if written.is_superseded {
            written.outcomes.extend(rows.iter().map(|_| RowOutcome::Unknown));
        } else if let Err(fault) = write_chunk(shared, term, rows, &mut written).await {
            match rows {
                [row] => {
                    error!(shared.log, "store rejects a record"; "key" => &row.key,
                        "bytes" => row.value.len(), "error" => %fault);
                    written.outcomes.push(RowOutcome::Rejected);
                }
                _ => {
                    let (first, second) = rows.split_at(rows.len() / 2);
                    chunks.push_front(second);
                    chunks.push_front(first);
                }
            }
        }
    }
    written
}

/// Splits records into writes.
fn chunks(rows: &[Row]) -> VecDeque<&[Row]> {
    let mut chunks = VecDeque::new();
    let (mut first, mut bytes) = (0, 0);
    for (i, row) in rows.iter().enumerate() {
        bytes += row.value.len();
        let is_full = i - first == RECORDS_PER_WRITE || BYTES_PER_WRITE < bytes;
        if first < i && is_full {
            chunks.push_back(&rows[first..i]);
            (first, bytes) = (i, row.value.len());
        }
    }
    if first < rows.len() {
        chunks.push_back(&rows[first..]);
    }
    chunks
}

/// Carries out one write.
///
/// # Errors
///
/// Returns an error if the store does not accept what the write contains. The
/// outcomes of its records are not recorded then.
async fn write_chunk(
    shared: &Arc<Shared>,
    term: Term,
    rows: &[Row],
    written: &mut Written,
) -> Result<(), StoreFault> {
    let mut write = Write::default().expect(LEADER_KEY, term.0);
    for row in rows {
        write = write.expect(row.key.clone(), row.revision).set(row.key.clone(), &row.value);
    }
    let result = shared.store.write(&write).await;
    written.is_answered = result.as_ref().map_or_else(|it| it.is_rejection, |_| true);
    match result {
        Ok(WriteOutcome::Committed(revision)) => {
            shared.store_answered();
            written.outcomes.extend(rows.iter().map(|_| RowOutcome::Stored(revision)));
        }
        Ok(WriteOutcome::Conflict(items)) => {
            shared.store_answered();
            record_conflict(term, rows, &items, written);
        }
        Err(fault) if fault.is_rejection => {
            shared.store_answered();
            return Err(fault);
        }
        Err(fault) => {
            // The write may have taken effect. The next one then conflicts, and
            // its answer holds the revisions.
            shared.store_failed();
            let first = rows.first().map_or("", |it| it.key.as_str());
            warn!(shared.log, "records not stored"; "records" => rows.len(), "first" => first,
                "error" => %fault);
            written.outcomes.extend(rows.iter().map(|_| RowOutcome::Unknown));
        }
    }
    Ok(())
}

/// Records the current revisions of the records after a conflict, which an
/// earlier write with an unknown outcome may have caused.
fn record_conflict(term: Term, rows: &[Row], items: &[Item], written: &mut Written) {
    let leader = items.iter().find(|it| it.key == LEADER_KEY);
    written.is_superseded |= leader.is_none_or(|it| it.revision != term.0);
    written.outcomes.extend(rows.iter().map(|row| {
        let item = items.iter().find(|it| it.key == row.key);
        RowOutcome::Conflict(item.map_or(0, |it| it.revision))
    }));
}
