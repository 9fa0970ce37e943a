//! Golden files: records of whole sessions, compared line by line.
//!
//! With the environment variable `MUSTARD_GOLDEN=write`, tests overwrite the files instead.

use std::fmt::Write;
use std::path::PathBuf;

use crate::errors::Result;
use crate::http::{Answer, HttpRequest};

const MODE_VARIABLE: &str = "MUSTARD_GOLDEN";
/// The least number of hex digits that is masked as an id.
const MIN_ID_DIGITS: usize = 32;
/// A Unix time has 10 digits in seconds and 13 in milliseconds.
const MIN_TIME_DIGITS: usize = 10;
const LOOPBACK_PREFIX: &str = "127.0.0.1:";
const SHOWN_HEADERS: [&str; 3] = ["content-type", "retry-after", "x-request-id"];

/// The record of a session's HTTP exchanges.
#[derive(Clone, Debug, Default)]
pub struct Session {
    text: String,
}

impl Session {
    /// Creates an empty record.
    pub fn new() -> Self {
        Session::default()
    }

    /// Sends a request and records it with its answer.
    pub fn exchange(&mut self, title: &str, request: &HttpRequest) -> Result<Answer> {
        let answer = request.send()?;
        self.add_line(&format!("# {title}"));
        self.add_line(&format!("> {} {}", request.method, request.path));
        for (name, value) in request
            .headers
            .iter()
            .filter(|(n, _)| *n != "authorization")
        {
            self.add_line(&format!("> {name}: {value}"));
        }
        self.add_body('>', &request.body);
        self.add_line(&format!("< {}", answer.status));
        for name in SHOWN_HEADERS {
            if let Some(value) = answer.headers.get(name).and_then(|v| v.to_str().ok()) {
                self.add_line(&format!("< {name}: {value}"));
            }
        }
        self.add_body('<', &answer.body);
        self.add_line("");
        Ok(answer)
    }

    /// Adds a line to the record, with volatile parts masked.
    pub fn add_line(&mut self, line: &str) {
        let _ = writeln!(self.text, "{}", mask_volatile(line).trim_end());
    }

    fn add_body(&mut self, side: char, body: &str) {
        for line in body.lines() {
            self.add_line(&format!("{side} {line}"));
        }
    }

    /// Compares the record with a golden file, or overwrites the file if `MUSTARD_GOLDEN=write`.
    ///
    /// # Panics
    ///
    /// Panics at the first line that differs, or if the numbers of lines differ.
    pub fn assert_matches(&self, name: &str) -> Result<()> {
        let file = golden_path(name);
        if std::env::var(MODE_VARIABLE).is_ok_and(|v| v == "write") {
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

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Replaces the parts that differ from run to run: ids, times and addresses.
pub fn mask_volatile(line: &str) -> String {
    let mut out = String::with_capacity(line.len());
    let mut rest = line;
    while let Some(first) = rest.chars().next() {
        let (replacement, len) = match match_volatile(rest) {
            Some(found) => found,
            None => {
                let len = prefix_len(rest, is_hex).max(first.len_utf8());
                (&rest[..len], len)
            }
        };
        out.push_str(replacement);
        rest = &rest[len..];
    }
    out
}

/// Returns the replacement and the length of a volatile part at the start of a text.
fn match_volatile(text: &str) -> Option<(&'static str, usize)> {
    if let Some(port) = text.strip_prefix(LOOPBACK_PREFIX) {
        return Some(("<addr>", LOOPBACK_PREFIX.len() + prefix_len(port, is_digit)));
    }
    let hex = prefix_len(text, is_hex);
    if hex >= MIN_ID_DIGITS {
        return Some(("<id>", hex));
    }
    let digits = prefix_len(text, is_digit);
    (digits >= MIN_TIME_DIGITS).then_some(("<time>", digits))
}

fn is_digit(c: char) -> bool {
    c.is_ascii_digit()
}

fn is_hex(c: char) -> bool {
    is_digit(c) || ('a'..='f').contains(&c)
}

fn prefix_len(text: &str, is_member: impl Fn(char) -> bool) -> usize {
    text.find(|c| !is_member(c)).unwrap_or(text.len())
}
