//! The learned policy's scoring with the true slowdowns.
//!
//! It exists for comparison: no way of learning can do better than this.

use bytes::Bytes;

use crate::{
    class::{ClassIndex, ClassTable},
    eviction::{EvictionPlanner, Knowledge},
    interference::SlowdownTable,
    placement::{
        EvictionChoice, PlacementPolicy, PlacementRequest, WorkerIndex, WorkerView, score::Scorer,
    },
    size::Resources,
    time::Timestamp,
    worker::UsageSample,
};

/// The truth does not change.
const GENERATION: u32 = 0;

/// Places by the true slowdowns, which are given at construction.
#[derive(Clone, Debug)]
pub struct OraclePolicy {
    truth: SlowdownTable,
    scorer: Scorer,
    planner: EvictionPlanner,
}

impl OraclePolicy {
    /// Returns a policy that knows the slowdowns of the classes in `truth`;
    /// other classes are taken not to interfere.
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
        self.scorer.best(now, &self.truth, GENERATION, classes, request, workers)
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

    fn evictions(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        waiting: &[PlacementRequest],
    ) -> Vec<EvictionChoice> {
        self.truth.grow(classes.len());
        self.scorer.refresh(now, &self.truth, GENERATION, classes, workers);
        let knowledge = Knowledge::Exact(&self.truth);
        self.planner.plan(now, classes, knowledge, workers, waiting)
    }

    fn export(&self) -> Bytes {
        Bytes::new()
    }

    fn import(&mut self, _now: Timestamp, _table: &Bytes) {}
}
