//! Numbers the connections of a client in the order in which they opened.
//!
//! A connection leads to one process for as long as it exists: a process that
//! ends takes its connections with it. Once a process has answered a call, every
//! connection to its address that was open before that answer therefore leads to
//! it, or nowhere if the process behind it has ended earlier. The number up to
//! which this holds binds a call to the process that answered, without a look at
//! any clock; a call that only one process may receive is not written to a newer
//! connection.
//!
//! A connection that turns out to be too new is closed with its call. The number of
//! open connections to an address tells beforehand whether a call would need one.

use std::{
    collections::HashMap,
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use http::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use mustardcove_core::id::ConnectionNumber;
use tokio::net::TcpStream;
use tower::Service;

/// Opens connections and numbers them. Clones share the numbering.
#[derive(Clone, Debug)]
pub(super) struct NumberedConnector {
    connector: HttpConnector,
    newest: Arc<AtomicU64>,
    open: OpenConnections,
}

/// The number of open connections to each address. Clones share it.
#[derive(Clone, Debug, Default)]
struct OpenConnections(Arc<Mutex<HashMap<String, usize>>>);

impl OpenConnections {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, usize>> {
        self.0.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn opened(&self, address: &str) {
        *self.lock().entry(address.to_owned()).or_default() += 1;
    }

    fn closed(&self, address: &str) {
        let mut open = self.lock();
        if let Some(count) = open.get_mut(address) {
            *count -= 1;
            if *count == 0 {
                open.remove(address);
            }
        }
    }
}

impl NumberedConnector {
    pub(super) fn new(connector: HttpConnector) -> NumberedConnector {
        NumberedConnector { connector, newest: Arc::default(), open: OpenConnections::default() }
    }

    /// Returns how many connections to an address are open.
    pub(super) fn open(&self, address: &str) -> usize {
        self.open.lock().get(address).copied().unwrap_or(0)
    }

    /// Returns the number of the newest open connection; 0 before the first.
    pub(super) fn newest(&self) -> ConnectionNumber {
        ConnectionNumber(self.newest.load(Ordering::SeqCst))
    }
}

impl Service<Uri> for NumberedConnector {
    type Response = NumberedStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<NumberedStream, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let address = uri.authority().map(|it| it.to_string()).unwrap_or_default();
        let connecting = self.connector.call(uri);
        let (newest, open) = (self.newest.clone(), self.open.clone());
        Box::pin(async move {
            let io = connecting.await?;
            let number = ConnectionNumber(newest.fetch_add(1, Ordering::SeqCst) + 1);
            open.opened(&address);
            Ok(NumberedStream { io, number, address, open })
        })
    }
}

/// A connection with its number.
#[derive(Debug)]
pub(super) struct NumberedStream {
    io: TokioIo<TcpStream>,
    number: ConnectionNumber,
    address: String,
    open: OpenConnections,
}

impl Drop for NumberedStream {
    fn drop(&mut self) {
        self.open.closed(&self.address);
    }
}

impl NumberedStream {
    fn io(self: Pin<&mut Self>) -> Pin<&mut TokioIo<TcpStream>> {
        Pin::new(&mut self.get_mut().io)
    }
}

impl Connection for NumberedStream {
    fn connected(&self) -> Connected {
        self.io.connected().extra(self.number)
    }
}

impl Read for NumberedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.io().poll_read(cx, buf)
    }
}

impl Write for NumberedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.io().poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.io().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.io().poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.io().poll_write_vectored(cx, bufs)
    }
}
