//! Comparison of the placement policies on one trace.
//!
//! Every policy runs with the same seeds; results are medians over them.

use std::{collections::BTreeMap, sync::Arc};

use mustardcove_core::id::ClassId;
use serde::Serialize;

use crate::{
    policy::PolicyKind,
    report::Report,
    trace::{Metric, Trace},
};

/// Results of one class with the three policies, as medians over the seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassComparison {
    /// 99th percentile of latency: mustardcove, naive, oracle, in
    /// milliseconds.
    pub p99_ms: [f64; 3],
    /// Work done: mustardcove, naive, oracle, in seconds of run time.
    pub work_s: [f64; 3],
    /// Evictions: mustardcove, naive, oracle.
    pub evictions: [f64; 3],
    /// Share of the gap between naive and oracle that is closed at the 99th
    /// percentile; absent if there is no gap.
    pub gap_closed: Option<f64>,
    /// Work done relative to naive; absent if naive did none.
    pub throughput_ratio: Option<f64>,
    /// Evictions relative to naive; zero if neither policy made any, absent if
    /// only naive made none.
    pub evictions_ratio: Option<f64>,
}

/// A comparison of the policies on one trace.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Name of the trace.
    pub trace: String,
    /// Seeds with which each policy ran.
    pub seeds: Vec<u64>,
    /// Results by class.
    pub classes: BTreeMap<ClassId, ClassComparison>,
    /// Violations by policy and property, summed over the seeds.
    pub violations: BTreeMap<PolicyKind, BTreeMap<String, u64>>,
}

const POLICIES: [PolicyKind; 3] = [PolicyKind::Mustardcove, PolicyKind::Naive, PolicyKind::Oracle];

/// Runs a trace with every policy and the same seeds.
///
/// The runs of one seed share their arrivals, since arrivals do not depend on
/// the policy.
pub fn compare(trace: &Arc<Trace>, seeds: &[u64]) -> Comparison {
    let mut reports: BTreeMap<PolicyKind, Vec<Report>> = BTreeMap::new();
    for &seed in seeds {
        for policy in POLICIES {
            reports.entry(policy).or_default().push(crate::run(trace, policy, seed));
        }
    }
    let mut violations: BTreeMap<PolicyKind, BTreeMap<String, u64>> = BTreeMap::new();
    for (policy, reports) in &reports {
        for (property, count) in reports.iter().flat_map(|it| &it.violations) {
            *violations.entry(*policy).or_default().entry(property.clone()).or_default() += count;
        }
    }
    let classes =
        trace.header.classes.iter().map(|it| (it.id.clone(), compare_class(&reports, &it.id)));
    Comparison {
        trace: trace.header.name.clone(),
        seeds: seeds.to_vec(),
        classes: classes.collect(),
        violations,
    }
}

fn compare_class(reports: &BTreeMap<PolicyKind, Vec<Report>>, id: &ClassId) -> ClassComparison {
    let medians = |pick: fn(&crate::report::ClassReport) -> f64| {
        POLICIES.map(|policy| median(reports[&policy].iter().map(|it| pick(&it.classes[id]))))
    };
    let p99_ms = medians(|it| it.p99_ms);
    let work_s = medians(|it| it.work_s);
    let evictions = medians(|it| it.evictions as f64);
    let ratio = |it: [f64; 3]| (0.0 < it[1]).then(|| it[0] / it[1]);
    let gap = p99_ms[1] - p99_ms[2];
    ClassComparison {
        gap_closed: (0.0 < gap).then(|| (p99_ms[1] - p99_ms[0]) / gap),
        throughput_ratio: ratio(work_s),
        evictions_ratio: match evictions {
            [mustardcove, naive, _] if mustardcove == 0.0 && naive == 0.0 => Some(0.0),
            _ => ratio(evictions),
        },
        p99_ms,
        work_s,
        evictions,
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        len if len % 2 == 1 => values[middle],
        _ => f64::midpoint(values[middle - 1], values[middle]),
    }
}

impl Comparison {
    /// Returns the value of a metric of a comparison.
    pub fn value(&self, metric: Metric, class: Option<&ClassId>) -> Option<f64> {
        let class = self.classes.get(class?)?;
        match metric {
            Metric::ThroughputRatio => class.throughput_ratio,
            Metric::EvictionsRatio => class.evictions_ratio,
            Metric::GapClosed => class.gap_closed,
            _ => None,
        }
    }

    /// Returns the number of violations of all policies together.
    pub fn violation_count(&self) -> u64 {
        self.violations.values().flat_map(BTreeMap::values).sum()
    }
}
