//! Placement of tasks on workers, and the choice of tasks to evict.
//!
//! The owner of a worker group keeps one [`WorkerView`] per worker and asks a
//! [`PlacementPolicy`] for each decision. Policies differ only in what they
//! know about interference. The rest of the system is the same for all of
//! them, so that a comparison of policies measures nothing else. See
//! `docs/design.md`, sections 3.7 and 3.8.

use crate::{
    class::{ClassIndex, ClassTable},
    id::{FailureDomainId, MemberId, RackId, RegionId, TaskId, WorkerId},
    size::Resources,
    time::Timestamp,
    worker::UsageSample,
};

pub(crate) use self::score::is_latency_critical;
pub use self::{best_fit::BestFitPolicy, learned::LearnedPolicy, oracle::OraclePolicy};

pub mod best_fit;
mod columns;
pub mod learned;
mod losses;
pub mod oracle;
mod score;
mod spread;

/// Position of a worker in the slice that a policy is given.
pub type WorkerIndex = usize;

/// A task to which capacity of a worker is committed.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Its class.
    pub class: ClassIndex,
    /// The member it runs for.
    pub member: MemberId,
    /// Capacity that is committed to it.
    pub resources: Resources,
    /// Time at which it was started.
    pub started_at: Timestamp,
    /// Time at which its latest checkpoint was saved; the start time if there
    /// is none.
    pub checkpoint_at: Timestamp,
    /// Time at which it is expected to end.
    pub expected_end: Timestamp,
    /// Time until which it must not be evicted.
    pub immune_until: Timestamp,
    /// Whether it is already being stopped.
    pub stopping: bool,
}

/// State of a worker as known to the owner of its group.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub id: WorkerId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: FailureDomainId,
    /// Its rack.
    pub rack: RackId,
    /// Capacity available to tasks, after the reservation for upstreams.
    pub capacity: Resources,
    /// Capacity that tasks hold or have reserved.
    pub committed: Resources,
    /// Whether new work may be placed here.
    pub accepting: bool,
    /// Reliability of the worker, from 0.0 (every task fails) to 1.0.
    pub reliability: f64,
    /// Number of tasks of each class on the worker, slots of upstreams
    /// included.
    pub residents: Vec<(ClassIndex, u16)>,
    /// Tasks that hold capacity.
    pub tasks: Vec<RunningTask>,
}

impl WorkerView {
    /// Returns the capacity that is not committed.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(self.committed)
    }
}

/// A task that needs a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The task.
    pub task: TaskId,
    /// Its class.
    pub class: ClassIndex,
    /// The member it runs for.
    pub member: MemberId,
    /// Capacity that it needs.
    pub resources: Resources,
    /// Expected run time, in milliseconds.
    pub expected_run_ms: u64,
    /// Whether other tasks may be evicted to make room for it.
    pub urgent: bool,
    /// Workers to use only if no other worker has room.
    pub avoid_workers: Vec<WorkerId>,
    /// Time at which it was queued.
    pub queued_since: Timestamp,
}

/// A task that a policy wants to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionChoice {
    /// The worker.
    pub worker: WorkerIndex,
    /// The task.
    pub task: TaskId,
    /// Whether it is evicted to make room for an urgent task.
    pub for_urgent: bool,
}

/// Decides where tasks run and which tasks are evicted.
pub trait PlacementPolicy {
    /// Returns the worker for a task, or `None` if none has room or if it is
    /// better to keep a task that is not urgent waiting.
    ///
    /// A choice never exceeds a worker's free capacity and never names a
    /// worker that does not accept work. A policy lets a task wait only for a
    /// bounded time after [`PlacementRequest::queued_since`].
    fn choose(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        request: &PlacementRequest,
        workers: &[WorkerView],
    ) -> Option<WorkerIndex>;

    /// Learns from a measurement. `residents` are the classes on the worker
    /// when the sample was taken, not when it arrived.
    fn observe(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        sample: &UsageSample,
        residents: &[(ClassIndex, u16)],
        capacity: Resources,
    );

    /// Decides which tasks to evict now.
    fn choose_evictions(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        waiting: &[PlacementRequest],
    ) -> Vec<EvictionChoice>;

    /// Returns the learned table in a compact encoding, for other groups.
    fn export(&self) -> bytes::Bytes;

    /// Merges a table that another group exported.
    fn import(&mut self, now: Timestamp, table: &bytes::Bytes);
}
