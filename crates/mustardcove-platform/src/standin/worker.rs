//! Stand-in for the workers and the upstreams on them.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use axum::{
    Router,
    extract::{ConnectInfo, State},
    response::Response,
    routing::post,
};
use bytes::Bytes;
use http::StatusCode;
use mustardcove_core::{
    id::WorkerId,
    verdict::Verdict,
    worker::{UpstreamInfo, WorkerError, WorkerInfo, WorkerOp},
};
use serde::Serialize;

use super::{
    server::{DEFAULT_CONNECTIONS, Server, broken_response, json, loopback},
    store::{UNANSWERED_HOLD_TIME, bad_request},
    upstream,
};
use crate::{
    clock::Clock,
    http::workers::{CALL_PATH, REPORTS_PATH, ReportsQuery, status_of},
    memory::{FleetConfig, MemoryFleet, WorkerFault},
    wire::{self, BinaryFields},
};

/// Time for which a restarting worker refuses connections.
const RESTART_TIME: Duration = Duration::from_millis(50);

/// Servers of one worker: its task interface, unless that shares a port with
/// other workers, and its upstreams.
#[derive(Debug, Default)]
struct WorkerServers {
    servers: Vec<Server>,
}

/// A running stand-in for a fleet of workers.
///
/// Tests set faults here rather than on the fleet, because only the stand-in
/// makes the ports of an unreachable worker refuse connections.
#[derive(Debug)]
pub struct FleetStandin {
    fleet: MemoryFleet,
    workers: Mutex<BTreeMap<WorkerId, WorkerServers>>,
    ip: IpAddr,
}

impl FleetStandin {
    /// Returns a stand-in without workers.
    pub fn start(clock: Clock, config: FleetConfig) -> FleetStandin {
        FleetStandin::serve(loopback(), MemoryFleet::new(clock, config))
    }

    /// Returns a stand-in for `fleet` that binds its ports on `ip`.
    pub fn serve(ip: IpAddr, fleet: MemoryFleet) -> FleetStandin {
        FleetStandin { fleet, workers: Mutex::default(), ip }
    }

    /// Returns the fleet, with its record of runs.
    pub fn fleet(&self) -> &MemoryFleet {
        &self.fleet
    }

    /// Adds a worker with ports of its own for its task interface and each of
    /// its upstreams, and returns its description with these addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn add(&self, mut info: WorkerInfo) -> std::io::Result<WorkerInfo> {
        let router = worker_router(self.fleet.clone(), info.id.clone());
        let server = Server::start(self.ip, router, DEFAULT_CONNECTIONS).await?;
        info.address = server.address().to_string();
        let mut servers = vec![server];
        for it in &mut info.upstreams {
            servers.push(self.start_upstream(&info.id, it).await?);
        }
        self.fleet.upsert(info.clone());
        self.lock().insert(info.id.clone(), WorkerServers { servers });
        Ok(info)
    }

    /// Adds workers that share one port under different paths; their upstreams
    /// have ports of their own. While such a worker is unreachable, connections
    /// to its task interface are not refused: calls get no answer, and their
    /// connections are reset after a while.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn add_shared(&self, infos: Vec<WorkerInfo>) -> std::io::Result<Vec<WorkerInfo>> {
        let mut router = Router::new();
        for (index, info) in infos.iter().enumerate() {
            let routes = worker_router(self.fleet.clone(), info.id.clone());
            router = router.nest(&format!("/{index}"), routes);
        }
        let server = Server::start(self.ip, router, DEFAULT_CONNECTIONS).await?;
        let address = server.address();
        let mut shared = Some(server);
        let mut added = Vec::with_capacity(infos.len());
        for (index, mut info) in infos.into_iter().enumerate() {
            info.address = format!("{address}/{index}");
            let mut servers = Vec::new();
            for it in &mut info.upstreams {
                servers.push(self.start_upstream(&info.id, it).await?);
            }
            self.fleet.upsert(info.clone());
            self.lock().insert(info.id.clone(), WorkerServers { servers });
            added.push(info);
        }
        // The shared server has an entry of its own, so that a fault of one
        // worker does not take it down.
        let shared = WorkerServers { servers: shared.take().into_iter().collect() };
        let name = format!("shared:{address}").parse().map_err(std::io::Error::other)?;
        self.lock().insert(name, shared);
        Ok(added)
    }

    async fn start_upstream(
        &self,
        worker: &WorkerId,
        info: &mut UpstreamInfo,
    ) -> std::io::Result<Server> {
        let router = upstream::router(self.fleet.clone(), worker.clone(), info);
        let server = Server::start(self.ip, router, info.connections.max(1) as usize).await?;
        info.address = server.address().to_string();
        Ok(server)
    }

    /// Sets the fault of a worker.
    pub fn set_fault(&self, worker: &WorkerId, fault: WorkerFault) {
        self.fleet.set_fault(worker, fault);
        self.set_available(worker, fault != WorkerFault::Unreachable);
    }

    /// Crashes a worker and starts it again: its connections are reset, its
    /// tasks end, and it becomes available again at the same address.
    pub async fn restart(&self, worker: &WorkerId) {
        self.set_available(worker, false);
        self.fleet.restart(worker);
        tokio::time::sleep(RESTART_TIME).await;
        self.set_available(worker, self.fleet.fault(worker) != WorkerFault::Unreachable);
    }

    fn set_available(&self, worker: &WorkerId, is_available: bool) {
        if let Some(it) = self.lock().get(worker) {
            it.servers.iter().for_each(|it| it.set_available(is_available));
        }
    }

    /// Removes a worker, ends its tasks and closes its ports.
    pub fn remove(&self, worker: &WorkerId) {
        self.fleet.remove(worker);
        self.lock().remove(worker);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<WorkerId, WorkerServers>> {
        self.workers.lock().unwrap_or_else(|it| it.into_inner())
    }
}

#[derive(Clone)]
struct WorkerHandle {
    fleet: MemoryFleet,
    worker: WorkerId,
}

fn worker_router(fleet: MemoryFleet, worker: WorkerId) -> Router {
    Router::new()
        .route(CALL_PATH, post(call))
        .route(REPORTS_PATH, post(reports))
        .with_state(WorkerHandle { fleet, worker })
}

async fn call(
    State(handle): State<WorkerHandle>,
    ConnectInfo(peer): ConnectInfo<SocketAddr>,
    body: Bytes,
) -> Response {
    match wire::from_json::<WorkerOp>(&body) {
        Ok(op) => answer(handle.fleet.call_worker(&handle.worker, op, Some(peer.ip())).await).await,
        Err(_) => bad_request(),
    }
}

async fn reports(
    State(handle): State<WorkerHandle>,
    ConnectInfo(peer): ConnectInfo<SocketAddr>,
    body: Bytes,
) -> Response {
    match serde_json::from_slice::<ReportsQuery>(&body) {
        Ok(query) => {
            answer(handle.fleet.wait_for_report(&handle.worker, query.after, Some(peer.ip())).await)
                .await
        }
        Err(_) => bad_request(),
    }
}

async fn answer<T: Serialize + BinaryFields>(result: Option<Result<T, WorkerError>>) -> Response {
    match result {
        Some(Ok(reply)) => json(StatusCode::OK, &reply),
        // A partitioned poller gets no answer, as on a real network.
        Some(Err(WorkerError::Unreachable { verdict: Verdict::NotRun })) => {
            tokio::time::sleep(UNANSWERED_HOLD_TIME).await;
            broken_response()
        }
        Some(Err(error)) => json(status_of(&error), &error),
        None => broken_response(),
    }
}
