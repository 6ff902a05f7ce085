//! Classes of work.
//!
//! A class states what callers may rely on for its work: what kind of work it
//! is, whether a request may be repeated, whether it is urgent and whether it
//! may be evicted. Everything that depends on the class reads these properties,
//! so that no module tests for a class by name.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::{
    id::{ClassId, ServiceId},
    size::Resources,
};

/// What kind of work a class holds.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ClassKind {
    /// A request to a latency-critical service, answered by an upstream.
    Service,
    /// A task that ends by itself and returns a result.
    Batch,
    /// A task that runs until it is cancelled.
    Watcher,
}

/// Whether, and on what condition, a request may be sent again.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Delivery {
    /// Running the work twice is harmless, even at the same time.
    Idempotent,
    /// Running the work again is harmless once the earlier attempt has ended,
    /// but two attempts must never run at the same time.
    Exclusive,
    /// The work must not be done twice.
    AtMostOnce,
}

/// The properties of a class of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name of the class.
    pub id: ClassId,
    /// What kind of work it holds.
    pub kind: ClassKind,
    /// Whether a request may be sent again.
    pub delivery: Delivery,
    /// The service whose upstreams answer, for [`ClassKind::Service`].
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Whether its work starts before other work, which may be evicted for it.
    #[serde(default)]
    pub urgent: bool,
    /// Whether its tasks may be evicted.
    #[serde(default)]
    pub evictable: bool,
    /// What one task or one request needs, unless the submission says otherwise.
    #[serde(default)]
    pub resources: Resources,
    /// Expected run time of one task or request, in milliseconds.
    #[serde(default)]
    pub expected_run_ms: u64,
    /// Target for the latency of an answer, in milliseconds; zero if none.
    #[serde(default)]
    pub latency_target_ms: u64,
    /// Weight of time lost by this class when classes compete for resources.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// Position of a class in a [`ClassTable`].
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClassIndex(pub u16);

impl ClassIndex {
    /// Returns the index for use with a slice.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}

/// Assigns small indices to classes, so that hot paths can index arrays.
///
/// An index is never reused: a class that leaves the agreement keeps its index
/// while tasks of it still run.
#[derive(Clone, Debug, Default)]
pub struct ClassTable {
    classes: Vec<Class>,
}

impl ClassTable {
    /// Adds the class or replaces its definition, and returns its index.
    ///
    /// # Panics
    ///
    /// Panics if more than 65,536 different classes are added.
    pub fn upsert(&mut self, class: &Class) -> ClassIndex {
        if let Some(index) = self.index_of(&class.id) {
            self.classes[index.as_usize()] = class.clone();
            return index;
        }
        let index = u16::try_from(self.classes.len()).expect("too many classes");
        self.classes.push(class.clone());
        ClassIndex(index)
    }

    /// Returns the index of a class.
    pub fn index_of(&self, id: &ClassId) -> Option<ClassIndex> {
        let position = self.classes.iter().position(|it| it.id == *id)?;
        Some(ClassIndex(position as u16))
    }

    /// Returns the class at an index.
    ///
    /// # Panics
    ///
    /// Panics if the index comes from another table.
    pub fn get(&self, index: ClassIndex) -> &Class {
        &self.classes[index.as_usize()]
    }

    /// Returns the number of classes.
    pub fn len(&self) -> usize {
        self.classes.len()
    }

    /// Reports whether the table holds no class.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }
}
