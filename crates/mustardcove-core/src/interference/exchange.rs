//! Exchange of learned slowdowns between groups.
//!
//! A group exports only evidence from its own samples, never evidence that it
//! received. Otherwise two groups would send each other's evidence back and
//! count it repeatedly. Classes are identified by name, because their indices
//! differ between processes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{id::ClassId, interference::InterferenceTable, time::Timestamp};

/// Largest encoded table that is accepted, in bytes.
pub const EXPORT_LIMIT_BYTES: usize = 32 * 1024;

/// Version of the encoding; tables of other versions are ignored.
const ENCODING_VERSION: u8 = 1;

/// Least effective number of samples for a pair to be exported.
const MIN_EXPORT_COUNT: f32 = 1.0;

/// Most pairs in one export; those with the most samples are kept.
const MAX_EXPORT_PAIRS: usize = 1500;

/// Most other groups whose tables are kept.
const MAX_SOURCES: usize = 64;

/// Age at which a received table is dropped unless a newer one replaced it, in
/// milliseconds.
const MAX_TABLE_AGE_MS: u64 = 30 * 60 * 1000;

/// Encoded form of a table.
#[derive(Debug, Serialize, Deserialize)]
struct EncodedTable {
    version: u8,
    source: u64,
    classes: Vec<ClassId>,
    pairs: Vec<EncodedPair>,
}

/// Encoded form of the evidence for one pair.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct EncodedPair {
    /// Index by level, victim and aggressor, in the sender's classes.
    cell: u32,
    /// Mean of the logarithm of the slowdown, in thousandths.
    mean_milli: i16,
    /// Effective number of samples.
    count: u16,
}

/// A table received from another group, in the receiver's class indices.
#[derive(Clone, Debug)]
pub(super) struct ReceivedTable {
    source: u64,
    received_at: Timestamp,
    /// Level, victim, aggressor, sum and count.
    pairs: Vec<(usize, usize, usize, f32, f32)>,
}

impl InterferenceTable {
    /// Returns the evidence from this group's own samples, encoded.
    pub fn export(&self, now: Timestamp) -> Bytes {
        let mut pairs: Vec<EncodedPair> = Vec::new();
        for (cell, evidence) in self.evidence.iter().enumerate() {
            let (sum, count) = evidence.decayed(now);
            if count < MIN_EXPORT_COUNT {
                continue;
            }
            let mean_milli = (1000.0 * sum / count).clamp(-3000.0, 3000.0) as i16;
            pairs.push(EncodedPair { cell: cell as u32, mean_milli, count: count as u16 });
        }
        pairs.sort_by_key(|it| (std::cmp::Reverse(it.count), it.cell));
        pairs.truncate(MAX_EXPORT_PAIRS);
        let table = EncodedTable {
            version: ENCODING_VERSION,
            source: self.source,
            classes: self.ids.clone(),
            pairs,
        };
        let encoded = bincode::serde::encode_to_vec(&table, bincode::config::standard());
        // Encoding into memory fails only for types without a known length,
        // which the table does not hold.
        Bytes::from(encoded.unwrap_or_default())
    }

    /// Imports a table that another group exported; it replaces the earlier one
    /// of that group.
    ///
    /// Tables that cannot be decoded are ignored, as are classes that are not
    /// known here yet; the sender repeats its table every few seconds.
    pub fn import(&mut self, now: Timestamp, table: &Bytes) {
        let Some(table) = decode_table(table) else { return };
        if table.source == self.source {
            return;
        }
        let pairs = self.translate(&table);
        self.received.retain(|it| {
            it.source != table.source && now.ms_since(it.received_at) <= MAX_TABLE_AGE_MS
        });
        if MAX_SOURCES <= self.received.len() {
            self.received.remove(0);
        }
        self.received.push(ReceivedTable { source: table.source, received_at: now, pairs });
        self.sum_received();
        self.publish_all(now);
    }

    /// Converts the pairs of a received table to local class indices.
    fn translate(&self, table: &EncodedTable) -> Vec<(usize, usize, usize, f32, f32)> {
        let local_indices: Vec<Option<usize>> =
            table.classes.iter().map(|id| self.ids.iter().position(|it| it == id)).collect();
        let classes = table.classes.len();
        let mut pairs = Vec::with_capacity(table.pairs.len());
        for pair in &table.pairs {
            let cell = pair.cell as usize;
            let (level, pair_index) = (cell / (classes * classes), cell % (classes * classes));
            let (Some(victim), Some(aggressor)) =
                (local_indices[pair_index / classes], local_indices[pair_index % classes])
            else {
                continue;
            };
            let count = f32::from(pair.count);
            let mean = f32::from(pair.mean_milli.clamp(-3000, 3000)) / 1000.0;
            pairs.push((level, victim, aggressor, mean * count, count));
        }
        pairs
    }

    /// Recomputes the sum of the tables received from other groups.
    fn sum_received(&mut self) {
        let classes = self.ids.len();
        self.remote.fill((0.0, 0.0));
        for table in &self.received {
            for &(level, victim, aggressor, sum, count) in &table.pairs {
                let cell = &mut self.remote[(level * classes + victim) * classes + aggressor];
                *cell = (cell.0 + sum, cell.1 + count);
            }
        }
    }
}

/// Decodes a table; returns `None` if it is malformed or has an index out of
/// range.
fn decode_table(bytes: &Bytes) -> Option<EncodedTable> {
    if EXPORT_LIMIT_BYTES < bytes.len() {
        return None;
    }
    let config = bincode::config::standard().with_limit::<{ 4 * EXPORT_LIMIT_BYTES }>();
    let (table, _): (EncodedTable, usize) =
        bincode::serde::decode_from_slice(bytes, config).ok()?;
    let cell_count = super::LOAD_LEVELS * table.classes.len() * table.classes.len();
    let valid = table.version == ENCODING_VERSION
        && table.pairs.iter().all(|it| (it.cell as usize) < cell_count);
    valid.then_some(table)
}
