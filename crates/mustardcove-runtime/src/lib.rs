//! What every process of the system needs besides its own work.
//!
//! Settings, logs, metrics, supervision, signals, the administration routes
//! and the transport between our own processes. The reasons behind them are in
//! `docs/runtime.md` and `docs/peer-protocol.md`.

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
