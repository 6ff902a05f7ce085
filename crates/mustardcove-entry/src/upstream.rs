//! Client that sends requests to one upstream over pooled connections.
//!
//! The verdict on a failed request follows from how far the request got. It did
//! not run if the connection could not be opened or the client never began to
//! write it. Once the first byte is written it may have run, unless the upstream
//! answers that it is leaving and did not accept the request.
//!
//! Abandoning an attempt drops its future, which closes its connection, so that
//! a late answer cannot reach another request. An answer is also accepted only
//! if it repeats the attempt's identifier and has its declared length.

mod connector;

use std::{error::Error as _, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri,
    header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, Error as ClientError},
    rt::{TokioExecutor, TokioTimer},
};
use mustardcove_core::{
    id::TaskId,
    membership::{ConnectionSignal, Upstream},
    time::Timestamp,
    verdict::{Refusal, RefusalReason, Verdict},
};
use mustardcove_platform::{
    Clock,
    upstream::{CLASS_HEADER, DEADLINE_HEADER, DRAINING_HEADER, REQUEST_ID_HEADER, TASK_HEADER},
};
use tokio::sync::mpsc;

use self::connector::Connector;

/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Largest answer to a probe, in bytes.
const MAX_PROBE_BYTES: usize = 4096;

/// Time after which an idle connection is closed.
///
/// It is below the usual keep-alive times of servers, so that an idle connection
/// that the upstream closes indicates that the upstream may be leaving.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifier of the attempt, which the answer must repeat.
    pub id: String,
    /// The class of work.
    pub class: HeaderValue,
    /// The task that the shard owner bound to this attempt, for a guarded
    /// request.
    pub task: Option<TaskId>,
    /// When the upstream stops working on the request.
    pub deadline: Timestamp,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// The caller's headers that are forwarded to the upstream.
    pub forwarded: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A complete answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// A failed attempt.
#[derive(Clone, Debug)]
pub struct AttemptError {
    /// The refusal that the caller gets if no retry follows.
    pub refusal: Refusal,
    /// Whether the upstream refused the request for lack of capacity.
    pub overloaded: bool,
}

/// The result of an attempt, with the connection signal that came with it.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The answer or the failure.
    pub result: Result<Answer, AttemptError>,
    /// The signal of a departure or failure, if there was one.
    pub signal: Option<ConnectionSignal>,
}

/// Status of an upstream that answered a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStatus {
    /// It confirmed that it accepts work.
    AcceptsWork,
    /// It responds but has no probe resource, so it may be leaving.
    Responds,
}

/// The connection over which a probe is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeConnection {
    /// A new connection, which shows that the upstream accepts connections.
    New,
    /// An idle pooled connection, if there is one. This costs less, and it keeps
    /// the connection open, so that its end shows that the upstream leaves.
    Pooled,
}

/// Client of one upstream.
#[derive(Debug)]
pub struct UpstreamClient {
    client: Client<Connector, Full<Bytes>>,
    /// Keeps no idle connections, so that every probe opens a new one.
    probes: Client<Connector, Full<Bytes>>,
    uri: Uri,
    probe_uri: Uri,
    max_answer_bytes: usize,
    clock: Clock,
}

impl UpstreamClient {
    /// Returns a client that opens no more connections than the upstream
    /// accepts.
    ///
    /// The upstream's worker is sent to `closed_connections` whenever the
    /// upstream closes a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the address does not form a URI with the paths.
    pub fn new(
        upstream: &Upstream,
        service_path: &str,
        probe_path: &str,
        max_answer_bytes: usize,
        clock: Clock,
        closed_connections: mpsc::Sender<mustardcove_core::id::WorkerId>,
    ) -> Result<UpstreamClient, http::Error> {
        let uri = |path: &str| {
            Uri::builder().scheme("http").authority(&*upstream.address).path_and_query(path).build()
        };
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connector = Connector::new(upstream, connect_timeout, closed_connections);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(upstream.connections as usize)
            .build(connector.clone());
        let probes =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(connector);
        Ok(UpstreamClient {
            client,
            probes,
            uri: uri(service_path)?,
            probe_uri: uri(probe_path)?,
            max_answer_bytes,
            clock,
        })
    }

    /// Sends a request and waits for the complete answer.
    pub async fn send(&self, attempt: &Attempt) -> AttemptEnd {
        let req = match self.request(attempt) {
            Ok(req) => req,
            Err(error) => return failed(Verdict::NotRun, RefusalReason::Internal, error, None),
        };
        let exchange = self.exchange(req, attempt);
        match tokio::time::timeout(self.clock.until(attempt.deadline), exchange).await {
            Ok(end) => end,
            Err(_) => {
                let detail = "the upstream did not answer before the deadline";
                failed(Verdict::MayHaveRun, RefusalReason::DeadlineExceeded, detail, None)
            }
        }
    }

    /// Asks the upstream whether it accepts work.
    ///
    /// # Errors
    ///
    /// Returns the signal by which the upstream is to be suspended.
    pub async fn probe(
        &self,
        id: &str,
        timeout: Duration,
        connection: ProbeConnection,
    ) -> Result<ProbeStatus, ConnectionSignal> {
        let req = Request::get(self.probe_uri.clone())
            .header(REQUEST_ID_HEADER, id)
            .body(Full::default())
            .map_err(|_| ConnectionSignal::Refused)?;
        let client = match connection {
            ProbeConnection::New => &self.probes,
            ProbeConnection::Pooled => &self.client,
        };
        match tokio::time::timeout(timeout, send_probe(client, req)).await {
            Ok(result) => result,
            Err(_) => Err(ConnectionSignal::Reset),
        }
    }

    fn request(&self, attempt: &Attempt) -> Result<Request<Full<Bytes>>, String> {
        let mut req = Request::new(Full::new(attempt.body.clone()));
        *req.method_mut() = Method::POST;
        *req.uri_mut() = self.uri.clone();
        let headers = req.headers_mut();
        headers.extend(attempt.forwarded.clone());
        let value = |text: &str| HeaderValue::from_str(text).map_err(|it| it.to_string());
        headers.insert(REQUEST_ID_HEADER, value(&attempt.id)?);
        headers.insert(DEADLINE_HEADER, HeaderValue::from(attempt.deadline.0));
        headers.insert(CLASS_HEADER, attempt.class.clone());
        if let Some(task) = attempt.task {
            headers.insert(TASK_HEADER, value(&task.to_string())?);
        }
        if let Some(content_type) = &attempt.content_type {
            headers.insert(CONTENT_TYPE, content_type.clone());
        }
        Ok(req)
    }

    async fn exchange(&self, req: Request<Full<Bytes>>, attempt: &Attempt) -> AttemptEnd {
        let resp = match self.client.request(req).await {
            Ok(resp) => resp,
            Err(error) => return classify_send_error(&error),
        };
        let signal = departure_signal(&resp);
        if signal == Some(ConnectionSignal::Draining) {
            let detail = "the upstream is leaving and did not take the request";
            return failed(Verdict::NotRun, RefusalReason::NoUpstream, detail, signal);
        }
        let echoed = resp.headers().get(REQUEST_ID_HEADER).map(HeaderValue::as_bytes);
        if echoed != Some(attempt.id.as_bytes()) {
            let detail = "the upstream answered another request";
            let signal = Some(ConnectionSignal::Reset);
            return failed(Verdict::MayHaveRun, RefusalReason::UpstreamFailed, detail, signal);
        }
        self.read_answer(resp, signal).await
    }

    async fn read_answer(
        &self,
        resp: Response<Incoming>,
        signal: Option<ConnectionSignal>,
    ) -> AttemptEnd {
        let (parts, body) = resp.into_parts();
        // A body that is delimited only by the end of the connection may be
        // truncated.
        let delimited = parts.headers.contains_key(CONTENT_LENGTH)
            || parts.headers.contains_key(TRANSFER_ENCODING);
        if !delimited {
            let detail = "the upstream's answer declares no length";
            return failed(Verdict::MayHaveRun, RefusalReason::UpstreamFailed, detail, signal);
        }
        let body = match Limited::new(body, self.max_answer_bytes).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<http_body_util::LengthLimitError>() => {
                let detail = format!("the answer exceeds {} bytes", self.max_answer_bytes);
                return failed(Verdict::Ran, RefusalReason::UpstreamFailed, detail, signal);
            }
            Err(_) => {
                let detail = "the upstream's answer ended before its declared length";
                let signal = signal.or(Some(ConnectionSignal::Reset));
                return failed(Verdict::MayHaveRun, RefusalReason::UpstreamFailed, detail, signal);
            }
        };
        let content_type = parts.headers.get(CONTENT_TYPE).cloned();
        let answer = Answer { status: parts.status, content_type, body };
        AttemptEnd { result: classify_answer(answer), signal }
    }
}

async fn send_probe(
    client: &Client<Connector, Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> Result<ProbeStatus, ConnectionSignal> {
    let resp = client.request(req).await.map_err(|error| {
        if error.is_connect() { ConnectionSignal::Refused } else { ConnectionSignal::Reset }
    })?;
    if let Some(signal) = departure_signal(&resp) {
        return Err(signal);
    }
    let status = resp.status();
    // The connection can be reused only after the body was read.
    let body = Limited::new(resp.into_body(), MAX_PROBE_BYTES).collect().await;
    if body.is_err() || status.is_server_error() {
        return Err(ConnectionSignal::Reset);
    }
    Ok(if status.is_success() { ProbeStatus::AcceptsWork } else { ProbeStatus::Responds })
}

/// Separates answers for the caller from failures of the upstream.
fn classify_answer(answer: Answer) -> Result<Answer, AttemptError> {
    if !answer.status.is_server_error() {
        return Ok(answer);
    }
    let overloaded = answer.status == StatusCode::SERVICE_UNAVAILABLE;
    let reason = if answer.status == StatusCode::GATEWAY_TIMEOUT {
        RefusalReason::DeadlineExceeded
    } else {
        RefusalReason::UpstreamFailed
    };
    let detail = format!("the upstream answered with status {}", answer.status.as_u16());
    Err(AttemptError { refusal: Refusal::may_have_run(reason, detail), overloaded })
}

fn departure_signal(resp: &Response<Incoming>) -> Option<ConnectionSignal> {
    let headers = resp.headers();
    if headers.contains_key(DRAINING_HEADER) {
        // A leaving upstream also sets this header on answers to requests that
        // it did serve.
        return Some(if resp.status() == StatusCode::SERVICE_UNAVAILABLE {
            ConnectionSignal::Draining
        } else {
            ConnectionSignal::Closing
        });
    }
    let mut options = headers.get_all(CONNECTION).iter().filter_map(|it| it.to_str().ok());
    let closes = options.any(|it| it.split(',').any(|it| it.trim().eq_ignore_ascii_case("close")));
    closes.then_some(ConnectionSignal::Closing)
}

fn classify_send_error(error: &ClientError) -> AttemptEnd {
    if error.is_connect() {
        let detail = "the connection to the upstream could not be opened";
        let signal = Some(ConnectionSignal::Refused);
        return failed(Verdict::NotRun, RefusalReason::NoUpstream, detail, signal);
    }
    let cause = error.source().and_then(|it| it.downcast_ref::<hyper::Error>());
    if cause.is_some_and(hyper::Error::is_canceled) {
        let detail = "the connection closed before the request was written";
        let signal = Some(ConnectionSignal::Reset);
        return failed(Verdict::NotRun, RefusalReason::NoUpstream, detail, signal);
    }
    let detail = "the connection failed before the answer arrived";
    let signal = Some(ConnectionSignal::Reset);
    failed(Verdict::MayHaveRun, RefusalReason::UpstreamFailed, detail, signal)
}

fn failed(
    verdict: Verdict,
    reason: RefusalReason,
    detail: impl Into<String>,
    signal: Option<ConnectionSignal>,
) -> AttemptEnd {
    let refusal = Refusal { verdict, reason, detail: detail.into(), retry_at: None };
    AttemptEnd { result: Err(AttemptError { refusal, overloaded: false }), signal }
}
