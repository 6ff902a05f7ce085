//! Slowdowns that classes of work cause each other on a shared worker.
//!
//! A task's slowdown is modelled as the product of `1 + excess` over its
//! neighbours, where the excess depends on the class of the victim, the class
//! of the aggressor and the load level of the worker. The logarithm of a
//! product is a sum, so each measurement is one linear equation in the
//! logarithms of the pairs, and learning is a regression.
//!
//! [`SlowdownTable`] holds the estimates that placement reads; it is flat and
//! indexed by [`ClassIndex`], because a choice of a worker reads it for every
//! class on every worker. [`InterferenceTable`] fills one from measurements.
//! See `docs/placement.md`.

use strum::{Display, EnumString, IntoStaticStr};

use crate::{
    class::{ClassIndex, ClassTable},
    size::{Millicores, Resources},
};

pub use self::{
    exchange::EXPORT_LIMIT_BYTES,
    learner::{InterferenceTable, SlowdownSample},
};

mod exchange;
mod learner;

/// Number of load levels.
pub const LOAD_LEVELS: usize = 3;

/// Largest excess that a table holds; larger ones are clamped to it.
pub const MAX_EXCESS: f64 = 15.0;

/// Share of a worker's processors that is committed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LoadLevel {
    /// Less than half.
    Low,
    /// From half to less than four fifths.
    Medium,
    /// Four fifths and more.
    High,
}

impl LoadLevel {
    /// Every level, lowest first.
    pub const ALL: [LoadLevel; LOAD_LEVELS] = [LoadLevel::Low, LoadLevel::Medium, LoadLevel::High];

    /// Returns the level for an amount committed out of a capacity.
    ///
    /// Integer arithmetic gives the same level in every process. The two
    /// comparisons are added up because a branch on them is mispredicted for
    /// every other worker.
    pub fn of(committed: Millicores, capacity: Millicores) -> LoadLevel {
        let half = committed.0.saturating_mul(2) >= capacity.0;
        let four_fifths = committed.0.saturating_mul(5) >= capacity.0.saturating_mul(4);
        LoadLevel::ALL[usize::from(half) + usize::from(four_fifths)]
    }

    /// Returns the level that residents cause if each has the size that its
    /// class declares.
    ///
    /// Slots of upstreams are left out, because a worker's capacity for tasks
    /// does not include the reservation for them.
    pub fn of_residents(
        classes: &ClassTable,
        residents: &[(ClassIndex, u16)],
        capacity: Resources,
    ) -> LoadLevel {
        let committed = residents.iter().fold(Resources::ZERO, |sum, &(class, count)| {
            let class = classes.get(class);
            if class.service.is_some() {
                return sum;
            }
            sum.saturating_add(class.resources.saturating_mul(u32::from(count)))
        });
        LoadLevel::of(committed.cpu, capacity.cpu)
    }

    /// Returns the level's position in a table.
    pub fn as_usize(self) -> usize {
        self as usize
    }
}

/// Excess slowdown per load level and ordered pair of classes.
///
/// Each value is kept twice: by aggressor as `ln(1 + excess)`, which adds up
/// over the residents of a worker, and by victim as the plain excess. Either
/// way, the values that one resident contributes to all other classes are
/// contiguous.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowdownTable {
    classes: usize,
    /// `ln(1 + excess)` by level, aggressor and victim.
    logs: Vec<f32>,
    /// Excess by level, victim and aggressor.
    excesses: Vec<f32>,
}

impl SlowdownTable {
    /// Returns a table for `classes` classes that do not affect each other.
    pub fn new(classes: usize) -> SlowdownTable {
        let len = LOAD_LEVELS * classes * classes;
        SlowdownTable { classes, logs: vec![0.0; len], excesses: vec![0.0; len] }
    }

    /// Returns a table filled from a function of level, victim and aggressor.
    pub fn from_fn(
        classes: usize,
        mut excess: impl FnMut(LoadLevel, ClassIndex, ClassIndex) -> f64,
    ) -> SlowdownTable {
        let mut table = SlowdownTable::new(classes);
        for level in LoadLevel::ALL {
            for victim in 0..classes {
                for aggressor in 0..classes {
                    let victim = ClassIndex(victim as u16);
                    let aggressor = ClassIndex(aggressor as u16);
                    table.set(level, victim, aggressor, excess(level, victim, aggressor));
                }
            }
        }
        table
    }

    /// Returns the number of classes that the table covers.
    pub fn classes(&self) -> usize {
        self.classes
    }

    /// Extends the table to `classes` classes; new pairs do not interfere.
    pub fn grow(&mut self, classes: usize) {
        if classes <= self.classes {
            return;
        }
        let known = self.classes;
        let old = std::mem::replace(self, SlowdownTable::new(classes));
        for level in 0..LOAD_LEVELS {
            for row in 0..known {
                let from = (level * known + row) * known;
                let to = (level * classes + row) * classes;
                self.logs[to..to + known].copy_from_slice(&old.logs[from..from + known]);
                self.excesses[to..to + known].copy_from_slice(&old.excesses[from..from + known]);
            }
        }
    }

    /// Sets the excess that one task of `aggressor` causes to `victim`.
    ///
    /// # Panics
    ///
    /// Panics if a class is outside the table.
    pub fn set(
        &mut self,
        level: LoadLevel,
        victim: ClassIndex,
        aggressor: ClassIndex,
        excess: f64,
    ) {
        let excess = excess.clamp(0.0, MAX_EXCESS);
        let by_aggressor = self.row(level, aggressor) + victim.as_usize();
        let by_victim = self.row(level, victim) + aggressor.as_usize();
        self.logs[by_aggressor] = excess.ln_1p() as f32;
        self.excesses[by_victim] = excess as f32;
    }

    /// Returns the excess that one task of `aggressor` causes to `victim`.
    ///
    /// # Panics
    ///
    /// Panics if a class is outside the table.
    pub fn excess(&self, level: LoadLevel, victim: ClassIndex, aggressor: ClassIndex) -> f64 {
        f64::from(self.excess_row(level, victim)[aggressor.as_usize()])
    }

    /// Returns `ln(1 + excess)` caused by a class, per victim.
    pub fn log_row(&self, level: LoadLevel, aggressor: ClassIndex) -> &[f32] {
        let start = self.row(level, aggressor);
        &self.logs[start..start + self.classes]
    }

    /// Returns the excess suffered by a class, per aggressor.
    pub fn excess_row(&self, level: LoadLevel, victim: ClassIndex) -> &[f32] {
        let start = self.row(level, victim);
        &self.excesses[start..start + self.classes]
    }

    /// Returns the slowdown of one of the residents of class `victim`.
    ///
    /// The victim is one of the residents and does not slow itself down.
    pub fn slowdown(
        &self,
        level: LoadLevel,
        victim: ClassIndex,
        residents: &[(ClassIndex, u16)],
    ) -> f64 {
        let mut sum = 0.0;
        for &(class, count) in residents {
            let count = if class == victim { count.saturating_sub(1) } else { count };
            sum += f32::from(count) * self.log_row(level, class)[victim.as_usize()];
        }
        f64::from(sum).exp()
    }

    fn row(&self, level: LoadLevel, class: ClassIndex) -> usize {
        (level.as_usize() * self.classes + class.as_usize()) * self.classes
    }
}
