//! Answers the platform's readiness checks, by which it decides whether to send
//! new connections to the process.

use std::sync::Arc;

use axum::{Router, extract::State};
use http::StatusCode;
use tokio::net::TcpListener;

use crate::shared::Shared;

/// Serves the readiness route until the process ends, also during a graceful
/// shutdown.
///
/// # Errors
///
/// Returns an error if the server fails.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) -> eyre::Result<()> {
    let router = Router::new().fallback(answer).with_state(shared);
    axum::serve(listener, router).await?;
    Ok(())
}

async fn answer(State(shared): State<Arc<Shared>>) -> StatusCode {
    if is_ready(&shared) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

/// Returns whether the process can accept submissions: it has a manifest,
/// reaches the store and is not shutting down.
pub fn is_ready(shared: &Shared) -> bool {
    !shared.stop.is_cancelled() && shared.manifest().is_some() && shared.reaches_store()
}
