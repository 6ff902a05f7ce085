//! Stand-in for the platform's store.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use axum::{
    Router,
    extract::{ConnectInfo, DefaultBodyLimit, State},
    response::Response,
    routing::post,
};
use bytes::Bytes;
use http::StatusCode;
use mustardcove_core::store::{MAX_VALUE_BYTES, StoreOp, StoreResult};

use super::server::{DEFAULT_CONNECTIONS, Server, broken_response, json, loopback};
use crate::{
    clock::Clock,
    http::store::{STORE_PATH, status_of},
    memory::{MemoryStore, store::NoAnswer},
    wire,
};

/// Largest body of a call, in bytes: the largest value in base64, and 64 KiB
/// for its key and the other fields.
const MAX_CALL_BYTES: usize = MAX_VALUE_BYTES / 3 * 4 + (64 << 10);

/// Time that the connection of an unanswered call is kept open.
pub(super) const UNANSWERED_HOLD_TIME: Duration = Duration::from_secs(120);

/// A running stand-in for the store.
#[derive(Debug)]
pub struct StoreStandin {
    store: MemoryStore,
    server: Server,
}

impl StoreStandin {
    /// Starts a stand-in with an empty store on a port chosen by the operating
    /// system.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(clock: Clock, seed: u64) -> std::io::Result<StoreStandin> {
        StoreStandin::serve(loopback(), MemoryStore::new(clock, seed)).await
    }

    /// Serves `store` on a port of `ip` chosen by the operating system.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn serve(ip: IpAddr, store: MemoryStore) -> std::io::Result<StoreStandin> {
        let router = Router::new()
            .route(STORE_PATH, post(call))
            .layer(DefaultBodyLimit::max(MAX_CALL_BYTES))
            .with_state(store.clone());
        let server = Server::start(ip, router, DEFAULT_CONNECTIONS).await?;
        Ok(StoreStandin { store, server })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the store that is served, with its faults and counters.
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// Takes the server down, so that connections are refused, or brings it up
    /// again.
    pub fn set_available(&self, is_available: bool) {
        self.server.set_available(is_available);
    }
}

async fn call(
    State(store): State<MemoryStore>,
    ConnectInfo(peer): ConnectInfo<SocketAddr>,
    body: Bytes,
) -> Response {
    let Ok(op) = wire::from_json::<StoreOp>(&body) else {
        return bad_request();
    };
    match store.call_from(op, Some(peer.ip())).await {
        Ok(result) => answer(&result),
        Err(NoAnswer::AnswerLost) => broken_response(),
        Err(NoAnswer::CallLost) => {
            tokio::time::sleep(UNANSWERED_HOLD_TIME).await;
            broken_response()
        }
    }
}

fn answer(result: &StoreResult) -> Response {
    match result {
        Ok(reply) => json(StatusCode::OK, reply),
        Err(error) => json(status_of(error), error),
    }
}

/// Returns the response to a call that cannot be read.
pub(super) fn bad_request() -> Response {
    let mut resp = Response::new("the call cannot be read".into());
    *resp.status_mut() = StatusCode::BAD_REQUEST;
    resp
}
