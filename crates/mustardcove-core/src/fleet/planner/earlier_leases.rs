//! By when the leases have ended that earlier leaders granted.
//!
//! A lease outlasts the leader under which it was granted. For most workers a
//! poll of this term tells what runs there, or the plan that the predecessor has
//! [handed over](crate::fleet::handover). For the others this leader waits until
//! no lease of an earlier one can be left: a fixed time after its claim, or the
//! end that was handed over. If the worker still answered the predecessor, its
//! poller tells an earlier end. A predecessor that was displaced tells the ends by a
//! message, which may arrive before those of the pollers or after them.

use std::collections::{BTreeMap, btree_map::Entry};

use crate::{
    fleet::handover::{KnownLeases, PollerId, WorkerHandover, WorkerPlan},
    id::WorkerId,
    time::Timestamp,
};

/// The ends of the leases of earlier leaders.
#[derive(Clone, Debug)]
pub(super) struct EarlierLeases {
    /// The time by which every lease has expired that an earlier leader granted
    /// before it knew of this term. What a poll of this term shows bounds those
    /// of its worker from then on.
    expire_by: Timestamp,
    /// The same for workers that were not polled in this term, on which an
    /// earlier leader that does not know of it may go on extending leases.
    unfenced_expire_by: Timestamp,
    /// What the predecessor knew of the workers.
    workers: BTreeMap<WorkerId, WorkerHandover>,
    /// Whether `workers` has every worker that the predecessor recorded.
    is_complete: bool,
    /// The pollers of earlier terms that have reported, each with the time by which
    /// the leases have expired that it granted. What names them may arrive later.
    retired: BTreeMap<WorkerId, Vec<(PollerId, Timestamp)>>,
}

impl EarlierLeases {
    /// Returns the state of a leader without a predecessor's record.
    pub(super) fn new(expire_by: Timestamp) -> EarlierLeases {
        EarlierLeases {
            expire_by,
            unfenced_expire_by: expire_by,
            workers: BTreeMap::new(),
            is_complete: false,
            retired: BTreeMap::new(),
        }
    }

    /// Takes over what the predecessor knew.
    pub(super) fn take_over(&mut self, workers: Vec<WorkerHandover>) {
        self.is_complete = !workers.is_empty();
        self.workers = workers.into_iter().map(|it| (it.worker.clone(), it)).collect();
    }

    /// Takes in what the predecessor knew of the leases on a worker, which counts only
    /// where it is earlier than what is known. Returns the end of all leases of
    /// earlier leaders there.
    pub(super) fn learn(&mut self, known: KnownLeases) -> Timestamp {
        let it = match self.workers.entry(known.worker.clone()) {
            Entry::Vacant(it) => it.insert(known.into()),
            Entry::Occupied(it) => {
                let it = it.into_mut();
                it.leases_expire_by = it.leases_expire_by.min(known.leases_expire_by);
                it.silent_since = [it.silent_since, known.silent_since].into_iter().flatten().min();
                it.poller = known.poller.or(it.poller.take());
                it
            }
        };
        let (worker, expire_by) = (it.worker.clone(), it.leases_expire_by);
        for (poller, leases_expire_by) in self.retired.get(&worker).cloned().unwrap_or_default() {
            self.count_retired(&worker, &poller, leases_expire_by);
        }
        self.workers.get(&worker).map_or(expire_by, |it| it.leases_expire_by)
    }

    /// Returns what the predecessor knew of the workers.
    pub(super) fn workers(&self) -> impl Iterator<Item = &WorkerHandover> {
        self.workers.values()
    }

    /// Sets the end for workers that were not polled in this term.
    pub(super) fn set_unfenced_expire_by(&mut self, time: Timestamp) {
        self.unfenced_expire_by = time;
    }

    /// Returns the end for workers that were not polled in this term, unless the
    /// predecessor has left an earlier one.
    pub(super) fn unfenced_expire_by(&self) -> Timestamp {
        self.unfenced_expire_by
    }

    /// Returns the end for a worker that is polled in this term.
    pub(super) fn expire_by(&self, worker: &WorkerId) -> Timestamp {
        self.worker(worker).map_or(self.expire_by, |it| it.leases_expire_by.min(self.expire_by))
    }

    /// Returns what the predecessor knew of a worker.
    pub(super) fn worker(&self, worker: &WorkerId) -> Option<&WorkerHandover> {
        self.workers.get(worker)
    }

    /// Records that a poller grants nothing more, and by when the leases have expired
    /// that it granted. Returns the end of all leases of earlier leaders on the
    /// worker; `None` unless that poller is known as the last. `is_earlier` tells
    /// whether it was one of an earlier term.
    pub(super) fn poller_retired(
        &mut self,
        worker: &WorkerId,
        poller: &PollerId,
        leases_expire_by: Timestamp,
        is_earlier: bool,
    ) -> Option<Timestamp> {
        if is_earlier {
            let reported = self.retired.entry(worker.clone()).or_default();
            reported.push((poller.clone(), leases_expire_by));
        }
        self.count_retired(worker, poller, leases_expire_by)
    }

    fn count_retired(
        &mut self,
        worker: &WorkerId,
        poller: &PollerId,
        leases_expire_by: Timestamp,
    ) -> Option<Timestamp> {
        let handed_over = self.workers.get_mut(worker)?;
        let last = handed_over.poller.take_if(|it| it.id == *poller)?;
        let end = last.other_leases_expire_by.max(leases_expire_by);
        handed_over.leases_expire_by = handed_over.leases_expire_by.min(end);
        Some(handed_over.leases_expire_by)
    }

    /// Takes the plan that was handed over for a worker.
    pub(super) fn take_plan(&mut self, worker: &WorkerId) -> Option<WorkerPlan> {
        self.workers.get_mut(worker)?.plan.take()
    }

    /// Drops the plans that were not taken: of a worker that is added later, more
    /// may have happened since.
    pub(super) fn drop_plans(&mut self) {
        self.workers.values_mut().for_each(|it| it.plan = None);
    }

    /// Returns since when a worker had not answered the predecessor.
    pub(super) fn silent_since(&self, worker: &WorkerId) -> Option<Timestamp> {
        self.worker(worker)?.silent_since
    }

    /// Returns until when what becomes of a worker may have to be awaited. One
    /// that the predecessor no longer recorded was unused for long.
    pub(super) fn undecided_until(&self, worker: &WorkerId) -> Timestamp {
        let is_forgotten = self.is_complete && !self.workers.contains_key(worker);
        if is_forgotten { Timestamp::default() } else { self.expire_by }
    }
}
