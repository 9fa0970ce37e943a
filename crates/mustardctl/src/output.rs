//! Writes tables and JSON to standard output.

use std::io::{self, Write};

use serde::Serialize;

use crate::errors::Result;

/// A text table with left-aligned columns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table that has only a header row.
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|h| (*h).to_owned()).collect();
        Table { rows: vec![header] }
    }

    /// Adds a row below the others.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Formats the table; each column is as wide as its widest cell.
    pub fn to_text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |c: usize| {
            let cells = self.rows.iter().filter_map(|r| r.get(c));
            cells.map(|s| s.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// Prints a text as it is and flushes standard output.
pub fn print_text(text: &str) -> Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()?;
    Ok(())
}

/// Prints a value as indented JSON.
pub fn print_json(value: &impl Serialize) -> Result<()> {
    print_text(&format!("{}\n", serde_json::to_string_pretty(value)?))
}

/// Prints a value as one line of JSON.
pub fn print_json_line(value: &impl Serialize) -> Result<()> {
    print_text(&format!("{}\n", serde_json::to_string(value)?))
}
