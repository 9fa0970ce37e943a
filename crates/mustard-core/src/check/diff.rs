//! The differences between two versions of a configuration, entry by entry.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

/// A field that differs; a value is missing in a version that lacks the entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The field.
    pub field: &'static str,
    /// The value in the version in force.
    pub before: Option<String>,
    /// The new value.
    pub after: Option<String>,
}

/// How an entry differs between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The entry.
    pub entry: String,
    /// The fields that differ; all fields of an entry that was added or removed.
    pub fields: Vec<FieldChange>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.fields.iter().all(|c| c.before.is_none()) {
            return write!(f, "added: {}", self.entry);
        }
        if self.fields.iter().all(|c| c.after.is_none()) {
            return write!(f, "removed: {}", self.entry);
        }
        write!(f, "changed: {}:", self.entry)?;
        for (i, change) in self.fields.iter().enumerate() {
            let separator = if i == 0 { " " } else { ", " };
            let text = |value: &Option<String>| value.clone().unwrap_or_default();
            let (before, after) = (text(&change.before), text(&change.after));
            write!(f, "{separator}{} {before} -> {after}", change.field)?;
        }
        Ok(())
    }
}

/// The fields of one entry by name, as text.
pub(super) type Fields = Vec<(&'static str, String)>;

/// Compares entries by their names; the result is in order of names.
pub(super) fn compare(
    before: BTreeMap<String, Fields>,
    mut after: BTreeMap<String, Fields>,
) -> Vec<Difference> {
    let mut pairs = BTreeMap::new();
    for (name, fields) in before {
        let new = after.remove(&name).unwrap_or_default();
        pairs.insert(name, (fields, new));
    }
    pairs.extend(
        after
            .into_iter()
            .map(|(name, new)| (name, (Vec::new(), new))),
    );
    let differences = pairs
        .into_iter()
        .map(|(entry, (before, after))| Difference {
            fields: compare_fields(&before, &after),
            entry,
        });
    differences.filter(|d| !d.fields.is_empty()).collect()
}

fn compare_fields(before: &Fields, after: &Fields) -> Vec<FieldChange> {
    let longer = if before.is_empty() { after } else { before };
    let value = |fields: &Fields, name: &str| {
        let field = fields.iter().find(|(n, _)| *n == name);
        field.map(|(_, value)| value.clone())
    };
    let all = longer.iter().map(|(field, _)| FieldChange {
        field,
        before: value(before, field),
        after: value(after, field),
    });
    all.filter(|c| c.before != c.after).collect()
}
