//! The policy used in production: placement by learned interference.

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    class::{ClassIndex, ClassTable},
    eviction::{EvictionPlanner, SlowdownModel},
    interference::{InterferenceTable, LoadLevel, SlowdownSample},
    placement::{
        EvictionChoice, PlacementPolicy, PlacementRequest, WorkerIndex, WorkerView, score::Scorer,
    },
    size::Resources,
    time::Timestamp,
    worker::UsageSample,
};

/// One choice in this many explores pairs of classes with few samples.
const EXPLORATION_INTERVAL: u32 = 128;

/// Places by learned slowdowns; see `docs/placement.md`.
#[derive(Clone, Debug)]
pub struct LearnedPolicy {
    table: InterferenceTable,
    scorer: Scorer,
    planner: EvictionPlanner,
    rng: ChaCha8Rng,
    /// Latest time passed to any method, for [`PlacementPolicy::export`].
    now: Timestamp,
}

impl LearnedPolicy {
    /// Returns a policy without any samples.
    ///
    /// The seed determines exploration and identifies the source of exported
    /// tables, so groups that exchange tables need different seeds.
    pub fn new(seed: u64) -> LearnedPolicy {
        LearnedPolicy {
            table: InterferenceTable::new(seed),
            scorer: Scorer::default(),
            planner: EvictionPlanner::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Timestamp::default(),
        }
    }

    /// Returns the learned interference table.
    pub fn interference(&self) -> &InterferenceTable {
        &self.table
    }

    fn prepare(&mut self, now: Timestamp, classes: &ClassTable) {
        self.now = self.now.max(now);
        self.table.cover(classes);
    }
}

impl PlacementPolicy for LearnedPolicy {
    fn choose(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        request: &PlacementRequest,
        workers: &[WorkerView],
    ) -> Option<WorkerIndex> {
        self.prepare(now, classes);
        let slowdowns = self.table.slowdowns();
        // Urgent tasks never explore.
        if !request.urgent && self.rng.random_ratio(1, EXPLORATION_INTERVAL) {
            let choice = self.scorer.explore(&self.table, classes, request, workers);
            if choice.is_some() {
                return choice;
            }
        }
        let generation = self.table.generation();
        self.scorer.best_worker(now, slowdowns, generation, classes, request, workers)
    }

    fn observe(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        sample: &UsageSample,
        residents: &[(ClassIndex, u16)],
        capacity: Resources,
    ) {
        self.prepare(now, classes);
        let Some(victim) = classes.index_of(&sample.class) else { return };
        self.planner.observe(now, classes, victim, sample);
        let sample = SlowdownSample {
            victim,
            is_task: sample.task.is_some(),
            level: LoadLevel::of_residents(classes, residents, capacity),
            taken_at: sample.taken_at,
            slowdown: sample.slowdown,
            residents,
        };
        self.table.learn(now, &sample);
    }

    fn choose_evictions(
        &mut self,
        now: Timestamp,
        classes: &ClassTable,
        workers: &[WorkerView],
        waiting: &[PlacementRequest],
    ) -> Vec<EvictionChoice> {
        self.prepare(now, classes);
        let slowdowns = self.table.slowdowns();
        self.scorer.refresh(now, slowdowns, self.table.generation(), classes, workers);
        let model = SlowdownModel::Learned(&self.table);
        self.planner.plan(now, classes, model, workers, waiting)
    }

    fn export(&self) -> Bytes {
        self.table.export(self.now)
    }

    fn import(&mut self, now: Timestamp, table: &Bytes) {
        self.now = self.now.max(now);
        self.table.import(now, table);
    }
}
