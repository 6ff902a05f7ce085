//! Limits on requests in flight, and load shedding.
//!
//! Three limits apply to a request:
//!
//! - [`UpstreamLimit`] prevents queueing at an upstream: it adapts to latency
//!   and never exceeds the upstream's slots.
//! - [`MemberLimit`] keeps a member within the requests that the agreement
//!   allows, without a counter shared between entry processes.
//! - [`Shedder`] refuses the least urgent work first when the entry process
//!   itself is close to its capacity.
//!
//! See `docs/routing.md` and `docs/design.md`, section 3.10.

pub use self::{
    member::{EntryShare, MemberLimit},
    shed::{ShedClass, Shedder},
    upstream::UpstreamLimit,
};

mod member;
mod shed;
mod upstream;
