//! Stand-in for an upstream of a service.
//!
//! An upstream works on a request until it is done or its deadline passes, even
//! if the client has disconnected. A second attempt before the deadline can
//! therefore run at the same time as the first, and the record of runs shows
//! such an overlap.

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    body::Body,
    extract::State,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header::CONNECTION};
use mustardcove_core::{
    id::{ClassId, TaskId, WorkerId},
    time::Timestamp,
    worker::UpstreamInfo,
};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;

use super::server::broken_response;
use crate::{
    memory::{MemoryFleet, WorkerFault},
    upstream::{
        CLASS_HEADER, DEADLINE_HEADER, DRAINING_HEADER, REQUEST_ID_HEADER, SERVICE_TIME_HEADER,
        TASK_HEADER,
    },
};

/// Path of service requests.
pub const SERVE_PATH: &str = "/serve";

/// Path of health probes: the answer is 200, or 503 with the header
/// [`DRAINING_HEADER`] if the worker is leaving.
pub const HEALTH_PATH: &str = "/healthz";

/// Service time of a request that does not specify one, in milliseconds.
const DEFAULT_SERVICE_MS: u64 = 5;

/// The body of an upstream's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeAnswer {
    /// The identifier of the request.
    pub request_id: String,
    /// The worker that served the request.
    pub worker: WorkerId,
    /// Time that the upstream worked on the request, in milliseconds.
    pub worked_ms: u64,
    /// The body of the request.
    pub echo: String,
}

#[derive(Clone)]
struct Upstream {
    fleet: MemoryFleet,
    worker: WorkerId,
    class: ClassId,
    slots: Arc<Semaphore>,
}

pub(super) fn router(fleet: MemoryFleet, worker: WorkerId, info: &UpstreamInfo) -> Router {
    let slots = Arc::new(Semaphore::new(info.slots as usize));
    // A request without a class gets the class with the service's name.
    let class =
        info.service.as_str().parse().expect("service and class names have the same syntax");
    let routes = Router::new().route(SERVE_PATH, post(serve)).route(HEALTH_PATH, get(health));
    routes.with_state(Upstream { fleet, worker, class, slots })
}

struct ServeRequest {
    id: String,
    class: ClassId,
    task: Option<TaskId>,
    deadline: Timestamp,
    service_ms: u64,
    body: Bytes,
}

fn header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn health(State(upstream): State<Upstream>) -> Response {
    if upstream.is_leaving() { draining_response() } else { StatusCode::OK.into_response() }
}

async fn serve(State(upstream): State<Upstream>, headers: HeaderMap, body: Bytes) -> Response {
    if upstream.is_leaving() {
        return draining_response();
    }
    let req = ServeRequest {
        id: header(&headers, REQUEST_ID_HEADER).unwrap_or_default(),
        class: header(&headers, CLASS_HEADER).unwrap_or_else(|| upstream.class.clone()),
        task: header(&headers, TASK_HEADER),
        deadline: header(&headers, DEADLINE_HEADER).unwrap_or(Timestamp::MAX),
        service_ms: header(&headers, SERVICE_TIME_HEADER).unwrap_or(DEFAULT_SERVICE_MS),
        body,
    };
    let id = req.id.clone();
    // A separate task, because the work continues if the client disconnects.
    let work = tokio::spawn(async move { upstream.handle(req).await });
    let mut resp = match work.await {
        Ok(resp) => resp,
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    };
    if let Ok(id) = HeaderValue::from_str(&id) {
        resp.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    resp
}

fn draining_response() -> Response {
    let mut resp = Response::new(Body::from("leaving"));
    *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    resp.headers_mut().insert(DRAINING_HEADER, HeaderValue::from_static("1"));
    resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    resp
}

impl Upstream {
    fn is_leaving(&self) -> bool {
        self.fleet.is_leaving(&self.worker)
    }

    async fn handle(&self, req: ServeRequest) -> Response {
        let clock = self.fleet.clock();
        let timed_out = || (StatusCode::GATEWAY_TIMEOUT, "deadline passed").into_response();
        let slot = tokio::select! {
            slot = self.slots.acquire() => slot,
            () = clock.sleep_until(req.deadline) => return timed_out(),
        };
        if slot.is_err() || req.deadline <= clock.now() {
            return timed_out();
        }
        let Some(slowdown) = self.fleet.begin_serving(&self.worker, &req.class, req.task) else {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        };
        let began = clock.now();
        let incarnation = self.fleet.incarnation(&self.worker);
        let work_time = Duration::from_millis((req.service_ms as f64 * slowdown) as u64);
        let completed = tokio::select! {
            () = self.run(work_time) => true,
            () = clock.sleep_until(req.deadline) => false,
            // A crash of the worker ends the work. The restart has already
            // removed it from the worker's state.
            () = self.fleet.wait_until_restarted(&self.worker, incarnation) =>
                return broken_response(),
        };
        self.fleet.end_serving(&self.worker, &req.class, req.task, completed);
        self.fleet.wait_until_resumed(&self.worker).await;
        if self.fleet.fault(&self.worker) == WorkerFault::AnswersLost {
            return broken_response();
        }
        if !completed {
            return timed_out();
        }
        let served = ServeAnswer {
            request_id: req.id,
            worker: self.worker.clone(),
            worked_ms: clock.now().ms_since(began),
            echo: String::from_utf8_lossy(&req.body).into_owned(),
        };
        axum::Json(served).into_response()
    }

    /// Works for `time`. Work that would end while the worker is paused ends
    /// when it resumes.
    async fn run(&self, time: Duration) {
        tokio::time::sleep(time).await;
        self.fleet.wait_until_resumed(&self.worker).await;
    }
}
