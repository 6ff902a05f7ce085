//! Administration routes shared by all processes.
//!
//! `/healthz` shows that the process responds, `/readyz` whether it accepts
//! work and if not, why. `/metrics` returns the metrics and `/dump` the state.

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    extract::State,
    response::{IntoResponse, Response},
    routing::get,
};
use http::{StatusCode, header::CONTENT_TYPE};
use serde_json::json;
use tokio::{net::TcpListener, sync::watch, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{dump::DumpSource, metrics::Metrics};

/// Longest time that a process may take to produce a state dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a process accepts work. It is not ready until [`set_ready`] is
/// called; clones share the state.
///
/// [`set_ready`]: Readiness::set_ready
#[derive(Clone, Debug)]
pub struct Readiness {
    /// Why the process is not ready, or `None` if it is.
    reason: Arc<watch::Sender<Option<String>>>,
}

impl Default for Readiness {
    fn default() -> Readiness {
        let (reason, _) = watch::channel(Some("starting".to_owned()));
        Readiness { reason: Arc::new(reason) }
    }
}

impl Readiness {
    /// Marks the process as accepting work.
    pub fn set_ready(&self) {
        self.reason.send_replace(None);
    }

    /// Marks the process as not accepting work, with the reason.
    pub fn set_not_ready(&self, reason: impl Into<String>) {
        self.reason.send_replace(Some(reason.into()));
    }

    /// Returns why the process is not ready, or `None` if it is.
    pub fn reason(&self) -> Option<String> {
        self.reason.borrow().clone()
    }
}

#[derive(Clone)]
struct AdminState<D> {
    readiness: Readiness,
    metrics: Metrics,
    source: D,
    dump_limit: usize,
}

/// Returns the administration routes. A program may add its own.
pub fn router<D: DumpSource>(
    readiness: Readiness,
    metrics: Metrics,
    source: D,
    dump_limit: usize,
) -> Router {
    Router::new()
        .route("/healthz", get(async || "ok\n"))
        .route("/readyz", get(ready::<D>))
        .route("/metrics", get(render::<D>))
        .route("/dump", get(dump::<D>))
        .with_state(AdminState { readiness, metrics, source, dump_limit })
}

/// Serves `router` until `stop` is cancelled and open requests have finished.
///
/// # Errors
///
/// Returns an error if the server fails.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    stop: CancellationToken,
) -> eyre::Result<()> {
    axum::serve(listener, router).with_graceful_shutdown(stop.cancelled_owned()).await?;
    Ok(())
}

async fn ready<D: DumpSource>(State(admin): State<AdminState<D>>) -> Response {
    match admin.readiness.reason() {
        None => "ready\n".into_response(),
        Some(reason) => {
            (StatusCode::SERVICE_UNAVAILABLE, format!("not ready: {reason}\n")).into_response()
        }
    }
}

async fn render<D: DumpSource>(State(admin): State<AdminState<D>>) -> Response {
    match admin.metrics.render() {
        Ok(text) => ([(CONTENT_TYPE, "text/plain; version=0.0.4")], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn dump<D: DumpSource>(State(admin): State<AdminState<D>>) -> Response {
    let json_type = [(CONTENT_TYPE, "application/json")];
    match timeout(DUMP_TIMEOUT, admin.source.dump(admin.dump_limit)).await {
        Ok(dump) => (json_type, dump.into_json()).into_response(),
        Err(_) => {
            let error = json!({ "error": "the process did not describe its state in time" });
            (StatusCode::GATEWAY_TIMEOUT, json_type, error.to_string()).into_response()
        }
    }
}
