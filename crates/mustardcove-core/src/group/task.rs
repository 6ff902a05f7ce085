//! What a group knows of one attempt.

use crate::{
    class::ClassIndex,
    id::{Incarnation, MemberId, ShardId, WorkerId},
    message::GroupToShard,
    size::Resources,
    time::Timestamp,
    worker::StopMode,
};

/// The latest lease that a worker may have been given for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Lease {
    /// When it was sent.
    pub(super) from: Timestamp,
    /// When it ends.
    pub(super) until: Timestamp,
}

/// What a task holds, and for whom.
#[derive(Clone, Debug)]
pub(super) struct Terms {
    pub(super) member: MemberId,
    pub(super) class: ClassIndex,
    pub(super) resources: Resources,
}

/// How an attempt ended, until its shard has acknowledged it.
#[derive(Clone, Debug)]
pub(super) struct Ended {
    pub(super) report: GroupToShard,
    pub(super) at: Timestamp,
    pub(super) repeats: u32,
}

/// Where an attempt is in its life.
#[derive(Clone, Debug)]
pub(super) enum TaskState {
    /// A place is kept for a request that is expected to be repeated.
    Held { until: Timestamp },
    /// Capacity is reserved; nothing was sent to the worker.
    Reserved { deadline: Timestamp },
    /// A start was sent whose outcome is not known.
    Starting,
    /// Bound under an earlier epoch; the worker was not listed since.
    Bound,
    /// The worker confirmed the task.
    Running,
    /// The attempt is over.
    Ended(Box<Ended>),
}

/// A stop that is under way.
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
    /// Unknown for an attempt that ended before this owner knew of it.
    pub(super) terms: Option<Terms>,
    pub(super) state: TaskState,
    /// Whether it holds capacity on its worker.
    pub(super) charged: bool,
    /// Whether it holds a part of its member's allotment.
    pub(super) allotted: bool,
    /// Whether it counts among the tasks that share its worker.
    pub(super) resident: bool,
    /// Whether its shard has it bound.
    pub(super) claimed: bool,
    pub(super) lease: Lease,
    /// The incarnation and the time at which the worker confirmed it.
    pub(super) confirmed: Option<(Incarnation, Timestamp)>,
    pub(super) stop: Option<Stop>,
    pub(super) failed_attempts: u32,
    pub(super) checkpoint_sequence: u64,
    /// The entry in the group's timers, if any.
    pub(super) wake: Option<Timestamp>,
}

impl Task {
    /// Returns an attempt in the given state that holds nothing.
    pub(super) fn new(
        worker: WorkerId,
        shard: ShardId,
        terms: Option<Terms>,
        state: TaskState,
    ) -> Task {
        Task {
            worker,
            shard,
            terms,
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
            wake: None,
        }
    }

    /// Reports whether the attempt may be running on its worker.
    pub(super) fn may_run(&self) -> bool {
        matches!(self.state, TaskState::Starting | TaskState::Bound | TaskState::Running)
    }

    /// Reports whether it holds a place and nothing was sent.
    pub(super) fn is_reserved(&self) -> bool {
        matches!(self.state, TaskState::Held { .. } | TaskState::Reserved { .. })
    }

    /// Reports whether the worker confirmed that it runs.
    pub(super) fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Running)
    }
}
