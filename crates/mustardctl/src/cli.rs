//! The command line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

use mustard_core::ids::RequestId;

const AFTER_HELP: &str = "\
Examples:
  mustardctl --entry 10.0.0.5:8080 status
  mustardctl apply -f catalogue.toml --dry-run
  mustardctl catalogue change -f caption.toml
  mustardctl timeline --request 5f0c… --follow

Exit codes:
  0  done
  1  another failure, such as a closed output; check: warnings only
  2  invalid arguments or file, or you did not confirm; nothing was sent;
     check: errors
  3  rejected, a retry will not help; nothing was changed
  4  another operator changed the entry first; nothing was changed, the
     current entry is shown
  5  not available at this time; nothing was changed
  6  the change may have been accepted; it is safe to run the same command
     with --id
  7  some processes did not answer, the output is incomplete";

/// Changes the catalogue of a mustardfield deployment and shows its state.
#[derive(Debug, Parser)]
#[command(name = "mustardctl", version, about, after_help = AFTER_HELP)]
pub struct Cli {
    /// Address of an entry process; may be given several times, the next one is tried if one does
    /// not answer.
    #[arg(
        long,
        global = true,
        env = "MUSTARD_ENTRY",
        value_delimiter = ',',
        default_value = "127.0.0.1:8080",
        value_name = "ADDR"
    )]
    pub entry: Vec<SocketAddr>,

    /// The operator's bearer key; the environment variable keeps it out of process listings.
    #[arg(
        long,
        global = true,
        env = "MUSTARD_OPERATOR_KEY",
        hide_env_values = true,
        value_name = "KEY"
    )]
    pub key: Option<String>,

    /// The format of the output.
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Table)]
    pub output: OutputFormat,

    /// How long to retry a change while the system is not available, in seconds.
    #[arg(long, global = true, default_value_t = 10, value_name = "SECONDS")]
    pub wait: u64,

    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Aligned columns, for people.
    Table,
    /// JSON, for programs.
    Json,
}

/// The command to run.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Shows or changes catalogue entries.
    #[command(subcommand)]
    Catalogue(CatalogueCommand),
    /// Adds, changes and retires catalogue entries as a TOML file says.
    #[command(after_help = "Example:\n  mustardctl apply -f examples/catalogue.toml --dry-run")]
    Apply(ApplyArgs),
    /// Shows the state of the entry processes and agents as one entry process sees them.
    Status,
    /// Tells an agent to take no new work; work in progress runs to its end.
    #[command(after_help = "Example:\n  mustardctl drain vm-17\n  mustardctl drain vm-17 --undo")]
    Drain(DrainArgs),
    /// Determines whether a call with unknown outcome ran, and keeps it from running later.
    #[command(
        after_help = "Example:\n  mustardctl settle --service booking --owner peachtree --call-key strip-881"
    )]
    Settle(SettleArgs),
    /// Lists requests quarantined because they crashed servers, or allows one to run again.
    #[command(subcommand)]
    Quarantine(QuarantineCommand),
    /// Shows the events of all processes merged in order of time.
    #[command(after_help = "Example:\n  mustardctl timeline --request 0af3… --output json")]
    Timeline(TimelineArgs),
    /// Shows the history of a request from the log files of several processes, in order of time.
    #[command(
        after_help = "Lines marked ~ are about servers and other dependencies of the request.\n\n\
                      Example:\n  mustardctl explain 1a36b863d199f293 gateway-*.log"
    )]
    Explain(ExplainArgs),
    /// Checks a configuration before it is deployed: errors, entries without effect, contradictions, and
    /// differences from the version in force.
    #[command(
        after_help = "FILE is the platform's configuration (JSON), a catalogue file or settings (TOML).\n\n\
                      Exit codes:\n  0  nothing found\n  1  warnings only\n  2  errors\n\n\
                      Example:\n  mustardctl check new.json --against in-force.json"
    )]
    Check(CheckArgs),
    /// Checks a settings file of a daemon or a catalogue file without sending anything.
    #[command(after_help = "Example:\n  mustardctl check-config /etc/mustardfield/entry.toml")]
    CheckConfig(CheckConfigArgs),
    /// Prints the digest of a bearer key, for settings and catalogue files.
    #[command(after_help = "Example:\n  printf %s \"$KEY\" | mustardctl key-hash")]
    KeyHash(KeyHashArgs),
}

/// The arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// The id of the request as written in the log lines.
    #[arg(value_name = "ID")]
    pub request: String,
    /// Log files with one JSON object per line; `-` reads standard input.
    #[arg(value_name = "FILE", required = true)]
    pub files: Vec<PathBuf>,
}

/// The subcommands of `catalogue`.
#[derive(Debug, Subcommand)]
pub enum CatalogueCommand {
    /// Lists the active entries.
    List {
        /// Also lists retired entries.
        #[arg(long)]
        all: bool,
    },
    /// Shows one entry.
    Show {
        /// The name of the entry.
        name: String,
    },
    /// Adds the entry in a TOML file.
    Add(PutArgs),
    /// Replaces an entry with the one in a TOML file.
    Change(PutArgs),
    /// Retires an entry; requests for it are refused from then on.
    Retire {
        /// The name of the entry.
        name: String,
        /// The options for sending the change.
        #[command(flatten)]
        send: SendArgs,
    },
    /// Shows all changes of an entry and their authors.
    History {
        /// The name of the entry.
        name: String,
    },
}

/// The arguments of `catalogue add` and `catalogue change`.
#[derive(Debug, Args)]
pub struct PutArgs {
    /// A TOML file with exactly one `[[entry]]` table.
    #[arg(short, long)]
    pub file: PathBuf,
    /// The options for sending the change.
    #[command(flatten)]
    pub send: SendArgs,
}

/// The options for sending a change.
#[derive(Clone, Debug, Default, Args)]
pub struct SendArgs {
    /// The change id of an earlier attempt whose outcome is unknown.
    #[arg(long)]
    pub id: Option<String>,
    /// The revision that the entry must have; the current one by default.
    #[arg(long)]
    pub expect: Option<u64>,
}

/// The arguments of `apply`.
#[derive(Debug, Args)]
pub struct ApplyArgs {
    /// A TOML file with any number of `[[entry]]` tables and an optional list `retire`.
    #[arg(short, long)]
    pub file: PathBuf,
    /// Applies the changes without asking for confirmation.
    #[arg(long, conflicts_with = "dry_run")]
    pub yes: bool,
    /// Only shows the changes, without sending them.
    #[arg(long)]
    pub dry_run: bool,
}

/// The arguments of `drain`.
#[derive(Debug, Args)]
pub struct DrainArgs {
    /// The name of the agent's VM.
    pub vm: String,
    /// Lets the agent take new work again.
    #[arg(long)]
    pub undo: bool,
}

/// The arguments of `settle`.
#[derive(Debug, Args)]
pub struct SettleArgs {
    /// The name of the service as in the catalogue.
    #[arg(long)]
    pub service: String,
    /// The owner of the idempotency key, as in the catalogue entry of the caller.
    #[arg(long)]
    pub owner: String,
    /// The idempotency key of the call.
    #[arg(long = "call-key", visible_alias = "idempotency-key")]
    pub call: String,
}

/// The subcommands of `quarantine`.
#[derive(Debug, Subcommand)]
pub enum QuarantineCommand {
    /// Lists the fingerprints of quarantined requests.
    List,
    /// Allows requests with a fingerprint to run again.
    Clear {
        /// The fingerprint, as `quarantine list` shows it.
        fingerprint: String,
    },
}

/// The arguments of `timeline`.
#[derive(Debug, Args)]
pub struct TimelineArgs {
    /// Shows only the events of this request.
    #[arg(long)]
    pub request: Option<RequestId>,
    /// Keeps showing new events until interrupted.
    #[arg(long)]
    pub follow: bool,
}

/// The kind of file that `check-config` checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum FileKind {
    /// Settings of `mustard-entry`.
    Entry,
    /// Settings of `mustard-agent`.
    Agent,
    /// A catalogue file, as `apply` takes it.
    Catalogue,
}

/// The arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// The file to check.
    pub file: PathBuf,
    /// The version in force, of which the differences are shown.
    #[arg(long, value_name = "FILE")]
    pub against: Option<PathBuf>,
    /// Prints the report as JSON.
    #[arg(long)]
    pub json: bool,
}

/// The arguments of `check-config`.
#[derive(Debug, Args)]
pub struct CheckConfigArgs {
    /// The file to check.
    pub file: PathBuf,
    /// What the file is for; guessed from its keys by default.
    #[arg(long, value_enum)]
    pub program: Option<FileKind>,
}

/// The arguments of `key-hash`.
#[derive(Debug, Args)]
pub struct KeyHashArgs {
    /// The key; read from standard input by default.
    pub bearer: Option<String>,
}
