//! The state that a group keeps of one attempt.

use crate::{
    class::ClassIndex,
    id::{Incarnation, MemberId, ShardId, WorkerId},
    message::GroupToShard,
    size::Resources,
    time::Timestamp,
    worker::StopMode,
};

/// The latest lease that a worker may have received for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Lease {
    /// When it was sent.
    pub(super) from: Timestamp,
    /// When it expires.
    pub(super) until: Timestamp,
}

/// The resources of a task, its class, and the member it is charged to.
#[derive(Clone, Debug)]
pub(super) struct TaskSpec {
    pub(super) member: MemberId,
    pub(super) class: ClassIndex,
    pub(super) resources: Resources,
}

/// The end of an attempt, kept until its shard has acknowledged it.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    pub(super) report: GroupToShard,
    pub(super) at: Timestamp,
    pub(super) repeats: u32,
}

/// The state of an attempt.
#[derive(Clone, Debug)]
pub(super) enum TaskState {
    /// Capacity is held for a request that its shard is expected to repeat.
    Held { until: Timestamp },
    /// Capacity is reserved; nothing was sent to the worker.
    Reserved { deadline: Timestamp },
    /// A start was sent and has been neither confirmed nor refused.
    Starting,
    /// Bound under an earlier epoch; the worker has not been listed since.
    Bound,
    /// The worker confirmed that the task runs.
    Running,
    /// The attempt has ended.
    Ended(Box<Ended>),
}

/// A stop that was requested and is repeated until the worker reports the end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stop {
    pub(super) mode: StopMode,
    pub(super) next_at: Timestamp,
}

/// One attempt.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) worker: WorkerId,
    pub(super) shard: ShardId,
    /// Unknown for an attempt that ended before this owner learned of it.
    pub(super) spec: Option<TaskSpec>,
    pub(super) state: TaskState,
    /// Whether it holds capacity on its worker.
    pub(super) charged: bool,
    /// Whether it is charged to its member's allotment.
    pub(super) allotted: bool,
    /// Whether it counts as a resident of its worker.
    pub(super) resident: bool,
    /// Whether its shard has it bound.
    pub(super) claimed: bool,
    pub(super) lease: Lease,
    /// The incarnation in which the worker confirmed it, and when.
    pub(super) confirmed: Option<(Incarnation, Timestamp)>,
    pub(super) stop: Option<Stop>,
    pub(super) failed_attempts: u32,
    pub(super) checkpoint_sequence: u64,
    /// The time of its entry in the group's timers, if any.
    pub(super) timer_at: Option<Timestamp>,
}

impl Task {
    /// Returns an attempt in the given state that holds no resources yet.
    pub(super) fn new(
        worker: WorkerId,
        shard: ShardId,
        spec: Option<TaskSpec>,
        state: TaskState,
    ) -> Task {
        Task {
            worker,
            shard,
            spec,
            state,
            charged: false,
            allotted: false,
            resident: false,
            claimed: false,
            lease: Lease::default(),
            confirmed: None,
            stop: None,
            failed_attempts: 0,
            checkpoint_sequence: 0,
            timer_at: None,
        }
    }

    /// Reports whether the attempt may be running on its worker.
    pub(super) fn may_run(&self) -> bool {
        matches!(self.state, TaskState::Starting | TaskState::Bound | TaskState::Running)
    }

    /// Reports whether it is held or reserved, so that nothing was sent yet.
    pub(super) fn is_reserved(&self) -> bool {
        matches!(self.state, TaskState::Held { .. } | TaskState::Reserved { .. })
    }

    /// Reports whether the worker has confirmed that it runs.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Running)
    }
}
