//! Limits on requests in flight, and shedding.
//!
//! Three limits apply to a request, each with its own reason:
//!
//! - [`UpstreamLimit`] keeps an upstream from queueing: it follows latency and
//!   never exceeds the upstream's slots.
//! - [`MemberLimit`] keeps a member within the requests that the agreement
//!   allows, without a count shared between entry processes.
//! - [`Shedder`] refuses the least urgent work first when the entry process
//!   itself is close to its own limit.
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
