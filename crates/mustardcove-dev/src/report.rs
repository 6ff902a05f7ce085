//! Counts and latencies of requests, as callers observe them.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use mustardcove_core::{id::ClassId, verdict::Verdict};

/// Longest latency that can be recorded, in microseconds; longer ones count as
/// this long.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Outcomes of the requests of one class.
#[derive(Clone, Debug)]
pub struct ClassReport {
    /// Number of distinct requests; repeated attempts are not counted.
    pub requests: u64,
    /// Jobs accepted.
    pub accepted: u64,
    /// Requests answered, or jobs that succeeded.
    pub answered: u64,
    /// Answers that belonged to another request; also counted as answered.
    pub mismatched: u64,
    /// Refusals of work that did not run.
    pub not_run: u64,
    /// Refusals of work that ran or may have run.
    pub may_have_run: u64,
    /// Attempts that failed without a response.
    pub connection_errors: u64,
    /// Requests that the caller gave up.
    pub given_up: u64,
    /// Jobs that failed or were cancelled.
    pub failed: u64,
    /// Jobs that had not ended, or watchers that had not started, in time.
    pub unfinished: u64,
    latency_us: Histogram<u64>,
    accept_latency_us: Histogram<u64>,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds of the histogram are valid")
}

fn latency_us(elapsed: Duration) -> u64 {
    (elapsed.as_micros() as u64).clamp(1, MAX_LATENCY_US)
}

impl Default for ClassReport {
    fn default() -> ClassReport {
        ClassReport {
            requests: 0,
            accepted: 0,
            answered: 0,
            mismatched: 0,
            not_run: 0,
            may_have_run: 0,
            connection_errors: 0,
            given_up: 0,
            failed: 0,
            unfinished: 0,
            latency_us: new_histogram(),
            accept_latency_us: new_histogram(),
        }
    }
}

impl ClassReport {
    /// Records an answer; `is_matching` says whether it belonged to the request.
    pub fn record_answer(&mut self, elapsed: Duration, is_matching: bool) {
        self.answered += 1;
        self.mismatched += u64::from(!is_matching);
        self.latency_us.saturating_record(latency_us(elapsed));
    }

    /// Records that a job was accepted.
    pub fn record_accepted(&mut self, elapsed: Duration) {
        self.accepted += 1;
        self.accept_latency_us.saturating_record(latency_us(elapsed));
    }

    /// Records a refusal of one attempt.
    pub fn record_refusal(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::NotRun => self.not_run += 1,
            Verdict::Ran | Verdict::MayHaveRun => self.may_have_run += 1,
        }
    }

    /// Returns a quantile of the time to the answer, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns a quantile of the time until a job was accepted, in
    /// milliseconds.
    pub fn accept_latency_ms(&self, quantile: f64) -> f64 {
        self.accept_latency_us.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the number of requests without a known outcome: those that are
    /// not counted as answered, given up, failed or unfinished.
    pub fn lost(&self) -> u64 {
        let known = self.answered + self.given_up + self.failed + self.unfinished;
        self.requests.saturating_sub(known)
    }
}

/// Outcomes of all requests to a deployment.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the deployment.
    pub name: String,
    /// Reports by class.
    pub classes: BTreeMap<ClassId, ClassReport>,
}

impl Report {
    /// Returns an empty report.
    pub fn new(name: &str) -> Report {
        Report { name: name.to_owned(), classes: BTreeMap::new() }
    }

    /// Returns the report of a class, which is created if it does not exist.
    pub fn class(&mut self, class: &ClassId) -> &mut ClassReport {
        self.classes.entry(class.clone()).or_default()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<20} {:>6} {:>8} {:>8} {:>7} {:>6} {:>10} {:>5} {:>9} {:>9} {:>9}",
            self.name,
            "asked",
            "answered",
            "refused",
            "failed",
            "open",
            "given up",
            "lost",
            "p50 ms",
            "p99 ms",
            "max ms"
        )?;
        for (class, it) in &self.classes {
            writeln!(
                f,
                "{:<20} {:>6} {:>8} {:>8} {:>7} {:>6} {:>10} {:>5} {:>9.1} {:>9.1} {:>9.1}",
                class.as_str(),
                it.requests,
                it.answered,
                it.not_run + it.may_have_run,
                it.failed,
                it.unfinished,
                it.given_up,
                it.lost() + it.mismatched,
                it.latency_ms(0.5),
                it.latency_ms(0.99),
                it.latency_ms(1.0),
            )?;
        }
        Ok(())
    }
}
