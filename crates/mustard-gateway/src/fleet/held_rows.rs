//! Rows under the id of a known server that contradict what is known of it.
//!
//! The row of another writer may stand under the id of a server. It is held back while the server answers, and
//! applied once the server no longer does, or something answers under the id where the row says.

use mustard_core::clock::Moment;
use mustard_core::deployment::ServerEntry;

use super::addresses::{Presence, Question};
use super::{Fleet, RowChange, ServerKey, ServerProcess};

/// A row that isn't applied yet.
#[derive(Debug)]
pub(super) struct HeldRow {
    entry: ServerEntry,
    reason: Reason,
}

/// Why a row isn't applied.
#[derive(Debug)]
enum Reason {
    /// The configuration doesn't name its service.
    Unnamed,
    /// It names another service or accelerator than the process that is known, which changes neither.
    Changed,
    /// The process that is known may still be there; it is asked.
    Asked(Question),
}

/// A question about a row that is held back.
#[derive(Clone, Debug)]
pub struct HeldQuestion {
    /// The process that is known under the id.
    pub known: ServerProcess,
    /// Its service.
    pub known_service: String,
    /// The process that the row names, at its address; it has no key of its own.
    pub claimed: ServerProcess,
    /// The service that the row names.
    pub claimed_service: String,
}

impl Fleet {
    /// Holds a row back if it contradicts the process that is known under its id, and returns whether it did.
    pub(super) fn hold_row(&mut self, now: Moment, key: ServerKey, entry: &ServerEntry) -> bool {
        let Some(server) = self.get(key) else {
            return false;
        };
        let known = &server.entry;
        let is_same_kind = known.service == entry.service && known.accelerator == entry.accelerator;
        let reason = if !self.named.allows(entry) && self.named.allows(known) {
            Reason::Unnamed
        } else if !server.presence.is_shown(now) || self.goes_on(entry) {
            return false;
        } else if known.addr != entry.addr || known.started_ms != entry.started_ms {
            // A server that sends no reports doesn't tell when it started.
            let is_restart = known.addr == entry.addr && is_same_kind;
            if is_restart && known.accelerator.is_none() {
                return false;
            }
            Reason::Asked(Question::new(now))
        } else {
            Reason::Changed
        };
        let entry = entry.clone();
        let id = entry.id.clone();
        self.held_rows.insert(id, HeldRow { entry, reason });
        true
    }

    /// Tells whether a row follows one of another service that is held back, so that whoever writes it goes on.
    fn goes_on(&self, entry: &ServerEntry) -> bool {
        let known = self.key_of(&entry.id).and_then(|key| self.get(key));
        let is_changed = known.is_some_and(|s| s.entry.service != entry.service);
        let held = self.held_rows.get(&entry.id).map(|row| &row.entry);
        is_changed
            && held.is_some_and(|held| {
                held.service == entry.service
                    && held.started_ms == entry.started_ms
                    && held.row_number < entry.row_number
            })
    }

    /// Applies the rows that no longer contradict what is known, as the configuration now names their services or
    /// their servers have ended.
    pub(super) fn apply_held_rows(&mut self, now: Moment) {
        let is_released = |id: &String, row: &HeldRow| {
            let server = self.key_of(id).and_then(|key| self.get(key));
            let Some(server) = server else {
                return true;
            };
            let is_known_named = self.named.allows(&server.entry);
            match row.reason {
                Reason::Unnamed => self.named.allows(&row.entry) || !is_known_named,
                Reason::Changed => !is_known_named,
                // An answer that is only old says nothing.
                Reason::Asked(_) => !matches!(server.presence, Presence::Answered(_)),
            }
        };
        let rows = self.held_rows.iter();
        let released = rows.filter(|(id, row)| is_released(id, row));
        let released: Vec<String> = released.map(|(id, _)| id.clone()).collect();
        for id in released {
            if let Some(row) = self.held_rows.remove(&id) {
                self.upsert(now, row.entry, None);
            }
        }
    }

    /// Applies the row that is held back under an id, as its process was found.
    pub fn release_row(&mut self, now: Moment, claimed: &ServerProcess) -> RowChange {
        let is_claimed = |row: &HeldRow| {
            row.entry.addr == claimed.addr && row.entry.started_ms == claimed.started_ms
        };
        if !self.held_rows.get(&claimed.id).is_some_and(is_claimed) {
            return RowChange::Same;
        }
        let Some(row) = self.held_rows.remove(&claimed.id) else {
            return RowChange::Same;
        };
        if let Some(key) = self.key_of(&claimed.id) {
            self.remove_key(now, key);
        }
        self.upsert(now, row.entry, None)
    }

    /// Applies the rows that may be, and returns the questions about the others that are due.
    pub fn take_held_questions(&mut self, now: Moment) -> Vec<HeldQuestion> {
        self.apply_held_rows(now);
        let mut due = Vec::new();
        for row in self.held_rows.values_mut() {
            if let Reason::Asked(question) = &mut row.reason
                && question.take_turn(now)
            {
                due.push(row.entry.clone());
            }
        }
        let questions = due.into_iter().filter_map(|entry| {
            let server = self.get(self.key_of(&entry.id)?)?;
            let known = self.process(self.key_of(&entry.id)?)?;
            Some(HeldQuestion {
                known_service: server.entry.service.clone(),
                claimed: ServerProcess {
                    key: known.key,
                    addr: entry.addr,
                    id: entry.id,
                    started_ms: entry.started_ms,
                },
                known,
                claimed_service: entry.service,
            })
        });
        questions.collect()
    }
}
