//! Stand-in for the platform's instance list.

use std::net::{IpAddr, SocketAddr};

use axum::{
    Router,
    extract::State,
    response::{IntoResponse, Response},
    routing::post,
};
use http::StatusCode;

use super::server::{DEFAULT_CONNECTIONS, Server, json, loopback};
use crate::{
    clock::Clock, http::instances::INSTANCES_PATH, instances::InstanceList, memory::MemoryInstances,
};

/// A running stand-in for the instance list.
#[derive(Debug)]
pub struct InstancesStandin {
    list: MemoryInstances,
    server: Server,
}

impl InstancesStandin {
    /// Starts a stand-in with an empty list on a port chosen by the operating
    /// system.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(clock: Clock) -> std::io::Result<InstancesStandin> {
        InstancesStandin::serve(loopback(), MemoryInstances::new(clock)).await
    }

    /// Serves `list` on a port of `ip` chosen by the operating system.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn serve(ip: IpAddr, list: MemoryInstances) -> std::io::Result<InstancesStandin> {
        let router = Router::new().route(INSTANCES_PATH, post(fetch)).with_state(list.clone());
        let server = Server::start(ip, router, DEFAULT_CONNECTIONS).await?;
        Ok(InstancesStandin { list, server })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the list that is served, through which tests change it.
    pub fn list(&self) -> &MemoryInstances {
        &self.list
    }

    /// Takes the server down, so that connections are refused, or brings it up
    /// again.
    pub fn set_available(&self, is_available: bool) {
        self.server.set_available(is_available);
    }
}

async fn fetch(State(list): State<MemoryInstances>) -> Response {
    match list.fetch().await {
        Ok(snapshot) => json(StatusCode::OK, &snapshot),
        Err(error) => (StatusCode::SERVICE_UNAVAILABLE, error.to_string()).into_response(),
    }
}
