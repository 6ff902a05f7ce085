//! Recorded traces.
//!
//! A trace is JSON Lines: one header, then events and expectations. The format
//! is described in `docs/traces.md`. Unknown fields are errors: if a setting
//! were silently ignored, the run would not be the one that its author
//! intended.

mod event;
mod expect;
mod header;
mod parse;

pub use self::{
    event::{
        Arrival, CancelEvent, ConfigurationEvent, LoadEvent, OperatorsEvent, ProcessAction,
        ProcessEvent, RackAction, RackEvent, RegionAction, RegionEvent, ReportEvent, StoreAction,
        StoreEvent, Stream, TraceEvent, WorkerAction, WorkerEvent,
    },
    expect::{Expectation, Metric},
    header::{
        FleetSpec, Header, InstanceSpec, Latencies, LinkSpec, MemberSpec, RegionSpec, SampleSpec,
        Slowdown, StoreSpec, UpstreamSpec, WorkerSpec,
    },
    parse::{FORMAT_VERSION, Trace, TraceError},
};
