//! Workers as the planner tracks them.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
};

use super::{interference::ImageId, pace::Serving, trust::Trust};
use crate::{
    fleet::id::{EndNumber, Incarnation, RunNumber, TaskKey},
    id::{FailureDomainId, WorkerId},
    size::Resources,
    time::Timestamp,
};

/// A worker as service discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// The worker.
    pub worker: WorkerId,
    /// The pool that it belongs to.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// What it can hold.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
    /// Whether it is leaving and takes no new work.
    pub is_draining: bool,
    /// When this life of it began.
    pub incarnation: Incarnation,
}

/// A run that takes capacity of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Charged {
    pub(super) run: RunNumber,
    pub(super) charge: Resources,
    /// Processor demand, whether or not it is counted against the capacity.
    pub(super) cpu: u64,
    pub(super) kind: ChargeKind,
    /// What it runs, if its step says so.
    pub(super) image: Option<ImageId>,
    /// Bound on its tail latency, in milliseconds, if it serves.
    pub(super) tail_target_ms: Option<u32>,
    /// What the last look showed; see
    /// [`RunningTask`](crate::fleet::message::RunningTask).
    pub(super) measurement: u32,
    /// The share of time at which it works, in percent.
    pub(super) pace: u8,
    /// When the pace was last changed.
    pub(super) paced_at: Timestamp,
    /// Since when its tail has been over its target in every look.
    pub(super) over_since: Option<Timestamp>,
    /// By how much its utilisation exceeds, as a factor, what is learned of
    /// its neighbours; smoothed over looks.
    pub(super) unexplained: f32,
}

/// How a run uses the processor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChargeKind {
    /// It serves users of its own and rarely uses all that it asked for.
    Serves,
    /// It uses what it asked for.
    Computes,
    /// It uses what others leave.
    Fills,
}

/// A worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) listing: WorkerListing,
    /// Whether service discovery lists it now.
    pub(super) is_listed: bool,
    /// The life that the runs belong to; none before the first look.
    pub(super) incarnation: Option<Incarnation>,
    /// When the last look was answered.
    pub(super) looked_at: Option<Timestamp>,
    pub(super) is_silent: bool,
    /// When everything that runs there has ended unless it answers again.
    pub(super) leases_expire_by: Timestamp,
    /// When every lease has ended that an ordered start may still begin, or
    /// that a process which no longer calls the worker may have granted.
    pub(super) ordered_leases_expire_by: Timestamp,
    /// The answers to its caller that are known here; while there are none,
    /// the caller lengthens no lease.
    pub(super) responsive_since: Option<Timestamp>,
    pub(super) charged: BTreeMap<TaskKey, Charged>,
    pub(super) used: Resources,
    /// Processor demand of runs that fill.
    pub(super) fill_cpu: u64,
    /// Processor demand of runs that serve users.
    pub(super) serving_cpu: u64,
    /// The last end that was taken into account.
    pub(super) seen_end: EndNumber,
    /// Ends that may not be forgotten yet, with the change that must be
    /// stored first.
    pub(super) unstored_ends: VecDeque<(EndNumber, u64)>,
    pub(super) forgotten: EndNumber,
    /// No start before this time, because one was refused for want of room.
    pub(super) full_until: Timestamp,
    /// Processor time that serving tasks were last seen to use, in
    /// millicores.
    pub(super) serving_use: u64,
    pub(super) trust: Trust,
    /// The serving tasks here, as they were when the worker was last looked at
    /// or given a task.
    pub(super) serving: Vec<Serving>,
}

impl Worker {
    /// Returns a worker on which leases of earlier terms may last until
    /// `earlier_leases_expire_by`.
    pub(super) fn new(listing: WorkerListing, earlier_leases_expire_by: Timestamp) -> Worker {
        Worker {
            listing,
            is_listed: true,
            incarnation: None,
            looked_at: None,
            is_silent: false,
            leases_expire_by: Timestamp::default(),
            ordered_leases_expire_by: earlier_leases_expire_by,
            responsive_since: None,
            charged: BTreeMap::new(),
            used: Resources::ZERO,
            fill_cpu: 0,
            serving_cpu: 0,
            seen_end: EndNumber::default(),
            unstored_ends: VecDeque::new(),
            forgotten: EndNumber::default(),
            full_until: Timestamp::default(),
            serving_use: 0,
            trust: Trust::default(),
            serving: Vec::new(),
        }
    }

    /// Takes capacity for a run.
    pub(super) fn charge(&mut self, task: TaskKey, charged: Charged) {
        self.release(task);
        self.used = self.used.saturating_add(charged.charge);
        match charged.kind {
            ChargeKind::Fills => self.fill_cpu += charged.cpu,
            ChargeKind::Serves => {
                self.serving_cpu += charged.cpu;
                self.serving_use += charged.cpu / 2;
            }
            ChargeKind::Computes => {}
        }
        self.charged.insert(task, charged);
    }

    /// Gives back what a task takes.
    pub(super) fn release(&mut self, task: TaskKey) {
        let Some(charged) = self.charged.remove(&task) else { return };
        self.used = self.used.saturating_sub(charged.charge);
        match charged.kind {
            ChargeKind::Fills => self.fill_cpu -= charged.cpu,
            ChargeKind::Serves => {
                self.serving_cpu -= charged.cpu;
                // What it really used is known only with the next look.
                self.serving_use = self.serving_use.saturating_sub(charged.cpu / 2);
            }
            ChargeKind::Computes => {}
        }
    }

    /// Begins a new life, in which nothing is known to run.
    pub(super) fn reborn(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.seen_end = EndNumber::default();
        self.forgotten = EndNumber::default();
        self.unstored_ends.clear();
        self.full_until = Timestamp::default();
        self.serving_use = 0;
        self.trust = Trust::default();
    }

    /// Notes that its caller is lost, which may have lengthened leases until
    /// `leases_expire_by` if its answers were known here.
    pub(super) fn poller_lost(&mut self, leases_expire_by: Timestamp) {
        if self.responsive_since.take().is_some() {
            self.ordered_leases_expire_by = self.ordered_leases_expire_by.max(leases_expire_by);
        }
    }

    /// Returns when everything that runs there has ended unless the worker
    /// answers again.
    pub(super) fn runs_expire_by(&self) -> Timestamp {
        self.leases_expire_by.max(self.ordered_leases_expire_by)
    }

    pub(super) fn free(&self) -> Resources {
        self.listing.capacity.saturating_sub(self.used)
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.listing.labels.iter().any(|it| it == label)
    }
}
