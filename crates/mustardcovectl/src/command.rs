//! Implementation of the subcommands.

use std::path::Path;

use clap::CommandFactory as _;
use mustardcove_core::agreement::record::{AgreementRecord, MemberRecord};
use reqwest::Method;
use serde_json::Value;

use crate::{
    api::{Api, CommandError, local_error},
    args::{AgreementCommand, Args, ChangeArgs, Command, JobsCommand, MemberCommand, Output},
    explain,
    table::table,
};

/// Runs the command and returns the text to print.
pub(crate) async fn run(args: &Args) -> Result<String, CommandError> {
    match &args.command {
        Command::Agreement(command) => agreement(args, command).await,
        Command::Member(command) => member(args, command).await,
        Command::Status => status(args).await,
        Command::Members => members(args).await,
        Command::Jobs(command) => jobs(args, command).await,
        Command::Workers => workers(args).await,
        Command::Explain(explain) => explain::run(args, explain).await,
        Command::Dump { address } => dump(address).await,
        Command::Completions { shell } => {
            let mut text = Vec::new();
            clap_complete::generate(*shell, &mut Args::command(), "mustardcovectl", &mut text);
            String::from_utf8(text).map_err(local_error)
        }
    }
}

fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| local_error(format!("{}: {error}", path.display())))?;
    serde_json::from_str(&text)
        .map_err(|error| CommandError::Refused(format!("{}: {error}", path.display())))
}

fn to_pretty_json(value: &impl serde::Serialize) -> Result<String, CommandError> {
    serde_json::to_string_pretty(value).map(|it| it + "\n").map_err(local_error)
}

fn change_query(args: &Args, change: &ChangeArgs) -> Vec<(&'static str, String)> {
    let mut query = vec![("author", args.author.clone()), ("summary", change.summary.clone())];
    if let Some(revision) = change.based_on {
        query.push(("based_on", revision.to_string()));
    }
    query
}

fn format_accepted(args: &Args, record: &AgreementRecord) -> Result<String, CommandError> {
    match args.output {
        Output::Json => to_pretty_json(record),
        Output::Table => Ok(format!("revision {} is accepted\n", record.revision)),
    }
}

async fn agreement(args: &Args, command: &AgreementCommand) -> Result<String, CommandError> {
    match command {
        AgreementCommand::Get { revision } => {
            let path =
                revision.map_or("/agreement".to_owned(), |it| format!("/agreement/history/{it}"));
            to_pretty_json(&Api::new(args)?.get::<AgreementRecord>(&path).await?)
        }
        AgreementCommand::Validate { file } => {
            let record: AgreementRecord = read_json(file)?;
            record.validate().map_err(|problems| {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                CommandError::Refused(lines.join("\n"))
            })?;
            Ok(format!("{}: the record is valid\n", file.display()))
        }
        AgreementCommand::Diff { file } => {
            let record: Value = read_json(file)?;
            let api = Api::new(args)?;
            let response: Value =
                api.call(Method::POST, "/agreement/diff", &[], Some(&record)).await?;
            if args.output == Output::Json {
                return to_pretty_json(&response);
            }
            let lines = response["lines"].as_array().cloned().unwrap_or_default();
            let lines: Vec<&str> = lines.iter().filter_map(Value::as_str).collect();
            if lines.is_empty() {
                return Ok(format!("no difference to revision {}\n", response["revision"]));
            }
            Ok(format!("differences to revision {}:\n{}\n", response["revision"], lines.join("\n")))
        }
        AgreementCommand::Apply { file, change } => {
            let record: Value = read_json(file)?;
            let query = change_query(args, change);
            let api = Api::new(args)?;
            format_accepted(
                args,
                &api.call(Method::PUT, "/agreement", &query, Some(&record)).await?,
            )
        }
        AgreementCommand::History => {
            let response: Vec<Value> = Api::new(args)?.get("/agreement/history").await?;
            if args.output == Output::Json {
                return to_pretty_json(&response);
            }
            let row = |it: &Value| {
                let change = &it["change"];
                vec![
                    cell(&it["revision"]),
                    cell(&change["changed_at"]),
                    cell(&change["author"]),
                    cell(&change["summary"]),
                ]
            };
            let rows: Vec<Vec<String>> = response.iter().map(row).collect();
            Ok(table(&["revision", "changed at (ms)", "author", "summary"], &rows))
        }
    }
}

async fn member(args: &Args, command: &MemberCommand) -> Result<String, CommandError> {
    let api = Api::new(args)?;
    let record: AgreementRecord = match command {
        MemberCommand::Put { file, change } => {
            let record: MemberRecord = read_json(file)?;
            let path = format!("/agreement/members/{}", record.id());
            let body = serde_json::to_value(&record).map_err(local_error)?;
            api.call(Method::PUT, &path, &change_query(args, change), Some(&body)).await?
        }
        MemberCommand::Remove { member, change } => {
            let path = format!("/agreement/members/{member}");
            api.call(Method::DELETE, &path, &change_query(args, change), None).await?
        }
        MemberCommand::Schema { member, schema, change } => {
            let path = format!("/agreement/members/{member}/schema/{schema}");
            api.call(Method::PUT, &path, &change_query(args, change), None).await?
        }
    };
    format_accepted(args, &record)
}

/// Returns the text of a JSON value in a table cell.
fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| format!("{name}={}", cell(value)));
            fields.collect::<Vec<String>>().join(",")
        }
        other => other.to_string(),
    }
}

/// Returns one table row per JSON object, with the named fields as cells.
fn rows(objects: &[Value], fields: &[&str]) -> Vec<Vec<String>> {
    objects.iter().map(|it| fields.iter().map(|field| cell(&it[*field])).collect()).collect()
}

async fn status(args: &Args) -> Result<String, CommandError> {
    let response: Value = Api::new(args)?.get("/status").await?;
    let text = if args.output == Output::Json {
        to_pretty_json(&response)?
    } else {
        let processes = response["processes"].as_array().cloned().unwrap_or_default();
        let fields = ["process", "kind", "domain", "draining", "revision", "admin_address"];
        let pending = response["caps_pending"].as_array().cloned().unwrap_or_default();
        let pending: Vec<String> = pending.iter().map(cell).collect();
        format!(
            "revision {}, in force everywhere: {}\ncaps not met yet: {}\n\n{}",
            response["revision"],
            response["in_force_everywhere"],
            if pending.is_empty() { "none".to_owned() } else { pending.join(", ") },
            table(&fields, &rows(&processes, &fields)),
        )
    };
    if response["in_force_everywhere"] == Value::Bool(true) {
        return Ok(text);
    }
    Err(CommandError::NotInForce(format!("not in force everywhere yet\n{text}")))
}

async fn members(args: &Args) -> Result<String, CommandError> {
    let response: Vec<Value> = Api::new(args)?.get("/members").await?;
    if args.output == Output::Json {
        return to_pretty_json(&response);
    }
    let fields = ["member", "agreed_cap", "cap_in_force", "allotted", "used"];
    Ok(table(&fields, &rows(&response, &fields)))
}

async fn jobs(args: &Args, command: &JobsCommand) -> Result<String, CommandError> {
    let api = Api::new(args)?;
    let response: Vec<Value> = match command {
        JobsCommand::List { member, done, limit } => {
            let mut query = vec![("include_done", done.to_string()), ("limit", limit.to_string())];
            if let Some(member) = member {
                query.push(("member", member.to_string()));
            }
            let listed: Value = api.call(Method::GET, "/jobs", &query, None).await?;
            if args.output == Output::Json {
                return to_pretty_json(&listed);
            }
            listed["jobs"].as_array().cloned().unwrap_or_default()
        }
        JobsCommand::Show { job } => vec![api.get(&format!("/jobs/{job}")).await?],
        JobsCommand::Cancel { job } => {
            vec![api.call(Method::DELETE, &format!("/jobs/{job}"), &[], None).await?]
        }
    };
    if args.output == Output::Json {
        return to_pretty_json(&response[0]);
    }
    let fields = ["job", "member", "class", "key", "state", "attempt", "detail"];
    Ok(table(&fields, &rows(&response, &fields)))
}

async fn workers(args: &Args) -> Result<String, CommandError> {
    let response: Vec<Value> = Api::new(args)?.get("/workers").await?;
    if args.output == Output::Json {
        return to_pretty_json(&response);
    }
    let fields = ["worker", "group", "leaving", "unreachable_since", "capacity", "committed"];
    Ok(table(&fields, &rows(&response, &fields)))
}

async fn dump(address: &str) -> Result<String, CommandError> {
    let url = format!("http://{address}/dump");
    let unreachable = |error: reqwest::Error| CommandError::Unreachable {
        detail: format!("the process does not answer: {error}"),
        verdict: mustardcove_core::verdict::Verdict::NotRun,
    };
    let response: Value =
        reqwest::get(url).await.map_err(unreachable)?.json().await.map_err(unreachable)?;
    to_pretty_json(&response)
}
