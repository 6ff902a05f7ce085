//! The server below the stand-ins.
//!
//! It can be taken down and brought up on the same port at run time, which
//! refuses connections and resets those that are open, as the loss of an
//! instance does.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use axum::{Extension, Router, body::Body, extract::ConnectInfo, response::Response};
use bytes::Bytes;
use http::{
    StatusCode,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};
use hyper::body::Frame;
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto::Builder,
    service::TowerToHyperService,
};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Semaphore, watch},
    task::{JoinHandle, JoinSet},
};

use crate::wire::{self, BinaryFields};

/// Wait after a failure to bind or accept.
const RETRY_WAIT: Duration = Duration::from_millis(10);

/// Connections that a stand-in accepts unless it is told otherwise.
pub const DEFAULT_CONNECTIONS: usize = 4_096;

/// A running server; dropping it ends the server and its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    is_up: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `router` on a port of `ip` chosen by the system.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(ip: IpAddr, router: Router, connections: usize) -> std::io::Result<Server> {
        let listener = bind(SocketAddr::new(ip, 0))?;
        let address = listener.local_addr()?;
        let (is_up, control) = watch::channel(true);
        let task = tokio::spawn(run(listener, address, router, connections, control));
        Ok(Server { address, is_up, task })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the server down or brings it up again on the same port.
    pub fn set_up(&self, is_up: bool) {
        self.is_up.send_replace(is_up);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the default address of stand-ins.
pub fn loopback() -> IpAddr {
    IpAddr::V4(Ipv4Addr::LOCALHOST)
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1_024)
}

async fn run(
    first: TcpListener,
    address: SocketAddr,
    router: Router,
    connections: usize,
    mut control: watch::Receiver<bool>,
) {
    let mut first = Some(first);
    loop {
        if !*control.borrow() {
            // A listener that nobody reads would still take connections.
            first = None;
        }
        if control.wait_for(|is_up| *is_up).await.is_err() {
            return;
        }
        let listener = match first.take().map_or_else(|| bind(address), Ok) {
            Ok(listener) => listener,
            Err(_) => {
                tokio::time::sleep(RETRY_WAIT).await;
                continue;
            }
        };
        tokio::select! {
            () = accept(listener, &router, connections) => return,
            _ = control.wait_for(|is_up| !*is_up) => {}
        }
    }
}

/// Accepts connections until dropped; they end with it.
async fn accept(listener: TcpListener, router: &Router, connections: usize) {
    let limit = Arc::new(Semaphore::new(connections));
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(RETRY_WAIT).await;
            continue;
        };
        // A connection beyond the limit is closed at once.
        let Ok(permit) = limit.clone().try_acquire_owned() else {
            continue;
        };
        let router = router.clone().layer(Extension(ConnectInfo(peer)));
        tasks.spawn(async move {
            serve(stream, router).await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, router: Router) {
    // Failing to set the option only makes answers slower.
    let _ = stream.set_nodelay(true);
    let builder = Builder::new(TokioExecutor::new());
    let service = TowerToHyperService::new(router);
    // Errors of a connection are its client's to see.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// Returns an answer with a JSON value.
pub(super) fn json<T: Serialize + BinaryFields>(status: StatusCode, value: &T) -> Response {
    let body = wire::to_json(value);
    let mut resp = Response::new(Body::from(body));
    *resp.status_mut() = status;
    resp.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    resp
}

/// Returns an answer that announces a body and breaks the connection before
/// it, as a server that dies while it answers.
pub(super) fn broken() -> Response {
    let mut resp = Response::new(Body::new(BrokenBody));
    resp.headers_mut().insert(CONTENT_LENGTH, http::HeaderValue::from_static("1"));
    resp
}

/// A body that fails at once.
struct BrokenBody;

impl hyper::body::Body for BrokenBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Poll::Ready(Some(Err(std::io::ErrorKind::ConnectionReset.into())))
    }
}
