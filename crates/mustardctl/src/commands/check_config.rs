//! Implements `mustardctl check-config`.

use mustard_agent::settings::AgentSettings;
use mustard_entry::settings::Settings as EntrySettings;
use mustard_net::settings::{self, SettingsError};

use crate::catalogue_file;
use crate::check_file;
use crate::cli::{CheckConfigArgs, FileKind};
use crate::errors::Result;
use crate::output;

/// Checks a settings file or a catalogue file; the error lists everything that is wrong.
pub(super) fn run(args: &CheckConfigArgs) -> Result<()> {
    let name = args.file.display().to_string();
    let text = catalogue_file::read_text(&args.file)?;
    let kind = args
        .program
        .unwrap_or_else(|| check_file::guess_kind(&text));
    match kind {
        FileKind::Catalogue => drop(catalogue_file::parse(&name, &text)?),
        FileKind::Entry => check_entry_settings(&name, &text)?,
        FileKind::Agent => check_agent_settings(&name, &text)?,
    }
    let description = match kind {
        FileKind::Catalogue => "catalogue file",
        FileKind::Entry => "settings of mustard-entry",
        FileKind::Agent => "settings of mustard-agent",
    };
    output::print_text(&format!("{name}: no errors found ({description})\n"))
}

fn check_entry_settings(name: &str, text: &str) -> std::result::Result<(), SettingsError> {
    settings::parse::<EntrySettings>(name, text).map(drop)
}

fn check_agent_settings(name: &str, text: &str) -> std::result::Result<(), SettingsError> {
    settings::parse::<AgentSettings>(name, text).map(drop)
}
