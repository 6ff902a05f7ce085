//! Requests to one upstream over pooled connections.
//!
//! The verdict of a failure follows from how far the request got. A connection
//! that could not be opened, and a request that the client never began to
//! write, did not run. Whatever happens after the first byte may have run,
//! unless the upstream itself says that it is leaving and took nothing.
//!
//! An attempt that is given up drops its future, which closes its connection:
//! its late answer can reach nobody. An answer is also compared with the
//! attempt's identifier and its declared length before it counts.

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
    upstream::{CLASS, DEADLINE, DRAINING, REQUEST_ID, TASK},
};
use tokio::sync::mpsc;

use self::connector::Connector;

/// Time within which a connection must open, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Largest answer to a probe, in bytes.
const MAX_PROBE_BYTES: usize = 4096;

/// Time after which an idle connection is closed.
///
/// It is below the usual keep-alive times of servers, so that a connection
/// closed by the upstream says something about the upstream.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identifier of the attempt, which the answer must repeat.
    pub id: String,
    /// The class of work.
    pub class: HeaderValue,
    /// The attempt under which the request was admitted, if it was.
    pub task: Option<TaskId>,
    /// When the upstream stops working on the request.
    pub deadline: Timestamp,
    /// Type of the body.
    pub content_type: Option<HeaderValue>,
    /// The caller's headers that upstreams may read.
    pub forwarded: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// A whole answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// Type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

/// A failed attempt.
#[derive(Clone, Debug)]
pub struct AttemptError {
    /// What the caller is told if no other attempt follows.
    pub refusal: Refusal,
    /// Whether the upstream lacked capacity.
    pub overloaded: bool,
}

/// An attempt's end with what its connection showed.
#[derive(Debug)]
pub struct AttemptEnd {
    /// The answer or the failure.
    pub result: Result<Answer, AttemptError>,
    /// The signal of a departure or failure, if there was one.
    pub signal: Option<ConnectionSignal>,
}

/// What a probe showed of an upstream that answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Alive {
    /// It says that it takes work.
    TakesWork,
    /// It answers, but has no resource for probes and so may be leaving.
    Answers,
}

/// Over which connection a probe is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connect {
    /// Over a new one, which shows that the upstream accepts connections.
    Anew,
    /// Over an open one if there is one. It costs less, and it keeps the
    /// connection open, whose end then shows that the upstream leaves.
    Pooled,
}

/// Client of one upstream.
#[derive(Debug)]
pub struct UpstreamClient {
    client: Client<Connector, Full<Bytes>>,
    /// Keeps no idle connection, so that every probe opens a new one.
    probes: Client<Connector, Full<Bytes>>,
    uri: Uri,
    probe_uri: Uri,
    max_answer_bytes: usize,
    clock: Clock,
}

impl UpstreamClient {
    /// Returns a client that opens no more connections than the upstream
    /// accepts and reports idle connections that the upstream closed to
    /// `closed`.
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
        closed: mpsc::Sender<mustardcove_core::id::WorkerId>,
    ) -> Result<UpstreamClient, http::Error> {
        let uri = |path: &str| {
            Uri::builder().scheme("http").authority(&*upstream.address).path_and_query(path).build()
        };
        let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connector = Connector::new(upstream, connect_timeout, closed);
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

    /// Sends a request and waits for the whole answer.
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

    /// Asks an upstream whether it takes work.
    ///
    /// # Errors
    ///
    /// Returns the signal that stands against it.
    pub async fn probe(
        &self,
        id: &str,
        timeout: Duration,
        connect: Connect,
    ) -> Result<Alive, ConnectionSignal> {
        let req = Request::get(self.probe_uri.clone())
            .header(REQUEST_ID, id)
            .body(Full::default())
            .map_err(|_| ConnectionSignal::Refused)?;
        let client = match connect {
            Connect::Anew => &self.probes,
            Connect::Pooled => &self.client,
        };
        match tokio::time::timeout(timeout, probe_over(client, req)).await {
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
        headers.insert(REQUEST_ID, value(&attempt.id)?);
        headers.insert(DEADLINE, HeaderValue::from(attempt.deadline.0));
        headers.insert(CLASS, attempt.class.clone());
        if let Some(task) = attempt.task {
            headers.insert(TASK, value(&task.to_string())?);
        }
        if let Some(content_type) = &attempt.content_type {
            headers.insert(CONTENT_TYPE, content_type.clone());
        }
        Ok(req)
    }

    async fn exchange(&self, req: Request<Full<Bytes>>, attempt: &Attempt) -> AttemptEnd {
        let resp = match self.client.request(req).await {
            Ok(resp) => resp,
            Err(error) => return send_failed(&error),
        };
        let signal = departure_of(&resp);
        if signal == Some(ConnectionSignal::Draining) {
            let detail = "the upstream is leaving and did not take the request";
            return failed(Verdict::NotRun, RefusalReason::NoUpstream, detail, signal);
        }
        let echoed = resp.headers().get(REQUEST_ID).map(HeaderValue::as_bytes);
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
        // An answer that ends with the connection may have lost its end.
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
        AttemptEnd { result: judge(answer), signal }
    }
}

async fn probe_over(
    client: &Client<Connector, Full<Bytes>>,
    req: Request<Full<Bytes>>,
) -> Result<Alive, ConnectionSignal> {
    let resp = client.request(req).await.map_err(|error| {
        if error.is_connect() { ConnectionSignal::Refused } else { ConnectionSignal::Reset }
    })?;
    if let Some(signal) = departure_of(&resp) {
        return Err(signal);
    }
    let status = resp.status();
    // The connection can be used again only once the body was read.
    let body = Limited::new(resp.into_body(), MAX_PROBE_BYTES).collect().await;
    if body.is_err() || status.is_server_error() {
        return Err(ConnectionSignal::Reset);
    }
    Ok(if status.is_success() { Alive::TakesWork } else { Alive::Answers })
}

/// Tells answers from failures of the upstream.
fn judge(answer: Answer) -> Result<Answer, AttemptError> {
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

fn departure_of(resp: &Response<Incoming>) -> Option<ConnectionSignal> {
    let headers = resp.headers();
    if headers.contains_key(DRAINING) {
        // An answer to a request that was served carries the mark as well.
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

fn send_failed(error: &ClientError) -> AttemptEnd {
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
