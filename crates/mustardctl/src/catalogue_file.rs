//! Reads and checks catalogue files.

use std::path::Path;

use toml::{Table, Value};

use mustard_core::catalogue::Entry;
use mustard_core::collections::Set;

use crate::errors::{CtlError, Result};

const ENTRY_KEY: &str = "entry";
const RETIRE_KEY: &str = "retire";

/// The parsed content of a catalogue file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogueFile {
    /// The entries to add or replace.
    pub entries: Vec<Entry>,
    /// The names of entries to retire.
    pub retire: Vec<String>,
}

/// Reads any text file.
pub fn read_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| CtlError::ReadFile {
        file: path.display().to_string(),
        source,
    })
}

/// Reads and checks a catalogue file.
///
/// # Errors
///
/// Returns all errors of the file at once, so that one run is enough to find them.
pub fn load(path: &Path) -> Result<CatalogueFile> {
    parse(&path.display().to_string(), &read_text(path)?)
}

/// Parses and checks the text of a catalogue file; `file` is its name in error messages.
pub fn parse(file: &str, text: &str) -> Result<CatalogueFile> {
    let table: Table = text
        .parse()
        .map_err(|e: toml::de::Error| CtlError::InvalidCatalogue(vec![format!("{file}: {e}")]))?;
    let mut errors = Vec::new();
    let mut parsed = CatalogueFile::default();
    for (key, value) in &table {
        match key.as_str() {
            ENTRY_KEY => parsed.entries = parse_entries(value, &mut errors),
            RETIRE_KEY => parsed.retire = parse_names(value, &mut errors),
            other => errors.push(format!(
                "key {other:?} is not known, allowed: {ENTRY_KEY:?}, {RETIRE_KEY:?}"
            )),
        }
    }
    check_duplicate_names(&parsed, &mut errors);
    if errors.is_empty() {
        return Ok(parsed);
    }
    let errors = errors.iter().map(|e| format!("{file}: {e}")).collect();
    Err(CtlError::InvalidCatalogue(errors))
}

fn parse_entries(value: &Value, errors: &mut Vec<String>) -> Vec<Entry> {
    let Some(list) = value.as_array() else {
        errors.push(format!(
            "key {ENTRY_KEY:?} is not a list of tables, write [[entry]]"
        ));
        return Vec::new();
    };
    let mut entries = Vec::new();
    for (index, item) in list.iter().enumerate() {
        match item.clone().try_into::<Entry>() {
            Ok(entry) => {
                errors.extend(entry.field_errors().iter().map(ToString::to_string));
                entries.push(entry);
            }
            Err(e) => errors.push(format!("[[entry]] number {}: {}", index + 1, e.message())),
        }
    }
    entries
}

fn parse_names(value: &Value, errors: &mut Vec<String>) -> Vec<String> {
    match value.clone().try_into() {
        Ok(names) => names,
        Err(_) => {
            errors.push(format!("key {RETIRE_KEY:?} is not a list of entry names"));
            Vec::new()
        }
    }
}

fn check_duplicate_names(file: &CatalogueFile, errors: &mut Vec<String>) {
    let mut seen = Set::default();
    let all = file.entries.iter().map(|e| &e.name).chain(&file.retire);
    for name in all {
        if !seen.insert(name) {
            errors.push(format!("entry {name:?} is named twice"));
        }
    }
}
