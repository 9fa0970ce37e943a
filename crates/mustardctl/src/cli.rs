//! The arguments.

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
  1  another failure, such as an output that is closed
  2  arguments or a file are at fault, or you declined; nothing was sent
  3  refused for good; nothing was changed
  4  another operator was first; nothing was changed, the winner is shown
  5  not available; nothing was changed
  6  the change may have been accepted; the same command with --id is safe
  7  some processes did not answer, what was shown is not whole";

/// Steers mustardfield through its catalogue and shows what it does.
#[derive(Debug, Parser)]
#[command(name = "mustardctl", version, about, after_help = AFTER_HELP)]
pub struct Cli {
    /// An entry process; may be given several times, the next one is asked if one fails.
    #[arg(
        long,
        global = true,
        env = "MUSTARD_ENTRY",
        value_delimiter = ',',
        default_value = "127.0.0.1:8080",
        value_name = "ADDR"
    )]
    pub entry: Vec<SocketAddr>,

    /// The operator's bearer key; the variable keeps it out of the list of processes.
    #[arg(
        long,
        global = true,
        env = "MUSTARD_OPERATOR_KEY",
        hide_env_values = true,
        value_name = "KEY"
    )]
    pub key: Option<String>,

    /// How answers are shown.
    #[arg(long, global = true, value_enum, default_value_t = Format::Table)]
    pub output: Format,

    /// How long a change that meets an outage is sent again, in seconds.
    #[arg(long, global = true, default_value_t = 10, value_name = "SECONDS")]
    pub wait: u64,

    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How answers are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Aligned columns for a person.
    Table,
    /// JSON for a program.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Shows or changes catalogue entries.
    #[command(subcommand)]
    Catalogue(Catalogue),
    /// Brings the entries of a TOML file into the catalogue.
    #[command(after_help = "Example:\n  mustardctl apply -f examples/catalogue.toml --dry-run")]
    Apply(Apply),
    /// Shows the entry processes and agents as one entry process sees them.
    Status,
    /// Tells an agent to take no new work; what runs there goes on to its end.
    #[command(after_help = "Example:\n  mustardctl drain vm-17\n  mustardctl drain vm-17 --undo")]
    Drain(Drain),
    /// Settles a call whose outcome is unknown.
    #[command(
        after_help = "Example:\n  mustardctl settle --service booking --owner peachtree --call-key strip-881"
    )]
    Settle(Settle),
    /// Shows requests that are refused because servers died of them, or lets one run again.
    #[command(subcommand)]
    Quarantine(Quarantine),
    /// Shows the events of all processes in one order.
    #[command(after_help = "Example:\n  mustardctl timeline --request 0af3… --output json")]
    Timeline(Timeline),
    /// Tells a request's story from log files of several processes, in order of time.
    #[command(
        after_help = "Lines marked ~ are about servers and services that the request depended on.\n\n\
                      Example:\n  mustardctl explain 1a36b863d199f293 gateway-*.log"
    )]
    Explain(Explain),
    /// Checks a settings file of a daemon, or a catalogue file, without sending anything.
    #[command(after_help = "Example:\n  mustardctl check-config /etc/mustardfield/entry.toml")]
    CheckConfig(CheckConfig),
    /// Prints the digest of a bearer key, for settings and catalogue files.
    #[command(after_help = "Example:\n  printf %s \"$KEY\" | mustardctl key-hash")]
    KeyHash(KeyHash),
}

/// Tells a request's story.
#[derive(Debug, Args)]
pub struct Explain {
    /// The request's id, as the log lines have it.
    #[arg(value_name = "ID")]
    pub request: String,
    /// Log files, JSON lines; `-` is the standard input.
    #[arg(value_name = "FILE", required = true)]
    pub files: Vec<PathBuf>,
}

/// Shows or changes catalogue entries.
#[derive(Debug, Subcommand)]
pub enum Catalogue {
    /// Lists the entries in force.
    List {
        /// Lists retired entries too.
        #[arg(long)]
        all: bool,
    },
    /// Shows one entry.
    Show {
        /// The entry.
        name: String,
    },
    /// Adds the entry of a TOML file.
    Add(Put),
    /// Replaces an entry by that of a TOML file.
    Change(Put),
    /// Retires an entry; its callers are refused from then on.
    Retire {
        /// The entry.
        name: String,
        /// How the change is sent.
        #[command(flatten)]
        send: Send,
    },
    /// Shows every change of an entry with its author.
    History {
        /// The entry.
        name: String,
    },
}

/// Adds or replaces an entry.
#[derive(Debug, Args)]
pub struct Put {
    /// A TOML file with one `[[entry]]`.
    #[arg(short, long)]
    pub file: PathBuf,
    /// How the change is sent.
    #[command(flatten)]
    pub send: Send,
}

/// How a change is sent.
#[derive(Clone, Debug, Default, Args)]
pub struct Send {
    /// The change id of an earlier try whose outcome is unknown.
    #[arg(long)]
    pub id: Option<String>,
    /// The revision that the entry must have; the one in force unless given.
    #[arg(long)]
    pub expect: Option<u64>,
}

/// Brings the entries of a file into the catalogue.
#[derive(Debug, Args)]
pub struct Apply {
    /// A TOML file with any number of `[[entry]]` and a list `retire`.
    #[arg(short, long)]
    pub file: PathBuf,
    /// Applies without asking.
    #[arg(long, conflicts_with = "dry_run")]
    pub yes: bool,
    /// Only shows what would change.
    #[arg(long)]
    pub dry_run: bool,
}

/// Tells an agent to take no new work.
#[derive(Debug, Args)]
pub struct Drain {
    /// The name of the agent's VM.
    pub vm: String,
    /// Lets it take new work again.
    #[arg(long)]
    pub undo: bool,
}

/// Settles a call whose outcome is unknown.
#[derive(Debug, Args)]
pub struct Settle {
    /// The service.
    #[arg(long)]
    pub service: String,
    /// The owner of the idempotency key.
    #[arg(long)]
    pub owner: String,
    /// The idempotency key of the call.
    #[arg(long = "call-key", visible_alias = "idempotency-key")]
    pub call: String,
}

/// Shows or ends quarantines.
#[derive(Debug, Subcommand)]
pub enum Quarantine {
    /// Lists the fingerprints in quarantine.
    List,
    /// Lets a fingerprint run again.
    Clear {
        /// The fingerprint.
        fingerprint: String,
    },
}

/// Shows the events of all processes.
#[derive(Debug, Args)]
pub struct Timeline {
    /// Only events of this request.
    #[arg(long)]
    pub request: Option<RequestId>,
    /// Goes on showing new events until interrupted.
    #[arg(long)]
    pub follow: bool,
}

/// The program that a settings file is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Program {
    /// `mustard-entry`
    Entry,
    /// `mustard-agent`
    Agent,
    /// A catalogue file for `apply`.
    Catalogue,
}

/// Checks a file.
#[derive(Debug, Args)]
pub struct CheckConfig {
    /// The file.
    pub file: PathBuf,
    /// What the file is for; guessed from its keys unless given.
    #[arg(long, value_enum)]
    pub program: Option<Program>,
}

/// Prints the digest of a bearer key.
#[derive(Debug, Args)]
pub struct KeyHash {
    /// The key; read from standard input unless given.
    pub bearer: Option<String>,
}
