//! Health, readiness and the state dump, for operators and the platform.
//!
//! These are served on an address of their own, which callers do not reach.

use std::sync::Arc;

use axum::{Router, extract::State, response::Response, routing::get};
use http::StatusCode;
use mustardcove_core::{
    id::{MemberId, ProcessId, Revision, ServiceId},
    membership::UpstreamView,
    routing::RouteView,
    time::Timestamp,
};
use serde::Serialize;

use super::json_response;
use crate::{entry::Entry, shards::ShardClient};

/// Maximum number of members, and of upstreams per service, in a dump.
const DUMP_LIMIT: usize = 256;

/// State dump of an entry process; it contains no token, key or payload.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// The process.
    pub process: ProcessId,
    /// When the dump was made.
    pub made_at: Timestamp,
    /// Whether the process accepts requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// The revision of the agreement in force; zero if there is none.
    pub revision: Revision,
    /// Number of requests in flight.
    pub in_flight: u64,
    /// Number of requests in flight of each member.
    pub members: Vec<(MemberId, u32)>,
    /// This process's share of a member's request limit, in thousandths.
    pub share_permille: u32,
    /// Number of records of guarded requests.
    pub flights: usize,
    /// Number of tasks that continue without their callers.
    pub tasks: usize,
    /// Number of requests answered since the start.
    pub answered: u64,
    /// Number of requests refused since the start.
    pub refused: u64,
    /// The services.
    pub services: Vec<ServiceDump>,
}

/// Upstreams of one service.
#[derive(Debug, Serialize)]
pub struct ServiceDump {
    /// The service.
    pub service: ServiceId,
    /// Number of urgent requests that wait for an upstream.
    pub waiting_urgent: usize,
    /// Number of other requests that wait for an upstream.
    pub waiting: usize,
    /// State of each upstream in the membership.
    pub upstreams: Vec<UpstreamView>,
    /// Load of each upstream in the router.
    pub routes: Vec<RouteView>,
}

/// Returns the routes for operators and the platform.
pub fn router<C: ShardClient>(entry: &Arc<Entry<C>>) -> Router {
    Router::new()
        .route("/healthz", get(health))
        .route("/readyz", get(ready::<C>))
        .route("/dump", get(dump::<C>))
        .with_state(Arc::clone(entry))
}

/// Returns the state of the process.
pub fn process_dump<C>(entry: &Arc<Entry<C>>) -> Dump {
    let (in_flight, mut members, share_permille) = entry.load();
    members.sort();
    members.truncate(DUMP_LIMIT);
    let (answered, refused) = entry.metrics().totals();
    let services = entry.pools().into_iter().map(|pool| {
        let (upstreams, routes) = pool.views(DUMP_LIMIT);
        let [waiting_urgent, waiting] = pool.waiting();
        let service = pool.service().clone();
        ServiceDump { service, waiting_urgent, waiting, upstreams, routes }
    });
    Dump {
        process: entry.cfg().process.clone(),
        made_at: entry.clock().now(),
        ready: entry.is_ready(),
        draining: entry.draining().is_cancelled(),
        revision: entry.active_agreement().map(|it| it.agreement.revision).unwrap_or_default(),
        in_flight,
        members,
        share_permille,
        flights: entry.dispatch_table().len(),
        tasks: entry.tasks().len(),
        answered,
        refused,
        services: services.collect(),
    }
}

async fn health() -> StatusCode {
    StatusCode::OK
}

async fn ready<C: ShardClient>(State(entry): State<Arc<Entry<C>>>) -> StatusCode {
    if entry.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

async fn dump<C: ShardClient>(State(entry): State<Arc<Entry<C>>>) -> Response {
    json_response(StatusCode::OK, &process_dump(&entry))
}
