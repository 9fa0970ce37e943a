//! `mustardctl explain`.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, stdin};
use std::path::Path;

use crate::cli::{Cli, Explain, Format};
use crate::errors::{CtlError, Result};
use crate::output::{self, Table};
use crate::story::{self, Event, Line};

const TIME_FORMAT: &str = "%H:%M:%S%.3f";

/// Prints the story of a request.
pub(super) fn run(cli: &Cli, args: &Explain) -> Result<()> {
    let mut lines = Vec::new();
    let mut unread = 0_usize;
    for file in &args.files {
        unread += read(file, &mut lines)?;
    }
    if unread > 0 {
        eprintln!("mustardctl: {unread} lines are no log lines and were skipped");
    }
    let events = story::tell(&args.request, lines);
    if events.is_empty() {
        return Err(CtlError::NotLogged(args.request.clone()));
    }
    match cli.output {
        Format::Table => output::print(&table(&events)),
        Format::Json => {
            for event in &events {
                output::print_line(&event.line.fields)?;
            }
            Ok(())
        }
    }
}

/// Reads the lines of a file, or of the standard input for `-`; returns the number skipped.
fn read(file: &Path, lines: &mut Vec<Line>) -> Result<usize> {
    let name = file.display().to_string();
    let failed = |source| CtlError::Read {
        file: name.clone(),
        source,
    };
    let input: Box<dyn Read> = match file.to_str() {
        Some("-") => Box::new(stdin()),
        _ => Box::new(File::open(file).map_err(failed)?),
    };
    let mut unread = 0;
    for bytes in BufReader::new(input).split(b'\n') {
        let bytes = bytes.map_err(failed)?;
        match Line::parse(&String::from_utf8_lossy(&bytes)) {
            Some(line) => lines.push(line),
            None => unread += 1,
        }
    }
    Ok(unread)
}

fn table(events: &[Event]) -> String {
    let mut table = Table::new(&["TIME", "PROCESS", "", "WHAT", "DETAILS"]);
    for Event { line, own } in events {
        let mark = if *own { "" } else { "~" };
        table.row(vec![
            line.at.format(TIME_FORMAT).to_string(),
            line.process.clone(),
            mark.to_owned(),
            line.message.clone(),
            line.details(),
        ]);
    }
    table.text()
}
