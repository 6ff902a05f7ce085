//! Routes that read and change the agreement.

use axum::{
    Json,
    extract::{Path, Query, State},
    response::{IntoResponse, Response},
};
use http::StatusCode;
use mustardcove_core::{
    agreement::{
        SchemaVersion,
        record::{
            AGREEMENT_KEY, AgreementRecord, ChangeNote, HISTORY_PREFIX, MemberRecord, history_key,
        },
        validate::Problem,
    },
    configuration::{AgreementChange, AgreementChangeError, AgreementChangeStep},
    id::{MemberId, Revision, WriteToken},
    ownership::record::decode_record,
    store::{StoreOp, StoreReply},
    verdict::Verdict,
};
use mustardcove_platform::Store;
use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use slog::info;

use super::{
    AdminError, ChangeQuery, Operators, RevisionSource, Shared, invalid, not_found,
    store_unavailable,
};
use crate::shards::ShardClient;

/// Maximum number of revisions in a listing.
const HISTORY_LIMIT: u32 = 1_000;

/// Body of the answer to a refused change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChangeRefused {
    /// The error in machine-readable form.
    pub error: AgreementChangeError,
    /// The error as text.
    pub detail: String,
}

fn refused(error: AgreementChangeError) -> Response {
    let status = match &error {
        AgreementChangeError::Conflict { .. } => StatusCode::CONFLICT,
        AgreementChangeError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        AgreementChangeError::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    let detail = error.to_string();
    (status, Json(ChangeRefused { error, detail })).into_response()
}

impl<C: ShardClient, S: Store, R: RevisionSource> Operators<C, S, R> {
    pub(super) async fn get<T>(&self, key: String) -> Result<Option<T>, AdminError>
    where
        T: for<'de> Deserialize<'de>,
    {
        match self.store.call(StoreOp::Get { key }).await {
            Ok(StoreReply::Got { entry, .. }) => Ok(entry.and_then(|it| decode_record(&it.value))),
            _ => Err(store_unavailable(Verdict::NotRun)),
        }
    }

    pub(super) async fn list<T>(&self, prefix: &str, limit: u32) -> Result<Vec<T>, AdminError>
    where
        T: for<'de> Deserialize<'de>,
    {
        let op = StoreOp::List { prefix: prefix.to_owned(), start_after: String::new(), limit };
        match self.store.call(op).await {
            Ok(StoreReply::Listed { entries, .. }) => {
                Ok(entries.iter().filter_map(|it| decode_record(&it.value)).collect())
            }
            _ => Err(store_unavailable(Verdict::NotRun)),
        }
    }

    async fn current(&self) -> Result<AgreementRecord, AdminError> {
        Ok(self.get(AGREEMENT_KEY.to_owned()).await?.unwrap_or_default())
    }

    /// Applies a change and returns the new record.
    async fn change<F>(&self, query: ChangeQuery, edit: F) -> Response
    where
        F: FnMut(&AgreementRecord) -> Result<AgreementRecord, Vec<Problem>>,
    {
        let note = ChangeNote {
            author: query.author,
            summary: query.summary,
            changed_at: self.entry.clock().now(),
            token: WriteToken(rand::rng().random()),
        };
        let mut change = AgreementChange::new(edit, query.based_on, note);
        let mut step = AgreementChangeStep::Call(change.start());
        loop {
            match step {
                AgreementChangeStep::Call(op) => step = change.handle(&self.store.call(op).await),
                AgreementChangeStep::Done(record) => {
                    info!(self.entry.log(), "agreement changed";
                        "revision" => %record.revision, "author" => &record.change.author,
                        "summary" => &record.change.summary);
                    return Json(record).into_response();
                }
                AgreementChangeStep::Failed(error) => {
                    info!(self.entry.log(), "change of the agreement refused"; "error" => %error);
                    return refused(error);
                }
            }
        }
    }
}

/// Handles `GET /v1/admin/agreement`.
pub async fn read<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
) -> Result<Json<AgreementRecord>, AdminError> {
    Ok(Json(operators.current().await?))
}

/// Handles `PUT /v1/admin/agreement`.
pub async fn replace<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
    Query(query): Query<ChangeQuery>,
    Json(record): Json<AgreementRecord>,
) -> Response {
    operators.change(query, |_| Ok(record.clone())).await
}

/// Result of validating a record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Validation {
    /// The problems; empty if the record can be put in force.
    pub problems: Vec<Problem>,
}

/// Handles `POST /v1/admin/agreement/validate`.
pub async fn validate<C: ShardClient, S: Store, R: RevisionSource>(
    State(_): Shared<C, S, R>,
    Json(record): Json<AgreementRecord>,
) -> Json<Validation> {
    Json(Validation { problems: record.validate().err().unwrap_or_default() })
}

/// Differences between the current agreement and a record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Difference {
    /// The current revision, which the record was compared with.
    pub revision: Revision,
    /// One line per difference.
    pub lines: Vec<String>,
}

/// Handles `POST /v1/admin/agreement/diff`.
pub async fn diff<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
    Json(record): Json<AgreementRecord>,
) -> Result<Json<Difference>, AdminError> {
    let current = operators.current().await?;
    Ok(Json(Difference { revision: current.revision, lines: current.diff(&record) }))
}

/// A revision in the history.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision.
    pub revision: Revision,
    /// Who changed the agreement, when and what for.
    pub change: ChangeNote,
}

/// Handles `GET /v1/admin/agreement/history`.
pub async fn history<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
) -> Result<Json<Vec<HistoryEntry>>, AdminError> {
    let mut records: Vec<AgreementRecord> = operators.list(HISTORY_PREFIX, HISTORY_LIMIT).await?;
    let current = operators.current().await?;
    if current.revision != Revision(0) {
        records.push(current);
    }
    let entry = |it: AgreementRecord| HistoryEntry { revision: it.revision, change: it.change };
    Ok(Json(records.into_iter().map(entry).collect()))
}

/// Handles `GET /v1/admin/agreement/history/{revision}`.
pub async fn read_revision<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
    Path(revision): Path<String>,
) -> Result<Json<AgreementRecord>, AdminError> {
    let revision: Revision = revision.parse().map_err(invalid)?;
    let current = operators.current().await?;
    if current.revision == revision {
        return Ok(Json(current));
    }
    let record = operators.get(history_key(revision)).await?;
    record.map(Json).ok_or_else(|| not_found(format!("there is no revision {revision}")))
}

fn member_id(text: &str) -> Result<MemberId, AdminError> {
    text.parse().map_err(invalid)
}

fn no_member(id: &MemberId) -> Vec<Problem> {
    vec![Problem::new(format!("members.{id}"), "there is no such member")]
}

/// Handles `PUT /v1/admin/agreement/members/{member}`.
pub async fn put_member<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
    Path(member): Path<String>,
    Query(query): Query<ChangeQuery>,
    Json(record): Json<MemberRecord>,
) -> Result<Response, AdminError> {
    let id = member_id(&member)?;
    let edit = |current: &AgreementRecord| {
        let mut changed = current.clone();
        changed.members.insert(id.clone(), record.clone());
        Ok(changed)
    };
    Ok(operators.change(query, edit).await)
}

/// Handles `DELETE /v1/admin/agreement/members/{member}`.
pub async fn remove_member<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
    Path(member): Path<String>,
    Query(query): Query<ChangeQuery>,
) -> Result<Response, AdminError> {
    let id = member_id(&member)?;
    let edit = |current: &AgreementRecord| {
        let mut changed = current.clone();
        changed.members.remove(&id).map(|_| changed).ok_or_else(|| no_member(&id))
    };
    Ok(operators.change(query, edit).await)
}

/// Handles `PUT /v1/admin/agreement/members/{member}/schema/{schema}`.
pub async fn move_schema<C: ShardClient, S: Store, R: RevisionSource>(
    State(operators): Shared<C, S, R>,
    Path((member, schema)): Path<(String, String)>,
    Query(query): Query<ChangeQuery>,
) -> Result<Response, AdminError> {
    let id = member_id(&member)?;
    let schema: SchemaVersion = schema.parse().map_err(invalid)?;
    let edit = |current: &AgreementRecord| {
        let mut changed = current.clone();
        let record = changed.members.get(&id).ok_or_else(|| no_member(&id))?.convert(schema)?;
        changed.members.insert(id.clone(), record);
        Ok(changed)
    };
    Ok(operators.change(query, edit).await)
}
