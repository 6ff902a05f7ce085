//! The HTTP server that all stand-ins use.
//!
//! It can be taken down and brought up again on the same port at run time.
//! While it is down, open connections are reset and new ones refused, as after
//! the loss of an instance.

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

/// Wait before a failed bind or accept is retried.
const RETRY_WAIT: Duration = Duration::from_millis(10);

/// Number of connections that a stand-in accepts at once by default.
pub const DEFAULT_CONNECTIONS: usize = 4_096;

/// A running server. Dropping it stops the server and ends its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    is_available: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Serves `router` on a port of `ip` chosen by the operating system.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(ip: IpAddr, router: Router, connections: usize) -> std::io::Result<Server> {
        let listener = bind(SocketAddr::new(ip, 0))?;
        let address = listener.local_addr()?;
        let (is_available, control) = watch::channel(true);
        let task = tokio::spawn(run(listener, address, router, connections, control));
        Ok(Server { address, is_available, task })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the server down or brings it up again on the same port.
    pub fn set_available(&self, is_available: bool) {
        self.is_available.send_replace(is_available);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the address that stand-ins use by default.
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
    listener: TcpListener,
    address: SocketAddr,
    router: Router,
    connections: usize,
    mut control: watch::Receiver<bool>,
) {
    let mut bound = Some(listener);
    loop {
        if !*control.borrow() {
            // Close the listener: the kernel accepts connections for as long as
            // it is open, even if nothing polls it.
            bound = None;
        }
        if control.wait_for(|is_available| *is_available).await.is_err() {
            return;
        }
        let listener = match bound.take().map_or_else(|| bind(address), Ok) {
            Ok(listener) => listener,
            Err(_) => {
                tokio::time::sleep(RETRY_WAIT).await;
                continue;
            }
        };
        tokio::select! {
            () = accept(listener, &router, connections) => return,
            _ = control.wait_for(|is_available| !*is_available) => {}
        }
    }
}

/// Accepts connections until the future is dropped, which also ends the
/// connections.
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
    // Without the option, answers are only slower.
    let _ = stream.set_nodelay(true);
    let builder = Builder::new(TokioExecutor::new());
    let service = TowerToHyperService::new(router);
    // A failed connection concerns only its client, which notices it itself.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// Returns a response with a JSON body.
pub(super) fn json<T: Serialize + BinaryFields>(status: StatusCode, value: &T) -> Response {
    let body = wire::to_json(value);
    let mut resp = Response::new(Body::from(body));
    *resp.status_mut() = status;
    resp.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    resp
}

/// Returns a response that declares a body but breaks the connection before
/// sending it, as a server that crashes while it answers.
pub(super) fn broken_response() -> Response {
    let mut resp = Response::new(Body::new(FailingBody));
    resp.headers_mut().insert(CONTENT_LENGTH, http::HeaderValue::from_static("1"));
    resp
}

/// A body that fails as soon as it is read.
struct FailingBody;

impl hyper::body::Body for FailingBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        Poll::Ready(Some(Err(std::io::ErrorKind::ConnectionReset.into())))
    }
}
