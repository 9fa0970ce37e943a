//! A customer's client.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::errors::Result;
use crate::http::{Answer, Ask};

/// A customer's client of one entry process.
#[derive(Clone, Debug)]
pub struct Caller {
    to: SocketAddr,
    key: String,
}

/// A draft that was read to its end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// The HTTP status.
    pub status: u16,
    /// The text of all tokens.
    pub text: String,
    /// The number of chunks with a token.
    pub chunks: usize,
    /// The number of tokens that the end marker names; none if the stream broke off.
    pub counted: Option<u64>,
    /// Whether `[DONE]` came.
    pub done: bool,
    /// The problem that refused the draft or broke it off.
    pub problem: Option<Value>,
}

impl Draft {
    /// Tells whether the draft is whole by its own end marker.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.done && self.counted == Some(self.chunks as u64)
    }

    /// Returns the outcome that a refusal names.
    pub fn outcome(&self) -> Option<&str> {
        self.problem.as_ref()?["outcome"].as_str()
    }
}

/// Returns the text that a correct draft has.
pub fn expected_text(layers: u32, prompt: &[u32], tokens: usize) -> String {
    let tokens = mustard_fakes::reference::generate(layers, prompt, tokens);
    tokens
        .into_iter()
        .map(mustard_core::tokens::decode)
        .collect()
}

impl Caller {
    /// Creates a client with a bearer key.
    pub fn new(to: SocketAddr, key: &str) -> Self {
        Caller {
            to,
            key: key.to_owned(),
        }
    }

    /// Asks for a draft as one JSON document.
    pub fn complete(&self, model: &str, prompt: &[u32], tokens: usize) -> Result<Answer> {
        let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens});
        self.post("/v1/completions", &body).send()
    }

    /// Asks for a streamed draft and reads it to its end.
    pub fn stream(&self, model: &str, prompt: &[u32], tokens: usize) -> Result<Draft> {
        self.stream_with(model, prompt, tokens, |_| {})
    }

    /// Asks for a streamed draft; `seen` runs after each token with the number so far.
    pub fn stream_with(
        &self,
        model: &str,
        prompt: &[u32],
        tokens: usize,
        mut seen: impl FnMut(usize),
    ) -> Result<Draft> {
        let body = json!({
            "model": model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": true,
            "deadline_ms": 60_000,
        });
        let response = self.post("/v1/completions", &body).open()?;
        let mut draft = Draft {
            status: response.status().as_u16(),
            ..Draft::default()
        };
        let reader = BufReader::new(response.into_body().into_reader());
        if draft.status != 200 {
            draft.problem = serde_json::from_reader(reader).ok();
            return Ok(draft);
        }
        for line in reader.lines() {
            let Ok(line) = line else {
                break;
            };
            if let Some(data) = line.strip_prefix("data: ") {
                let before = draft.chunks;
                take_event(&mut draft, data)?;
                if draft.chunks > before {
                    seen(draft.chunks);
                }
            }
        }
        Ok(draft)
    }

    /// Calls a plain service with an idempotency key.
    pub fn book(&self, path: &str, key: &str, body: &Value) -> Result<Answer> {
        let path = format!("/v1/services/{path}");
        self.post(&path, body)
            .with("idempotency-key", key)
            .with("x-deadline-ms", "20000")
            .send()
    }

    /// Reads from a plain service.
    pub fn read(&self, path: &str) -> Result<Answer> {
        let path = format!("/v1/services/{path}");
        Ask::get(self.to, path).bearer(&self.key).send()
    }

    fn post(&self, path: &str, body: &Value) -> Ask {
        Ask::post(self.to, path, body.to_string()).bearer(&self.key)
    }
}

fn take_event(draft: &mut Draft, data: &str) -> Result<()> {
    if data == "[DONE]" {
        draft.done = true;
        return Ok(());
    }
    let event: Value = serde_json::from_str(data)?;
    if event.get("error").is_some() {
        draft.problem = Some(event["error"].clone());
        return Ok(());
    }
    if let Some(count) = event["usage"]["completion_tokens"].as_u64() {
        draft.counted = Some(count);
    }
    let text = event["choices"][0]["text"].as_str().unwrap_or_default();
    if !text.is_empty() {
        draft.text.push_str(text);
        draft.chunks += 1;
    }
    Ok(())
}
