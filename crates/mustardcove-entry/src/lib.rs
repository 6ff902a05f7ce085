//! Entry process of mustardcove.
//!
//! An entry process takes callers' requests over HTTP/JSON. Service requests
//! are routed to an upstream; jobs go to the owner of their shard. The process
//! keeps nothing durable: whatever has to be kept is kept by shard owners, and
//! the decisions on upstreams, limits and retries are those of
//! `mustardcove-core`.
//!
//! See `docs/api.md` for callers and `docs/routing.md` for the design.

pub mod api;
pub mod auth;
pub mod body;
pub mod config;
pub mod control;
pub mod dispatch;
pub mod dispatch_table;
pub mod entry;
pub mod job_view;
pub mod link;
pub mod metrics;
pub mod operators;
pub mod pool;
pub mod process;
pub mod refusal;
pub mod request_id;
pub mod server;
pub mod settings;
pub mod shards;
pub mod stored_answer;
pub mod upstream;
pub mod upstream_monitor;
