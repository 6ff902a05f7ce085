//! Tests that access needs a valid token, that members cannot reach each other's
//! jobs, and that answers and dumps contain no tokens.

#[path = "support/all.rs"]
mod support;

use mustardcove_core::verdict::{RefusalReason, Verdict};
use mustardcove_entry::{
    api::admin,
    job_view::{JobList, JobView, ViewState},
};
use serde_json::json;
use support::{
    harness::{Harness, OTHER_TOKEN, TOKEN, refused, worker},
    upstream::TestUpstream,
};

/// Guards against access with a missing, malformed or wrong token, and against
/// a refusal that repeats the token.
#[tokio::test]
async fn token_is_required() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    let long = "x".repeat(2_000);
    for token in ["", "Bearer", "Bearer ", "Bearer wrong", "Basic abc", &format!("Bearer {long}")] {
        for path in ["/v1/jobs", "/v1/services/check", "/v1/services/none"] {
            let req = harness.http.post(harness.url(path)).header("authorization", token);
            let (status, refusal) = refused(req.body("a")).await;
            assert_eq!((status, refusal.reason), (401, RefusalReason::Forbidden));
            assert_eq!(refusal.verdict, Verdict::NotRun);
            assert!(!refusal.detail.contains("wrong"));
        }
    }
    assert_eq!(upstream.total_runs(), 0);
}

/// Guards against a member that sees or cancels another member's job, and
/// against listings that omit or repeat jobs.
#[tokio::test]
async fn jobs_are_visible_to_their_member_only() {
    let harness = Harness::start(Vec::new()).await;
    let mut jobs = Vec::new();
    for number in 0..5 {
        let req = harness.submit(&format!("order-{number}"), json!({"class": "run"}));
        jobs.push(req.send().await.unwrap().json::<JobView>().await.unwrap().job);
    }
    jobs.sort();
    let url = harness.url(&format!("/v1/jobs/{}", jobs[0]));
    for req in [harness.http.get(&url), harness.http.delete(&url)] {
        let (status, refusal) = refused(req.bearer_auth(OTHER_TOKEN)).await;
        assert_eq!((status, refusal.reason), (404, RefusalReason::NotFound));
    }
    let list = async |token: &str, query: &str| -> JobList {
        let req = harness.http.get(harness.url(&format!("/v1/jobs{query}"))).bearer_auth(token);
        req.send().await.unwrap().json().await.unwrap()
    };
    assert_eq!(list(OTHER_TOKEN, "").await, JobList { jobs: Vec::new(), next: None });
    // The pages cover all jobs without gaps or repetitions.
    let mut listed = Vec::new();
    let mut query = "?limit=2".to_owned();
    loop {
        let page = list(TOKEN, &query).await;
        listed.extend(page.jobs.iter().map(|it| it.job));
        let Some(next) = page.next else { break };
        query = format!("?limit=2&after={next}");
    }
    assert_eq!(listed, jobs);
    let resp = harness.http.delete(&url).bearer_auth(TOKEN).send().await.unwrap();
    assert_eq!(resp.json::<JobView>().await.unwrap().state, ViewState::Cancelled);
    assert_eq!(list(TOKEN, "").await.jobs.len(), 4);
    assert_eq!(list(TOKEN, "?include_done=true").await.jobs.len(), 5);
}

/// Guards against tokens, keys or payloads in a state dump.
#[tokio::test]
async fn dump_contains_no_secrets() {
    let upstream = TestUpstream::start().await;
    let harness = Harness::start(vec![worker("w-0", upstream.address)]).await;
    let req = harness.call("booking", "", "secret-body").header("idempotency-key", "secret-key");
    assert!(req.send().await.unwrap().status().is_success());
    let dump = serde_json::to_string(&admin::process_dump(&harness.entry)).unwrap();
    assert!(dump.contains("\"w-0\"") && dump.contains("\"in_flight\":0"), "{dump}");
    for secret in [TOKEN, "secret-body", "secret-key"] {
        assert!(!dump.contains(secret), "{dump}");
    }
}
