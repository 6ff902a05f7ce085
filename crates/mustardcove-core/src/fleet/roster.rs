//! The record of the workers on which runs may be.
//!
//! Service discovery may lack a worker that is alive: an entry lapses while
//! the store is away, and a single registration can be lost. A new leader that
//! took such a list for the whole fleet would start work again that still runs
//! on a missing worker, or that has ended there. Therefore a leader uses a
//! worker only once it is recorded in the store, under the condition that it
//! still leads, and a new leader polls every recorded worker, listed or not,
//! before it starts anything again that may have run. See
//! `docs/platform.md`, section 5.
//!
//! The record is split into segments, so that a change costs little and a
//! value stays small. A worker leaves it once nothing can run there and no end
//! there is unacknowledged.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use super::planner::WorkerListing;
use crate::id::WorkerId;

/// Most workers in one segment: about 6 KiB.
const SEGMENT_WORKERS: usize = 64;

/// The stored value of a segment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterSegment {
    /// Its workers, in no particular order.
    pub workers: Vec<WorkerListing>,
}

/// A segment to write.
#[derive(Clone, Debug, PartialEq)]
pub struct RosterWrite {
    /// The number of the segment.
    pub segment: usize,
    /// The new value.
    pub value: RosterSegment,
    /// The revision of the record that it replaces, 0 if there is none.
    pub revision: u64,
}

#[derive(Debug, Default)]
struct Segment {
    /// The revision of the record, 0 while there is none.
    revision: u64,
    /// Workers that the stored record is known to contain.
    recorded: BTreeMap<WorkerId, WorkerListing>,
    /// Workers that it has to contain.
    wanted: BTreeMap<WorkerId, WorkerListing>,
    is_changed: bool,
    /// Workers of each value that was sent since the record was last known, and
    /// may be stored.
    sent: Vec<BTreeSet<WorkerId>>,
    /// Workers that the record had when it was last known.
    known: BTreeSet<WorkerId>,
    /// Whether its record cannot be read and is to be replaced.
    is_unreadable: bool,
}

/// The record as the leader of one term knows it.
#[derive(Debug, Default)]
pub struct Roster {
    segments: Vec<Segment>,
    segment_of: HashMap<WorkerId, usize>,
}

impl Roster {
    /// Adds a segment that an earlier leader stored, with its revision.
    pub fn restore(&mut self, segment: usize, value: RosterSegment, revision: u64) {
        while self.segments.len() <= segment {
            self.segments.push(Segment::default());
        }
        let workers: BTreeMap<WorkerId, WorkerListing> =
            value.workers.into_iter().map(|it| (it.worker.clone(), it)).collect();
        self.segment_of.extend(workers.keys().map(|it| (it.clone(), segment)));
        self.segments[segment] = Segment {
            revision,
            known: workers.keys().cloned().collect(),
            recorded: workers.clone(),
            wanted: workers,
            ..Segment::default()
        };
    }

    /// Adds a segment whose record, at this revision, cannot be read.
    pub fn restore_unreadable(&mut self, segment: usize, revision: u64) {
        self.restore(segment, RosterSegment::default(), revision);
        self.segments[segment].is_unreadable = true;
    }

    /// Replaces the records that cannot be read, which would make each later
    /// leader wait for the end of the leases. Must not be called before all
    /// leases of earlier leaders have expired, as a worker that only such a
    /// record named may run something until then.
    pub fn replace_unreadable(&mut self) {
        for it in &mut self.segments {
            it.is_changed |= std::mem::take(&mut it.is_unreadable);
        }
    }

    /// Returns the recorded workers.
    pub fn workers(&self) -> Vec<WorkerListing> {
        self.segments.iter().flat_map(|it| it.recorded.values().cloned()).collect()
    }

    /// Returns the ids of the recorded workers.
    pub fn worker_ids(&self) -> impl Iterator<Item = &WorkerId> {
        self.segments.iter().flat_map(|it| it.recorded.keys())
    }

    /// Returns whether nothing was ever recorded.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Takes in the list of service discovery, and returns the part of it that
    /// may be used. A worker that is recorded with an earlier address or
    /// incarnation is returned as recorded. Everything else may change while
    /// the worker runs, and takes effect without a write: a start that
    /// exceeds a smaller capacity cannot be taken back.
    pub fn update(&mut self, listings: Vec<WorkerListing>) -> Vec<WorkerListing> {
        self.update_answered(listings, |_| true).0
    }

    /// Takes in the list of service discovery, of which new workers are
    /// recorded only once they have answered: an entry at whose address no
    /// worker answers would keep each later leader waiting. Returns the part
    /// of the list that may be used, and the rest, which is to be polled.
    pub fn update_answered(
        &mut self,
        listings: Vec<WorkerListing>,
        has_answered: impl Fn(&WorkerListing) -> bool,
    ) -> (Vec<WorkerListing>, Vec<WorkerListing>) {
        let (mut usable, mut candidates) = (Vec::with_capacity(listings.len()), Vec::new());
        for listing in listings {
            let recorded = (self.is_known(&listing.worker) || has_answered(&listing))
                .then(|| self.update_worker(listing.clone()))
                .flatten();
            match recorded {
                Some(recorded) => usable.push(recorded),
                None => candidates.push(listing),
            }
        }
        (usable, candidates)
    }

    /// Returns whether a worker is recorded, or is to be.
    pub fn is_known(&self, worker: &WorkerId) -> bool {
        self.segment_of.contains_key(worker)
    }

    fn update_worker(&mut self, listing: WorkerListing) -> Option<WorkerListing> {
        let is_draining = listing.is_draining;
        let index = self.segment_for(&listing.worker);
        let segment = &mut self.segments[index];
        if !segment.wanted.get(&listing.worker).is_some_and(|it| is_same_life(it, &listing)) {
            let wanted = WorkerListing { is_draining: false, ..listing.clone() };
            segment.wanted.insert(listing.worker.clone(), wanted);
            segment.is_changed = true;
        }
        let recorded = segment.recorded.get(&listing.worker)?;
        if is_same_life(recorded, &listing) {
            return Some(listing);
        }
        Some(WorkerListing { is_draining, ..recorded.clone() })
    }

    fn segment_for(&mut self, worker: &WorkerId) -> usize {
        if let Some(index) = self.segment_of.get(worker) {
            return *index;
        }
        let has_room = |it: &Segment| !it.is_unreadable && it.wanted.len() < SEGMENT_WORKERS;
        let index = self.segments.iter().position(has_room).unwrap_or_else(|| {
            self.segments.push(Segment::default());
            self.segments.len() - 1
        });
        self.segment_of.insert(worker.clone(), index);
        index
    }

    /// Removes a worker on which nothing can run any more.
    pub fn remove(&mut self, worker: &WorkerId) {
        let Some(index) = self.segment_of.remove(worker) else { return };
        let segment = &mut self.segments[index];
        segment.wanted.remove(worker);
        // The write that removes it may take effect without an answer, so from
        // now on it counts as not recorded.
        segment.recorded.remove(worker);
        segment.is_changed = true;
    }

    /// Returns the segments to write.
    pub fn changes(&self) -> Vec<RosterWrite> {
        let changed = self.segments.iter().enumerate().filter(|(_, it)| it.is_changed);
        let write = |(segment, it): (usize, &Segment)| RosterWrite {
            segment,
            value: RosterSegment { workers: it.wanted.values().cloned().collect() },
            revision: it.revision,
        };
        changed.map(write).collect()
    }

    /// Records that segments are sent to the store, which may take effect without
    /// an answer.
    pub fn sent(&mut self, writes: &[RosterWrite]) {
        for it in writes {
            let workers = it.value.workers.iter().map(|it| it.worker.clone()).collect();
            let sent = &mut self.segments[it.segment].sent;
            if !sent.contains(&workers) {
                sent.push(workers);
            }
        }
    }

    /// Returns the workers that the store names whatever became of the writes that
    /// were not answered.
    pub fn certain(&self) -> impl Iterator<Item = &WorkerId> {
        self.segments.iter().flat_map(|segment| {
            let is_certain = |it: &&WorkerId| segment.sent.iter().all(|sent| sent.contains(*it));
            segment.known.iter().filter(is_certain)
        })
    }

    /// Returns the number of workers that the store names at most.
    pub fn possible_count(&self) -> usize {
        let count = |it: &Segment| {
            if it.sent.is_empty() {
                return it.known.len();
            }
            let possible: BTreeSet<_> = it.known.iter().chain(it.sent.iter().flatten()).collect();
            possible.len()
        };
        self.segments.iter().map(count).sum()
    }

    /// Records that a segment was written, as this revision.
    pub fn stored(&mut self, write: RosterWrite, revision: u64) {
        let segment = &mut self.segments[write.segment];
        segment.revision = revision;
        segment.known = write.value.workers.iter().map(|it| it.worker.clone()).collect();
        segment.sent.clear();
        segment.recorded =
            write.value.workers.into_iter().map(|it| (it.worker.clone(), it)).collect();
        segment.is_changed = segment.recorded != segment.wanted;
        // Workers that were removed since the write began stay removed.
        segment.recorded.retain(|worker, _| segment.wanted.contains_key(worker));
    }

    /// Records that a segment was not written, or may not have been, with the
    /// current revision of its record if that is known.
    pub fn not_stored(&mut self, segment: usize, revision: Option<u64>) {
        if let Some(revision) = revision {
            self.segments[segment].revision = revision;
        }
    }
}

/// Returns whether two entries describe the same incarnation of a worker at the
/// same address.
fn is_same_life(a: &WorkerListing, b: &WorkerListing) -> bool {
    (a.address, a.incarnation) == (b.address, b.incarnation)
}
