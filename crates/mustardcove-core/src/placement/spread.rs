//! Task counts per rack and failure domain.
//!
//! Counting the tasks of a member on every choice would read each task of the
//! group. The counts are therefore kept between choices, incremented with each
//! choice, and recounted at most once a second when evictions are planned.
//! They only express a preference, so a count may be a second out of date.

use std::collections::BTreeMap;

use crate::{
    class::{ClassIndex, ClassTable},
    id::MemberId,
    placement::{PlacementRequest, WorkerIndex, WorkerView},
    time::Timestamp,
};

/// Least time between two recounts, in milliseconds.
const RECOUNT_INTERVAL_MS: u64 = 1000;

/// Rack of a worker.
#[derive(Clone, Copy, Debug)]
struct WorkerRack {
    rack: u32,
    /// Address of the rack's name, by which a change of the slice of workers
    /// since the last count is detected cheaply.
    rack_address: usize,
}

/// Tasks of each member and class, per rack and failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct SpreadIndex {
    worker_racks: Vec<WorkerRack>,
    members: Vec<MemberId>,
    classes: usize,
    racks: usize,
    domains: usize,
    /// The failure domain of each rack.
    domain_of: Vec<usize>,
    /// Crowding of each rack for the selected request.
    crowding: Vec<f32>,
    /// Counts by member, class and rack.
    by_rack: Vec<u16>,
    /// Counts by member, class and failure domain.
    by_domain: Vec<u16>,
    /// Counts by member and class.
    totals: Vec<u32>,
    counted_at: Option<Timestamp>,
}

impl SpreadIndex {
    /// Recounts the tasks if the slice of workers has changed.
    ///
    /// Only one worker is compared, another one on each choice, because
    /// comparing all of them took a tenth of the time of a choice.
    pub(super) fn recount_if_changed(
        &mut self,
        classes: &ClassTable,
        workers: &[WorkerView],
        checked: WorkerIndex,
    ) {
        let known = self.worker_racks.get(checked).map(|it| it.rack_address);
        let unchanged = self.worker_racks.len() == workers.len()
            && known == workers.get(checked).map(rack_address);
        if !unchanged || self.classes < classes.len() {
            self.count(classes, workers);
        }
    }

    /// Recounts the tasks if the last count is out of date.
    pub(super) fn refresh(&mut self, now: Timestamp, classes: &ClassTable, workers: &[WorkerView]) {
        let is_due = self.counted_at.is_none_or(|it| RECOUNT_INTERVAL_MS <= now.ms_since(it));
        if is_due || !self.matches_workers(workers) || self.classes < classes.len() {
            self.count(classes, workers);
            self.counted_at = Some(now);
        }
    }

    /// Computes the crowding that [`SpreadIndex::crowding`] returns for a
    /// request.
    pub(super) fn select(&mut self, request: &PlacementRequest) {
        self.crowding.clear();
        self.crowding.resize(self.racks, 0.0);
        let Some(row) = self.row_index(&request.member, request.class) else { return };
        let scale = 0.5 / self.totals[row].max(1) as f32;
        let by_rack = &self.by_rack[row * self.racks..(row + 1) * self.racks];
        let by_domain = &self.by_domain[row * self.domains..(row + 1) * self.domains];
        for ((crowding, rack), domain) in self.crowding.iter_mut().zip(by_rack).zip(&self.domain_of)
        {
            *crowding = (f32::from(*rack) + f32::from(by_domain[*domain])) * scale;
        }
    }

    /// Returns the share of the tasks of the selected request's member and
    /// class that are in a worker's rack and failure domain, from 0.0 to 1.0.
    #[inline]
    pub(super) fn crowding(&self, worker: WorkerIndex) -> f32 {
        self.crowding[self.worker_racks[worker].rack as usize]
    }

    /// Counts a task for which a worker has been chosen.
    pub(super) fn add(&mut self, request: &PlacementRequest, worker: WorkerIndex) {
        if let Some(row) = self.row_index(&request.member, request.class) {
            self.increment(row, worker);
        }
    }

    fn increment(&mut self, row: usize, worker: WorkerIndex) {
        let Some(location) = self.worker_racks.get(worker) else { return };
        let rack = location.rack as usize;
        let domain = self.domain_of[rack];
        let rack = &mut self.by_rack[row * self.racks + rack];
        *rack = rack.saturating_add(1);
        let domain = &mut self.by_domain[row * self.domains + domain];
        *domain = domain.saturating_add(1);
        self.totals[row] = self.totals[row].saturating_add(1);
    }

    fn row_index(&self, member: &MemberId, class: ClassIndex) -> Option<usize> {
        let member = self.members.binary_search(member).ok()?;
        (class.as_usize() < self.classes).then_some(member * self.classes + class.as_usize())
    }

    fn matches_workers(&self, workers: &[WorkerView]) -> bool {
        self.worker_racks.len() == workers.len()
            && self
                .worker_racks
                .iter()
                .zip(workers)
                .all(|(it, w)| it.rack_address == rack_address(w))
    }

    fn count(&mut self, classes: &ClassTable, workers: &[WorkerView]) {
        self.number_racks(workers);
        self.members.clear();
        for view in workers {
            for task in &view.tasks {
                if let Err(at) = self.members.binary_search(&task.member) {
                    self.members.insert(at, task.member.clone());
                }
            }
        }
        self.classes = classes.len();
        let rows = self.members.len() * self.classes;
        reset(&mut self.by_rack, rows * self.racks);
        reset(&mut self.by_domain, rows * self.domains);
        reset(&mut self.totals, rows);
        for (index, view) in workers.iter().enumerate() {
            for task in &view.tasks {
                if let Some(row) = self.row_index(&task.member, task.class) {
                    self.increment(row, index);
                }
            }
        }
    }

    /// Assigns numbers to racks and failure domains.
    fn number_racks(&mut self, workers: &[WorkerView]) {
        let mut racks = BTreeMap::new();
        let mut domains = BTreeMap::new();
        self.worker_racks.clear();
        self.domain_of.clear();
        for view in workers {
            let next = domains.len();
            let domain = *domains.entry(&view.domain).or_insert(next);
            // Racks of different failure domains may have the same name.
            let next = racks.len();
            let rack = *racks.entry((&view.domain, &view.rack)).or_insert(next);
            if rack == next {
                self.domain_of.push(domain);
            }
            self.worker_racks
                .push(WorkerRack { rack: rack as u32, rack_address: rack_address(view) });
        }
        self.racks = racks.len();
        self.domains = domains.len();
    }
}

fn rack_address(view: &WorkerView) -> usize {
    view.rack.as_str().as_ptr().addr()
}

fn reset<T: Clone + Default>(counts: &mut Vec<T>, len: usize) {
    counts.clear();
    counts.resize(len, T::default());
}
