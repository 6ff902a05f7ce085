//! Client of the administration API.

use std::{fmt, time::Duration};

use mustardcove_core::{configuration::AgreementChangeError, verdict::Verdict};
use reqwest::{Method, StatusCode};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;

use crate::args::Args;

/// Longest time that a request may take.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum CommandError {
    /// A local failure, such as a file that cannot be read.
    Local(String),
    /// The record is not valid, or the request was refused.
    Refused(String),
    /// Another change was made first.
    Conflict(String),
    /// The server or the store cannot be reached.
    Unreachable { detail: String, verdict: Verdict },
    /// The current revision is not in force everywhere.
    NotInForce(String),
}

impl CommandError {
    /// Returns the exit code, as listed in the help text.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Local(_) => 1,
            CommandError::Refused(_) => 3,
            CommandError::Conflict(_) => 4,
            CommandError::Unreachable { verdict: Verdict::NotRun, .. } => 5,
            CommandError::Unreachable { .. } => 6,
            CommandError::NotInForce(_) => 7,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Local(detail)
            | CommandError::Refused(detail)
            | CommandError::Conflict(detail)
            | CommandError::NotInForce(detail) => f.write_str(detail),
            CommandError::Unreachable { detail, verdict: Verdict::NotRun } => {
                write!(f, "{detail}; nothing was changed")
            }
            CommandError::Unreachable { detail, .. } => {
                write!(f, "{detail}; the change may have been made, look at the history")
            }
        }
    }
}

impl std::error::Error for CommandError {}

/// Returns an error for a failure on the client's side.
pub(crate) fn local_error(error: impl fmt::Display) -> CommandError {
    CommandError::Local(error.to_string())
}

/// The fields of an error response that the client uses.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    detail: String,
    verdict: Option<Verdict>,
    error: Option<AgreementChangeError>,
}

/// A client of the administration API, with the operator's token.
pub(crate) struct Api {
    client: reqwest::Client,
    base_url: String,
    token: String,
}

impl Api {
    pub(crate) fn new(args: &Args) -> Result<Api, CommandError> {
        let path = args.token_file.as_ref().ok_or_else(|| {
            local_error("no operator's token: use --token-file or MUSTARDCOVE_TOKEN_FILE")
        })?;
        let token = std::fs::read_to_string(path)
            .map_err(|error| local_error(format!("{}: {error}", path.display())))?;
        let client = reqwest::Client::builder().timeout(TIMEOUT).build().map_err(local_error)?;
        let base_url = format!("http://{}/v1/admin", args.server);
        Ok(Api { client, base_url, token: token.trim().to_owned() })
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.call(Method::GET, path, &[], None).await
    }

    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, String)],
        body: Option<&Value>,
    ) -> Result<T, CommandError> {
        let is_change = method != Method::GET;
        let mut url =
            reqwest::Url::parse(&format!("{}{path}", self.base_url)).map_err(local_error)?;
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        let mut request = self.client.request(method, url).bearer_auth(&self.token);
        if let Some(body) = body {
            request = request.json(body);
        }
        let resp = request.send().await.map_err(|error| unreachable_error(&error, is_change))?;
        let status = resp.status();
        let text = resp.text().await.map_err(|error| unreachable_error(&error, is_change))?;
        if status.is_success() {
            return serde_json::from_str(&text).map_err(|error| {
                CommandError::Refused(format!("the answer cannot be read: {error}"))
            });
        }
        Err(error_from_response(status, &text))
    }
}

/// Returns the error for a request without a complete response; `is_change`
/// says whether the request would change anything.
fn unreachable_error(error: &reqwest::Error, is_change: bool) -> CommandError {
    // No request is sent before the connection is open.
    let may_have_run = is_change && !error.is_connect();
    let verdict = if may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
    CommandError::Unreachable { detail: format!("the server does not answer: {error}"), verdict }
}

/// Returns the error of a response that reports a failure.
pub(crate) fn error_from_response(status: StatusCode, text: &str) -> CommandError {
    let body: ErrorBody = serde_json::from_str(text).unwrap_or_default();
    let detail = if body.detail.is_empty() { format!("{status}: {text}") } else { body.detail };
    match (status, body.error) {
        (StatusCode::CONFLICT, _) => CommandError::Conflict(detail),
        (_, Some(AgreementChangeError::Unavailable { verdict })) => {
            CommandError::Unreachable { detail, verdict }
        }
        (StatusCode::SERVICE_UNAVAILABLE, _) => {
            let verdict = body.verdict.unwrap_or(Verdict::MayHaveRun);
            CommandError::Unreachable { detail, verdict }
        }
        _ => CommandError::Refused(detail),
    }
}
