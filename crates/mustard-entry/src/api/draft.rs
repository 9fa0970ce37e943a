//! The bodies of completion requests and of their responses.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use mustard_core::catalogue::Limits;
use mustard_core::ids::RequestId;
use mustard_core::tokens;

use super::errors::{ApiError, Result};

/// The number of tokens to generate if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 64;

/// The body of a completion request.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct DraftBody {
    /// The name of the catalogue entry or of its model.
    pub model: String,
    /// The prompt, not empty.
    pub prompt: Prompt,
    /// The number of tokens to generate; 64 if absent.
    pub max_tokens: Option<u32>,
    /// Whether tokens are sent as server-sent events as they are generated.
    #[serde(default)]
    pub stream: bool,
    /// The time for the whole answer, in milliseconds; the default of the entry process if absent.
    pub deadline_ms: Option<u64>,
}

/// A prompt as text or as token ids.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(untagged, expecting = "prompt must be a string or a list of token ids")]
pub enum Prompt {
    /// Text, to be encoded to token ids.
    Text(String),
    /// Token ids of the model's vocabulary.
    Ids(Vec<u32>),
}

impl DraftBody {
    /// Parses a body from JSON.
    pub fn parse(body: &[u8]) -> Result<Self> {
        serde_json::from_slice(body).map_err(|e| ApiError::malformed(e.to_string()))
    }

    /// Returns the prompt as token ids, of which there may be at most `limit`.
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
                value: ids.len() as u64,
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

    /// Returns the number of tokens to generate, which must be within the limit of the
    /// catalogue entry.
    pub fn tokens_to_generate(&self, limits: &Limits) -> Result<u32> {
        let Some(requested) = self.max_tokens else {
            return Ok(DEFAULT_MAX_TOKENS.min(limits.max_tokens));
        };
        if requested == 0 {
            return Err(ApiError::malformed("max_tokens must be at least 1"));
        }
        if requested > limits.max_tokens {
            return Err(ApiError::OverLimit {
                field: "max_tokens",
                value: u64::from(requested),
                limit: u64::from(limits.max_tokens),
            });
        }
        Ok(requested)
    }
}

/// Returns the time for a request in milliseconds, `default_ms` if the request gives none.
///
/// # Errors
///
/// Returns an error if the request gives zero or a value above the limit of the catalogue entry.
pub fn deadline_ms(requested: Option<u64>, default_ms: u64, limits: &Limits) -> Result<u64> {
    let limit = limits.deadline_ms;
    match requested {
        None => Ok(default_ms.min(limit)),
        Some(0) => Err(ApiError::DeadlinePassed),
        Some(ms) if ms > limit => Err(ApiError::OverLimit {
            field: "deadline_ms",
            value: ms,
            limit,
        }),
        Some(ms) => Ok(ms),
    }
}

/// The token counts of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// The number of generated tokens.
    pub completion_tokens: u32,
    /// The sum of both.
    pub total_tokens: u32,
}

impl Usage {
    /// Creates the counts with their sum.
    pub fn new(prompt: u32, completion: u32) -> Self {
        Usage {
            prompt_tokens: prompt,
            completion_tokens: completion,
            total_tokens: prompt + completion,
        }
    }
}

/// Formats the response bodies of one completion request.
#[derive(Clone, Debug)]
pub struct CompletionFormat {
    /// The id of the request.
    pub request: RequestId,
    /// The model name that the caller sent.
    pub model: String,
    /// The time of arrival, in seconds since the Unix epoch.
    pub created: u64,
}

impl CompletionFormat {
    /// Returns the whole answer, or the last chunk of a stream, with the token counts.
    pub fn full_answer(&self, text: &str, usage: Usage) -> Value {
        let mut value = self.completion_json(text, Some("length"));
        value["usage"] = json!(usage);
        value
    }

    /// Returns the stream chunk of one token.
    pub fn chunk(&self, text: &str) -> Value {
        self.completion_json(text, None)
    }

    fn completion_json(&self, text: &str, finish: Option<&str>) -> Value {
        json!({
            "id": format!("cmpl-{}", self.request),
            "object": "text_completion",
            "created": self.created,
            "model": self.model,
            "choices": [{"index": 0, "text": text, "finish_reason": finish}],
        })
    }
}
