//! Malformed requests of callers, and malformed bytes at every port.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use mustardcove_adapter::standin::{ADMIN_PORT, CALLERS_PORT};
use mustardcove_core::fleet::id::SubmissionId;
use reqwest::StatusCode;
use rig::{HOST, PREFIX, Rig, two_steps};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::timeout,
};

/// The port for other processes: the first of the settings' range.
const PEERS_PORT: u16 = 7720;
/// Longest time for short tasks.
const SHORT: Duration = Duration::from_secs(8);
/// Longest time to an answer.
const ANSWER: Duration = Duration::from_secs(4);

/// Sends bytes, and returns the start of what is answered before the connection
/// ends or falls silent.
async fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // Fails if the other side has closed the connection, as it may.
    let _ = stream.write_all(bytes).await;
    let mut answer = vec![0; 256];
    let read = timeout(ANSWER, stream.read(&mut answer)).await;
    answer.truncate(read.map_or(0, |it| it.unwrap_or(0)));
    String::from_utf8_lossy(&answer).into_owned()
}

/// Posts a body, and returns the status line; empty without an answer.
async fn post(rig: &Rig, id: u64, headers: &str, body: &[u8]) -> String {
    let path = format!("{PREFIX}{}", SubmissionId(id));
    let head = format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{headers}\r\n\r\n");
    let bytes = [head.as_bytes(), body].concat();
    let answer = exchange(rig.address(0, CALLERS_PORT), &bytes).await;
    answer.lines().next().unwrap_or_default().to_owned()
}

async fn post_json(rig: &Rig, id: u64, headers: &str, body: &[u8]) -> String {
    let headers = format!("{headers}Content-Length: {}", body.len());
    post(rig, id, &headers, body).await
}

fn step(field: &str) -> Vec<u8> {
    format!(r#"{{"Steps":[{{"Count":1,"Cpu":10,"EstimatedMs":50{field}}}]}}"#).into_bytes()
}

/// Guards against a request without an answer, or with one that tells its caller
/// the wrong thing, because a header or the body is malformed.
#[tokio::test]
async fn each_answered() {
    let mut rig = Rig::start("odd-requests", 1, 2).await;
    rig.wait_ready().await;
    let mut id = 0x100;
    for ms in ["18446744073709551615", "245956587649460688", "1e400", "inf", "NaN", "-1", "x"] {
        id += 1;
        let status = post_json(&rig, id, &format!("X-Deadline-Ms: {ms}\r\n"), &step("")).await;
        assert_eq!(status, "HTTP/1.1 200 OK", "deadline {ms}");
    }
    let broken = post(&rig, 1, "Transfer-Encoding: chunked", b"5\r\nab").await;
    assert_eq!(broken, "", "an unfinished body is waited for");
    let broken = post(&rig, 1, "Transfer-Encoding: chunked", b"zz\r\nab\r\n").await;
    assert_eq!(broken, "HTTP/1.1 400 Bad Request");
    let large = vec![b' '; 300_000];
    let status = post_json(&rig, 1, "", &large).await;
    assert_eq!(status, "HTTP/1.1 413 Payload Too Large");
    let nested = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    // Fields that are not known have no effect, whatever they hold.
    let status = post_json(&rig, 2, "", &step(&format!(",\"x\":{nested}"))).await;
    assert_eq!(status, "HTTP/1.1 200 OK");
    let bodies = [
        step(&format!(",\"After\":{nested}")),
        step(",\"MemMb\":1e400"),
        step(",\"MemMb\":-1"),
        step(",\"Gpu\":4294967296"),
        step(",\"Cpu\":20"),
        step(",\"After\":[7]"),
        step(",\"MemMb\":18446744073709551615"),
        step(",\"Image\":\"\\ud800\""),
        [step(",\"Image\":\""), vec![0xff]].concat(),
        br#"{"Steps":[{"Count":65536}]}"#.to_vec(),
        format!(r#"{{"Steps":[{}]}}"#, [r#"{"Count":65535}"#; 9].join(",")).into_bytes(),
        b"null".to_vec(),
        Vec::new(),
    ];
    for body in bodies {
        id += 1;
        let text = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
        let status = post_json(&rig, id, "", &body).await;
        assert_eq!(status, "HTTP/1.1 400 Bad Request", "{text}");
    }
    assert_works(&mut rig).await;
}

/// Guards against a process that ends, or takes all memory, because a caller
/// asks for more than it can hold.
#[tokio::test]
async fn extreme_submissions() {
    let mut rig = Rig::start("extreme-requests", 2, 2).await;
    rig.wait_ready().await;
    let schedule = r#"{"Steps":[{"Count":1,"Cpu":10}],"RunCount":4294967295,"IntervalMs":0}"#;
    assert_eq!(post_json(&rig, 1, "", schedule.as_bytes()).await, "HTTP/1.1 200 OK");
    let long = br#"{"Steps":[{"Count":1,"EstimatedMs":1e300},{"Count":1,"EstimatedMs":1e300,
        "After":[0]}],"RunCount":4294967295,"StartAtMs":1e300,"IntervalMs":1e300}"#;
    assert_eq!(post_json(&rig, 2, "", long).await, "HTTP/1.1 200 OK");
    let fills = br#"{"Steps":[{"Count":2,"Cpu":1000000000,"Fills":true,"EstimatedMs":50}]}"#;
    assert_eq!(post_json(&rig, 3, "", fills).await, "HTTP/1.1 200 OK");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    rig.kill(0);
    rig.restart(0);
    rig.wait_ready().await;
    assert_eq!(rig.cancel(1, SubmissionId(1)).await, Some(StatusCode::OK));
    assert_works(&mut rig).await;
}

/// Guards against a process that ends because of what is sent to its ports.
#[tokio::test]
async fn malformed_bytes() {
    let mut rig = Rig::start("odd-bytes", 2, 2).await;
    rig.wait_ready().await;
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    // A SETTINGS frame, a HEADERS frame that is no valid compression, and a
    // frame that announces more than it has.
    let frames: &[&[u8]] = &[
        &[0, 0, 0, 4, 0, 0, 0, 0, 0],
        &[0, 0, 4, 1, 5, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff],
        &[0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1, 7],
    ];
    let mut all: Vec<Vec<u8>> = vec![preface.to_vec(), vec![0xff; 70_000], vec![0; 70_000]];
    for frame in frames {
        all.push([&preface[..], frames[0], frame].concat());
    }
    all.push(
        b"GET /metrics HTTP/1.1\r\nHost: \xff\r\nContent-Length: 99999999999999999999\r\n\r\n"
            .to_vec(),
    );
    all.push(b"POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}".to_vec());
    all.push(b"GET /\xff\xfe HTTP/1.1\r\n\r\n".to_vec());
    for port in [PEERS_PORT, CALLERS_PORT, ADMIN_PORT] {
        for bytes in &all {
            let address = rig.address(0, port);
            let _ = timeout(Duration::from_millis(200), exchange(address, bytes)).await;
        }
    }
    assert_works(&mut rig).await;
}

async fn assert_works(rig: &mut Rig) {
    let good = SubmissionId(0xf00d);
    // A process that has just started may not listen yet, or have no manifest.
    let until = Instant::now() + SHORT;
    while rig.submit(0, good, &two_steps(2, 100)).await != Some(StatusCode::OK) {
        assert!(Instant::now() < until, "new work is accepted");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(rig.wait_for(good, "completed", SHORT).await, "work goes on");
    let logs = rig.logs();
    let ended = logs.iter().find(|it| it.contains("panic") || it.contains("process failed"));
    assert_eq!(ended, None);
    assert!((0..rig.nodes.len()).all(|it| rig.is_running(it)), "a process has ended");
}
