//! The HTTP client that all clients of the platform's services use.

use std::{
    collections::HashMap,
    fmt,
    net::IpAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{
    HeaderMap, Method, Request, StatusCode, Uri,
    header::{CONTENT_LENGTH, CONTENT_TYPE},
};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        Client,
        connect::{HttpConnector, capture_connection},
    },
    rt::{TokioExecutor, TokioTimer},
};
use mustardcove_core::{
    fleet::poller::KnownConnections, id::ConnectionNumber, time::Timestamp, verdict::Verdict,
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::Instant,
};

use super::{
    connection::NumberedConnector,
    gate::{Gate, GatedBody},
};
use crate::clock::Clock;

/// Limits of an [`HttpClient`].
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time from the call to its complete answer, not counting the
    /// time that the call itself asks the server to wait.
    pub answer_timeout: Duration,
    /// Additional time for the rest of an answer that has begun, as long as no
    /// pause between two parts of it exceeds the answer timeout: a large one
    /// takes long over a narrow link.
    pub body_extra_time: Duration,
    /// Largest answer, in bytes.
    pub max_answer_bytes: usize,
    /// Most calls, and so connections, at once to one address.
    pub max_per_address: usize,
    /// Most calls, and so connections, at once to all addresses.
    pub max_total: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Local address to which connections are bound.
    pub local_address: Option<IpAddr>,
}

impl Default for HttpLimits {
    fn default() -> HttpLimits {
        HttpLimits {
            connect_timeout: Duration::from_millis(1_000),
            answer_timeout: Duration::from_millis(2_000),
            body_extra_time: Duration::ZERO,
            max_answer_bytes: 8 << 20,
            max_per_address: 16,
            max_total: 2_048,
            idle_timeout: Duration::from_secs(30),
            local_address: None,
        }
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, whose size equals the declared content length.
    pub body: Bytes,
    /// Connections up to this number that lead to an open process at the address
    /// lead to the one that answered; see [`HttpClient::send`].
    pub connections: ConnectionNumber,
}

/// Error of a call that got no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallError {
    verdict: Verdict,
    needs_older_connection: bool,
    detail: String,
}

impl CallError {
    /// Returns the error of a call that could not be built, and so did not run.
    pub fn not_built(error: impl fmt::Display) -> CallError {
        let detail = error.to_string();
        CallError { verdict: Verdict::NotRun, needs_older_connection: false, detail }
    }

    /// Returns whether the call may have taken effect.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns whether the call was not sent because the connection chosen for it
    /// was newer than permitted.
    pub fn needs_older_connection(&self) -> bool {
        self.needs_older_connection
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no whole answer ({}): {}", self.verdict, self.detail)
    }
}

impl std::error::Error for CallError {}

async fn in_time<T>(until: Instant, future: impl Future<Output = T>) -> eyre::Result<T> {
    let result = tokio::time::timeout_at(until, future).await;
    result.map_err(|_| eyre::eyre!("timed out"))
}

/// Memory that is allocated for an answer before any of it has arrived.
const INITIAL_BUFFER_BYTES: usize = 64 << 10;
/// Number of addresses with a semaphore above which unused ones are dropped.
const MAX_TRACKED_ADDRESSES: usize = 4_096;

/// An HTTP client with bounded connections, timeouts and size limits.
///
/// Each call in flight holds one connection, because HTTP/1 answers in order;
/// limiting calls therefore limits connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<NumberedConnector, GatedBody>,
    connector: NumberedConnector,
    limits: Arc<HttpLimits>,
    total_limit: Arc<Semaphore>,
    address_limits: Arc<Mutex<HashMap<String, Arc<Semaphore>>>>,
    clock: Clock,
}

impl HttpClient {
    /// Returns a client without open connections.
    pub fn new(clock: Clock, limits: HttpLimits) -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(limits.connect_timeout));
        connector.set_nodelay(true);
        connector.set_local_address(limits.local_address);
        connector.set_tcp_user_timeout(Some(limits.answer_timeout));
        let connector = NumberedConnector::new(connector);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(limits.idle_timeout)
            .pool_max_idle_per_host(limits.max_per_address)
            .build(connector.clone());
        HttpClient {
            client,
            connector,
            total_limit: Arc::new(Semaphore::new(limits.max_total)),
            address_limits: Arc::default(),
            limits: Arc::new(limits),
            clock,
        }
    }

    /// Returns the clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Posts JSON and returns the complete answer, for which it waits
    /// `extra_wait` longer than the answer timeout.
    ///
    /// # Errors
    ///
    /// The error says whether the call may have taken effect: it did not if no
    /// part of `body` was sent before the failure or before `not_after`.
    pub async fn post(
        &self,
        uri: &str,
        body: Bytes,
        not_after: Timestamp,
        extra_wait: Duration,
    ) -> Result<Answer, CallError> {
        self.send(Method::POST, uri, HeaderMap::new(), body, not_after, extra_wait, None).await
    }

    /// Posts JSON and returns the complete answer, for which it waits until
    /// `give_up_at` at the longest.
    ///
    /// # Errors
    ///
    /// See [`HttpClient::post`]; no part of `body` is sent after `give_up_at`.
    pub async fn post_until(
        &self,
        uri: &str,
        body: Bytes,
        give_up_at: Timestamp,
    ) -> Result<Answer, CallError> {
        let gate = Gate::new(self.clock, give_up_at);
        let body = GatedBody::new(gate.clone(), body);
        let wait = self.limits.answer_timeout.min(self.clock.until(give_up_at));
        let until = Instant::now() + wait;
        self.call(Method::POST, uri, HeaderMap::new(), gate, body, until).await
    }

    /// Sends JSON with headers and returns the complete answer, as
    /// [`HttpClient::post`] does. With `known`, only connections are used that an
    /// earlier [`Answer`] has shown to lead to the process that gave it: the call
    /// then reaches that process, or none.
    ///
    /// # Errors
    ///
    /// See [`HttpClient::post`]. The error tells if the call was not sent because
    /// it would have needed a newer connection.
    pub async fn send(
        &self,
        method: Method,
        uri: &str,
        headers: HeaderMap,
        body: Bytes,
        not_after: Timestamp,
        extra_wait: Duration,
        known: Option<KnownConnections>,
    ) -> Result<Answer, CallError> {
        let gate = Gate::new(self.clock, not_after).restricted_to(known);
        let body = GatedBody::new(gate.clone(), body);
        let until = Instant::now() + self.limits.answer_timeout + extra_wait;
        self.call(method, uri, headers, gate, body, until).await
    }

    /// Sends a GET request and returns the complete answer.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer arrived.
    pub async fn get(&self, uri: &str) -> Result<Answer, CallError> {
        self.get_with_extra_wait(uri, Duration::ZERO).await
    }

    /// Sends a GET request and returns the complete answer, for which it waits
    /// `extra_wait` longer than the answer timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer arrived.
    pub async fn get_with_extra_wait(
        &self,
        uri: &str,
        extra_wait: Duration,
    ) -> Result<Answer, CallError> {
        let gate = Gate::new(self.clock, Timestamp::MAX);
        let body = GatedBody::none(gate.clone());
        let until = Instant::now() + self.limits.answer_timeout + extra_wait;
        self.call(Method::GET, uri, HeaderMap::new(), gate, body, until).await
    }

    async fn call(
        &self,
        method: Method,
        uri: &str,
        headers: HeaderMap,
        gate: Gate,
        body: GatedBody,
        until: Instant,
    ) -> Result<Answer, CallError> {
        let result = self.exchange(method, uri, headers, &gate, body, until).await;
        let result = result.map_err(|it| format!("{it:#}"));
        // The exchange has ended or was dropped, but its connection may go on
        // in the background. Closing the gate settles whether it may still
        // send the body.
        result.map_err(|detail| CallError {
            verdict: gate.close(),
            needs_older_connection: gate.is_closed_to_connection(),
            detail,
        })
    }

    async fn exchange(
        &self,
        method: Method,
        uri: &str,
        headers: HeaderMap,
        gate: &Gate,
        body: GatedBody,
        until: Instant,
    ) -> eyre::Result<Answer> {
        let uri: Uri = uri.parse()?;
        let _permits = in_time(until, self.acquire_permits(&uri)).await??;
        if gate.is_restricted() && !self.has_idle_connection(&uri) {
            gate.close_to_new_connection();
            eyre::bail!("the call would need a new connection");
        }
        // Connections that are open now are older than the answer.
        let open = self.connector.newest();
        let mut req = Request::builder().method(method).uri(uri).body(body)?;
        gate.bind(capture_connection(&mut req));
        *req.headers_mut() = headers;
        req.headers_mut().insert(CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
        let resp = in_time(until, self.client.request(req)).await??;
        let (parts, body) = resp.into_parts();
        let own = parts.extensions.get::<ConnectionNumber>().copied().unwrap_or_default();
        let connections = open.max(own);
        let body = self.complete_body(&parts.headers, body, until).await?;
        Ok(Answer { status: parts.status, headers: parts.headers, body, connections })
    }

    async fn complete_body(
        &self,
        headers: &HeaderMap,
        body: Incoming,
        mut until: Instant,
    ) -> eyre::Result<Bytes> {
        let declared = headers.get(CONTENT_LENGTH).and_then(|it| it.to_str().ok()?.parse().ok());
        let Some(declared): Option<usize> = declared else {
            eyre::bail!("the answer does not announce its length");
        };
        let limit = self.limits.max_answer_bytes;
        if limit < declared {
            eyre::bail!("the answer of {declared} bytes exceeds the limit of {limit}");
        }
        let last = until + self.limits.body_extra_time;
        let mut body = Limited::new(body, limit);
        let mut buf = BytesMut::with_capacity(declared.min(INITIAL_BUFFER_BYTES));
        while let Some(frame) = in_time(until, body.frame()).await? {
            if let Ok(data) = frame.map_err(|it| eyre::eyre!(it))?.into_data() {
                buf.extend_from_slice(&data);
                until = until.max(last.min(Instant::now() + self.limits.answer_timeout));
            }
        }
        if buf.len() != declared {
            eyre::bail!("the answer ended after {} of {declared} bytes", buf.len());
        }
        Ok(buf.freeze())
    }

    /// Returns whether a connection is open that no call uses, given that the caller
    /// holds a permit of its own.
    fn has_idle_connection(&self, uri: &Uri) -> bool {
        let address = uri.authority().map(|it| it.as_str()).unwrap_or_default();
        let free = self.address_limit(address).available_permits();
        let in_use = self.limits.max_per_address.saturating_sub(free);
        in_use <= self.connector.open(address)
    }

    async fn acquire_permits(&self, uri: &Uri) -> eyre::Result<[OwnedSemaphorePermit; 2]> {
        let address = uri.authority().map(|it| it.as_str()).unwrap_or_default();
        let address_permit = self.address_limit(address).acquire_owned().await?;
        let total_permit = self.total_limit.clone().acquire_owned().await?;
        Ok([address_permit, total_permit])
    }

    fn address_limit(&self, address: &str) -> Arc<Semaphore> {
        let mut limits = self.address_limits.lock().unwrap_or_else(|it| it.into_inner());
        if let Some(limit) = limits.get(address) {
            return limit.clone();
        }
        if MAX_TRACKED_ADDRESSES <= limits.len() {
            limits.retain(|_, it| 1 < Arc::strong_count(it));
        }
        let limit = Arc::new(Semaphore::new(self.limits.max_per_address));
        limits.insert(address.to_owned(), limit.clone());
        limit
    }
}
