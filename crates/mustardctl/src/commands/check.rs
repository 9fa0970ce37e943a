//! Implements `mustardctl check`.

use std::path::Path;

use crate::catalogue_file;
use crate::check_file::{self, Report};
use crate::cli::CheckArgs;
use crate::errors::{CtlError, Result};
use crate::output;

/// Checks a file, prints what was found, and fails if anything was.
pub(super) fn run(args: &CheckArgs) -> Result<()> {
    let text = catalogue_file::read_text(&args.file)?;
    let in_force = args.against.as_deref().map(read).transpose()?;
    let report = check_file::check(&text, in_force.as_deref());
    let name = args.file.display().to_string();
    if args.json {
        output::print_json(&report)?;
    } else {
        output::print_text(&report.to_text(&name))?;
    }
    fail_with_findings(&report, name)
}

fn read(path: &Path) -> Result<String> {
    catalogue_file::read_text(path)
}

fn fail_with_findings(report: &Report, file: String) -> Result<()> {
    let (errors, warnings) = report.counts();
    if errors + warnings == 0 {
        return Ok(());
    }
    Err(CtlError::Findings {
        file,
        errors,
        warnings,
    })
}
