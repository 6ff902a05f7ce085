//! Replay of recorded traces through the decision core in virtual time.
//!
//! The library reads a trace, runs it with one of the placement policies and
//! reports what was measured, which properties were violated and which
//! expectations were missed. It drives the state machines of the core and the
//! in-memory implementation of the platform; it is not a general cluster
//! simulator. See `docs/traces.md`.

mod checks;
pub mod compare;
pub mod defect;
pub mod outcome;
mod plan;
pub mod policy;
pub mod report;
pub mod text;
pub mod trace;
mod world;

use std::sync::Arc;

pub use self::{checks::Violation, policy::PolicyKind, report::Report, trace::Trace};

/// Runs a trace with a policy and a seed.
///
/// The same trace, policy and seed give the same report.
pub fn run(trace: &Arc<Trace>, policy: PolicyKind, seed: u64) -> Report {
    world::World::new(Arc::clone(trace), policy, seed, None).run()
}

/// Runs a trace with a deliberate defect in the models, to test that the
/// checks report it.
pub fn run_with_defect(trace: &Arc<Trace>, defect: defect::Defect) -> Report {
    let (policy, seed) = (PolicyKind::Mustardcove, trace.header.seed);
    world::World::new(Arc::clone(trace), policy, seed, Some(defect)).run()
}
