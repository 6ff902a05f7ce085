//! Text form of the reports.

use std::fmt::Write as _;

use crate::{compare::Comparison, outcome::Evaluation, report::Report};

/// Returns a report as text.
pub fn report(it: &Report, evaluations: &[Evaluation]) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "trace={} policy={} seed={}", it.trace, it.policy, it.seed);
    for (id, class) in &it.classes {
        let _ = writeln!(
            out,
            "class={id} arrived={} succeeded={} not_run={} other={} p50_ms={:.2} p99_ms={:.2} \
             p999_ms={:.2} per_min={:.1} work_s={:.0} evictions={}",
            class.arrived,
            class.succeeded,
            class.refused_not_run,
            class.refused_other,
            class.p50_ms,
            class.p99_ms,
            class.p999_ms,
            class.per_min,
            class.work_s,
            class.evictions
        );
    }
    let _ = writeln!(
        out,
        "urgent_starts={} urgent_start_p99_ms={} urgent_start_ms={} watcher_absence_ms={}",
        it.urgent_starts, it.urgent_start_p99_ms, it.urgent_start_ms, it.watcher_absence_ms
    );
    let _ = writeln!(
        out,
        "configuration_ms={} changes={} changes_refused={} leaving_ms={} stops={} stop_ms={}",
        it.configuration_ms, it.changes.0, it.changes.1, it.leaving_ms, it.stops, it.stop_ms
    );
    let _ = writeln!(
        out,
        "store_reads={} store_writes={} peak_reads_per_s={:.1} peak_writes_per_s={:.1} \
         waiting_watches={}",
        it.store_calls.0,
        it.store_calls.1,
        it.store_peak_per_s.0,
        it.store_peak_per_s.1,
        it.waiting_watches
    );
    for (kind, count) in &it.store_writes_by_kind {
        let _ = write!(out, "writes_{kind}={count} ");
    }
    let _ = writeln!(
        out,
        "remote_bytes={} remote_requests={} retries={} running_at_end={}",
        it.remote_bytes, it.remote_requests, it.retries, it.running_at_end
    );
    for number in 1..=9 {
        let property = format!("P{number}");
        let count = it.violations.get(&property).copied().unwrap_or_default();
        let _ = write!(out, "{property}={count} ");
    }
    let lost = it.violations.get("lost").copied().unwrap_or_default();
    let _ = writeln!(out, "lost={lost}");
    for it in &it.described {
        let _ = writeln!(out, "violation={} at_ms={} {}", it.property, it.at_ms, it.detail);
    }
    out.push_str(&self::evaluations(evaluations));
    out
}

/// Returns a comparison as text.
pub fn comparison(it: &Comparison, evaluations: &[Evaluation]) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "trace={} seeds={}", it.trace, it.seeds.len());
    let ratio = |it: Option<f64>| it.map_or("none".to_owned(), |it| format!("{it:.2}"));
    for (id, class) in &it.classes {
        let three = |it: [f64; 3], digits: usize| {
            format!("{:.digits$}/{:.digits$}/{:.digits$}", it[0], it[1], it[2])
        };
        let _ = writeln!(
            out,
            "class={id} p99_ms={} gap_closed={} work_s={} throughput_ratio={} evictions={} \
             evictions_ratio={}",
            three(class.p99_ms, 2),
            ratio(class.gap_closed),
            three(class.work_s, 0),
            ratio(class.throughput_ratio),
            three(class.evictions, 1),
            ratio(class.evictions_ratio)
        );
    }
    for (policy, violations) in &it.violations {
        for (property, count) in violations {
            let _ = writeln!(out, "policy={policy} violation={property} count={count}");
        }
    }
    out.push_str(&self::evaluations(evaluations));
    out
}

fn evaluations(evaluations: &[Evaluation]) -> String {
    let mut out = String::new();
    for it in evaluations {
        let _ = write!(out, "expect={}", it.metric);
        if let Some(class) = &it.class {
            let _ = write!(out, " class={class}");
        }
        for (name, bound) in [("at_most", it.at_most), ("at_least", it.at_least)] {
            if let Some(bound) = bound {
                let _ = write!(out, " {name}={bound}");
            }
        }
        let measured = it.measured.map_or("none".to_owned(), |it| format!("{it:.3}"));
        let _ = writeln!(out, " measured={measured} holds={}", it.holds);
    }
    out
}
