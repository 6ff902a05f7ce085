//! Command-line arguments.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use mustardcove_core::{
    agreement::SchemaVersion,
    fleet::id::SubmissionId,
    id::{JobId, MemberId, Revision},
};

const AFTER_HELP: &str = "\
Exit codes:
  0  the command did what it says
  1  the command failed before it asked the server
  2  the arguments are wrong
  3  the record is not valid, or the request was refused
  4  another change came first
  5  the server or the store cannot be reached; nothing was changed
  6  the server or the store cannot be reached; the change may have been made
  7  the revision is not in force everywhere yet

Examples:
  mustardcovectl --server 127.0.0.1:7100 agreement get > agreement.json
  mustardcovectl agreement diff agreement.json
  mustardcovectl agreement apply agreement.json --based-on 7 --summary 'raise the cap'
  mustardcovectl member schema bindery v2
  mustardcovectl jobs list --member bindery --output json
  mustardcovectl explain --node 127.0.0.1:7722 --host callers.example --path /bind/ --body job.json";

/// Operates a mustardcove deployment.
#[derive(Debug, Parser)]
#[command(version, about, after_help = AFTER_HELP)]
pub(crate) struct Args {
    /// Administration address of any entry process, as IP number and port.
    #[arg(long, env = "MUSTARDCOVE_SERVER", default_value = "127.0.0.1:7100", global = true)]
    pub(crate) server: String,
    /// File with the operator's token.
    #[arg(long, env = "MUSTARDCOVE_TOKEN_FILE", value_name = "FILE", global = true)]
    pub(crate) token_file: Option<PathBuf>,
    /// Form of the output.
    #[arg(long, value_enum, default_value_t = Output::Table, global = true)]
    pub(crate) output: Output,
    /// Name under which changes are recorded.
    #[arg(long, env = "USER", default_value = "operator", global = true)]
    pub(crate) author: String,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Output {
    /// For people.
    Table,
    /// For scripts.
    Json,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Reads and changes the agreement.
    #[command(subcommand)]
    Agreement(AgreementCommand),
    /// Changes one member's record.
    #[command(subcommand)]
    Member(MemberCommand),
    /// Shows the revision in force at each process; exit code 7 unless it is
    /// in force everywhere.
    Status,
    /// Shows members' use against their caps.
    Members,
    /// Lists, shows and cancels jobs.
    #[command(subcommand)]
    Jobs(JobsCommand),
    /// Shows workers, and which are in quarantine.
    Workers,
    /// Tells where a submission would go now and why, or where its tasks are.
    /// Nothing is submitted or changed.
    Explain(ExplainArgs),
    /// Prints the state of a process.
    Dump {
        /// Administration address of the process.
        address: String,
    },
    /// Prints completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

#[derive(Clone, Debug, clap::Args)]
#[command(group = clap::ArgGroup::new("subject").args(["id", "host"]).required(true))]
pub(crate) struct ExplainArgs {
    /// Administration address of any node, as IP number and port.
    #[arg(long, env = "MUSTARDCOVE_NODE", value_name = "ADDRESS")]
    pub(crate) node: String,
    /// Id of a submission that was accepted.
    #[arg(long, conflicts_with_all = ["host", "path", "body"])]
    pub(crate) id: Option<SubmissionId>,
    /// Host that a caller would address.
    #[arg(long, requires = "path")]
    pub(crate) host: Option<String>,
    /// Path to which a caller would post, with or without an id at its end.
    #[arg(long, requires = "host")]
    pub(crate) path: Option<String>,
    /// File with the body that a caller would post; `-` for standard input.
    #[arg(long, value_name = "FILE", default_value = "-")]
    pub(crate) body: PathBuf,
    /// Prints JSON, as `--output json` does.
    #[arg(long)]
    pub(crate) json: bool,
}

#[derive(Debug, Subcommand)]
pub(crate) enum AgreementCommand {
    /// Prints the record in the store, or an earlier one.
    Get {
        /// The revision; the current one without it.
        #[arg(long)]
        revision: Option<Revision>,
    },
    /// Checks a record without a server.
    Validate {
        /// The record, as JSON.
        file: PathBuf,
    },
    /// Shows what a record would change.
    Diff {
        /// The record, as JSON.
        file: PathBuf,
    },
    /// Puts a record in force.
    Apply {
        /// The record, as JSON.
        file: PathBuf,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Lists the revisions.
    History,
}

#[derive(Debug, Subcommand)]
pub(crate) enum MemberCommand {
    /// Adds a member or replaces its record.
    Put {
        /// The member's record, as JSON.
        file: PathBuf,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Removes a member.
    Remove {
        /// The member.
        member: MemberId,
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Moves a member's record to another schema.
    Schema {
        /// The member.
        member: MemberId,
        /// The schema: v1 or v2.
        schema: SchemaVersion,
        #[command(flatten)]
        change: ChangeArgs,
    },
}

#[derive(Clone, Debug, clap::Args)]
pub(crate) struct ChangeArgs {
    /// Refuses the change unless this is the current revision.
    #[arg(long)]
    pub(crate) based_on: Option<Revision>,
    /// What the change is for.
    #[arg(long, default_value = "")]
    pub(crate) summary: String,
}

#[derive(Debug, Subcommand)]
pub(crate) enum JobsCommand {
    /// Lists jobs.
    List {
        /// Only this member's.
        #[arg(long)]
        member: Option<MemberId>,
        /// Finished ones too.
        #[arg(long)]
        done: bool,
        /// The most to list.
        #[arg(long, default_value_t = 100)]
        limit: u32,
    },
    /// Shows a job and why it is where it is.
    Show {
        /// The job.
        job: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
}
