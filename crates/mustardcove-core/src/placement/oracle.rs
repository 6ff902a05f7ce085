//! The scoring of the learned policy, with the true slowdowns.
//!
//! It serves as an upper bound in comparisons: no learned table can be better
//! than the true one.

use bytes::Bytes;

use crate::{
    class::{ClassIndex, ClassTable},
    eviction::{EvictionPlanner, SlowdownModel},
    interference::SlowdownTable,
    placement::{
        EvictionChoice, PlacementPolicy, PlacementRequest, WorkerIndex, WorkerView, score::Scorer,
    },
    size::Resources,
    time::Timestamp,
    worker::UsageSample,
};

/// The true slowdowns never change, so one generation suffices.
const GENERATION: u32 = 0;

/// Places by the true slowdowns, which are passed to the constructor.
#[derive(Clone, Debug)]
pub struct OraclePolicy {
    truth: SlowdownTable,
    scorer: Scorer,
    planner: EvictionPlanner,
}

impl OraclePolicy {
    /// Returns a policy that uses the slowdowns in `truth`; classes outside of
    /// it are assumed not to interfere.
    pub fn new(truth: SlowdownTable) -> OraclePolicy {
        OraclePolicy { truth, scorer: Scorer::default(), planner: EvictionPlanner::new() }
    }
}

impl PlacementPolicy for OraclePolicy {
    fn choose(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        request: &PlacementRequest,
        workers: &[WorkerView],
    ) -> Option<WorkerIndex> {
        self.truth.grow(classes.len());
        self.scorer.best_worker(now, &self.truth, GENERATION, classes, request, workers)
    }

    fn observe(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        sample: &UsageSample,
        _residents: &[(ClassIndex, u16)],
        _capacity: Resources,
    ) {
        if let Some(class) = classes.index_of(&sample.class) {
            self.planner.observe(now, classes, class, sample);
        }
    }

    fn choose_evictions(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        waiting: &[PlacementRequest],
    ) -> Vec<EvictionChoice> {
        self.truth.grow(classes.len());
        self.scorer.refresh(now, &self.truth, GENERATION, classes, workers);
        let model = SlowdownModel::Exact(&self.truth);
        self.planner.plan(now, classes, model, workers, waiting)
    }

    fn export(&self) -> Bytes {
        Bytes::new()
    }

    fn import(&mut self, _now: Timestamp, _table: &Bytes) {}
}
