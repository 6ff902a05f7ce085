//! Stated outcomes against measured ones.

use mustardcove_core::id::ClassId;
use serde::Serialize;

use crate::trace::{Expectation, Metric};

/// A stated outcome with what was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// What is bounded.
    pub metric: Metric,
    /// The class that it is of.
    pub class: Option<ClassId>,
    /// The greatest value that is accepted.
    pub at_most: Option<f64>,
    /// The least value that is accepted.
    pub at_least: Option<f64>,
    /// What was measured, if anything was.
    pub measured: Option<f64>,
    /// Whether the bound holds.
    pub holds: bool,
}

/// Compares expectations of the given kind with what was measured.
pub fn judge(
    expectations: &[Expectation],
    is_comparison: bool,
    value: impl Fn(Metric, Option<&ClassId>) -> Option<f64>,
) -> Vec<Verdict> {
    let expectations = expectations.iter().filter(|it| it.metric.is_comparison() == is_comparison);
    expectations
        .map(|it| {
            let measured = value(it.metric, it.class.as_ref());
            let below = |it: f64, bound: Option<f64>| bound.is_none_or(|bound| it <= bound);
            let above = |it: f64, bound: Option<f64>| bound.is_none_or(|bound| bound <= it);
            let holds = measured.is_some_and(|x| below(x, it.at_most) && above(x, it.at_least));
            Verdict {
                metric: it.metric,
                class: it.class.clone(),
                at_most: it.at_most,
                at_least: it.at_least,
                measured,
                holds,
            }
        })
        .collect()
}
