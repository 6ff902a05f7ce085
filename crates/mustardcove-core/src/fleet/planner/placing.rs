//! The choice of a worker for a task.
//!
//! Work that counts against capacity is spread over the emptiest workers,
//! because neighbours slow each other down by more than their sizes say. Tasks
//! that serve users share a worker with those of their own image, so that fewer
//! images stand beside each other and more fills disturb none of them. Once
//! most of the room is taken, work that ends goes where it leaves the smallest
//! hole, so that large tasks find room too.
//!
//! Work that fills goes where most processor time is left over, and waits
//! where nothing is left: started there it would only slow down others that
//! fill without ending any of them earlier.

use super::{
    interference::{ImageId, InterferenceModel},
    workers::{ChargeKind, Charged, Worker},
};
use crate::{fleet::submission::StepSpec, size::Resources, time::Timestamp};

/// Share of its demand that must be left over for a task that fills, in
/// percent: with less it runs slower than it could by waiting.
const FILL_ROOM_PERCENT: i64 = 60;
/// A worker that has not been heard of for this long takes no new work, in
/// milliseconds: three times the usual pause between two looks.
pub(super) const MAX_LOOK_AGE_MS: u64 = 3_000;
/// Score that a worker loses by being slower for this task (rack, last
/// failure), above any difference in load.
const MISFIT: i64 = 1_000_000;
/// Score that a worker loses for each serving task of another image, in
/// millicores of free room: a quarter of a large worker. A fill is shut out
/// where it disturbs any of the images, so few of them leave more room.
const OTHER_IMAGE: i64 = 24_000;
/// Score that a worker gains by serving the task's image alone, above any
/// difference in free room: the next images find workers without any.
const SAME_IMAGE: i64 = 100_000;
/// Share of the processors that is taken from which on room is scarce, in
/// percent: the rest is about one task for each worker.
const SCARCE_PERCENT: u64 = 88;

/// What a worker is measured against.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request<'a> {
    pub(super) step: &'a StepSpec,
    pub(super) service: &'a str,
    pub(super) kind: ChargeKind,
    /// What the task runs, if it is known.
    pub(super) image: Option<ImageId>,
    pub(super) interference: &'a InterferenceModel,
    /// The worker of the last failed run.
    pub(super) avoid: Option<usize>,
    /// The rack on which other tasks of the step run, if that matters.
    pub(super) rack: Option<&'a str>,
    /// Tasks of the step on the worker.
    pub(super) same_step: u32,
    /// Whether most of the room is taken.
    pub(super) is_scarce: bool,
}

/// Returns whether a worker takes new work at all.
pub(super) fn is_open(worker: &Worker, now: Timestamp) -> bool {
    worker.is_listed
        && !worker.listing.is_draining
        && !worker.is_silent
        && worker.incarnation == Some(worker.listing.incarnation)
        && worker.looked_at.is_some_and(|it| now.ms_since(it) < MAX_LOOK_AGE_MS)
        && worker.full_until <= now
        && worker.trust.may_start(now)
}

/// Returns whether a worker is of the pool and the kind that a step needs.
pub(super) fn is_eligible(worker: &Worker, step: &StepSpec, service: &str) -> bool {
    let has_label = |it: &String| worker.has_label(it);
    worker.listing.service == service && step.requirement.as_ref().is_none_or(has_label)
}

/// Returns the score of a worker, or `None` if it cannot run the task now.
pub(super) fn score(worker: &Worker, index: usize, req: Request<'_>) -> Option<i64> {
    let step = req.step;
    if !is_eligible(worker, step, req.service) || !step.allocation().fits_in(worker.free()) {
        return None;
    }
    if step.max_per_worker.is_some_and(|it| it <= req.same_step) {
        return None;
    }
    let mut score = match req.kind {
        ChargeKind::Fills => {
            let left = left_over(worker);
            if left * 100 < step.demand.cpu.0 as i64 * FILL_ROOM_PERCENT {
                return None;
            }
            left.min(least_room(worker, step, req)?)
        }
        ChargeKind::Serves => worker.free().cpu.0 as i64 / 4 + image_fit(worker, req.image),
        ChargeKind::Computes if req.is_scarce => -(worker.free().cpu.0 as i64),
        ChargeKind::Computes => worker.free().cpu.0 as i64 - (worker.fill_cpu / 4) as i64,
    };
    let is_far = |rack: &str| !worker.has_label(rack);
    if step.data_rack.as_deref().is_some_and(is_far) || req.rack.is_some_and(is_far) {
        score -= MISFIT;
    }
    if req.avoid == Some(index) {
        score -= MISFIT;
    }
    Some(score)
}

/// Returns whether most of the room of some workers is taken.
pub(super) fn is_scarce<'a>(workers: impl Iterator<Item = &'a Worker>) -> bool {
    let (mut used, mut capacity) = (0, 0);
    for worker in workers {
        used += worker.used.cpu.0;
        capacity += worker.listing.capacity.cpu.0;
    }
    capacity * SCARCE_PERCENT <= used * 100
}

/// Returns the room that a worker has once its work that ends has ended.
pub(super) fn room_soon(worker: &Worker) -> Resources {
    computing(worker).fold(worker.free(), |sum, it| sum.saturating_add(it.charge))
}

/// Returns the room that a worker has once the largest task there that ends
/// has ended.
pub(super) fn room_after_one(worker: &Worker) -> Resources {
    let largest = computing(worker).map(|it| it.charge).max_by_key(|it| it.cpu);
    worker.free().saturating_add(largest.unwrap_or(Resources::ZERO))
}

fn computing(worker: &Worker) -> impl Iterator<Item = &Charged> {
    worker.charged.values().filter(|it| it.kind == ChargeKind::Computes)
}

/// Returns the processor time that fills can expect on a worker, less what
/// the fills there ask for, in millicores.
fn left_over(worker: &Worker) -> i64 {
    let computing = worker.used.cpu.0 - worker.serving_cpu.min(worker.used.cpu.0);
    let capacity = worker.listing.capacity.cpu.0 as i64;
    capacity - (computing + worker.serving_use + worker.fill_cpu) as i64
}

/// Returns what the images on a worker add to the score for a serving task.
fn image_fit(worker: &Worker, image: Option<ImageId>) -> i64 {
    if image.is_none() {
        return 0;
    }
    let (mut same, mut others) = (0, 0);
    for it in worker.charged.values().filter(|it| it.kind == ChargeKind::Serves) {
        *(if it.image == image { &mut same } else { &mut others }) += 1;
    }
    if 0 < same && others == 0 { SAME_IMAGE } else { -others * OTHER_IMAGE }
}

/// Returns the share of a worker's processors that a run uses at full pace.
pub(super) fn share(worker: &Worker, charged: &Charged) -> f32 {
    charged.cpu as f32 / worker.listing.capacity.cpu.0.max(1) as f32
}

/// Returns the room that a fill would leave to the serving task with the
/// least, in millicores that could be added, or `None` if one would miss its
/// target.
fn least_room(worker: &Worker, step: &StepSpec, req: Request<'_>) -> Option<i64> {
    let capacity = worker.listing.capacity.cpu.0.max(1) as f32;
    let added = step.demand.cpu.0 as f32 / capacity;
    let mut least = 1.0f32;
    for task in &worker.serving {
        let pressure = req.interference.pressure(task.image, req.image);
        let excess = task.other_excess + task.fill_excess + pressure * added;
        let room = task.highest_excess(1.0) - excess;
        if room < 0.0 {
            return None;
        }
        // Room counts for as much as the pressure of this fill can use up.
        least = least.min(room / pressure.max(0.2));
    }
    Some((least * capacity) as i64)
}
