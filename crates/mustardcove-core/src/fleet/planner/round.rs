//! One placement round: the order in which waiting steps are tried, and the
//! workers on which each of them is.

use std::{
    borrow::Cow,
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use super::{
    DecisionKind, Planner,
    placement::{self, Obstacle},
    rank::{Rank, WaitingStep},
    reservations::MAX_RESERVE_TRIES,
    work::{Task, TriedRound, Work, WorkerIndex},
    workers::Worker,
};
use crate::{
    fleet::{
        id::{RunNumber, StepKey, TaskKey},
        submission::StepSpec,
    },
    time::Timestamp,
};

/// Time after the last start of a step from which it may use suspended workers
/// again, in milliseconds: its tasks have few attempts.
const SUSPENDED_START_INTERVAL_MS: u64 = 2_000;

/// A step that waits, with its rank.
pub(super) struct Candidate {
    pub(super) rank: Rank,
    pub(super) key: StepKey,
}

/// One placement round.
///
/// Demands for which no worker was found are remembered, and steps that need
/// at least as much of the same are skipped, so that a long backlog costs
/// little. A step that found no worker in an earlier round is tried only on
/// those that have changed since: a backlog of a hundred steps on a thousand
/// workers would otherwise cost 10 ms a round.
pub(super) struct Round<'a> {
    schedulable: &'a [WorkerIndex],
    /// The schedulable workers, those first that changed last.
    by_change: Vec<WorkerIndex>,
    /// The schedulable workers that are not reserved for a step.
    pub(super) unreserved: Vec<WorkerIndex>,
    /// Workers that accept no work only because their runs failed.
    suspended: Vec<WorkerIndex>,
    /// The pools of which under half of the capacity is in use.
    mostly_free: BTreeSet<String>,
    is_scarce: bool,
    /// How many more workers of each pool may be reserved.
    pub(super) reservable: BTreeMap<String, usize>,
    /// How many more steps may try to reserve workers.
    pub(super) reserve_tries: u32,
    unplaceable: Vec<(String, StepSpec)>,
}

impl Round<'_> {
    /// Returns the workers on which a step may start that has the workers
    /// `reserved` reserved for it.
    fn usable(&self, may_use_reserved: bool, reserved: &[WorkerIndex]) -> Cow<'_, [WorkerIndex]> {
        if may_use_reserved {
            Cow::Borrowed(self.schedulable)
        } else if reserved.is_empty() {
            Cow::Borrowed(&self.unreserved)
        } else {
            self.unreserved.iter().chain(reserved).copied().collect()
        }
    }

    fn is_unplaceable(&self, service: &str, step: &StepSpec) -> bool {
        let is_alike = |it: &StepSpec| {
            it.is_best_effort == step.is_best_effort
                && it.is_long_running == step.is_long_running
                && it.image == step.image
                && it.requirement == step.requirement
                && it.demand.fits_in(step.demand)
        };
        self.unplaceable.iter().any(|(of, it)| of == service && is_alike(it))
    }

    fn record_unplaceable(&mut self, service: &str, step: &StepSpec) {
        // A limit on tasks of one step does not restrict other steps.
        if step.max_per_worker.is_none() {
            self.unplaceable.push((service.to_owned(), step.clone()));
        }
    }
}

impl Planner {
    pub(super) fn place(&mut self, schedulable: &[WorkerIndex], now: Timestamp) {
        let mut candidates = self.candidates(now);
        candidates.sort_by_key(|it| it.rank);
        let mut round = self.begin_round(schedulable, now);
        for candidate in candidates {
            self.place_step(&candidate, &mut round, now);
        }
    }

    /// Drops reservations of steps that no longer wait, and begins a round.
    fn begin_round<'a>(&mut self, schedulable: &'a [WorkerIndex], now: Timestamp) -> Round<'a> {
        let mut reserved = self.reserved.clone();
        reserved.retain(|worker, key| {
            let waiting = self.waiting_step(*key);
            waiting.is_some_and(|it| it.rank(now).is_worthwhile())
                && schedulable.binary_search(worker).is_ok()
        });
        for worker in self.reserved.keys().filter(|it| !reserved.contains_key(it)) {
            self.workers[*worker].is_changed = true;
        }
        self.reserved = reserved;
        let by_change = self.begin_changes(schedulable);
        let is_free = |it: &WorkerIndex| !self.reserved.contains_key(it);
        let is_suspended = |it: &WorkerIndex| self.obstacle(*it, now) == Some(Obstacle::Suspended);
        let suspended: Vec<WorkerIndex> = (0..self.workers.len()).filter(is_suspended).collect();
        Round {
            schedulable,
            by_change,
            unreserved: schedulable.iter().copied().filter(is_free).collect(),
            mostly_free: self.mostly_free_pools(),
            suspended,
            is_scarce: placement::is_scarce(schedulable.iter().map(|it| &self.workers[*it])),
            reservable: self.reservable(schedulable),
            reserve_tries: MAX_RESERVE_TRIES,
            unplaceable: Vec::new(),
        }
    }

    /// Returns the pools of which under half of the capacity is in use.
    pub(super) fn mostly_free_pools(&self) -> BTreeSet<String> {
        let mut pools: BTreeMap<&str, Vec<&Worker>> = BTreeMap::new();
        for worker in self.workers.iter().filter(|it| it.is_room()) {
            pools.entry(&worker.listing.service).or_default().push(worker);
        }
        pools.retain(|_, it| placement::is_mostly_free(it.iter().copied()));
        pools.into_keys().map(str::to_owned).collect()
    }

    /// Numbers the round, dates the changes of workers since the last one, and
    /// returns the schedulable workers, those first that changed last.
    fn begin_changes(&mut self, schedulable: &[WorkerIndex]) -> Vec<WorkerIndex> {
        self.round += 1;
        let mut is_schedulable = vec![false; self.workers.len()];
        for index in schedulable {
            is_schedulable[*index] = true;
        }
        for (worker, is_schedulable) in self.workers.iter_mut().zip(is_schedulable) {
            let is_new = is_schedulable && !worker.was_schedulable;
            if std::mem::take(&mut worker.is_changed) || is_new {
                worker.changed_in = self.round;
            }
            worker.was_schedulable = is_schedulable;
        }
        let mut by_change = schedulable.to_vec();
        by_change.sort_unstable_by_key(|it| Reverse(self.workers[*it].changed_in));
        by_change
    }

    /// Returns the workers that have changed since a step was tried last, and
    /// that it may use; `None` if it has to be tried on all.
    fn changed_workers(
        &self,
        key: StepKey,
        spec: &StepSpec,
        may_use_reserved: bool,
        round: &Round<'_>,
    ) -> Option<Vec<WorkerIndex>> {
        let occurrence = self.work.get(&key.submission)?.occurrence(key.occurrence)?;
        let tried = occurrence.steps.get(usize::from(key.step))?.tried?;
        // The members of a gang have to fit together.
        if spec.is_gang || tried.may_use_reserved != may_use_reserved {
            return None;
        }
        let may_use = |it: &WorkerIndex| {
            may_use_reserved || self.reserved.get(it).is_none_or(|of| *of == key)
        };
        let changed = round.by_change.iter().copied();
        let changed = changed.take_while(|it| tried.round < self.workers[*it].changed_in);
        Some(changed.filter(may_use).collect())
    }

    /// Returns whether a worker could ever hold a task of a step, if that was found
    /// out for the present workers.
    fn is_possible(&self, work: &Work, key: StepKey) -> Option<bool> {
        let step = work.occurrence(key.occurrence)?.steps.get(usize::from(key.step))?;
        step.is_possible.filter(|it| it.0 == self.fleet_version).map(|it| it.1)
    }

    /// Finds out whether a step needs more than any worker of its pool has, or a
    /// label that none has. It is not tried again until the workers change.
    fn find_impossible(&mut self, key: StepKey, spec: &StepSpec, now: Timestamp) {
        let Some(work) = self.work.get(&key.submission) else { return };
        if self.is_possible(work, key).is_some() {
            return;
        }
        let needed = spec.allocation();
        let service = &work.queue.service;
        let can_hold = |it: &Worker| {
            it.is_listed
                && placement::is_eligible(it, spec, service)
                && needed.fits_in(it.listing.capacity)
        };
        let is_possible = self.workers.iter().any(can_hold);
        let workers = self.workers.iter().filter(|it| it.listing.service == *service).count();
        let waited_ms = now.ms_since(work.known_since);
        let inputs = format!(
            "step={key} cpu={} memory={} label={} workers={workers} waited_ms={waited_ms}",
            spec.demand.cpu,
            spec.demand.memory,
            spec.requirement.as_deref().unwrap_or("-"),
        );
        let version = self.fleet_version;
        let work = self.work.get_mut(&key.submission);
        let occurrence = work.and_then(|it| it.occurrence_mut(key.occurrence));
        if let Some(occurrence) = occurrence {
            occurrence.steps[usize::from(key.step)].is_possible = Some((version, is_possible));
        }
        if !is_possible {
            let submission = Some(key.submission);
            self.log_decision(DecisionKind::DemandImpossible, submission, None, || inputs);
        }
    }

    /// Records that tasks of a step found no worker in this round.
    fn record_tried(&mut self, key: StepKey, may_use_reserved: bool) {
        let round = self.round;
        let work = self.work.get_mut(&key.submission);
        let occurrence = work.and_then(|it| it.occurrence_mut(key.occurrence));
        if let Some(step) = occurrence.and_then(|it| it.steps.get_mut(usize::from(key.step))) {
            step.tried = Some(TriedRound { round, may_use_reserved });
        }
    }

    /// Returns the steps that wait, and drops those that do not.
    pub(super) fn candidates(&mut self, now: Timestamp) -> Vec<Candidate> {
        let waiting = std::mem::take(&mut self.waiting);
        let mut candidates = Vec::with_capacity(waiting.len());
        for key in waiting {
            if let Some(waiting) = self.waiting_step(key) {
                self.waiting.insert(key);
                if self.has_placeable(key) {
                    candidates.push(Candidate { rank: waiting.rank(now), key });
                }
            }
        }
        candidates
    }

    /// Returns whether a step has waiting tasks that are placed among others.
    pub(super) fn has_placeable(&self, key: StepKey) -> bool {
        let Some(work) = self.work.get(&key.submission) else { return false };
        let occurrence = work.occurrence(key.occurrence);
        let step = occurrence.and_then(|it| it.steps.get(usize::from(key.step)));
        if step.is_some_and(|it| it.is_possible == Some((self.fleet_version, false))) {
            return false;
        }
        let is_gang = work.submission.steps[usize::from(key.step)].is_gang;
        let is_placeable = |(i, it): (usize, &Task)| {
            let task = TaskKey { step: key, index: i as u16 };
            it.is_waiting() && (is_gang || self.is_placeable(task, &work.submission))
        };
        step.is_some_and(|it| it.tasks.iter().enumerate().any(is_placeable))
    }

    /// Returns what determines the rank of a step; `None` if none of its tasks
    /// waits.
    pub(super) fn waiting_step(&self, key: StepKey) -> Option<WaitingStep> {
        let occurrence = self.work.get(&key.submission)?.occurrence(key.occurrence)?;
        let step = occurrence.steps.get(usize::from(key.step))?;
        let is_waiting = step.is_ready && step.tasks.iter().any(|it| it.is_waiting());
        is_waiting.then(|| self.rank_inputs(key)).flatten()
    }

    /// Returns what would determine the rank of a step if its tasks waited.
    pub(super) fn rank_inputs(&self, key: StepKey) -> Option<WaitingStep> {
        let work = self.work.get(&key.submission)?;
        let occurrence = work.occurrence(key.occurrence)?;
        let step = occurrence.steps.get(usize::from(key.step))?;
        let spec = &work.submission.steps[usize::from(key.step)];
        Some(WaitingStep {
            key,
            priority: work.queue.priority,
            due_at: occurrence.due_at,
            slo_deadline: occurrence.slo_deadline,
            critical_path_ms: step.critical_path_ms,
            is_long_running: spec.is_long_running,
            may_have_run: !work.is_known_unstarted
                || step.tasks.iter().any(|it| it.is_waiting() && it.last_run != RunNumber(0)),
            is_new: !work.is_begun,
            overload: self.loads.overload(work, spec),
        })
    }

    fn place_step(&mut self, candidate: &Candidate, round: &mut Round<'_>, now: Timestamp) {
        let key = candidate.key;
        let Some(work) = self.work.get(&key.submission) else { return };
        let submission = work.submission.clone();
        let spec = &submission.steps[usize::from(key.step)];
        let needs_ticket = work.queue.needs_ticket;
        let may_reserve = !spec.is_best_effort
            && !spec.is_long_running
            && !needs_ticket
            && candidate.rank.is_worthwhile();
        let reserved = if may_reserve { self.reserved_for(key) } else { Vec::new() };
        let is_overdue = self.is_overdue(key, now);
        let may_use_reserved = self.may_use_reserved(spec, candidate.rank, is_overdue);
        // Long-running work has to run however full the pool is.
        let may_use_suspended = (round.mostly_free.contains(&work.queue.service)
            || spec.is_long_running)
            && !round.suspended.is_empty()
            && is_overdue;
        // What fits nowhere was recorded by steps that may use fewer workers.
        let may_use_more = may_use_suspended || (spec.is_long_running && is_overdue);
        let may_skip = !needs_ticket && !may_use_more && reserved.is_empty();
        if may_skip && round.is_unplaceable(&work.queue.service, spec) {
            if self.is_possible(work, key).is_none() {
                self.find_impossible(key, spec, now);
            }
            let Some(work) = self.work.get(&key.submission) else { return };
            if may_reserve {
                let service = work.queue.service.clone();
                let tasks =
                    work.occurrence(key.occurrence).map_or(0, |it| it.waiting_tasks(key.step));
                self.reserve(key, &service, spec, tasks, round);
            }
            return;
        }
        let Some(mut pending) = self.pending_tasks(key, round.is_scarce, now) else { return };
        pending.may_use_suspended = may_use_suspended;
        let changed = (!needs_ticket && !may_use_suspended)
            .then(|| self.changed_workers(key, spec, may_use_reserved, round))
            .flatten();
        let schedulable = match changed {
            Some(changed) => Cow::Owned(changed),
            None => round.usable(may_use_reserved, &reserved),
        };
        let suspended: &[WorkerIndex] = if may_use_suspended { &round.suspended } else { &[] };
        let waiting = pending.tasks.len();
        let mut chosen = self.allocate_tasks(&mut pending, spec, &schedulable, suspended, now);
        // What a gang's own members take is free again for others.
        let fits_nowhere = if spec.is_gang { chosen.is_empty() } else { chosen.len() < waiting };
        if fits_nowhere && !pending.needs_ticket {
            round.record_unplaceable(&pending.service, spec);
            if chosen.is_empty() {
                self.find_impossible(key, spec, now);
            }
            self.record_tried(key, may_use_reserved);
        }
        let unplaced = waiting - chosen.len();
        if spec.is_gang && 0 < unplaced {
            self.release_tasks(key, &mut chosen);
        }
        if 0 < unplaced && may_reserve {
            self.reserve(
                key,
                &pending.service,
                spec,
                unplaced - reserved.len().min(unplaced),
                round,
            );
        }
        if !chosen.is_empty() {
            self.start(&submission, &pending, &chosen, now);
        }
    }

    /// Returns whether a step, or a long-running task of it, has had no run for
    /// so long that it may use suspended workers if no others have capacity for
    /// it.
    pub(super) fn is_overdue(&self, key: StepKey, now: Timestamp) -> bool {
        let work = self.work.get(&key.submission);
        let occurrence = work.and_then(|it| it.occurrence(key.occurrence));
        let step = occurrence.and_then(|it| it.steps.get(usize::from(key.step)));
        let is_waiting =
            self.blocked.is_blocked(key.submission, now) || self.waits.has_overdue(key, now);
        is_waiting
            && step.is_some_and(|it| SUSPENDED_START_INTERVAL_MS <= now.ms_since(it.started_at))
    }
}
