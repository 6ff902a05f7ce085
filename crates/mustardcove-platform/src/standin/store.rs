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

use super::server::{DEFAULT_CONNECTIONS, Server, broken, json, loopback};
use crate::{
    clock::Clock,
    http::store::{STORE_PATH, status_of},
    memory::{MemoryStore, store::LostAnswer},
    wire,
};

/// Room for the base64 of the largest value, its key and the rest of a call.
const MAX_CALL_BYTES: usize = MAX_VALUE_BYTES / 3 * 4 + (64 << 10);

/// How long a call that is not to be answered is kept waiting.
pub(super) const SILENCE: Duration = Duration::from_secs(120);

/// A running stand-in for the store.
#[derive(Debug)]
pub struct StoreStandin {
    store: MemoryStore,
    server: Server,
}

impl StoreStandin {
    /// Starts a stand-in with an empty store on a port chosen by the system.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(clock: Clock, seed: u64) -> std::io::Result<StoreStandin> {
        StoreStandin::serve(loopback(), MemoryStore::new(clock, seed)).await
    }

    /// Serves a store at a port of `ip` chosen by the system.
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

    /// Returns the address, as IP number and port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the store, with its fault switches and counters.
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// Takes the server down, so that connections are refused, or up again.
    pub fn set_up(&self, is_up: bool) {
        self.server.set_up(is_up);
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
        Err(LostAnswer::AfterEffect) => broken(),
        Err(LostAnswer::Silent) => {
            tokio::time::sleep(SILENCE).await;
            broken()
        }
    }
}

fn answer(result: &StoreResult) -> Response {
    match result {
        Ok(reply) => json(StatusCode::OK, reply),
        Err(error) => json(status_of(error), error),
    }
}

/// Returns the answer to a call that cannot be read.
pub(super) fn bad_request() -> Response {
    let mut resp = Response::new("the call cannot be read".into());
    *resp.status_mut() = StatusCode::BAD_REQUEST;
    resp
}
