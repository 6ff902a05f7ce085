//! Connector for the connections to one upstream, which limits their number and
//! reports those that the upstream closes.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use http::Uri;
use hyper_util::{
    client::legacy::connect::{Connected, Connection},
    rt::TokioIo,
};
use mustardcove_core::{id::WorkerId, membership::Upstream};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
};
use tower::Service;

/// Opens connections to one upstream, at most as many as it accepts.
#[derive(Clone, Debug)]
pub(super) struct Connector {
    worker: WorkerId,
    permits: Arc<Semaphore>,
    timeout: Duration,
    closed_connections: mpsc::Sender<WorkerId>,
}

impl Connector {
    pub(super) fn new(
        upstream: &Upstream,
        timeout: Duration,
        closed_connections: mpsc::Sender<WorkerId>,
    ) -> Connector {
        let permits = Arc::new(Semaphore::new(upstream.connections as usize));
        Connector { worker: upstream.worker.clone(), permits, timeout, closed_connections }
    }

    async fn connect(self, uri: Uri) -> io::Result<TokioIo<CountedStream>> {
        // Addresses are numeric, so no name resolution is needed.
        let authority = uri.authority().map(|it| it.as_str()).unwrap_or_default();
        let address: SocketAddr = authority.parse().map_err(io::Error::other)?;
        let permit = self.permits.acquire_owned().await.map_err(io::Error::other)?;
        let connecting = tokio::time::timeout(self.timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        Ok(TokioIo::new(CountedStream {
            stream,
            worker: self.worker,
            closed_connections: self.closed_connections,
            reported: false,
            _permit: permit,
        }))
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<CountedStream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<TokioIo<CountedStream>>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        Box::pin(self.clone().connect(uri))
    }
}

/// A connection that holds its permit and reports when the upstream closes it.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    worker: WorkerId,
    closed_connections: mpsc::Sender<WorkerId>,
    reported: bool,
    _permit: OwnedSemaphorePermit,
}

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let ended = result.is_err() || (buf.filled().len() == before && 0 < buf.remaining());
        if ended && !self.reported {
            self.reported = true;
            // A report may be dropped if the channel is full, because the queued
            // reports lead to probes as well.
            let _ = self.closed_connections.try_send(self.worker.clone());
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
