//! Test upstream with selectable faults.
//!
//! The header `x-service-mode` of a request selects how it is answered:
//!
//! - `reset` runs it and closes the connection without an answer;
//! - `no-answer` answers after 5 s, which is longer than the tests wait;
//! - `delay=MS` answers after the delay, `status=CODE` with the status;
//! - `wrong-id` repeats the identifier of another request;
//! - `short` ends the answer before its declared length;
//! - `unframed` declares no length and ends the answer with the connection;
//! - `closing` announces that the connection closes after the answer.
//!
//! In any other mode the answer is correct and immediate. The server implements
//! HTTP/1.1 directly on sockets, because an HTTP library would not send the
//! invalid answers that the tests need.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

#[derive(Default)]
struct Inner {
    /// Number of runs by request body.
    runs: HashMap<String, u32>,
    connections: u32,
    most_connections: u32,
    draining: bool,
    /// Mode of every request, which overrides its header.
    forced_mode: Option<&'static str>,
}

/// An upstream on a port chosen by the system.
pub struct TestUpstream {
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    task: JoinHandle<()>,
}

impl TestUpstream {
    pub async fn start() -> TestUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let inner = Arc::new(Mutex::new(Inner::default()));
        let shared = Arc::clone(&inner);
        let task = tokio::spawn(async move {
            let mut conns = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let inner = Arc::clone(&shared);
                conns.spawn(async move {
                    {
                        let mut inner = inner.lock().unwrap();
                        inner.connections += 1;
                        inner.most_connections = inner.most_connections.max(inner.connections);
                    }
                    let _ = serve(stream, &inner).await;
                    inner.lock().unwrap().connections -= 1;
                });
            }
        });
        TestUpstream { address, inner, task }
    }

    pub fn runs(&self, body: &str) -> u32 {
        self.inner.lock().unwrap().runs.get(body).copied().unwrap_or(0)
    }

    pub fn total_runs(&self) -> u32 {
        self.inner.lock().unwrap().runs.values().sum()
    }

    pub fn most_connections(&self) -> u32 {
        self.inner.lock().unwrap().most_connections
    }

    pub fn set_draining(&self, draining: bool) {
        self.inner.lock().unwrap().draining = draining;
    }

    pub fn force_mode(&self, mode: Option<&'static str>) {
        self.inner.lock().unwrap().forced_mode = mode;
    }

    /// Closes the listener and all connections.
    pub async fn stop(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

struct Head {
    is_probe: bool,
    headers: HashMap<String, String>,
}

async fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> std::io::Result<Option<Head>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            break at;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let is_probe = lines.next().unwrap_or_default().starts_with("GET");
    let headers = lines.filter_map(|it| it.split_once(": "));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()));
    Ok(Some(Head { is_probe, headers: headers.collect() }))
}

async fn serve(mut stream: TcpStream, inner: &Mutex<Inner>) -> std::io::Result<()> {
    let mut buf = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buf).await? {
        let header = |name: &str| head.headers.get(name).cloned().unwrap_or_default();
        let length: usize = header("content-length").parse().unwrap_or(0);
        while buf.len() < length {
            if stream.read_buf(&mut buf).await? == 0 {
                return Ok(());
            }
        }
        let body: Vec<u8> = buf.drain(..length).collect();
        let body = String::from_utf8_lossy(&body).into_owned();
        if inner.lock().unwrap().draining {
            let resp = "HTTP/1.1 503 Leaving\r\nx-draining: 1\r\nconnection: close\r\n\
                        content-length: 0\r\n\r\n";
            return stream.write_all(resp.as_bytes()).await;
        }
        if head.is_probe {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await?;
            continue;
        }
        *inner.lock().unwrap().runs.entry(body.clone()).or_default() += 1;
        let mut id = header("x-request-id");
        let forced = inner.lock().unwrap().forced_mode;
        let mode = forced.map_or_else(|| header("x-service-mode"), str::to_owned);
        let (mode, argument) = mode.split_once('=').unwrap_or((&mode, ""));
        let answer = format!("answer to {body}");
        let mut length = answer.len();
        let mut status = "200 OK".to_owned();
        match mode {
            "reset" => return Ok(()),
            "no-answer" => tokio::time::sleep(Duration::from_secs(5)).await,
            "delay" => {
                tokio::time::sleep(Duration::from_millis(argument.parse().unwrap())).await;
            }
            "status" => status = format!("{argument} Test"),
            "wrong-id" => id = "another-request".to_owned(),
            "short" => length += 10,
            _ => {}
        }
        let framing = match mode {
            "unframed" => "connection: close".to_owned(),
            "closing" => format!("connection: close\r\ncontent-length: {length}"),
            _ => format!("content-length: {length}"),
        };
        let resp = format!(
            "HTTP/1.1 {status}\r\nx-request-id: {id}\r\ncontent-type: text/plain\r\n{framing}\r\n\r\n{answer}"
        );
        stream.write_all(resp.as_bytes()).await?;
        if ["short", "unframed", "closing"].contains(&mode) {
            return Ok(());
        }
    }
    Ok(())
}
