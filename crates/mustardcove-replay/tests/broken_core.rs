//! The checks report deliberate defects.

#[path = "support/small.rs"]
mod small;

use std::sync::Arc;

use mustardcove_replay::{PolicyKind, Trace, defect::Defect};
use strum::IntoEnumIterator;

const EVENTS: &str = r#"
{"kind":"process","at_ms":500,"process":"entry-2","action":"stop"}
{"kind":"worker","at_ms":1000,"worker":"east-a-w1","action":"leaving"}
{"kind":"configuration","at_ms":5000,"member":"coop","max_requests":150}
"#;

fn trace() -> Arc<Trace> {
    let mut lines: Vec<&str> = small::STREAMS.trim().lines().collect();
    lines.extend(EVENTS.trim().lines());
    let text = [small::HEADER, &lines.join("\n")].join("\n");
    Arc::new(Trace::parse("small", &text).unwrap())
}

/// Guards against checks that can never fail: for each property, its check
/// reports a model that violates it, and no check reports a correct model.
#[test]
fn defects_reported() {
    let trace = trace();
    let sound = mustardcove_replay::run(&trace, PolicyKind::Mustardcove, trace.header.seed);
    assert!(sound.violations.is_empty(), "{:?}", sound.described);
    for defect in Defect::iter() {
        let report = mustardcove_replay::run_with_defect(&trace, defect);
        let count = report.violations.get(defect.property()).copied().unwrap_or_default();
        assert_ne!(count, 0, "{defect}: {:?}", report.violations);
    }
}
