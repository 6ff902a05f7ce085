//! Choice of a worker for a task, and of tasks to evict.
//!
//! The owner of a worker group keeps one [`WorkerView`] per worker and asks a
//! [`PlacementPolicy`] for a choice. Policies differ in what they know about
//! interference; the rest of the system is the same for all of them, so that a
//! comparison of policies compares nothing else. See `docs/design.md`,
//! sections 3.7 and 3.8.

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

/// A task that holds capacity on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Its class.
    pub class: ClassIndex,
    /// The member it runs for.
    pub member: MemberId,
    /// The capacity that it holds.
    pub resources: Resources,
    /// When it was started.
    pub started_at: Timestamp,
    /// When its latest checkpoint was saved; the start if there is none.
    pub checkpoint_at: Timestamp,
    /// When it is expected to end.
    pub expected_end: Timestamp,
    /// Until when it must not be evicted.
    pub immune_until: Timestamp,
    /// Whether a stop is already under way.
    pub stopping: bool,
}

/// A worker as its group's owner sees it.
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
    /// What tasks may hold, after the reservation for upstreams.
    pub capacity: Resources,
    /// What tasks hold or have reserved.
    pub committed: Resources,
    /// Whether new work may be placed here.
    pub accepting: bool,
    /// How far it is trusted, from 0.0 (fails everything) to 1.0.
    pub trust: f64,
    /// How many tasks of each class are here, upstreams' slots included.
    pub residents: Vec<(ClassIndex, u16)>,
    /// The tasks.
    pub tasks: Vec<RunningTask>,
}

impl WorkerView {
    /// Returns what is free.
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(self.committed)
    }
}

/// A task for which a worker is wanted.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The task.
    pub task: TaskId,
    /// Its class.
    pub class: ClassIndex,
    /// The member it runs for.
    pub member: MemberId,
    /// What it needs.
    pub resources: Resources,
    /// Run time to be expected, in milliseconds.
    pub expected_run_ms: u64,
    /// Whether it may displace other work.
    pub urgent: bool,
    /// Workers to avoid unless there is no other.
    pub avoid: Vec<WorkerId>,
    /// When it began to wait.
    pub queued_since: Timestamp,
}

/// A task that a policy wants to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvictionChoice {
    /// The worker.
    pub worker: WorkerIndex,
    /// The task.
    pub task: TaskId,
    /// Whether its place is to be taken by a waiting urgent task.
    pub for_urgent: bool,
}

/// Decides where tasks run and which of them have to go.
pub trait PlacementPolicy {
    /// Returns the worker for a task, or `None` if none has room or if a task
    /// that is not urgent had better wait.
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

    /// Learns from a measurement; `residents` is what shared the worker when
    /// the sample was taken, not when it arrived.
    fn observe(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        sample: &UsageSample,
        residents: &[(ClassIndex, u16)],
        capacity: Resources,
    );

    /// Returns the tasks to evict now.
    fn evictions(
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
