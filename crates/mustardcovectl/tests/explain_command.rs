//! The command `explain`, against a route that a test sets.

use std::{
    io::Write as _,
    net::SocketAddr,
    process::{Command, Output, Stdio},
};

use axum::{Router, extract::RawQuery, http::StatusCode, routing::get};
use mustardcove_core::fleet::{
    explanation::{Answer, Basis, Explanation, PlanAge},
    id::Term,
};

const AGE: PlanAge = PlanAge { confirmed_ms: 40, workers_listed_ms: 300, oldest_poll_ms: Some(90) };

fn answer() -> Answer {
    Answer {
        asked: "node-1.7".parse().expect("a valid name"),
        answered_by: "node-0.5".parse().expect("a valid name"),
        term: Term(9),
        basis: Basis::Plan(AGE),
        age_ms: Some(AGE.max_ms()),
        explanation: Explanation::default(),
    }
}

/// Serves `/explain` with a status and a body for each question: by an id of 16
/// zeros, or with a body `ok`; any other is refused.
async fn serve() -> SocketAddr {
    let known = async |RawQuery(query): RawQuery| {
        let busy = r#"{"detail":"the leader is busy","verdict":"not_run"}"#.to_owned();
        match query.as_deref() {
            Some("id=0000000000000000") => (StatusCode::OK, encoded()),
            _ => (StatusCode::SERVICE_UNAVAILABLE, busy),
        }
    };
    let new = async |RawQuery(query): RawQuery, body: String| {
        let expected = query.as_deref() == Some("host=callers.example&path=%2Fbind%2F");
        match body.as_str() {
            "ok" if expected => (StatusCode::OK, encoded()),
            _ => (StatusCode::BAD_REQUEST, r#"{"detail":"no valid submission"}"#.to_owned()),
        }
    };
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let router = Router::new().route("/explain", get(known).post(new));
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

fn encoded() -> String {
    serde_json::to_string(&answer()).expect("it is encoded")
}

async fn run(args: Vec<String>, input: &'static str) -> Output {
    let run = move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mustardcovectl"));
        command.arg("explain").args(args).stdin(Stdio::piped());
        let mut child =
            command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("it starts");
        let mut stdin = child.stdin.take().expect("standard input");
        // Fails if the command does not read it.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        child.wait_with_output().expect("it ends")
    };
    tokio::task::spawn_blocking(run).await.expect("it does not panic")
}

fn args(address: &str, more: &str) -> Vec<String> {
    let more = more.split_whitespace().map(str::to_owned);
    ["--node", address].map(str::to_owned).into_iter().chain(more).collect()
}

/// Guards against an answer that is not printed, or a body that does not reach
/// the node.
#[tokio::test]
async fn answers_printed() {
    let address = serve().await.to_string();
    let new = "--host callers.example --path /bind/";
    for (more, input) in [("--id 0000000000000000", ""), (new, "ok")] {
        let output = run(args(&address, more), input).await;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{output:?}");
        assert!(text.starts_with("answered by node-0.5, the leader of term 9\n"), "{text}");
        assert!(text.contains("oldest poll 90 ms ago"), "{text}");
        let output = run(args(&address, &format!("{more} --json")), input).await;
        assert_eq!(serde_json::from_slice::<Answer>(&output.stdout).expect("JSON"), answer());
    }
    let file = std::env::temp_dir().join(format!("mustardcovectl-{}.json", std::process::id()));
    std::fs::write(&file, "ok").expect("a file");
    let output = run(args(&address, &format!("{new} --body {}", file.display())), "").await;
    std::fs::remove_file(&file).ok();
    assert!(output.status.success(), "{output:?}");
}

/// Guards against a failure whose exit code tells scripts the wrong thing.
#[tokio::test]
async fn exit_codes() {
    let address = serve().await.to_string();
    let cases = [
        ("--host h --path /x", 3, "no valid submission"),
        ("--id 0000000000000001", 5, "the leader is busy; nothing was changed"),
        ("--host h --path /x --body no-such-file", 1, "no-such-file"),
        ("--id x", 2, "not a submission"),
        ("--host h", 2, "--path"),
        ("", 2, "--id"),
        ("--id 0000000000000000 --host h --path /x", 2, "cannot be used with"),
    ];
    for (more, code, detail) in cases {
        let output = run(args(&address, more), "").await;
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(code), "{more}: {error}");
        assert!(error.contains(detail), "{more}: {error}");
    }
    let output = run(args("127.0.0.1:9", "--id 0000000000000000"), "").await;
    assert_eq!(output.status.code(), Some(5), "{output:?}");
}
