//! What a catalogue file would change.

use std::fmt;

use serde_json::Value;

use mustard_core::catalogue::{Catalogue, Entry, Op};
use mustard_core::ids::Revision;

use crate::file::CatalogueFile;

/// What happens to one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It is new, or comes back after it was retired.
    Add,
    /// It gets another content.
    Change,
    /// It is retired.
    Retire,
}

impl Action {
    /// Returns the word shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Action::Add => "add",
            Action::Change => "change",
            Action::Retire => "retire",
        }
    }
}

/// One field that gets another value.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The field; fields of tables are written with dots.
    pub field: String,
    /// The value in force, if any.
    pub before: Option<Value>,
    /// The value to come, if any.
    pub after: Option<Value>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |v: &Option<Value>| v.as_ref().map_or("none".to_owned(), Value::to_string);
        let (before, after) = (show(&self.before), show(&self.after));
        write!(f, "{}: {before} -> {after}", self.field)
    }
}

/// One change to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// What happens to the entry.
    pub action: Action,
    /// The revision in force, which the change expects.
    pub expected: Revision,
    /// The change.
    pub op: Op,
    /// The fields that get another value.
    pub fields: Vec<Difference>,
}

/// Returns the changes that bring the catalogue to what a file says.
///
/// Entries that the file does not name stay as they are.
pub fn plan(file: &CatalogueFile, catalogue: &Catalogue) -> Vec<Step> {
    let puts = file.entries.iter().filter_map(|e| plan_put(e, catalogue));
    let retires = file.retire.iter().filter_map(|n| plan_retire(n, catalogue));
    puts.chain(retires).collect()
}

fn plan_put(entry: &Entry, catalogue: &Catalogue) -> Option<Step> {
    let current = catalogue.entry(&entry.name);
    if current == Some(entry) {
        return None;
    }
    let action = match current {
        Some(_) => Action::Change,
        None => Action::Add,
    };
    Some(Step {
        action,
        expected: catalogue.revision(&entry.name),
        op: Op::Put(entry.clone()),
        fields: differences(current, Some(entry)),
    })
}

fn plan_retire(name: &str, catalogue: &Catalogue) -> Option<Step> {
    let current = catalogue.entry(name)?;
    Some(Step {
        action: Action::Retire,
        expected: catalogue.revision(name),
        op: Op::Retire(name.to_owned()),
        fields: differences(Some(current), None),
    })
}

/// Returns the fields in which two versions of an entry differ.
pub fn differences(before: Option<&Entry>, after: Option<&Entry>) -> Vec<Difference> {
    let (before, after) = (leaves(before), leaves(after));
    let find = |list: &[(String, Value)], field: &str| {
        let found = list.iter().find(|(f, _)| f == field);
        found.map(|(_, value)| value.clone())
    };
    let mut fields: Vec<&String> = before.iter().chain(&after).map(|(f, _)| f).collect();
    fields.sort();
    fields.dedup();
    fields
        .into_iter()
        .map(|field| Difference {
            field: field.clone(),
            before: find(&before, field),
            after: find(&after, field),
        })
        .filter(|d| d.before != d.after)
        .collect()
}

fn leaves(entry: Option<&Entry>) -> Vec<(String, Value)> {
    let value = entry.and_then(|e| serde_json::to_value(e).ok());
    let mut out = Vec::new();
    if let Some(value) = value {
        flatten("", &value, &mut out);
    }
    out
}

fn flatten(prefix: &str, value: &Value, out: &mut Vec<(String, Value)>) {
    let Value::Object(members) = value else {
        out.push((prefix.to_owned(), value.clone()));
        return;
    };
    for (name, member) in members {
        let field = match prefix {
            "" => name.clone(),
            _ => format!("{prefix}.{name}"),
        };
        flatten(&field, member, out);
    }
}
