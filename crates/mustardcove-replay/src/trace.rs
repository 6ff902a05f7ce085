//! Recorded traces.
//!
//! A trace is JSON Lines: one header, then events and expectations. The format
//! is described in `docs/traces.md`. Fields that are not known are errors,
//! because a setting that is silently ignored would make a run mean something
//! else than its author thinks.

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
