//! Runtime shared by all mustardcove processes.
//!
//! Provides settings, logging, metrics, supervision, signal handling, the
//! administration routes and the transport between mustardcove processes. The
//! design is explained in `docs/runtime.md` and `docs/peer-protocol.md`.

pub mod admin;
pub mod backoff;
pub mod clock;
pub mod counted_store;
pub mod dump;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod process;
pub mod settings;
pub mod signals;
pub mod supervisor;
