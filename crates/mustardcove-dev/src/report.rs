//! What callers asked for, got and lost.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use mustardcove_core::{id::ClassId, verdict::Verdict};

/// Longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// What callers of one class saw.
#[derive(Clone, Debug)]
pub struct ClassReport {
    /// Requests made, repetitions not counted.
    pub asked: u64,
    /// Jobs accepted.
    pub accepted: u64,
    /// Requests answered, or jobs that succeeded.
    pub answered: u64,
    /// Answers that belonged to another request.
    pub wrong: u64,
    /// Refusals of work that did not run.
    pub not_run: u64,
    /// Refusals of work that ran or may have run.
    pub may_have_run: u64,
    /// Connections that broke.
    pub broken: u64,
    /// Requests given up by the caller.
    pub given_up: u64,
    /// Jobs that failed or were cancelled.
    pub failed: u64,
    /// Jobs that had not ended when the run did.
    pub unfinished: u64,
    latency_us: Histogram<u64>,
    accept_us: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds of the histogram are valid")
}

fn micros(elapsed: Duration) -> u64 {
    (elapsed.as_micros() as u64).clamp(1, MAX_LATENCY_US)
}

impl Default for ClassReport {
    fn default() -> ClassReport {
        ClassReport {
            asked: 0,
            accepted: 0,
            answered: 0,
            wrong: 0,
            not_run: 0,
            may_have_run: 0,
            broken: 0,
            given_up: 0,
            failed: 0,
            unfinished: 0,
            latency_us: histogram(),
            accept_us: histogram(),
        }
    }
}

impl ClassReport {
    /// Records an answer; `is_own` says whether it belonged to the request.
    pub fn answered(&mut self, elapsed: Duration, is_own: bool) {
        self.answered += 1;
        self.wrong += u64::from(!is_own);
        self.latency_us.saturating_record(micros(elapsed));
    }

    /// Records that a job was accepted.
    pub fn accepted(&mut self, elapsed: Duration) {
        self.accepted += 1;
        self.accept_us.saturating_record(micros(elapsed));
    }

    /// Records a refusal.
    pub fn refused(&mut self, verdict: Verdict) {
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
    pub fn accept_ms(&self, quantile: f64) -> f64 {
        self.accept_us.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns requests that neither ended nor were refused.
    pub fn lost(&self) -> u64 {
        let known = self.answered + self.given_up + self.failed + self.unfinished;
        self.asked.saturating_sub(known)
    }
}

/// What all callers of a deployment saw.
#[derive(Clone, Debug)]
pub struct Report {
    /// The deployment.
    pub name: String,
    /// By class.
    pub classes: BTreeMap<ClassId, ClassReport>,
}

impl Report {
    /// Returns an empty report.
    pub fn new(name: &str) -> Report {
        Report { name: name.to_owned(), classes: BTreeMap::new() }
    }

    /// Returns the report of a class.
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
                it.asked,
                it.answered,
                it.not_run + it.may_have_run,
                it.failed,
                it.unfinished,
                it.given_up,
                it.lost() + it.wrong,
                it.latency_ms(0.5),
                it.latency_ms(0.99),
                it.latency_ms(1.0),
            )?;
        }
        Ok(())
    }
}
