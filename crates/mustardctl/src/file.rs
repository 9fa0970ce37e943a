//! Catalogue files.

use std::path::Path;

use toml::{Table, Value};

use mustard_core::catalogue::Entry;
use mustard_core::collections::Set;

use crate::errors::{CtlError, Result};

const ENTRY: &str = "entry";
const RETIRE: &str = "retire";

/// The content of a catalogue file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogueFile {
    /// The entries to add or to replace.
    pub entries: Vec<Entry>,
    /// The names of entries to retire.
    pub retire: Vec<String>,
}

/// Reads a text file.
pub fn read(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).map_err(|source| CtlError::Read {
        file: path.display().to_string(),
        source,
    })
}

/// Reads and checks a catalogue file.
///
/// # Errors
///
/// Returns every fault of the file at once.
pub fn load(path: &Path) -> Result<CatalogueFile> {
    parse(&path.display().to_string(), &read(path)?)
}

/// Checks the text of a catalogue file; `file` names it in errors.
pub fn parse(file: &str, text: &str) -> Result<CatalogueFile> {
    let table: Table = text
        .parse()
        .map_err(|e: toml::de::Error| CtlError::Faults(vec![format!("{file}: {e}")]))?;
    let mut faults = Vec::new();
    let mut parsed = CatalogueFile::default();
    for (key, value) in &table {
        match key.as_str() {
            ENTRY => parsed.entries = entries(value, &mut faults),
            RETIRE => parsed.retire = names(value, &mut faults),
            other => faults.push(format!(
                "key {other:?} is not known, allowed: {ENTRY:?}, {RETIRE:?}"
            )),
        }
    }
    check_names(&parsed, &mut faults);
    if faults.is_empty() {
        return Ok(parsed);
    }
    let faults = faults.iter().map(|f| format!("{file}: {f}")).collect();
    Err(CtlError::Faults(faults))
}

fn entries(value: &Value, faults: &mut Vec<String>) -> Vec<Entry> {
    let Some(list) = value.as_array() else {
        faults.push(format!(
            "key {ENTRY:?} is not a list of tables, write [[entry]]"
        ));
        return Vec::new();
    };
    let mut entries = Vec::new();
    for (at, item) in list.iter().enumerate() {
        match item.clone().try_into::<Entry>() {
            Ok(entry) => {
                faults.extend(entry.field_errors().iter().map(ToString::to_string));
                entries.push(entry);
            }
            Err(e) => faults.push(format!("[[entry]] number {}: {}", at + 1, e.message())),
        }
    }
    entries
}

fn names(value: &Value, faults: &mut Vec<String>) -> Vec<String> {
    match value.clone().try_into() {
        Ok(names) => names,
        Err(_) => {
            faults.push(format!("key {RETIRE:?} is not a list of entry names"));
            Vec::new()
        }
    }
}

fn check_names(file: &CatalogueFile, faults: &mut Vec<String>) {
    let mut seen = Set::default();
    let all = file.entries.iter().map(|e| &e.name).chain(&file.retire);
    for name in all {
        if !seen.insert(name) {
            faults.push(format!("entry {name:?} is named twice"));
        }
    }
}
