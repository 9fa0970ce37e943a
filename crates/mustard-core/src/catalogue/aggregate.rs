//! The aggregate that applies changes in order and never goes back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::entry::{Entry, Target};
use super::errors::{CatalogueError, Result};
use crate::collections::Map;
use crate::fingerprint::KeyHash;
use crate::ids::{Revision, Seq};

/// What a change does to one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Adds an entry or replaces it by a new version.
    Put(Entry),
    /// Retires the entry of this name.
    Retire(String),
}

impl Op {
    /// Returns the name of the entry that the operation touches.
    pub fn name(&self) -> &str {
        match self {
            Op::Put(entry) => &entry.name,
            Op::Retire(name) => name,
        }
    }
}

/// An accepted change of the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The place of the change in the order of all changes.
    pub seq: Seq,
    /// Makes the change safe to send again after a lost answer.
    pub id: String,
    /// The revision that the entry had before; zero for a new entry.
    pub expected: Revision,
    /// The operator who made it.
    pub author: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// What it does.
    pub op: Op,
}

/// An entry with its version; a retired entry keeps its version and no content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned {
    /// The version, one higher with each change.
    pub revision: Revision,
    /// The change that made this version.
    pub seq: Seq,
    /// The content, or none once retired.
    pub entry: Option<Entry>,
}

/// The whole catalogue at one place in the order of changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last change included.
    pub seq: Seq,
    /// All entries by name, retired ones included.
    pub entries: BTreeMap<String, Versioned>,
}

/// The catalogue in force at a process.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    state: Snapshot,
    by_key: Map<KeyHash, Vec<String>>,
}

impl Catalogue {
    /// Creates the catalogue that a snapshot describes.
    pub fn from_snapshot(state: Snapshot) -> Self {
        let mut catalogue = Catalogue {
            state,
            by_key: Map::default(),
        };
        catalogue.rebuild_keys();
        catalogue
    }

    /// Returns the last change in force.
    pub fn seq(&self) -> Seq {
        self.state.seq
    }

    /// Returns the state for transfer to another process.
    pub fn snapshot(&self) -> &Snapshot {
        &self.state
    }

    /// Returns the version of an entry, retired or not.
    pub fn version(&self, name: &str) -> Option<&Versioned> {
        self.state.entries.get(name)
    }

    /// Returns the revision of an entry; zero if it never existed.
    pub fn revision(&self, name: &str) -> Revision {
        self.version(name).map_or(Revision(0), |v| v.revision)
    }

    /// Returns an entry in force.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        self.version(name)?.entry.as_ref()
    }

    /// Visits every entry in force, by name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.state.entries.values().filter_map(|v| v.entry.as_ref())
    }

    /// Returns the entry that a bearer key opens under a name.
    ///
    /// The name is the entry's own or that of its model or service.
    pub fn find(&self, key: &KeyHash, name: &str) -> Option<&Entry> {
        let names = self.by_key.get(key)?;
        let open = || names.iter().filter_map(|n| self.entry(n));
        open()
            .find(|e| e.name == name)
            .or_else(|| open().find(|e| e.target.name() == name))
    }

    /// Tells whether any entry in force knows the bearer key.
    pub fn knows(&self, key: &KeyHash) -> bool {
        self.by_key.contains_key(key)
    }

    /// Checks a change against the rules without applying it.
    ///
    /// # Errors
    ///
    /// Returns an error for a stale revision or a field outside its range.
    pub fn check(&self, expected: Revision, op: &Op) -> Result<()> {
        let name = op.name();
        let have = self.revision(name);
        if have != expected {
            return Err(CatalogueError::Conflict {
                name: name.to_owned(),
                have,
                expected,
            });
        }
        match op {
            Op::Put(entry) => entry.check(),
            Op::Retire(_) => Ok(()),
        }
    }

    /// Applies the next change.
    ///
    /// Returns `false` for a change that is in force already.
    ///
    /// # Errors
    ///
    /// Returns [`CatalogueError::Gap`] if changes in between are missing.
    pub fn apply(&mut self, change: &Change) -> Result<bool> {
        if change.seq <= self.state.seq {
            return Ok(false);
        }
        if change.seq != self.state.seq.next() {
            return Err(CatalogueError::Gap {
                have: self.state.seq,
                got: change.seq,
            });
        }
        let name = change.op.name().to_owned();
        let entry = match &change.op {
            Op::Put(entry) => Some(entry.clone()),
            Op::Retire(_) => None,
        };
        let revision = change.expected.next();
        self.state.entries.insert(
            name,
            Versioned {
                revision,
                seq: change.seq,
                entry,
            },
        );
        self.state.seq = change.seq;
        self.rebuild_keys();
        Ok(true)
    }

    /// Takes over a snapshot if it is newer than what is in force.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.seq <= self.state.seq {
            return false;
        }
        *self = Catalogue::from_snapshot(snapshot);
        true
    }

    fn rebuild_keys(&mut self) {
        let mut by_key: Map<KeyHash, Vec<String>> = Map::default();
        for entry in self.entries() {
            for key in &entry.keys {
                by_key
                    .entry(key.clone())
                    .or_default()
                    .push(entry.name.clone());
            }
        }
        self.by_key = by_key;
    }
}

impl Target {
    /// Returns the name of the model or service.
    pub fn name(&self) -> &str {
        match self {
            Target::Model { model, .. } => model,
            Target::Service { service, .. } => service,
        }
    }
}
