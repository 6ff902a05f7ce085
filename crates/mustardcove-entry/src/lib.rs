//! Entry process of mustardcove.
//!
//! An entry process accepts callers' requests over HTTP/JSON. It routes service
//! requests to upstreams and passes jobs to the owners of their shards. The
//! process stores nothing durably; shard owners do. Decisions on upstreams,
//! limits and retries are made by `mustardcove-core`.
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
