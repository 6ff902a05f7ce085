//! The placement policies that a run can use.

use bytes::Bytes;
use clap::ValueEnum;
use mustardcove_core::{
    class::{ClassIndex, ClassTable},
    id::GroupId,
    interference::SlowdownTable,
    node::PolicyFactory,
    placement::{
        BestFitPolicy, EvictionChoice, LearnedPolicy, OraclePolicy, PlacementPolicy,
        PlacementRequest, WorkerIndex, WorkerView,
    },
    size::Resources,
    time::Timestamp,
    worker::UsageSample,
};
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// A placement policy.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
    ValueEnum,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PolicyKind {
    /// Learns slowdowns from measurements.
    Mustardcove,
    /// Best fit without regard to interference.
    Naive,
    /// Knows the true slowdowns.
    Oracle,
}

/// Creates the placement policies of one run.
#[derive(Clone, Debug)]
pub(crate) struct AnyPolicyFactory {
    pub(crate) kind: PolicyKind,
    pub(crate) true_slowdowns: SlowdownTable,
}

impl PolicyFactory for AnyPolicyFactory {
    type Policy = AnyPolicy;

    fn create(&self, _group: &GroupId, seed: u64) -> AnyPolicy {
        match self.kind {
            PolicyKind::Mustardcove => AnyPolicy::Learned(Box::new(LearnedPolicy::new(seed))),
            PolicyKind::Naive => AnyPolicy::Naive(BestFitPolicy::new()),
            PolicyKind::Oracle => {
                AnyPolicy::Oracle(Box::new(OraclePolicy::new(self.true_slowdowns.clone())))
            }
        }
    }
}

/// A placement policy of any kind.
#[derive(Clone, Debug)]
pub(crate) enum AnyPolicy {
    Learned(Box<LearnedPolicy>),
    Naive(BestFitPolicy),
    Oracle(Box<OraclePolicy>),
}

macro_rules! with_policy {
    ($self:expr, $it:ident => $call:expr) => {
        match $self {
            AnyPolicy::Learned($it) => $call,
            AnyPolicy::Naive($it) => $call,
            AnyPolicy::Oracle($it) => $call,
        }
    };
}

impl PlacementPolicy for AnyPolicy {
    fn choose(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        request: &PlacementRequest,
        workers: &[WorkerView],
    ) -> Option<WorkerIndex> {
        with_policy!(self, it => it.choose(now, classes, request, workers))
    }

    fn observe(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        sample: &UsageSample,
        residents: &[(ClassIndex, u16)],
        capacity: Resources,
    ) {
        with_policy!(self, it => it.observe(now, classes, sample, residents, capacity));
    }

    fn choose_evictions(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        waiting: &[PlacementRequest],
    ) -> Vec<EvictionChoice> {
        with_policy!(self, it => it.choose_evictions(now, classes, workers, waiting))
    }

    fn export(&self) -> Bytes {
        with_policy!(self, it => it.export())
    }

    fn import(&mut self, now: Timestamp, table: &Bytes) {
        with_policy!(self, it => it.import(now, table));
    }
}
