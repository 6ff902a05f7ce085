//! The administration route that explains submissions, at real processes.

#[path = "support/proxy.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod proxy;
#[path = "support/rig.rs"]
#[expect(dead_code, reason = "shared with the fault soak")]
mod rig;

use std::time::{Duration, Instant};

use mustardcove_adapter::standin::ADMIN_PORT;
use mustardcove_core::fleet::{
    explanation::{Answer, Basis},
    id::SubmissionId,
};
use proxy::Mode;
use reqwest::{Client, Method, StatusCode};
use rig::{HOST, PREFIX, Rig, one_step, two_steps};

/// Time after which the leader explains another submission.
const INTERVAL: Duration = Duration::from_millis(600);
/// Longest time for short tasks, and until a node is told of a state.
const SHORT: Duration = Duration::from_secs(8);
/// Longest time to an answer without the leader.
const ANSWER: Duration = Duration::from_secs(3);

/// A question: method, query and body, and the status and a part of the answer.
type Case<'a> = (Method, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);

async fn ask(
    rig: &Rig,
    node: usize,
    method: Method,
    query: &[(&str, &str)],
    body: &str,
) -> (StatusCode, String) {
    let uri = format!("http://{}/explain", rig.address(node, ADMIN_PORT));
    let mut uri = reqwest::Url::parse(&uri).expect("a valid address");
    uri.query_pairs_mut().extend_pairs(query);
    let req = Client::new().request(method, uri).timeout(SHORT).body(body.to_owned());
    let resp = req.send().await.expect("an answer");
    (resp.status(), resp.text().await.expect("a body"))
}

async fn ask_new(rig: &Rig, node: usize, body: &str) -> Answer {
    tokio::time::sleep(INTERVAL).await;
    let query = [("host", HOST), ("path", PREFIX)];
    let (status, text) = ask(rig, node, Method::POST, &query, body).await;
    assert_eq!(status, StatusCode::OK, "{text}");
    serde_json::from_str(&text).expect("an answer")
}

async fn ask_known(rig: &Rig, node: usize, id: SubmissionId) -> Answer {
    tokio::time::sleep(INTERVAL).await;
    let (status, text) = ask(rig, node, Method::GET, &[("id", &id.to_string())], "").await;
    assert_eq!(status, StatusCode::OK, "{text}");
    serde_json::from_str(&text).expect("an answer")
}

/// Returns the node that leads, once both know it.
async fn leader(rig: &Rig) -> usize {
    let until = Instant::now() + SHORT;
    while Instant::now() < until {
        let (a, b) = (
            ask_new(rig, 0, &one_step(1, 50).to_string()).await,
            ask_new(rig, 1, &one_step(1, 50).to_string()).await,
        );
        let is_plan = |it: &Answer| matches!(it.basis, Basis::Plan(_));
        if is_plan(&a) && is_plan(&b) && a.answered_by == b.answered_by {
            return usize::from(a.answered_by != a.asked);
        }
    }
    panic!("no leader answers");
}

async fn requests(rig: &Rig, node: usize) -> Vec<String> {
    let (_, text) = rig.admin(node, "/metrics").await.expect("metrics");
    let of_callers = |it: &&str| it.starts_with("mustardcove_caller_requests");
    text.lines().filter(of_callers).map(str::to_owned).collect()
}

/// Guards against a node whose answer differs from that of the leader, and
/// against a question that has an effect.
#[tokio::test]
async fn any_node() {
    let rig = Rig::start("explain", 2, 3).await;
    rig.wait_ready().await;
    let leader = leader(&rig).await;
    let before = (requests(&rig, 0).await, requests(&rig, 1).await);
    for node in 0..2 {
        let answer = ask_new(&rig, node, &two_steps(4, 100).to_string()).await;
        assert!(answer.asked.as_str().starts_with(&format!("node-{node}.")), "{answer}");
        assert!(answer.answered_by.as_str().starts_with(&format!("node-{leader}.")), "{answer}");
        assert!(answer.age_ms.is_some_and(|it| it < 3_000), "{answer}");
        let explanation = &answer.explanation;
        assert!(!explanation.is_known && explanation.submission.is_none(), "{answer}");
        let admission = explanation.admission.as_ref();
        assert!(admission.is_some_and(|it| it.is_accepted), "{answer}");
        assert_eq!(explanation.steps.len(), 2, "{answer}");
        assert_eq!(explanation.steps[0].start_count, 4, "{answer}");
        assert_eq!(explanation.steps[0].usable, 3, "{answer}");
        assert_eq!(explanation.steps[1].after, [0], "{answer}");
    }
    assert_eq!((requests(&rig, 0).await, requests(&rig, 1).await), before);
    let decided = |it: &String| it.contains("kind=planned") || it.contains("kind=started");
    assert!(!rig.logs().iter().any(decided), "nothing is planned");
    assert_eq!(rig.monitor.starts(), 0, "nothing is started");
    let id = SubmissionId(0xe1);
    assert_eq!(rig.submit(0, id, &one_step(3, 6_000)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "running", SHORT).await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    for node in 0..2 {
        let answer = ask_known(&rig, node, id).await;
        let states = &answer.explanation.steps[0].states;
        assert_eq!(states.len(), 3, "{answer}");
        assert!(states.iter().all(|it| it.run.is_some() && it.waits_for.is_none()), "{answer}");
        assert!(answer.explanation.is_known, "{answer}");
    }
}

/// Guards against a node that gives no answer, or one that hides its age, while
/// there is no leader.
#[tokio::test]
async fn without_leader() {
    let mut rig = Rig::start("explain-alone", 2, 2).await;
    rig.wait_ready().await;
    let leader = leader(&rig).await;
    let other = 1 - leader;
    let id = SubmissionId(0xe2);
    assert_eq!(rig.submit(leader, id, &one_step(2, 100)).await, Some(StatusCode::OK));
    assert!(rig.wait_for(id, "completed", SHORT).await);
    let until = Instant::now() + SHORT;
    while rig.state(other, id).await.as_deref() != Some("completed") {
        assert!(Instant::now() < until, "the other node hears of it");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    rig.nodes[other].store.set(Mode::Silent);
    rig.kill(leader);
    let began = Instant::now();
    let answer = ask_new(&rig, other, &two_steps(4, 100).to_string()).await;
    assert!(began.elapsed() < ANSWER, "it waits for a leader that does not answer");
    assert_eq!(answer.asked, answer.answered_by);
    assert!(matches!(answer.basis, Basis::Cache { .. }), "{answer}");
    assert!(answer.age_ms.is_some_and(|it| it < 5_000), "{answer}");
    assert!(answer.to_string().contains("without the leader"), "{answer}");
    assert!(answer.explanation.queue.is_some() && answer.explanation.steps.is_empty());
    assert_eq!(answer.explanation.evacuated, Some(Vec::new()), "{answer}");
    let answer = ask_known(&rig, other, id).await;
    assert!(answer.explanation.is_known, "{answer}");
    assert!(answer.to_string().contains("accepted, completed"), "{answer}");
    let (status, text) = ask(&rig, other, Method::GET, &[("id", "00000000000000ff")], "").await;
    assert_eq!(status, StatusCode::NOT_FOUND, "{text}");
    assert!(text.contains("knows no such submission"), "{text}");
}

/// Guards against wrong input that gets an explanation, or an error that does
/// not say what is wrong.
#[tokio::test]
async fn wrong_input() {
    let rig = Rig::start("explain-wrong", 2, 1).await;
    rig.wait_ready().await;
    leader(&rig).await;
    let body = one_step(1, 50).to_string();
    let queue = [("host", HOST), ("path", PREFIX)];
    let large = " ".repeat(300_000);
    let path_with_id = format!("{PREFIX}x");
    let cases: [Case<'_>; 10] = [
        (Method::POST, &queue, "{", 400, "no valid submission"),
        (Method::POST, &queue, r#"{"Steps":[]}"#, 400, "at least one step"),
        (Method::POST, &queue, &large, 413, "more than 262144 bytes"),
        (Method::POST, &[("host", HOST)], &body, 400, "host=HOST and path=PATH"),
        (Method::POST, &[("host", "x"), ("path", PREFIX)], &body, 404, "callers.example/bind/"),
        (Method::POST, &[("host", HOST), ("path", "/x")], &body, 404, "callers.example/bind/"),
        (Method::POST, &[("host", HOST), ("path", &path_with_id)], &body, 400, "16 hexadecimal"),
        (Method::GET, &[], "", 400, "id=ID"),
        (Method::GET, &[("id", "E1")], "", 400, "16 hexadecimal"),
        (Method::GET, &[("id", "00000000000000ff")], "", 404, "no such submission"),
    ];
    for (method, query, body, status, detail) in cases {
        tokio::time::sleep(INTERVAL).await;
        let (answered, text) = ask(&rig, 1, method, query, body).await;
        assert_eq!(answered.as_u16(), status, "{query:?} {text}");
        assert!(text.contains(detail), "{query:?} {text}");
    }
    let (status, _) = ask(&rig, 0, Method::PUT, &queue, &body).await;
    assert_eq!(status, StatusCode::METHOD_NOT_ALLOWED);
    ask_new(&rig, 0, &body).await;
    let (status, text) = ask(&rig, 0, Method::POST, &queue, &body).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "the leader was asked a moment ago");
    assert!(text.contains("not_run"), "{text}");
}
