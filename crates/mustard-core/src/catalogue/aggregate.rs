//! The catalogue aggregate, which applies changes in sequence order and never returns to an earlier
//! state.

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
    /// Adds an entry or replaces its content.
    Put(Entry),
    /// Retires the entry of this name: it is no longer in force, but keeps its revision.
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
    /// The sequence number of the change.
    pub seq: Seq,
    /// The operator's id of the change; a retry after a lost answer has the same id.
    pub id: String,
    /// The revision that the entry must have before the change; zero for a new entry.
    pub expected: Revision,
    /// The operator who made it.
    pub author: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// What it does.
    pub op: Op,
}

/// An entry with its revision; a retired entry keeps the revision but no content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryVersion {
    /// The revision, one higher with each change.
    pub revision: Revision,
    /// The change that produced this revision.
    pub seq: Seq,
    /// The content, or none if the entry is retired.
    pub entry: Option<Entry>,
}

/// The whole catalogue as it was after one change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last change included.
    pub seq: Seq,
    /// All entries by name, retired ones included.
    pub entries: BTreeMap<String, EntryVersion>,
}

/// The catalogue in force at a process.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    state: Snapshot,
    key_entries: Map<KeyHash, Vec<String>>,
}

impl Catalogue {
    /// Creates a catalogue from a snapshot.
    pub fn from_snapshot(state: Snapshot) -> Self {
        let mut catalogue = Catalogue {
            state,
            key_entries: Map::default(),
        };
        catalogue.rebuild_index();
        catalogue
    }

    /// Returns the sequence number of the last change in force.
    pub fn seq(&self) -> Seq {
        self.state.seq
    }

    /// Returns the state for transfer to another process.
    pub fn snapshot(&self) -> &Snapshot {
        &self.state
    }

    /// Returns an entry with its revision, retired or not.
    pub fn version(&self, name: &str) -> Option<&EntryVersion> {
        self.state.entries.get(name)
    }

    /// Returns the revision of an entry, or zero if it never existed.
    pub fn revision(&self, name: &str) -> Revision {
        self.version(name).map_or(Revision(0), |v| v.revision)
    }

    /// Returns an entry in force.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        self.version(name)?.entry.as_ref()
    }

    /// Returns an iterator over all entries in force, ordered by name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.state.entries.values().filter_map(|v| v.entry.as_ref())
    }

    /// Returns the entry in force that a bearer key may use under a name.
    ///
    /// The name is the entry's own or that of its model or service; an entry's own name goes first.
    pub fn find(&self, key: &KeyHash, name: &str) -> Option<&Entry> {
        let names = self.key_entries.get(key)?;
        let allowed = || names.iter().filter_map(|n| self.entry(n));
        allowed()
            .find(|e| e.name == name)
            .or_else(|| allowed().find(|e| e.target.name() == name))
    }

    /// Returns whether any entry in force accepts the bearer key.
    pub fn accepts_key(&self, key: &KeyHash) -> bool {
        self.key_entries.contains_key(key)
    }

    /// Validates a change without applying it.
    ///
    /// # Errors
    ///
    /// Returns an error if `expected` is not the entry's revision or a field is outside its range.
    pub fn check(&self, expected: Revision, op: &Op) -> Result<()> {
        let name = op.name();
        let current = self.revision(name);
        if current != expected {
            return Err(CatalogueError::Conflict {
                name: name.to_owned(),
                current,
                expected,
            });
        }
        match op {
            Op::Put(entry) => entry.validate(),
            Op::Retire(_) => Ok(()),
        }
    }

    /// Applies the next change.
    ///
    /// Returns `false` if the change is in force already.
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
                current: self.state.seq,
                received: change.seq,
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
            EntryVersion {
                revision,
                seq: change.seq,
                entry,
            },
        );
        self.state.seq = change.seq;
        self.rebuild_index();
        Ok(true)
    }

    /// Replaces the state by a snapshot if the snapshot is newer, and returns whether it was.
    pub fn install_newer(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.seq <= self.state.seq {
            return false;
        }
        *self = Catalogue::from_snapshot(snapshot);
        true
    }

    fn rebuild_index(&mut self) {
        let mut key_entries: Map<KeyHash, Vec<String>> = Map::default();
        for entry in self.entries() {
            for key in &entry.keys {
                key_entries
                    .entry(key.clone())
                    .or_default()
                    .push(entry.name.clone());
            }
        }
        self.key_entries = key_entries;
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
