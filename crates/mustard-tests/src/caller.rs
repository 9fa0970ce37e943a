//! A customer's client.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::errors::Result;
use crate::http::{Answer, HttpRequest};

/// A customer's client that talks to one entry process.
#[derive(Clone, Debug)]
pub struct Caller {
    addr: SocketAddr,
    key: String,
}

/// A streamed draft, read until its stream ended or broke off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// The HTTP status.
    pub status: u16,
    /// The text of all tokens.
    pub text: String,
    /// The number of events with a token.
    pub chunks: usize,
    /// The number of tokens that the server reports; `None` if the stream broke off before.
    pub counted: Option<u64>,
    /// Whether the final `[DONE]` event arrived.
    pub done: bool,
    /// The error document of a draft that was refused or broken off.
    pub problem: Option<Value>,
}

impl Draft {
    /// Tells whether the stream ended with `[DONE]` and all reported tokens arrived.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.done && self.counted == Some(self.chunks as u64)
    }

    /// Returns the field `outcome` of the error document, if there is one.
    pub fn outcome(&self) -> Option<&str> {
        self.problem.as_ref()?["outcome"].as_str()
    }
}

/// Returns the text of a correct draft, as the reference implementation generates it.
pub fn expected_text(layers: u32, prompt: &[u32], tokens: usize) -> String {
    let tokens = mustard_fakes::reference::expected_tokens(layers, prompt, tokens);
    tokens
        .into_iter()
        .map(mustard_core::tokens::decode)
        .collect()
}

impl Caller {
    /// Creates a client with a bearer key.
    pub fn new(addr: SocketAddr, key: &str) -> Self {
        Caller {
            addr,
            key: key.to_owned(),
        }
    }

    /// Requests a draft as one JSON document.
    pub fn complete(&self, model: &str, prompt: &[u32], tokens: usize) -> Result<Answer> {
        let body = json!({"model": model, "prompt": prompt, "max_tokens": tokens});
        self.post("/v1/completions", &body).send()
    }

    /// Requests a streamed draft and reads it to its end.
    pub fn stream(&self, model: &str, prompt: &[u32], tokens: usize) -> Result<Draft> {
        self.stream_with(model, prompt, tokens, |_| {})
    }

    /// Requests a streamed draft; `on_token` is called after each token with the count so far.
    pub fn stream_with(
        &self,
        model: &str,
        prompt: &[u32],
        tokens: usize,
        mut on_token: impl FnMut(usize),
    ) -> Result<Draft> {
        let body = json!({
            "model": model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": true,
            "deadline_ms": 60_000,
        });
        let response = self.post("/v1/completions", &body).open_response()?;
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
                let previous_chunks = draft.chunks;
                apply_event(&mut draft, data)?;
                if draft.chunks > previous_chunks {
                    on_token(draft.chunks);
                }
            }
        }
        Ok(draft)
    }

    /// Calls a plain service with an idempotency key.
    pub fn book(&self, path: &str, key: &str, body: &Value) -> Result<Answer> {
        let path = format!("/v1/services/{path}");
        self.post(&path, body)
            .header("idempotency-key", key)
            .header("x-deadline-ms", "20000")
            .send()
    }

    /// Sends a `GET` to a plain service.
    pub fn read(&self, path: &str) -> Result<Answer> {
        let path = format!("/v1/services/{path}");
        HttpRequest::get(self.addr, path).bearer(&self.key).send()
    }

    fn post(&self, path: &str, body: &Value) -> HttpRequest {
        HttpRequest::post(self.addr, path, body.to_string()).bearer(&self.key)
    }
}

fn apply_event(draft: &mut Draft, data: &str) -> Result<()> {
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
