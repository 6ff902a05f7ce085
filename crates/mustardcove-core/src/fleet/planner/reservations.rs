//! Reservations of workers for large tasks that fit on none now.

use std::{cmp::Reverse, collections::BTreeMap};

use super::{Planner, placement, rank::Rank, round::Round, work::WorkerIndex};
use crate::fleet::{id::StepKey, submission::StepSpec};

/// Share of a pool's schedulable workers that may be reserved for tasks that fit on
/// no worker now, in percent and rounded up: a burst of large tasks finds
/// capacity, and most work goes on.
const MAX_RESERVED_PERCENT: usize = 15;
/// Steps that may try to reserve workers in one round, so that a long backlog
/// costs little.
pub(super) const MAX_RESERVE_TRIES: u32 = 40;

impl Planner {
    /// Returns how many more workers of each pool may be reserved.
    pub(super) fn reservable(&self, schedulable: &[WorkerIndex]) -> BTreeMap<String, usize> {
        let mut pools: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for index in schedulable {
            let pool = pools.entry(&self.workers[*index].listing.service).or_default();
            pool.0 += 1;
            pool.1 += usize::from(self.reserved.contains_key(index));
        }
        let reservable = |(service, (workers, reserved)): (&str, (usize, usize))| {
            let most = (workers * MAX_RESERVED_PERCENT).div_ceil(100);
            (service.to_owned(), most.saturating_sub(reserved))
        };
        pools.into_iter().map(reservable).collect()
    }

    /// Returns whether a step may use workers that are reserved for others. Users
    /// accept no longer wait of a long-running task beside free capacity,
    /// whatever the capacity is kept for.
    pub(super) fn may_use_reserved(&self, spec: &StepSpec, rank: Rank, is_overdue: bool) -> bool {
        spec.is_best_effort
            || rank.may_use_reserved(spec.is_long_running)
            || (spec.is_long_running && is_overdue)
    }

    pub(super) fn reserved_for(&self, key: StepKey) -> Vec<WorkerIndex> {
        self.reserved.iter().filter(|it| *it.1 == key).map(|it| *it.0).collect()
    }

    /// Reserves workers for the tasks of a step that fit on no worker now: one
    /// for each task, or for a gang as many as it has members or none.
    ///
    /// Under load, small tasks fill every gap before it is large enough for a
    /// large task. Until the step is placed, only best-effort work and
    /// long-running work that ran before starts on the reserved workers.
    pub(super) fn reserve(
        &mut self,
        key: StepKey,
        service: &str,
        spec: &StepSpec,
        tasks: usize,
        round: &mut Round<'_>,
    ) {
        let members = usize::from(spec.count);
        let Some(reservable) = round.reservable.get_mut(service) else { return };
        let count = if spec.is_gang { members } else { tasks.min(*reservable) };
        if *reservable < count || count == 0 || round.reserve_tries == 0 {
            return;
        }
        round.reserve_tries -= 1;
        let needed = spec.allocation();
        let is_suited = |it: &WorkerIndex| {
            let worker = &self.workers[*it];
            // A gap that a single end leaves need not be reserved.
            let needs_reservation =
                spec.is_gang || !needed.fits_in(placement::capacity_after_largest(worker));
            let fits_soon = needed.fits_in(placement::capacity_after_batch(worker));
            placement::is_eligible(worker, spec, service) && needs_reservation && fits_soon
        };
        let mut reserved: Vec<WorkerIndex> =
            round.unreserved.iter().copied().filter(is_suited).collect();
        if spec.is_gang && reserved.len() < count {
            return;
        }
        // The task fits soonest where the most capacity is free already.
        reserved.sort_by_key(|it| Reverse(self.workers[*it].free().cpu));
        reserved.truncate(count);
        *reservable -= reserved.len();
        round.unreserved.retain(|it| !reserved.contains(it));
        self.reserved.extend(reserved.into_iter().map(|it| (it, key)));
    }
}
