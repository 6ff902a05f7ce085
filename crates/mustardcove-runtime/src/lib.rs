//! What every process of the system needs besides its own work.
//!
//! Settings, logs, metrics, supervision, signals, the administration routes
//! and the transport between our own processes. The reasons behind them are in
//! `docs/runtime.md` and `docs/peer-protocol.md`.

pub mod backoff;
pub mod clock;
pub mod metrics;
pub mod peer;
