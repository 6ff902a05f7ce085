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
    server::{DEFAULT_CONNECTIONS, Server, broken, json, loopback},
    store::{SILENCE, bad_request},
    upstream,
};
use crate::{
    clock::Clock,
    http::workers::{CALL_PATH, REPORTS_PATH, ReportsQuery, status_of},
    memory::{FleetConfig, MemoryFleet, WorkerFault},
    wire::{self, BinaryFields},
};

/// How long a worker that restarts refuses connections.
const RESTART_TIME: Duration = Duration::from_millis(50);

/// Servers of one worker: its task interface, if it has a port of its own, and
/// its upstreams.
#[derive(Debug, Default)]
struct WorkerServers {
    servers: Vec<Server>,
}

/// A running stand-in for a fleet of workers.
///
/// Faults are to be set through this handle rather than on the fleet, so that
/// an unreachable worker's ports refuse connections.
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

    /// Returns a stand-in whose ports are at `ip`.
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
    /// have ports of their own. A fault of such a worker resets connections
    /// instead of refusing them.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn add_shared(&self, infos: Vec<WorkerInfo>) -> std::io::Result<Vec<WorkerInfo>> {
        let mut router = Router::new();
        for (index, info) in infos.iter().enumerate() {
            let of_worker = worker_router(self.fleet.clone(), info.id.clone());
            router = router.nest(&format!("/{index}"), of_worker);
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
        // The shared server belongs to no worker, so that none takes it down.
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
        self.set_up(worker, fault != WorkerFault::Unreachable);
    }

    /// Crashes a worker and starts it again: its connections are reset, its
    /// tasks end, and it comes back at the same address.
    pub async fn restart(&self, worker: &WorkerId) {
        self.set_up(worker, false);
        self.fleet.restart(worker);
        tokio::time::sleep(RESTART_TIME).await;
        self.set_up(worker, self.fleet.fault(worker) != WorkerFault::Unreachable);
    }

    fn set_up(&self, worker: &WorkerId, is_up: bool) {
        if let Some(it) = self.lock().get(worker) {
            it.servers.iter().for_each(|it| it.set_up(is_up));
        }
    }

    /// Ends a worker with its tasks and ports, for good.
    pub fn remove(&self, worker: &WorkerId) {
        self.fleet.remove(worker);
        self.lock().remove(worker);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<WorkerId, WorkerServers>> {
        self.workers.lock().unwrap_or_else(|it| it.into_inner())
    }
}

#[derive(Clone)]
struct WorkerAt {
    fleet: MemoryFleet,
    worker: WorkerId,
}

fn worker_router(fleet: MemoryFleet, worker: WorkerId) -> Router {
    Router::new()
        .route(CALL_PATH, post(call))
        .route(REPORTS_PATH, post(reports))
        .with_state(WorkerAt { fleet, worker })
}

async fn call(
    State(at): State<WorkerAt>,
    ConnectInfo(peer): ConnectInfo<SocketAddr>,
    body: Bytes,
) -> Response {
    match wire::from_json::<WorkerOp>(&body) {
        Ok(op) => answer(at.fleet.call_worker(&at.worker, op, Some(peer.ip())).await).await,
        Err(_) => bad_request(),
    }
}

async fn reports(
    State(at): State<WorkerAt>,
    ConnectInfo(peer): ConnectInfo<SocketAddr>,
    body: Bytes,
) -> Response {
    match serde_json::from_slice::<ReportsQuery>(&body) {
        Ok(query) => {
            answer(at.fleet.report_of(&at.worker, query.after, Some(peer.ip())).await).await
        }
        Err(_) => bad_request(),
    }
}

async fn answer<T: Serialize + BinaryFields>(result: Option<Result<T, WorkerError>>) -> Response {
    match result {
        Some(Ok(reply)) => json(StatusCode::OK, &reply),
        // A caller that is cut off gets no answer, as on a real network.
        Some(Err(WorkerError::Unreachable { verdict: Verdict::NotRun })) => {
            tokio::time::sleep(SILENCE).await;
            broken()
        }
        Some(Err(error)) => json(status_of(&error), &error),
        None => broken(),
    }
}
