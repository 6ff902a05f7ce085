//! Evaluation of a trace's expectations.

use mustardcove_core::id::ClassId;
use serde::Serialize;

use crate::trace::{Expectation, Metric};

/// An expectation with the measured value.
#[derive(Clone, Debug, Serialize)]
pub struct Evaluation {
    /// What is bounded.
    pub metric: Metric,
    /// The class, for metrics by class.
    pub class: Option<ClassId>,
    /// The greatest accepted value.
    pub at_most: Option<f64>,
    /// The least accepted value.
    pub at_least: Option<f64>,
    /// The measured value, if there is one.
    pub measured: Option<f64>,
    /// Whether the bound holds.
    pub holds: bool,
}

/// Evaluates the expectations on a single run or, if `is_comparison`, on a
/// comparison of policies; a metric without a value misses its bound.
pub fn evaluate(
    expectations: &[Expectation],
    is_comparison: bool,
    value: impl Fn(Metric, Option<&ClassId>) -> Option<f64>,
) -> Vec<Evaluation> {
    let expectations = expectations.iter().filter(|it| it.metric.is_comparison() == is_comparison);
    expectations
        .map(|it| {
            let measured = value(it.metric, it.class.as_ref());
            let below = |it: f64, bound: Option<f64>| bound.is_none_or(|bound| it <= bound);
            let above = |it: f64, bound: Option<f64>| bound.is_none_or(|bound| bound <= it);
            let holds = measured.is_some_and(|x| below(x, it.at_most) && above(x, it.at_least));
            Evaluation {
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
