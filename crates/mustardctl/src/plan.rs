//! Computes the changes that a catalogue file makes to the current catalogue.

use std::fmt;

use serde_json::Value;

use mustard_core::catalogue::{Catalogue, Entry, Op};
use mustard_core::ids::Revision;

use crate::catalogue_file::CatalogueFile;

/// What a change does to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Adds a new entry, or one that was retired before.
    Add,
    /// Replaces the content of an active entry.
    Change,
    /// Retires an active entry.
    Retire,
}

impl Action {
    /// Returns the name shown to operators and used in JSON.
    pub fn name(self) -> &'static str {
        match self {
            Action::Add => "add",
            Action::Change => "change",
            Action::Retire => "retire",
        }
    }
}

/// One field of an entry with its value before and after a change.
#[derive(Clone, Debug, PartialEq)]
pub struct FieldChange {
    /// The path of the field, with dots between the names of nested tables.
    pub field: String,
    /// The current value; none if the field or the entry does not exist.
    pub before: Option<Value>,
    /// The new value; none if the field or the entry is removed.
    pub after: Option<Value>,
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let format_value =
            |v: &Option<Value>| v.as_ref().map_or("none".to_owned(), Value::to_string);
        let (before, after) = (format_value(&self.before), format_value(&self.after));
        write!(f, "{}: {before} -> {after}", self.field)
    }
}

/// One change of the catalogue that is ready to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedChange {
    /// What the change does to the entry.
    pub action: Action,
    /// The current revision of the entry; the change is rejected if the entry has another one.
    pub expected: Revision,
    /// The operation as sent to the entry process.
    pub op: Op,
    /// The fields whose values differ, for the preview.
    pub fields: Vec<FieldChange>,
}

/// Returns the changes that make the catalogue match a file.
///
/// Entries that the file does not name are left unchanged.
pub fn plan_changes(file: &CatalogueFile, catalogue: &Catalogue) -> Vec<PlannedChange> {
    let puts = file.entries.iter().filter_map(|e| plan_put(e, catalogue));
    let retires = file.retire.iter().filter_map(|n| plan_retire(n, catalogue));
    puts.chain(retires).collect()
}

fn plan_put(entry: &Entry, catalogue: &Catalogue) -> Option<PlannedChange> {
    let current = catalogue.entry(&entry.name);
    if current == Some(entry) {
        return None;
    }
    let action = match current {
        Some(_) => Action::Change,
        None => Action::Add,
    };
    Some(PlannedChange {
        action,
        expected: catalogue.revision(&entry.name),
        op: Op::Put(entry.clone()),
        fields: diff_entries(current, Some(entry)),
    })
}

fn plan_retire(name: &str, catalogue: &Catalogue) -> Option<PlannedChange> {
    let current = catalogue.entry(name)?;
    Some(PlannedChange {
        action: Action::Retire,
        expected: catalogue.revision(name),
        op: Op::Retire(name.to_owned()),
        fields: diff_entries(Some(current), None),
    })
}

/// Returns the fields in which two versions of an entry differ, sorted by path.
pub fn diff_entries(before: Option<&Entry>, after: Option<&Entry>) -> Vec<FieldChange> {
    let (before, after) = (flatten_entry(before), flatten_entry(after));
    let value_of = |list: &[(String, Value)], field: &str| {
        let found = list.iter().find(|(f, _)| f == field);
        found.map(|(_, value)| value.clone())
    };
    let mut fields: Vec<&String> = before.iter().chain(&after).map(|(f, _)| f).collect();
    fields.sort();
    fields.dedup();
    fields
        .into_iter()
        .map(|field| FieldChange {
            field: field.clone(),
            before: value_of(&before, field),
            after: value_of(&after, field),
        })
        .filter(|d| d.before != d.after)
        .collect()
}

fn flatten_entry(entry: Option<&Entry>) -> Vec<(String, Value)> {
    let value = entry.and_then(|e| serde_json::to_value(e).ok());
    let mut out = Vec::new();
    if let Some(value) = value {
        flatten_value("", &value, &mut out);
    }
    out
}

fn flatten_value(prefix: &str, value: &Value, out: &mut Vec<(String, Value)>) {
    let Value::Object(members) = value else {
        out.push((prefix.to_owned(), value.clone()));
        return;
    };
    for (name, member) in members {
        let field = match prefix {
            "" => name.clone(),
            _ => format!("{prefix}.{name}"),
        };
        flatten_value(&field, member, out);
    }
}
