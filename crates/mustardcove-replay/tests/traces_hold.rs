//! The traces under `traces/` meet their expectations.

use std::{path::Path, sync::Arc, thread};

use mustardcove_replay::{PolicyKind, Trace, outcome, text};

/// Too large for this test; see `docs/measurements.md`.
const LARGE: &str = "two-year-day";

fn check(path: &Path) {
    let trace = Arc::new(Trace::read(path).unwrap());
    let report = mustardcove_replay::run(&trace, PolicyKind::Mustardcove, trace.header.seed);
    let value = |metric, class: Option<&_>| report.value(metric, class);
    let evaluations = outcome::evaluate(&trace.expectations, false, value);
    let holds = report.violations.is_empty() && evaluations.iter().all(|it| it.holds);
    assert!(holds, "{}", text::report(&report, &evaluations));
}

/// Guards against changes to the core that violate a property or miss a bound
/// of the design page in a recorded situation.
#[test]
fn all_traces() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let files = std::fs::read_dir(dir).unwrap().map(|it| it.unwrap().path());
    let files: Vec<_> = files.filter(|it| it.extension().is_some_and(|it| it == "jsonl")).collect();
    assert!(14 <= files.len(), "{files:?}");
    thread::scope(|scope| {
        // Two threads leave the other cores to other tests.
        for half in 0..2 {
            let files = files.iter().skip(half).step_by(2);
            let files = files.filter(|it| it.file_stem().is_some_and(|it| it != LARGE));
            scope.spawn(move || files.for_each(|it| check(it)));
        }
    });
}
