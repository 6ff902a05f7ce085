//! True slowdowns of the stand-in's workers, by which classes share one.

use std::collections::BTreeMap;

use mustardcove_core::id::ClassId;

/// How much each class slows down each other class on the same worker.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    pairs: BTreeMap<(ClassId, ClassId), f64>,
    default: f64,
}

impl Interference {
    /// Returns interference in which each neighbour of any class adds
    /// `default` to the slowdown, unless a pair says otherwise.
    pub fn uniform(default: f64) -> Interference {
        Interference { pairs: BTreeMap::new(), default }
    }

    /// Sets what each task of class `aggressor` adds to the slowdown of
    /// `victim`.
    pub fn with_pair(mut self, victim: ClassId, aggressor: ClassId, added: f64) -> Interference {
        self.pairs.insert((victim, aggressor), added);
        self
    }

    /// Returns the slowdown of `victim` next to `neighbours`; 1.0 is none.
    pub fn slowdown<'a>(
        &self,
        victim: &ClassId,
        neighbours: impl Iterator<Item = (&'a ClassId, usize)>,
    ) -> f64 {
        let added = |(class, count): (&ClassId, usize)| {
            let pair = self.pairs.get(&(victim.clone(), class.clone()));
            pair.unwrap_or(&self.default) * count as f64
        };
        1.0 + neighbours.map(added).sum::<f64>()
    }
}
