//! Checks a file before it is deployed, and compares it with the one in force.
//!
//! The file is a configuration of the platform (JSON), a catalogue file or the settings of a daemon (TOML).

use std::fmt::Write;

use serde::Serialize;

use mustard_adapter::config;
use mustard_agent::settings::AgentSettings;
use mustard_core::catalogue::Entry;
use mustard_core::check::{
    Difference, Finding, Severity, check_catalogue, check_deployment, diff_catalogue,
    diff_deployment,
};
use mustard_core::deployment::Config;
use mustard_entry::settings::Settings as EntrySettings;
use mustard_net::settings;

use crate::catalogue_file::{self, CatalogueFile};
use crate::cli::FileKind;

/// What the check of a file found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The findings; none if the file may be deployed as it is.
    pub findings: Vec<Finding>,
    /// The differences from the file in force; none without one.
    pub differences: Vec<Difference>,
}

impl Report {
    /// Returns the numbers of errors and warnings.
    pub fn counts(&self) -> (usize, usize) {
        let errors = self
            .findings
            .iter()
            .filter(|f| f.severity == Severity::Error);
        let errors = errors.count();
        (errors, self.findings.len() - errors)
    }

    /// Formats the report, one line for each finding and difference; `file` is the name of the file.
    pub fn to_text(&self, file: &str) -> String {
        let mut text = String::new();
        for finding in &self.findings {
            let _ = writeln!(text, "{file}: {finding}");
        }
        for difference in &self.differences {
            let _ = writeln!(text, "{difference}");
        }
        let (errors, warnings) = self.counts();
        let _ = writeln!(
            text,
            "{errors} errors, {warnings} warnings, {} differences",
            self.differences.len()
        );
        text
    }
}

/// The content of a file that is compared with another version.
enum Content {
    Platform(Box<Config>),
    Catalogue(CatalogueFile),
    Settings,
}

/// Checks the text of a file, and compares it with the text of the version in force.
pub fn check(text: &str, in_force: Option<&str>) -> Report {
    let mut report = Report::default();
    let content = match read(text) {
        Ok(content) => content,
        Err(findings) => {
            report.findings = findings;
            return report;
        }
    };
    report.findings = match &content {
        Content::Platform(config) => check_deployment(config),
        Content::Catalogue(file) => check_catalogue(&file.entries),
        Content::Settings => Vec::new(),
    };
    let Some(before) = in_force.map(read) else {
        return report;
    };
    match (before, &content) {
        (Ok(Content::Platform(before)), Content::Platform(after)) => {
            report.differences = diff_deployment(&before, after);
            if !report.differences.is_empty() && after.version <= before.version {
                let message = format!(
                    "{} isn't above {} in force, so gateways ignore the differences unless the store was \
                     restored from a copy",
                    after.version, before.version
                );
                report.findings.push(Finding::warning("version", message));
            }
        }
        (Ok(Content::Catalogue(before)), Content::Catalogue(after)) => {
            report.differences = diff_files(&before, after);
        }
        (Ok(_), _) => report.findings.push(Finding::error(
            "the version in force",
            "is of another kind, or settings, which aren't compared",
        )),
        (Err(findings), _) => {
            let prefixed = findings.into_iter().map(|f| Finding {
                place: format!("the version in force: {}", f.place),
                ..f
            });
            report.findings.extend(prefixed);
        }
    }
    report
}

/// Returns the differences of catalogue files. An entry that the new file neither has nor retires stays in
/// force, as `apply` leaves it alone, and isn't a difference.
fn diff_files(before: &CatalogueFile, after: &CatalogueFile) -> Vec<Difference> {
    let is_touched = |entry: &&Entry| {
        let is_replaced = after.entries.iter().any(|e| e.name == entry.name);
        is_replaced || after.retire.contains(&entry.name)
    };
    let before: Vec<Entry> = before.entries.iter().filter(is_touched).cloned().collect();
    diff_catalogue(&before, &after.entries)
}

fn read(text: &str) -> Result<Content, Vec<Finding>> {
    if text.trim_start().starts_with('{') {
        return match config::decode(text.as_bytes()) {
            Ok(config) => Ok(Content::Platform(Box::new(config))),
            // The adapter's error says only what was decoded; its source says where it failed.
            Err(e) => Err(vec![Finding::error("file", with_sources(&e))]),
        };
    }
    let error = |e: String| vec![Finding::error("file", e)];
    match guess_kind(text) {
        FileKind::Catalogue => catalogue_file::parse("file", text)
            .map(Content::Catalogue)
            .map_err(|e| {
                let lines = e.to_string();
                let messages = lines.lines().map(|l| l.strip_prefix("file: ").unwrap_or(l));
                messages.map(|m| Finding::error("file", m)).collect()
            }),
        FileKind::Entry => settings::parse::<EntrySettings>("file", text)
            .map(|_| Content::Settings)
            .map_err(|e| error(e.to_string())),
        FileKind::Agent => settings::parse::<AgentSettings>("file", text)
            .map(|_| Content::Settings)
            .map_err(|e| error(e.to_string())),
    }
}

fn with_sources(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        let inner_text = inner.to_string();
        if !text.contains(&inner_text) {
            let _ = write!(text, ": {inner_text}");
        }
        source = inner.source();
    }
    text
}

/// Guesses what a TOML file is for from keys that only this kind of file has; the settings of
/// `mustard-entry` are the default.
pub fn guess_kind(text: &str) -> FileKind {
    let has_line = |key: &str| text.lines().any(|l| l.trim_start().starts_with(key));
    if has_line("[[entry]]") || has_line("retire") {
        FileKind::Catalogue
    } else if has_line("vm ") || has_line("vm=") {
        FileKind::Agent
    } else {
        FileKind::Entry
    }
}
