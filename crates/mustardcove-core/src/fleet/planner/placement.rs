//! The choice of a worker for a task.
//!
//! Latency-critical and batch work is spread over the workers with the most
//! free capacity, because neighbours slow each other down by more than their
//! sizes say. Latency-critical tasks share a worker with those of their own
//! image, so that fewer images are co-located and more best-effort work
//! interferes with none of them. Once most of the capacity is in use, batch
//! work goes where it leaves the smallest gap, so that large tasks find
//! capacity too.
//!
//! Best-effort work goes where most processor time is left over, and waits
//! where none is: started there it would only slow down other best-effort work
//! without ending any of it earlier. A submission for which that wait becomes
//! too long is placed all the same; see the `blocked` module.

use strum::Display;

use super::{
    interference::{ImageId, InterferenceModel},
    workers::{Allocation, Worker, WorkloadKind},
};
use crate::{
    fleet::submission::StepSpec,
    size::{Millicores, Resources},
    time::Timestamp,
};

/// Share of its demand that must be left over for a best-effort task, in
/// percent: with less it runs slower than it could by waiting.
const MIN_BEST_EFFORT_CPU_PERCENT: i64 = 60;
/// Age of the last answered poll from which a worker gets no new work, in
/// milliseconds: three times the usual interval between two polls.
pub(super) const MAX_POLL_AGE_MS: u64 = 3_000;
/// Most runs on one worker, which tasks that need next to nothing could exceed:
/// each answer to a poll lists all of them.
const MAX_RUNS: usize = 2_048;
/// Penalty of a worker on which this task is slower (rack, last failure),
/// above any difference in load.
pub(super) const MISFIT_PENALTY: i64 = 1_000_000;
/// Penalty of a worker for each latency-critical task of another image, in
/// millicores of free capacity: a quarter of a large worker. Best-effort work
/// is rejected where it interferes with any of the images, so fewer images
/// leave more capacity for it.
const OTHER_IMAGE_PENALTY: i64 = 24_000;
/// Bonus of a worker whose latency-critical tasks all run the task's image,
/// above any difference in free capacity: the next images then find workers
/// without any.
const SAME_IMAGE_BONUS: i64 = 100_000;
/// Penalty of a worker that is slow for a while, for batch work with little time to
/// spare: above any difference in load, and below [`MISFIT_PENALTY`].
const COLD_PENALTY: i64 = 500_000;
/// Share of the processors in use from which capacity is scarce, in percent:
/// the rest is about one task for each worker.
const SCARCE_USE_PERCENT: u64 = 88;

/// A task to place, as needed to score a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request<'a> {
    pub(super) step: &'a StepSpec,
    pub(super) service: &'a str,
    pub(super) kind: WorkloadKind,
    /// The image that the task runs, if it is known.
    pub(super) image: Option<ImageId>,
    pub(super) interference: &'a InterferenceModel,
    /// The worker of the last failed run.
    pub(super) avoid: Option<usize>,
    /// The rack of the other tasks of the step, if that matters.
    pub(super) rack: Option<&'a str>,
    /// Number of tasks of the step on the worker.
    pub(super) same_step: u32,
    /// Whether most of the capacity is in use.
    pub(super) is_scarce: bool,
    /// Whether it would miss its SLO deadline if it took twice as long.
    pub(super) is_due_soon: bool,
    /// Whether the task is best-effort work of a submission that has had no
    /// run for too long, which is placed where it does the least harm instead
    /// of nowhere.
    pub(super) is_starved: bool,
}

/// Why a worker cannot be given a task now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Obstacle {
    /// Service discovery does not list it.
    Unlisted,
    /// It is not recorded yet.
    Unrecorded,
    /// It is about to leave.
    Draining,
    /// Operators evacuate its failure domain.
    Evacuated,
    /// It does not answer polls.
    Silent,
    /// It answers as another incarnation than service discovery lists.
    OtherIncarnation,
    /// The leader has no recent poll of it.
    NotPolled,
    /// It refused a start a moment ago.
    Refusing,
    /// Its circuit breaker is open, or it is on probation.
    Suspended,
    /// It would take any start, and part of what runs there is not known.
    UnknownRuns,
    /// It would take any start, and its capacity may have shrunk.
    StaleEntry,
    /// A task that may have crashed another worker begins there.
    Isolated,
    /// It is in another pool or lacks the label that the step needs.
    Ineligible,
    /// The demand does not fit into its free capacity.
    NoCapacity,
    /// It is slow for a while, and gets no more of its capacity yet.
    Cold,
    /// It runs as many tasks of the step as are allowed on one worker.
    StepLimit,
    /// It is slower than others, and has as much to do as it can.
    Slow,
    /// Too little processor time is left over for a best-effort task.
    NoLeftover,
    /// A best-effort task would make a latency-critical one miss its target.
    Interference,
    /// It is reserved for another step.
    Reserved,
    /// The step has no ticket for it.
    NoTicket,
}

/// Returns why a worker accepts no new work, as far as its own state shows;
/// `None` if it does.
pub(super) fn unavailability(worker: &Worker, now: Timestamp) -> Option<Obstacle> {
    if !worker.is_listed {
        Some(Obstacle::Unlisted)
    } else if !worker.is_recorded {
        Some(Obstacle::Unrecorded)
    } else if worker.listing.is_draining {
        Some(Obstacle::Draining)
    } else if worker.is_evacuated {
        Some(Obstacle::Evacuated)
    } else if worker.is_silent {
        Some(Obstacle::Silent)
    } else if worker.polled_at.is_none_or(|it| MAX_POLL_AGE_MS <= now.ms_since(it)) {
        Some(Obstacle::NotPolled)
    } else if worker.incarnation != Some(worker.listing.incarnation) {
        Some(Obstacle::OtherIncarnation)
    } else if now < worker.full_until {
        Some(Obstacle::Refusing)
    } else if !worker.circuit_breaker.may_start(now) {
        Some(Obstacle::Suspended)
    } else {
        None
    }
}

/// Returns whether a worker has the pool and the label that a step needs.
pub(super) fn is_eligible(worker: &Worker, step: &StepSpec, service: &str) -> bool {
    let has_label = |it: &String| worker.has_label(it);
    worker.listing.service == service && step.requirement.as_ref().is_none_or(has_label)
}

/// Returns the score of a worker, or why it cannot run the task now.
pub(super) fn score(worker: &Worker, index: usize, req: Request<'_>) -> Result<i64, Obstacle> {
    let step = req.step;
    if !is_eligible(worker, step, req.service) {
        return Err(Obstacle::Ineligible);
    }
    if step.max_per_worker.is_some_and(|it| it <= req.same_step) {
        return Err(Obstacle::StepLimit);
    }
    let is_full = MAX_RUNS <= worker.allocations.len();
    if is_full || !step.allocation().fits_in(worker.free()) {
        return Err(Obstacle::NoCapacity);
    }
    if req.kind == WorkloadKind::Batch && is_withheld(worker, step.demand.cpu) {
        return Err(Obstacle::Cold);
    }
    let mut score = match req.kind {
        WorkloadKind::BestEffort => {
            let leftover = leftover_cpu(worker);
            let headroom = min_headroom(worker, req.interference, req.image, step.demand.cpu.0);
            if !req.is_starved && !is_enough_left_over(leftover, step.demand.cpu.0) {
                return Err(Obstacle::NoLeftover);
            }
            let available = leftover - worker.warmup.withheld(worker.listing.capacity.cpu.0) as i64;
            if !req.is_starved && !is_enough_left_over(available, step.demand.cpu.0) {
                return Err(Obstacle::Cold);
            }
            if !req.is_starved && headroom < 0 {
                return Err(Obstacle::Interference);
            }
            leftover.min(headroom)
        }
        WorkloadKind::LatencyCritical => {
            worker.free().cpu.0 as i64 / 4 + image_score(worker, req.image)
        }
        WorkloadKind::Batch if req.is_scarce => -(worker.free().cpu.0 as i64),
        WorkloadKind::Batch => worker.free().cpu.0 as i64 - (worker.best_effort_cpu / 4) as i64,
    };
    let is_far = |rack: &str| !worker.has_label(rack);
    if step.data_rack.as_deref().is_some_and(is_far) || req.rack.is_some_and(is_far) {
        score -= MISFIT_PENALTY;
    }
    if req.avoid == Some(index) {
        score -= MISFIT_PENALTY;
    }
    let is_batch = req.kind == WorkloadKind::Batch;
    if is_batch && req.is_due_soon && worker.warmup.is_cold() {
        score -= COLD_PENALTY;
    }
    Ok(score)
}

/// Returns whether a slow worker does not get enough of its capacity yet for a batch
/// task that demands `cpu`. It always gets its first task, which may need more.
fn is_withheld(worker: &Worker, cpu: Millicores) -> bool {
    let withheld = worker.warmup.withheld(worker.listing.capacity.cpu.0);
    0 < withheld && 0 < worker.used.cpu.0 && worker.free().cpu.0 < cpu.0 + withheld
}

/// Returns whether most of the capacity of the workers is in use.
pub(super) fn is_scarce<'a>(workers: impl Iterator<Item = &'a Worker>) -> bool {
    let (used, capacity) = used_cpu(workers);
    capacity * SCARCE_USE_PERCENT <= used * 100
}

/// Returns whether under half of the capacity of the workers is in use.
pub(super) fn is_mostly_free<'a>(workers: impl Iterator<Item = &'a Worker>) -> bool {
    let (used, capacity) = used_cpu(workers);
    used * 2 < capacity
}

/// Returns the reserved share of the capacity of the workers, in percent: that
/// of the dimension with the largest share.
pub(super) fn reserved_percent<'a>(workers: impl Iterator<Item = &'a Worker>) -> u64 {
    let (mut used, mut capacity) = (Resources::ZERO, Resources::ZERO);
    for worker in workers {
        used = used.saturating_add(worker.used);
        capacity = capacity.saturating_add(worker.listing.capacity);
    }
    let percent = |used: u64, capacity: u64| (used * 100).checked_div(capacity).unwrap_or(0);
    percent(used.cpu.0, capacity.cpu.0).max(percent(used.memory.0, capacity.memory.0))
}

/// Returns the processors of the workers in use and in total, in millicores.
fn used_cpu<'a>(workers: impl Iterator<Item = &'a Worker>) -> (u64, u64) {
    workers.fold((0, 0), |(used, capacity), it| {
        (used + it.used.cpu.0, capacity + it.listing.capacity.cpu.0)
    })
}

/// Returns the capacity that a worker has free once its batch work has ended.
pub(super) fn capacity_after_batch(worker: &Worker) -> Resources {
    worker.free().saturating_add(worker.batch_used)
}

/// Returns the capacity that a worker has free once its largest batch task has
/// ended.
pub(super) fn capacity_after_largest(worker: &Worker) -> Resources {
    worker.free().saturating_add(worker.largest_batch)
}

/// Returns the processor time that best-effort tasks can expect on a worker,
/// less the demand of those there, in millicores.
pub(super) fn leftover_cpu(worker: &Worker) -> i64 {
    let batch = worker.used.cpu.0 - worker.latency_critical_cpu.min(worker.used.cpu.0);
    let capacity = worker.listing.capacity.cpu.0 as i64;
    capacity - (batch + worker.latency_critical_use + worker.best_effort_cpu) as i64
}

/// Returns whether the processor time left over on a worker is enough for a
/// best-effort task that demands `cpu`, both in millicores.
pub(super) fn is_enough_left_over(leftover: i64, cpu: u64) -> bool {
    cpu as i64 * MIN_BEST_EFFORT_CPU_PERCENT <= leftover * 100
}

/// Returns the demand of the largest best-effort task that a worker would take, in
/// millicores. Latency-critical tasks there leave less to images of high pressure.
pub(super) fn best_effort_room(worker: &Worker, interference: &InterferenceModel) -> u64 {
    if min_headroom(worker, interference, None, 0) < 0 {
        return 0;
    }
    let withheld = worker.warmup.withheld(worker.listing.capacity.cpu.0) as i64;
    let available = (leftover_cpu(worker) - withheld).max(0);
    (available * 100 / MIN_BEST_EFFORT_CPU_PERCENT) as u64
}

/// Returns the contribution of the images on a worker to the score for a
/// latency-critical task.
fn image_score(worker: &Worker, image: Option<ImageId>) -> i64 {
    if image.is_none() {
        return 0;
    }
    let (mut same, mut others) = (0, 0);
    for it in worker.allocations.values().filter(|it| it.kind == WorkloadKind::LatencyCritical) {
        *(if it.image == image { &mut same } else { &mut others }) += 1;
    }
    if 0 < same && others == 0 { SAME_IMAGE_BONUS } else { -others * OTHER_IMAGE_PENALTY }
}

/// Returns the share of a worker's processors that a run uses at full pace.
pub(super) fn cpu_share(worker: &Worker, allocation: &Allocation) -> f32 {
    allocation.cpu as f32 / worker.listing.capacity.cpu.0.max(1) as f32
}

/// Returns the smallest headroom that a best-effort task which adds `cpu`
/// millicores would leave any latency-critical task, in millicores that could
/// be added; negative if one of them would miss its target.
pub(super) fn min_headroom(
    worker: &Worker,
    interference: &InterferenceModel,
    image: Option<ImageId>,
    cpu: u64,
) -> i64 {
    let capacity = worker.listing.capacity.cpu.0.max(1) as f32;
    let added = cpu as f32 / capacity;
    let mut min = 1.0f32;
    for task in &worker.latency_critical {
        let pressure = interference.pressure(task.image, image);
        let excess = task.other_excess + task.best_effort_excess + pressure * added;
        let headroom = task.max_excess(1.0) - excess;
        // Converts headroom into the share of processors at which this task's
        // pressure uses it up.
        min = min.min(headroom / pressure.max(0.2));
    }
    // Rounds down, so that any overload is negative.
    (min * capacity).floor() as i64
}
