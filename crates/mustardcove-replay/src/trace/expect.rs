//! Expectations: bounds on the results of a run.

use mustardcove_core::id::ClassId;
use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// A bound on a metric of a run or a comparison.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expectation {
    /// What is bounded.
    pub metric: Metric,
    /// The class, for metrics by class.
    #[serde(default)]
    pub class: Option<ClassId>,
    /// The greatest accepted value.
    #[serde(default)]
    pub at_most: Option<f64>,
    /// The least accepted value.
    #[serde(default)]
    pub at_least: Option<f64>,
}

/// A metric that an expectation can bound.
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
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Metric {
    /// Violations of P1 to P9 and lost jobs, added up.
    Violations,
    /// 99th percentile of the latency of a service class, in milliseconds.
    P99Ms,
    /// Jobs of a batch class that succeeded, per minute.
    ThroughputPerMin,
    /// Evictions of a class.
    Evictions,
    /// Longest time from the arrival to the start of urgent work, in
    /// milliseconds.
    UrgentStartMs,
    /// Longest time for which a watcher was not running, in milliseconds.
    WatcherAbsenceMs,
    /// Longest time until a revision was in force everywhere, in milliseconds.
    ConfigurationMs,
    /// Longest time for which a leaving upstream still got new work, in
    /// milliseconds.
    LeavingMs,
    /// Longest planned stop of a process, in milliseconds.
    StopMs,
    /// Highest rate of writes to the store over ten seconds, per second.
    StoreWritesPerS,
    /// Highest rate of reads from the store over ten seconds, per second.
    StoreReadsPerS,
    /// Batch work of a class that was finished or saved, relative to naive;
    /// only for `compare`.
    ThroughputRatio,
    /// Evictions of a class relative to naive; only for `compare`.
    EvictionsRatio,
    /// Share of the gap between naive and oracle that is closed at the 99th
    /// percentile; only for `compare`.
    GapClosed,
}

impl Metric {
    /// Reports whether the metric is measured by class.
    pub fn is_by_class(self) -> bool {
        matches!(
            self,
            Metric::P99Ms
                | Metric::ThroughputPerMin
                | Metric::Evictions
                | Metric::ThroughputRatio
                | Metric::EvictionsRatio
                | Metric::GapClosed
        )
    }

    /// Reports whether the metric compares several policies.
    pub fn is_comparison(self) -> bool {
        matches!(self, Metric::ThroughputRatio | Metric::EvictionsRatio | Metric::GapClosed)
    }
}
