//! Slowdowns that classes cause each other on the stand-in's workers.
//!
//! These are the actual slowdowns; the scheduler only sees measurements of
//! them.

use std::collections::BTreeMap;

use mustardcove_core::{
    id::ClassId,
    interference::{LOAD_LEVELS, LoadLevel},
};

/// How much each class slows down each other class on the same worker.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    /// By victim and aggressor: added slowdown per load level.
    pairs: BTreeMap<ClassId, BTreeMap<ClassId, [f64; LOAD_LEVELS]>>,
    default: f64,
}

impl Interference {
    /// Returns interference in which each neighbour of any class adds
    /// `default` to the slowdown, unless a pair says otherwise.
    pub fn uniform(default: f64) -> Interference {
        Interference { pairs: BTreeMap::new(), default }
    }

    /// Sets what each task of class `aggressor` adds to the slowdown of
    /// `victim`, at any load.
    pub fn with_pair(self, victim: ClassId, aggressor: ClassId, added: f64) -> Interference {
        self.with_pair_by_load(victim, aggressor, [added; LOAD_LEVELS])
    }

    /// Sets what each task of class `aggressor` adds to the slowdown of
    /// `victim` at each load level.
    pub fn with_pair_by_load(
        mut self,
        victim: ClassId,
        aggressor: ClassId,
        added: [f64; LOAD_LEVELS],
    ) -> Interference {
        self.pairs.entry(victim).or_default().insert(aggressor, added);
        self
    }

    /// Returns the slowdown of `victim` next to `neighbours`; 1.0 means no
    /// slowdown.
    pub fn slowdown<'a>(
        &self,
        victim: &ClassId,
        load: LoadLevel,
        neighbours: impl Iterator<Item = (&'a ClassId, usize)>,
    ) -> f64 {
        let row = self.pairs.get(victim);
        let added = |(class, count): (&ClassId, usize)| {
            let pair = row.and_then(|it| it.get(class)).map(|it| it[load.as_usize()]);
            pair.unwrap_or(self.default) * count as f64
        };
        1.0 + neighbours.map(added).sum::<f64>()
    }
}
