//! Golden files: whole sessions as text, compared line by line.
//!
//! Set the environment variable `MUSTARD_GOLDEN=write` to write the files anew.

use std::fmt::Write;
use std::path::PathBuf;

use crate::errors::Result;
use crate::http::{Answer, Ask};

const SWITCH: &str = "MUSTARD_GOLDEN";
const ID_DIGITS: usize = 32;
const TIME_DIGITS: usize = 10;
const LOOPBACK: &str = "127.0.0.1:";
const SHOWN_HEADERS: [&str; 3] = ["content-type", "retry-after", "x-request-id"];

/// Records the exchanges of a session.
#[derive(Clone, Debug, Default)]
pub struct Session {
    text: String,
}

impl Session {
    /// Creates an empty record.
    pub fn new() -> Self {
        Session::default()
    }

    /// Makes an exchange and records both sides.
    pub fn exchange(&mut self, title: &str, ask: &Ask) -> Result<Answer> {
        let answer = ask.send()?;
        self.note(&format!("# {title}"));
        self.note(&format!("> {} {}", ask.method, ask.path));
        for (name, value) in ask.headers.iter().filter(|(n, _)| *n != "authorization") {
            self.note(&format!("> {name}: {value}"));
        }
        self.note_body('>', &ask.body);
        self.note(&format!("< {}", answer.status));
        for name in SHOWN_HEADERS {
            if let Some(value) = answer.headers.get(name).and_then(|v| v.to_str().ok()) {
                self.note(&format!("< {name}: {value}"));
            }
        }
        self.note_body('<', &answer.body);
        self.note("");
        Ok(answer)
    }

    /// Records a line.
    pub fn note(&mut self, line: &str) {
        let _ = writeln!(self.text, "{}", mask(line).trim_end());
    }

    fn note_body(&mut self, side: char, body: &str) {
        for line in body.lines() {
            self.note(&format!("{side} {line}"));
        }
    }

    /// Compares the record with the golden file of a name.
    ///
    /// # Panics
    ///
    /// Panics if they differ, with the first line that does.
    pub fn check(&self, name: &str) -> Result<()> {
        let file = path(name);
        if std::env::var(SWITCH).is_ok_and(|v| v == "write") {
            std::fs::write(&file, &self.text)?;
            return Ok(());
        }
        let golden = std::fs::read_to_string(&file)?;
        let pairs = golden.lines().zip(self.text.lines());
        for (n, (expected, found)) in pairs.enumerate() {
            assert_eq!(found, expected, "{name}, line {}", n + 1);
        }
        let lengths = (self.text.lines().count(), golden.lines().count());
        assert_eq!(lengths.0, lengths.1, "{name}, number of lines");
        Ok(())
    }
}

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Replaces what differs from run to run: ids, times and addresses.
pub fn mask(line: &str) -> String {
    let mut out = String::with_capacity(line.len());
    let mut rest = line;
    while let Some(first) = rest.chars().next() {
        let (shown, taken) = match volatile(rest) {
            Some(found) => found,
            None => {
                let whole = run(rest, is_hex).max(first.len_utf8());
                (&rest[..whole], whole)
            }
        };
        out.push_str(shown);
        rest = &rest[taken..];
    }
    out
}

/// Returns the replacement and the length of a volatile part at the start of a text.
fn volatile(text: &str) -> Option<(&'static str, usize)> {
    if let Some(port) = text.strip_prefix(LOOPBACK) {
        return Some(("<addr>", LOOPBACK.len() + run(port, is_digit)));
    }
    let hex = run(text, is_hex);
    if hex >= ID_DIGITS {
        return Some(("<id>", hex));
    }
    let digits = run(text, is_digit);
    (digits >= TIME_DIGITS).then_some(("<time>", digits))
}

fn is_digit(c: char) -> bool {
    c.is_ascii_digit()
}

fn is_hex(c: char) -> bool {
    is_digit(c) || ('a'..='f').contains(&c)
}

fn run(text: &str, fits: impl Fn(char) -> bool) -> usize {
    text.find(|c| !fits(c)).unwrap_or(text.len())
}
