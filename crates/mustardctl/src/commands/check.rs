//! `mustardctl check-config`.

use mustard_agent::settings::AgentSettings;
use mustard_entry::settings::Settings as EntrySettings;
use mustard_net::settings::{self, SettingsError};

use crate::cli::{CheckConfig, Program};
use crate::errors::Result;
use crate::file;
use crate::output;

/// Checks a file and lists every fault.
pub(super) fn run(args: &CheckConfig) -> Result<()> {
    let name = args.file.display().to_string();
    let text = file::read(&args.file)?;
    let program = args.program.unwrap_or_else(|| guess(&text));
    match program {
        Program::Catalogue => drop(file::parse(&name, &text)?),
        Program::Entry => entry(&name, &text)?,
        Program::Agent => agent(&name, &text)?,
    }
    let kind = match program {
        Program::Catalogue => "catalogue file",
        Program::Entry => "settings of mustard-entry",
        Program::Agent => "settings of mustard-agent",
    };
    output::print(&format!("{name}: no fault found ({kind})\n"))
}

fn guess(text: &str) -> Program {
    let has = |key: &str| text.lines().any(|l| l.trim_start().starts_with(key));
    if has("[[entry]]") || has("retire") {
        Program::Catalogue
    } else if has("vm ") || has("vm=") {
        Program::Agent
    } else {
        Program::Entry
    }
}

fn entry(name: &str, text: &str) -> std::result::Result<(), SettingsError> {
    settings::parse::<EntrySettings>(name, text).map(drop)
}

fn agent(name: &str, text: &str) -> std::result::Result<(), SettingsError> {
    settings::parse::<AgentSettings>(name, text).map(drop)
}
