//! JSON and base64, as far as the stand-ins need them.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Value::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Value::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Value> {
        match self.get(name) {
            Some(Value::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

/// Parses a text that is known to be JSON.
pub fn parse(text: &str) -> Value {
    let chars: Vec<char> = text.chars().collect();
    Parser { chars, at: 0 }.value()
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> char {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied().unwrap_or('\0')
    }

    fn value(&mut self) -> Value {
        match self.peek() {
            '{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !matches!(self.peek(), '}' | '\0') {
                    let name = self.string();
                    self.peek();
                    self.at += 1;
                    fields.push((name, self.value()));
                    if self.peek() == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Value::Table(fields)
            }
            '[' => {
                self.at += 1;
                let mut list = Vec::new();
                while !matches!(self.peek(), ']' | '\0') {
                    list.push(self.value());
                    if self.peek() == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Value::List(list)
            }
            '"' => Value::Text(self.string()),
            _ => {
                let start = self.at;
                let is_end = |c: &char| matches!(c, ',' | ']' | '}') || c.is_whitespace();
                while self.chars.get(self.at).is_some_and(|c| !is_end(c)) {
                    self.at += 1;
                }
                let word: String = self.chars[start..self.at].iter().collect();
                match word.as_str() {
                    "true" => Value::Bool(true),
                    "false" => Value::Bool(false),
                    other => other.parse().map_or(Value::Null, Value::Number),
                }
            }
        }
    }

    fn string(&mut self) -> String {
        self.peek();
        self.at += 1;
        let mut out = String::new();
        while let Some(&c) = self.chars.get(self.at) {
            self.at += 1;
            match c {
                '"' => break,
                '\\' => {
                    let escaped = self.chars.get(self.at).copied().unwrap_or('\0');
                    self.at += 1;
                    match escaped {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'u' => {
                            let end = (self.at + 4).min(self.chars.len());
                            let hex: String = self.chars[self.at..end].iter().collect();
                            self.at = end;
                            let code = u32::from_str_radix(&hex, 16).unwrap_or(0);
                            out.push(char::from_u32(code).unwrap_or('?'));
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
        out
    }
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |w, b| (w << 8) | u32::from(*b));
        let word = word << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
