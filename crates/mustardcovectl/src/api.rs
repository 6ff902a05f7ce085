//! Requests to the administration API.

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
    /// Something on this side, such as a file that cannot be read.
    Local(String),
    /// The record is not valid, or the request was refused.
    Refused(String),
    /// Another change came first.
    Conflict(String),
    /// The server or the store cannot be reached.
    Unreachable { detail: String, verdict: Verdict },
    /// The revision is not in force everywhere.
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

pub(crate) fn local(error: impl fmt::Display) -> CommandError {
    CommandError::Local(error.to_string())
}

/// The part that refusals of all kinds have.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RefusalText {
    detail: String,
    verdict: Option<Verdict>,
    error: Option<AgreementChangeError>,
}

/// A connection to the API.
pub(crate) struct Api {
    client: reqwest::Client,
    base: String,
    token: String,
}

impl Api {
    pub(crate) fn new(args: &Args) -> Result<Api, CommandError> {
        let path = args.token_file.as_ref().ok_or_else(|| {
            local("no operator's token: use --token-file or MUSTARDCOVE_TOKEN_FILE")
        })?;
        let token = std::fs::read_to_string(path)
            .map_err(|error| local(format!("{}: {error}", path.display())))?;
        let client = reqwest::Client::builder().timeout(TIMEOUT).build().map_err(local)?;
        let base = format!("http://{}/v1/admin", args.server);
        Ok(Api { client, base, token: token.trim().to_owned() })
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
        let changes = method != Method::GET;
        let mut url = reqwest::Url::parse(&format!("{}{path}", self.base)).map_err(local)?;
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        let mut request = self.client.request(method, url).bearer_auth(&self.token);
        if let Some(body) = body {
            request = request.json(body);
        }
        let resp = request.send().await.map_err(|error| unreachable(&error, changes))?;
        let status = resp.status();
        let text = resp.text().await.map_err(|error| unreachable(&error, changes))?;
        if status.is_success() {
            return serde_json::from_str(&text).map_err(|error| {
                CommandError::Refused(format!("the answer cannot be read: {error}"))
            });
        }
        Err(refused(status, &text))
    }
}

fn unreachable(error: &reqwest::Error, changes: bool) -> CommandError {
    let sent = changes && !error.is_connect();
    let verdict = if sent { Verdict::MayHaveRun } else { Verdict::NotRun };
    CommandError::Unreachable { detail: format!("the server does not answer: {error}"), verdict }
}

fn refused(status: StatusCode, text: &str) -> CommandError {
    let refusal: RefusalText = serde_json::from_str(text).unwrap_or_default();
    let detail =
        if refusal.detail.is_empty() { format!("{status}: {text}") } else { refusal.detail };
    match (status, refusal.error) {
        (StatusCode::CONFLICT, _) => CommandError::Conflict(detail),
        (_, Some(AgreementChangeError::Unavailable { verdict })) => {
            CommandError::Unreachable { detail, verdict }
        }
        (StatusCode::SERVICE_UNAVAILABLE, _) => {
            let verdict = refusal.verdict.unwrap_or(Verdict::MayHaveRun);
            CommandError::Unreachable { detail, verdict }
        }
        _ => CommandError::Refused(detail),
    }
}
