//! The body of a drafting request and the shapes of its answers.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use mustard_core::catalogue::Limits;
use mustard_core::ids::RequestId;
use mustard_core::tokens;

use super::errors::{ApiError, Result};

const DEFAULT_TOKENS: u32 = 64;

/// The body of a drafting request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct DraftBody {
    /// The name of the entry or of its model.
    pub model: String,
    /// The prompt.
    pub prompt: Prompt,
    /// The number of tokens to generate.
    pub max_tokens: Option<u32>,
    /// Whether tokens are sent as they come.
    #[serde(default)]
    pub stream: bool,
    /// The time for the whole answer, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A prompt as text or as token ids.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(untagged, expecting = "prompt must be a string or a list of token ids")]
pub enum Prompt {
    /// Text.
    Text(String),
    /// Token ids.
    Ids(Vec<u32>),
}

impl DraftBody {
    /// Reads a body.
    pub fn parse(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(|e| ApiError::malformed(e.to_string()))
    }

    /// Returns the prompt as token ids.
    pub fn token_ids(&self, limit: usize) -> Result<Vec<u32>> {
        let ids = match &self.prompt {
            Prompt::Text(text) => tokens::encode(text),
            Prompt::Ids(ids) => ids.clone(),
        };
        if ids.is_empty() {
            return Err(ApiError::malformed("prompt is empty"));
        }
        if ids.len() > limit {
            return Err(ApiError::OverLimit {
                field: "prompt",
                read: ids.len() as u64,
                limit: limit as u64,
            });
        }
        match ids.iter().find(|id| **id >= tokens::VOCABULARY_SIZE) {
            Some(id) => Err(ApiError::malformed(format!(
                "prompt has token id {id}, the highest is {}",
                tokens::VOCABULARY_SIZE - 1
            ))),
            None => Ok(ids),
        }
    }

    /// Returns the number of tokens to generate.
    pub fn wanted(&self, limits: &Limits) -> Result<u32> {
        let Some(asked) = self.max_tokens else {
            return Ok(DEFAULT_TOKENS.min(limits.max_tokens));
        };
        if asked == 0 {
            return Err(ApiError::malformed("max_tokens must be at least 1"));
        }
        if asked > limits.max_tokens {
            return Err(ApiError::OverLimit {
                field: "max_tokens",
                read: u64::from(asked),
                limit: u64::from(limits.max_tokens),
            });
        }
        Ok(asked)
    }
}

/// Returns the deadline of a request in milliseconds.
///
/// # Errors
///
/// A deadline of zero has passed already; one above the entry's limit is refused.
pub fn deadline_ms(asked: Option<u64>, usual: u64, limits: &Limits) -> Result<u64> {
    let limit = limits.deadline_ms;
    match asked {
        None => Ok(usual.min(limit)),
        Some(0) => Err(ApiError::DeadlinePassed),
        Some(ms) if ms > limit => Err(ApiError::OverLimit {
            field: "deadline_ms",
            read: ms,
            limit,
        }),
        Some(ms) => Ok(ms),
    }
}

/// The token counts of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Both together.
    pub total_tokens: u32,
}

impl Usage {
    /// Counts both parts.
    pub fn new(prompt: u32, completion: u32) -> Self {
        Usage {
            prompt_tokens: prompt,
            completion_tokens: completion,
            total_tokens: prompt + completion,
        }
    }
}

/// Writes the answers of one draft.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The request.
    pub request: RequestId,
    /// The model as the caller named it.
    pub model: String,
    /// When the request came, in seconds since the Unix epoch.
    pub created: u64,
}

impl Shape {
    /// Writes a whole answer.
    pub fn whole(&self, text: &str, usage: Usage) -> Value {
        let mut value = self.frame(text, Some("length"));
        value["usage"] = json!(usage);
        value
    }

    /// Writes the chunk of one token.
    pub fn chunk(&self, text: &str) -> Value {
        self.frame(text, None)
    }

    fn frame(&self, text: &str, finish: Option<&str>) -> Value {
        json!({
            "id": format!("cmpl-{}", self.request),
            "object": "text_completion",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "text": text, "finish_reason": finish}],
        })
    }
}
