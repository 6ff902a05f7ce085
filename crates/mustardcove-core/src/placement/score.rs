//! Scores by which the learned policy and the oracle choose a worker.
//!
//! A score is the time lost per unit of time, weighted by class, plus small
//! terms for fit, spread and reliability. The worker with the lowest score is
//! chosen.

use crate::{
    class::{ClassIndex, ClassKind, ClassTable},
    interference::{InterferenceTable, LoadLevel, SlowdownTable},
    placement::{
        PlacementRequest, WorkerIndex, WorkerView,
        columns::{Columns, Needs},
        losses::LossCache,
        spread::SpreadIndex,
    },
    size::{Millicores, Resources},
    time::Timestamp,
};

/// Weight of the share of a worker that stays free in the scarcest dimension.
pub(super) const FIT_WEIGHT: f32 = 0.1;

/// Weight of the imbalance between free processors and free memory, which
/// strands capacity that no task can use.
pub(super) const STRANDING_WEIGHT: f32 = 0.05;

/// Weight of the share of a worker's free accelerators, for a task that uses
/// none and may block them.
pub(super) const ACCELERATOR_WEIGHT: f32 = 0.5;

/// Weight of the crowding in a rack and failure domain.
pub(super) const SPREAD_WEIGHT: f32 = 0.2;

/// Weight of a worker's unreliability: work that fails there has to be
/// repeated.
pub(super) const UNRELIABILITY_WEIGHT: f32 = 4.0;

/// Penalty of a worker to be avoided, so that any other worker is preferred.
const AVOIDED_PENALTY: f32 = 1.0e6;

/// Excess slowdown from which a class counts as interfering with another. It
/// is above the prior, so that pairs that were never measured do not count.
const INTERFERING_EXCESS: f64 = 0.05;

/// A task may wait for a better worker for its expected run time, but for at
/// least this time, in milliseconds. The wait is bounded because a task that
/// interferes with a resident of every worker gains nothing by waiting longer
/// and would stay queued on an idle fleet.
const MIN_WAIT_BOUND_MS: u64 = 30_000;

/// Most workers that one exploring choice considers; looking up the number of
/// samples of every pair is too slow for more.
const MAX_EXPLORED_WORKERS: usize = 16;

/// Most workers whose losses one choice recomputes because the slowdown table
/// has changed; it bounds the time of a choice.
const MAX_STALE_PER_CHOICE: usize = 6;

/// Most workers whose missing losses one choice computes; the others are left
/// for later choices. The limit applies once a worker is found that need not be
/// avoided.
const MAX_MISSING_PER_CHOICE: usize = 24;

/// Workers whose losses each choice refreshes in turn, so that no loss stays
/// based on an old slowdown table for long.
const REFRESHED_PER_CHOICE: usize = 3;

/// Reports whether a class is latency-critical: a service, or a class with a
/// latency target.
pub(crate) fn is_latency_critical(classes: &ClassTable, class: ClassIndex) -> bool {
    let class = classes.get(class);
    class.kind == ClassKind::Service || class.latency_target_ms != 0
}

/// Scores workers; its buffers are reused between choices.
#[derive(Clone, Debug, Default)]
pub(super) struct Scorer {
    losses: LossCache,
    columns: Columns,
    spread: SpreadIndex,
    /// The worker whose losses were refreshed last.
    cursor: WorkerIndex,
}

impl Scorer {
    /// Returns the best worker with room, or `None` if none has room or if it
    /// is better to keep the task waiting.
    ///
    /// A task that is not urgent is kept waiting for a limited time if it is
    /// known to interfere with others and they would lose more than the task
    /// gains in progress. `generation` changes whenever `table` does.
    pub(super) fn best_worker(
        &mut self,
        now: Timestamp,
        table: &SlowdownTable,
        generation: u32,
        classes: &ClassTable,
        request: &PlacementRequest,
        workers: &[WorkerView],
    ) -> Option<WorkerIndex> {
        self.spread.recount_if_changed(classes, workers, self.cursor);
        self.losses.prepare(classes, workers.len(), generation);
        self.refresh_next(table, workers, REFRESHED_PER_CHOICE);
        self.spread.select(request);
        let losses = &mut self.losses;
        self.columns.resize(workers.len());
        self.columns.update(workers, &self.spread, |index| losses.invalidate(index));
        let needs = Needs::of(request);
        let by_level = LoadLevel::ALL.map(|it| self.losses.column(request.class, it));
        self.columns.score_all(needs, by_level);
        let mut stale_count = 0;
        let mut missing_count = 0;
        let mut best = None;
        let mut best_score = f32::INFINITY;
        for (index, view) in workers.iter().enumerate() {
            if best_score <= self.columns.score(index) || !has_room(view, request) {
                continue;
            }
            let level = level_with(view, request.resources);
            let computed = self.losses.is_computed(index, level);
            if !computed && MAX_MISSING_PER_CHOICE <= missing_count && best_score < AVOIDED_PENALTY
            {
                continue;
            }
            missing_count += usize::from(!computed);
            let may_recompute = stale_count < MAX_STALE_PER_CHOICE;
            if !computed || (may_recompute && !self.losses.is_up_to_date(index, view, level)) {
                stale_count += usize::from(computed);
                self.losses.recompute(table, index, view, level);
                let loss = self.losses.loss(index, level, request.class);
                self.columns.rescore(index, needs, loss);
            }
            let penalty = if is_avoided(view, request) { AVOIDED_PENALTY } else { 0.0 };
            let score = self.columns.score(index) + penalty;
            if score < best_score {
                best_score = score;
                best = Some(index);
            }
        }
        let index = best?;
        let level = level_with(&workers[index], request.resources);
        let best_loss = self.losses.loss(index, level, request.class);
        let tolerated_loss =
            tolerated_loss_ratio(now, request) * self.losses.uncontended_progress(request.class);
        let wait_bound_ms = request.expected_run_ms.max(MIN_WAIT_BOUND_MS);
        let may_wait = !request.urgent && now.ms_since(request.queued_since) < wait_bound_ms;
        if may_wait && tolerated_loss < best_loss && interferes(table, request, &workers[index]) {
            return None;
        }
        self.spread.add(request, index);
        Some(index)
    }

    /// Returns the worker with room where the slowdowns between the request's
    /// class and the residents are least certain, or `None` if there is none.
    ///
    /// Workers with a latency-critical class with which the request's class is
    /// known to interfere are left out.
    pub(super) fn explore(
        &mut self,
        table: &InterferenceTable,
        classes: &ClassTable,
        request: &PlacementRequest,
        workers: &[WorkerView],
    ) -> Option<WorkerIndex> {
        let mut best = None;
        let mut best_uncertainty = 0.0;
        // The cursor advances with every choice, so that all workers are
        // considered in turn.
        let start = self.cursor.min(workers.len());
        let candidates = workers.iter().enumerate().cycle().skip(start);
        for (index, view) in candidates.take(MAX_EXPLORED_WORKERS.min(workers.len())) {
            let eligible = has_room(view, request) && !is_avoided(view, request);
            if !eligible
                || interferes_with_latency_critical(table.slowdowns(), classes, request, view)
            {
                continue;
            }
            let level = level_with(view, request.resources);
            let uncertainty =
                view.reliability as f32 * uncertainty(table, level, request.class, view);
            if best_uncertainty < uncertainty {
                best_uncertainty = uncertainty;
                best = Some(index);
            }
        }
        if let Some(index) = best {
            self.spread.add(request, index);
        }
        best
    }

    /// Refreshes the task counts and the losses of all workers.
    pub(super) fn refresh(
        &mut self,
        now: Timestamp,
        table: &SlowdownTable,
        generation: u32,
        classes: &ClassTable,
        workers: &[WorkerView],
    ) {
        self.spread.refresh(now, classes, workers);
        self.losses.prepare(classes, workers.len(), generation);
        self.refresh_next(table, workers, workers.len());
    }

    /// Refreshes the losses of the next `count` workers.
    fn refresh_next(&mut self, table: &SlowdownTable, workers: &[WorkerView], count: usize) {
        for _ in 0..count.min(workers.len()) {
            self.cursor = (self.cursor + 1) % workers.len();
            let view = &workers[self.cursor];
            let level = LoadLevel::of(view.committed.cpu, view.capacity.cpu);
            if !self.losses.is_up_to_date(self.cursor, view, level) {
                self.losses.recompute(table, self.cursor, view, level);
            }
        }
    }
}

/// Returns how much others may lose by a task, relative to its own progress.
///
/// The factor grows while the task waits, so that no task waits for ever.
fn tolerated_loss_ratio(now: Timestamp, request: &PlacementRequest) -> f32 {
    let waited = now.ms_since(request.queued_since) as f32;
    let run = request.expected_run_ms.max(MIN_WAIT_BOUND_MS) as f32;
    1.0 + waited / run
}

/// Reports whether a request's class is known to interfere with any class on a
/// worker.
fn interferes(table: &SlowdownTable, request: &PlacementRequest, view: &WorkerView) -> bool {
    let level = level_with(view, request.resources);
    let mut residents = view.residents.iter();
    residents.any(|&(class, _)| INTERFERING_EXCESS < table.excess(level, class, request.class))
}

/// Reports whether the request's class is known to interfere with a
/// latency-critical class on a worker, at any load level, because the level
/// may rise later.
fn interferes_with_latency_critical(
    table: &SlowdownTable,
    classes: &ClassTable,
    request: &PlacementRequest,
    view: &WorkerView,
) -> bool {
    view.residents.iter().any(|&(class, count)| {
        let interferes = |level| INTERFERING_EXCESS < table.excess(level, class, request.class);
        count != 0
            && is_latency_critical(classes, class)
            && LoadLevel::ALL.into_iter().any(interferes)
    })
}

/// Returns the uncertainty of the slowdowns between a class and the residents
/// of a worker, which falls with the number of samples.
fn uncertainty(
    table: &InterferenceTable,
    level: LoadLevel,
    class: ClassIndex,
    view: &WorkerView,
) -> f32 {
    let residents = view.residents.iter();
    let uncertainty = residents.map(|&(resident, _)| {
        1.0 / (1.0 + table.sample_weight(level, resident, class))
            + 1.0 / (1.0 + table.sample_weight(level, class, resident))
    });
    uncertainty.sum()
}

/// Reports whether a worker accepts a request and has room for it.
pub(super) fn has_room(view: &WorkerView, request: &PlacementRequest) -> bool {
    view.accepting && request.resources.fits_in(view.free())
}

/// Reports whether a request names a worker as one to be avoided.
pub(super) fn is_avoided(view: &WorkerView, request: &PlacementRequest) -> bool {
    !request.avoid_workers.is_empty() && request.avoid_workers.contains(&view.id)
}

/// Returns the load level of a worker with `added` committed in addition.
fn level_with(view: &WorkerView, added: Resources) -> LoadLevel {
    let committed = Millicores(view.committed.cpu.0.saturating_add(added.cpu.0));
    LoadLevel::of(committed, view.capacity.cpu)
}

/// Returns `part / whole`; zero if `whole` is zero.
pub(super) fn share(part: u64, whole: u64) -> f32 {
    if whole == 0 { 0.0 } else { part as f32 / whole as f32 }
}
