//! Answers that are truncated, too long or of undeclared length, and limits of
//! the HTTP client.

use std::time::Duration;

use bytes::Bytes;
use mustardcove_core::{time::Timestamp, verdict::Verdict};
use mustardcove_platform::{
    Clock,
    http::{CallError, HttpClient, HttpLimits, gate::Gate},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const NEVER: Timestamp = Timestamp::MAX;

/// Posts to a server that answers with `answer` and closes the connection.
async fn post(answer: &'static str) -> Result<Bytes, CallError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let read = stream.read(&mut buf).await.unwrap();
        assert_ne!(read, 0);
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let limits = HttpLimits {
        answer_timeout: Duration::from_millis(500),
        max_answer_bytes: 100,
        ..HttpLimits::default()
    };
    let client = HttpClient::new(Clock::start(), limits);
    let body = Bytes::from_static(b"{}");
    let answer = client.post(&format!("http://{address}/"), body, NEVER, Duration::ZERO).await;
    answer.map(|it| it.body)
}

/// Guards against part of an answer being taken for the complete answer.
#[tokio::test]
async fn incomplete_answers_rejected() {
    let whole = post("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole").await;
    assert_eq!(whole.unwrap(), "whole");
    for incomplete in [
        "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\nonly a part",
        "HTTP/1.1 200 OK\r\n\r\nof unknown length",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "",
    ] {
        let error = post(incomplete).await.unwrap_err();
        assert_eq!(error.verdict(), Verdict::MayHaveRun, "{incomplete:?}: {error}");
    }
}

/// Guards against a body that is sent after the call was reported as not run.
#[tokio::test(start_paused = true)]
async fn gate_decides() {
    let clock = Clock::starting_at(Timestamp(1_000));
    let taken = Gate::new(clock, NEVER);
    assert!(taken.take());
    assert!(!taken.take(), "a body is handed out once");
    assert_eq!(taken.close(), Verdict::MayHaveRun);
    let closed = Gate::new(clock, NEVER);
    assert_eq!(closed.close(), Verdict::NotRun);
    assert!(!closed.take());
    let late = Gate::new(clock, Timestamp(1_500));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(!late.take());
    assert_eq!(late.close(), Verdict::NotRun);
}

/// Guards against more connections than the limit allows, and against a call
/// that is reported as possibly run when it only waited for a connection.
#[tokio::test]
async fn connections_bounded() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let uri = format!("http://{}/", listener.local_addr().unwrap());
    let limits = HttpLimits {
        answer_timeout: Duration::from_millis(300),
        max_per_address: 2,
        ..HttpLimits::default()
    };
    let client = HttpClient::new(Clock::start(), limits);
    let call = |extra_wait| {
        let (client, uri) = (client.clone(), uri.clone());
        tokio::spawn(async move {
            client.post(&uri, Bytes::from_static(b"{}"), NEVER, extra_wait).await
        })
    };
    let first = [call(Duration::from_secs(10)), call(Duration::from_secs(10))];
    let mut accepted = Vec::new();
    for _ in 0..2 {
        let accept = tokio::time::timeout(Duration::from_secs(5), listener.accept());
        accepted.push(accept.await.unwrap().unwrap());
    }
    for it in [call(Duration::ZERO), call(Duration::ZERO)] {
        assert_eq!(it.await.unwrap().unwrap_err().verdict(), Verdict::NotRun);
    }
    let third = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
    assert!(third.is_err(), "a third connection was opened");
    for (stream, _) in &mut accepted {
        let mut buf = [0; 4_096];
        assert_ne!(stream.read(&mut buf).await.unwrap(), 0);
    }
    drop(accepted);
    drop(listener);
    for it in first {
        assert_eq!(it.await.unwrap().unwrap_err().verdict(), Verdict::MayHaveRun);
    }
}
