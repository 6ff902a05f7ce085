//! Implementation of `explain`: asks a node where a submission would go.

use std::{io::Read as _, path::Path, time::Duration};

use mustardcove_core::{fleet::explanation::Answer, verdict::Verdict};
use reqwest::{Client, Url};
use serde_json::Value;

use crate::{
    api::{CommandError, error_from_response, local_error},
    args::{Args, ExplainArgs, Output},
};

/// Longest time that the node may take, which includes its wait for the leader.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body that is sent, in bytes; nodes accept less.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Asks the node and returns its answer as text.
pub(crate) async fn run(args: &Args, explain: &ExplainArgs) -> Result<String, CommandError> {
    let mut url = Url::parse(&format!("http://{}/explain", explain.node)).map_err(local_error)?;
    let client = Client::builder().timeout(TIMEOUT).build().map_err(local_error)?;
    let req = match (&explain.id, &explain.host, &explain.path) {
        (Some(id), ..) => {
            url.query_pairs_mut().append_pair("id", &id.to_string());
            client.get(url)
        }
        (None, Some(host), Some(path)) => {
            url.query_pairs_mut().append_pair("host", host).append_pair("path", path);
            client.post(url).body(read_body(&explain.body)?)
        }
        // The parser of the arguments allows no other combination.
        _ => return Err(local_error("either --id or --host and --path are needed")),
    };
    let unreachable = |error: reqwest::Error| CommandError::Unreachable {
        detail: format!("the node does not answer: {error}"),
        verdict: Verdict::NotRun,
    };
    let resp = req.send().await.map_err(unreachable)?;
    let status = resp.status();
    let text = resp.text().await.map_err(unreachable)?;
    if !status.is_success() {
        return Err(error_from_response(status, &text));
    }
    let unreadable = |error: serde_json::Error| {
        CommandError::Refused(format!("the answer cannot be read: {error}"))
    };
    if explain.json || args.output == Output::Json {
        let value: Value = serde_json::from_str(&text).map_err(unreadable)?;
        return serde_json::to_string_pretty(&value).map(|it| it + "\n").map_err(local_error);
    }
    let answer: Answer = serde_json::from_str(&text).map_err(unreadable)?;
    Ok(answer.to_string())
}

/// Reads the caller's body from a file, or from standard input if that is `-`.
fn read_body(path: &Path) -> Result<Vec<u8>, CommandError> {
    let in_file = |error: std::io::Error| local_error(format!("{}: {error}", path.display()));
    let mut body = Vec::new();
    let limit = MAX_BODY_BYTES + 1;
    if path == Path::new("-") {
        std::io::stdin().take(limit).read_to_end(&mut body).map_err(in_file)?;
    } else {
        let file = std::fs::File::open(path).map_err(in_file)?;
        file.take(limit).read_to_end(&mut body).map_err(in_file)?;
    }
    if MAX_BODY_BYTES < body.len() as u64 {
        return Err(local_error(format!("the body has more than {MAX_BODY_BYTES} bytes")));
    }
    Ok(body)
}
