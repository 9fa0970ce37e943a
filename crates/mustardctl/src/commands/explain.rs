//! Implements `mustardctl explain`.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, stdin};
use std::path::Path;

use crate::cli::{Cli, ExplainArgs, OutputFormat};
use crate::errors::{CtlError, Result};
use crate::output::{self, Table};
use crate::trace::{self, LogLine, TraceLine};

const TIME_FORMAT: &str = "%H:%M:%S%.3f";

/// Prints the history of a request.
pub(super) fn run(cli: &Cli, args: &ExplainArgs) -> Result<()> {
    let mut lines = Vec::new();
    let mut skipped = 0_usize;
    for file in &args.files {
        skipped += read_lines(file, &mut lines)?;
    }
    if skipped > 0 {
        eprintln!("mustardctl: skipped {skipped} lines that are not log lines");
    }
    let trace_lines = trace::collect_trace(&args.request, lines);
    if trace_lines.is_empty() {
        return Err(CtlError::RequestNotFound(args.request.clone()));
    }
    match cli.output {
        OutputFormat::Table => output::print_text(&format_table(&trace_lines)),
        OutputFormat::Json => {
            for trace_line in &trace_lines {
                output::print_json_line(&trace_line.line.fields)?;
            }
            Ok(())
        }
    }
}

/// Reads the log lines of a file, or of standard input for `-`; returns the number of lines
/// skipped because they are not log lines.
fn read_lines(file: &Path, lines: &mut Vec<LogLine>) -> Result<usize> {
    let name = file.display().to_string();
    let read_error = |source| CtlError::ReadFile {
        file: name.clone(),
        source,
    };
    let input: Box<dyn Read> = match file.to_str() {
        Some("-") => Box::new(stdin()),
        _ => Box::new(File::open(file).map_err(read_error)?),
    };
    let mut skipped = 0;
    for bytes in BufReader::new(input).split(b'\n') {
        let bytes = bytes.map_err(read_error)?;
        match LogLine::parse(&String::from_utf8_lossy(&bytes)) {
            Some(line) => lines.push(line),
            None => skipped += 1,
        }
    }
    Ok(skipped)
}

fn format_table(trace_lines: &[TraceLine]) -> String {
    let mut table = Table::new(&["TIME", "PROCESS", "", "WHAT", "DETAILS"]);
    for TraceLine {
        line,
        about_request,
    } in trace_lines
    {
        let mark = if *about_request { "" } else { "~" };
        table.add_row(vec![
            line.at.format(TIME_FORMAT).to_string(),
            line.process.clone(),
            mark.to_owned(),
            line.message.clone(),
            line.details(),
        ]);
    }
    table.to_text()
}
