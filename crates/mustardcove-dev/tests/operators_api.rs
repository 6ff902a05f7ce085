//! Guards against an administration API that fails on a running deployment,
//! accepts tokens of members, loses the change of an operator, or reports a
//! revision as in force everywhere before it is.

use std::time::{Duration, Instant};

use mustardcove_core::ownership::ProcessKind;
use mustardcove_dev::{
    cluster::{Cluster, OPERATOR_TOKEN},
    deployment::cotetul,
};
use mustardcove_platform::Clock;
use reqwest::{Client, Method, StatusCode};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};

/// Time limit for a revision to be in force everywhere at the present sizes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

struct OperatorClient {
    client: Client,
    base: String,
}

impl OperatorClient {
    async fn call(&self, method: Method, path: &str, body: Option<Value>) -> (StatusCode, Value) {
        let url = format!("{}{path}", self.base);
        let mut request = self.client.request(method, url).bearer_auth(OPERATOR_TOKEN);
        if let Some(body) = body {
            request = request.json(&body);
        }
        let resp = request.send().await.unwrap();
        (resp.status(), resp.json().await.unwrap())
    }

    async fn get(&self, path: &str) -> Value {
        let (status, body) = self.call(Method::GET, path, None).await;
        assert_eq!(status, StatusCode::OK, "{path}: {body}");
        body
    }
}

async fn start_cluster() -> (Cluster, OperatorClient) {
    let log = Logger::root(Discard, o!());
    let cluster = Cluster::start(cotetul(), Clock::start(), 1, &log).await.unwrap();
    let sessions = cluster.sessions().await;
    let entry = sessions.iter().find(|it| it.kind == ProcessKind::Entry).unwrap();
    let base = format!("http://{}/v1/admin", entry.admin_address);
    (cluster, OperatorClient { client: Client::new(), base })
}

async fn submit(cluster: &Cluster, token: &str) -> (StatusCode, Value) {
    let request = Client::new()
        .post(format!("http://{}/v1/jobs", cluster.entries[0]))
        .bearer_auth(token)
        .header("idempotency-key", "one")
        .json(&json!({ "class": "sensor-watcher", "payload": "{\"work_ms\":0}" }));
    let resp = request.send().await.unwrap();
    (resp.status(), resp.json().await.unwrap())
}

/// Guards against the failures named at the head of this file, step by step on
/// one running deployment.
#[tokio::test(flavor = "multi_thread")]
async fn whole_api() {
    let (cluster, operator) = start_cluster().await;
    let token = cluster.deployment.token.clone();
    let (_, job) = submit(&cluster, &token).await;
    let job = job["job"].as_str().unwrap().to_owned();

    // The operators' API refuses the token of a member, and the callers' API
    // refuses that of an operator.
    let member_request =
        operator.client.get(format!("{}/members", operator.base)).bearer_auth(&token);
    assert_eq!(member_request.send().await.unwrap().status(), StatusCode::UNAUTHORIZED);
    let (status, _) = submit(&cluster, OPERATOR_TOKEN).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);

    assert_eq!(operator.get("/workers").await.as_array().unwrap().len(), 48);
    let members = operator.get("/members").await;
    assert_eq!(members[0]["member"], "cotetul");
    let listed = operator.get("/jobs?member=cotetul").await;
    assert_eq!(listed["jobs"][0]["job"], job.as_str());
    assert_eq!(operator.get(&format!("/jobs/{job}")).await["class"], "sensor-watcher");
    let (status, _) = operator.call(Method::DELETE, &format!("/jobs/{job}"), None).await;
    assert_eq!(status, StatusCode::OK);

    let mut record = operator.get("/agreement").await;
    record["members"]["cotetul"]["max_requests"] = json!(7);
    let path = "/agreement?based_on=1&author=ana&summary=fewer";
    let (status, changed) = operator.call(Method::PUT, path, Some(record.clone())).await;
    assert_eq!((status, &changed["revision"]), (StatusCode::OK, &json!(2)));
    let accepted = Instant::now();
    while operator.get("/status").await["in_force_everywhere"] != json!(true) {
        assert!(accepted.elapsed() < IN_FORCE_TIMEOUT, "not in force everywhere in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    // The change of the second operator is based on revision 1, which is no
    // longer the latest one.
    let path = "/agreement?based_on=1&author=ben&summary=more";
    let (status, refused) = operator.call(Method::PUT, path, Some(record)).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(refused["error"]["conflict"]["change"]["author"], "ana");
    let history = operator.get("/agreement/history").await;
    assert_eq!(history.as_array().unwrap().len(), 2);
    assert_eq!(operator.get("/agreement/history/1").await["revision"], json!(1));

    let wrong = json!({ "members": { "x": { "schema": "v2", "id": "y",
        "cap": { "cpu": "1", "memory": "1GiB" }, "max_requests": 1, "classes": [] } } });
    let (status, refused) = operator.call(Method::PUT, "/agreement", Some(wrong)).await;
    assert_eq!(status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(refused["detail"].as_str().unwrap().contains("the record names member y"));
    cluster.stop().await.unwrap();
}
