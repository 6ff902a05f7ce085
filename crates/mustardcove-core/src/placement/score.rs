//! The score by which the learned policy and the oracle choose a worker.
//!
//! A score is time lost per time passed, weighted by class, plus small terms
//! for fit, spread and distrust; the lowest wins.

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

/// Weight of free accelerators that a task without accelerators blocks.
pub(super) const ACCELERATOR_WEIGHT: f32 = 0.5;

/// Weight of the crowding in a rack and failure domain.
pub(super) const SPREAD_WEIGHT: f32 = 0.2;

/// Weight of missing trust: work on a worker that fails is done again.
pub(super) const DISTRUST_WEIGHT: f32 = 4.0;

/// Added for workers to be avoided, so that any other worker wins.
const AVOIDED: f32 = 1.0e6;

/// Excess from which a class is known to hurt another; above the prior, so that
/// what was never measured is not held against a class.
const KNOWN_HARM: f64 = 0.05;

/// Run time by which the patience of short tasks is counted at least, in
/// milliseconds. A task waits for a better place for as long as it runs, and at
/// least for this time; where every worker holds what it hurts, a longer wait
/// gains nothing, and accepted work would stay queued on an idle fleet.
const MIN_PATIENCE_MS: u64 = 30_000;

/// Most workers among which one choice explores; looking at how much is known
/// of every pair is too slow for more.
const EXPLORED_WORKERS: usize = 16;

/// Most workers whose figures one choice computes anew because the table has
/// changed; it bounds the time of a choice.
const RENEWALS_PER_CHOICE: usize = 6;

/// Most workers whose figures one choice computes because they are missing. The
/// others are left for the next choices, once a worker that need not be avoided
/// is found.
const UNKNOWN_PER_CHOICE: usize = 24;

/// Workers whose figures each choice brings up to date in turn, so that no
/// figure rests on an old table for long.
const ROTATION_PER_CHOICE: usize = 3;

/// Reports whether the work of a class is held to a latency target.
pub(crate) fn is_latency_critical(classes: &ClassTable, class: ClassIndex) -> bool {
    let class = classes.get(class);
    class.kind == ClassKind::Service || class.latency_target_ms != 0
}

/// Scores workers; its buffers are kept between choices.
#[derive(Clone, Debug, Default)]
pub(super) struct Scorer {
    losses: LossCache,
    columns: Columns,
    spread: SpreadIndex,
    /// The worker whose figures are brought up to date next.
    cursor: WorkerIndex,
}

impl Scorer {
    /// Returns the best worker with room, or `None` if none has room or if the
    /// task had better wait.
    ///
    /// A task that is not urgent waits for a limited time if it is known to hurt
    /// others and they would lose more than the task gets done. `generation` changes whenever
    /// `table` does.
    pub(super) fn best(
        &mut self,
        now: Timestamp,
        table: &SlowdownTable,
        generation: u32,
        classes: &ClassTable,
        request: &PlacementRequest,
        workers: &[WorkerView],
    ) -> Option<WorkerIndex> {
        self.spread.follow(classes, workers, self.cursor);
        self.losses.prepare(classes, workers.len(), generation);
        self.rotate(table, workers, ROTATION_PER_CHOICE);
        self.spread.select(request);
        let losses = &mut self.losses;
        self.columns.resize(workers.len());
        self.columns.follow(workers, &self.spread, |index| losses.forget(index));
        let needs = Needs::of(request);
        let by_level = LoadLevel::ALL.map(|it| self.losses.column(request.class, it));
        self.columns.score_all(needs, by_level);
        let mut renewals = 0;
        let mut computed = 0;
        let mut best = None;
        let mut best_score = f32::INFINITY;
        for (index, view) in workers.iter().enumerate() {
            if best_score <= self.columns.score(index) || !has_room(view, request) {
                continue;
            }
            let level = level_with(view, request.resources);
            let known = self.losses.is_known(index, level);
            if !known && UNKNOWN_PER_CHOICE <= computed && best_score < AVOIDED {
                continue;
            }
            computed += usize::from(!known);
            let renewable = renewals < RENEWALS_PER_CHOICE;
            if !known || (renewable && !self.losses.is_current(index, view, level)) {
                renewals += usize::from(known);
                self.losses.renew(table, index, view, level);
                let loss = self.losses.loss(index, level, request.class);
                self.columns.rescore(index, needs, loss);
            }
            let avoided = if is_avoided(view, request) { AVOIDED } else { 0.0 };
            let score = self.columns.score(index) + avoided;
            if score < best_score {
                best_score = score;
                best = Some(index);
            }
        }
        let index = best?;
        let level = level_with(&workers[index], request.resources);
        let best_loss = self.losses.loss(index, level, request.class);
        let patience = patience(now, request) * self.losses.worth(request.class);
        let longest = request.expected_run_ms.max(MIN_PATIENCE_MS);
        let may_wait = !request.urgent && now.ms_since(request.queued_since) < longest;
        if may_wait && patience < best_loss && hurts(table, request, &workers[index]) {
            return None;
        }
        self.spread.add(request, index);
        Some(index)
    }

    /// Returns a worker with room where most is to be learned, or `None` if
    /// every worker holds a latency-critical class that the request's class is
    /// known to hurt.
    pub(super) fn most_unknown(
        &mut self,
        table: &InterferenceTable,
        classes: &ClassTable,
        request: &PlacementRequest,
        workers: &[WorkerView],
    ) -> Option<WorkerIndex> {
        let mut best = None;
        let mut best_unknown = 0.0;
        // The cursor moves on with every choice, so that all get their turn.
        let start = self.cursor.min(workers.len());
        let in_turn = workers.iter().enumerate().cycle().skip(start);
        for (index, view) in in_turn.take(EXPLORED_WORKERS.min(workers.len())) {
            let open = has_room(view, request) && !is_avoided(view, request);
            if !open || hurts_service(table.slowdowns(), classes, request, view) {
                continue;
            }
            let level = level_with(view, request.resources);
            let unknown = view.trust as f32 * unknown(table, level, request.class, view);
            if best_unknown < unknown {
                best_unknown = unknown;
                best = Some(index);
            }
        }
        if let Some(index) = best {
            self.spread.add(request, index);
        }
        best
    }

    /// Brings counts of tasks and figures of workers up to date.
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
        self.rotate(table, workers, workers.len());
    }

    /// Brings the figures of the next `count` workers up to date.
    fn rotate(&mut self, table: &SlowdownTable, workers: &[WorkerView], count: usize) {
        for _ in 0..count.min(workers.len()) {
            self.cursor = (self.cursor + 1) % workers.len();
            let view = &workers[self.cursor];
            let level = LoadLevel::of(view.committed.cpu, view.capacity.cpu);
            if !self.losses.is_current(self.cursor, view, level) {
                self.losses.renew(table, self.cursor, view, level);
            }
        }
    }
}

/// Returns how much others may lose by a task, relative to what it gets done.
///
/// The share grows while the task waits, so that no task waits for ever.
fn patience(now: Timestamp, request: &PlacementRequest) -> f32 {
    let waited = now.ms_since(request.queued_since) as f32;
    let run = request.expected_run_ms.max(MIN_PATIENCE_MS) as f32;
    1.0 + waited / run
}

/// Reports whether a request's class is known to hurt any class on a worker.
fn hurts(table: &SlowdownTable, request: &PlacementRequest, view: &WorkerView) -> bool {
    let level = level_with(view, request.resources);
    let mut residents = view.residents.iter();
    residents.any(|&(class, _)| KNOWN_HARM < table.excess(level, class, request.class))
}

/// Reports whether the request's class is known to hurt a latency-critical
/// class on a worker, at any load level, because the level may rise later.
fn hurts_service(
    table: &SlowdownTable,
    classes: &ClassTable,
    request: &PlacementRequest,
    view: &WorkerView,
) -> bool {
    view.residents.iter().any(|&(class, count)| {
        let hurts = |level| KNOWN_HARM < table.excess(level, class, request.class);
        count != 0 && is_latency_critical(classes, class) && LoadLevel::ALL.into_iter().any(hurts)
    })
}

/// Returns how little is known of a class next to the residents of a worker.
fn unknown(
    table: &InterferenceTable,
    level: LoadLevel,
    class: ClassIndex,
    view: &WorkerView,
) -> f32 {
    let residents = view.residents.iter();
    let unknown = residents.map(|&(resident, _)| {
        1.0 / (1.0 + table.sample_weight(level, resident, class))
            + 1.0 / (1.0 + table.sample_weight(level, class, resident))
    });
    unknown.sum()
}

/// Reports whether a worker accepts a request and has room for it.
pub(super) fn has_room(view: &WorkerView, request: &PlacementRequest) -> bool {
    view.accepting && request.resources.fits_in(view.free())
}

/// Reports whether a request names a worker as one to be avoided.
pub(super) fn is_avoided(view: &WorkerView, request: &PlacementRequest) -> bool {
    !request.avoid.is_empty() && request.avoid.contains(&view.id)
}

/// Returns the load level of a worker with more committed.
fn level_with(view: &WorkerView, added: Resources) -> LoadLevel {
    let committed = Millicores(view.committed.cpu.0.saturating_add(added.cpu.0));
    LoadLevel::of(committed, view.capacity.cpu)
}

/// Returns a part as a share of a whole; zero if there is none.
pub(super) fn share(part: u64, whole: u64) -> f32 {
    if whole == 0 { 0.0 } else { part as f32 / whole as f32 }
}
