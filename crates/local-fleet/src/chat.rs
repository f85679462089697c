//! Chat prompts, and the check that an answer is complete and belongs to its prompt.

use serde::Deserialize;
use serde_json::json;
use xxhash_rust::xxh3;

use crate::CallAnswer;

/// A prompt for an engine stand-in, whose answer can be checked against it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatPrompt {
    /// Text of the prompt's only message.
    pub text: Box<str>,
    /// Number of tokens to generate.
    pub tokens: u32,
}

/// Usage of a complete answer that belongs to its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChatAnswer {
    /// Bytes of the prompt's prefix that the engine had cached.
    pub cached_bytes: u64,
}

/// Reason that an answer fails the check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChatError {
    /// A token contains the digest of another prompt.
    ForeignToken,
    /// Tokens are malformed, missing, duplicated or out of order.
    InvalidTokens,
    /// The answer ends too early, or does not end with exactly one usage event and `[DONE]`.
    Incomplete,
}

#[derive(Deserialize)]
struct TokenEvent {
    index: u32,
    token: Box<str>,
}

#[derive(Deserialize)]
struct UsageEvent {
    usage: UsageCounts,
}

#[derive(Deserialize)]
struct UsageCounts {
    cached_bytes: u64,
}

impl ChatPrompt {
    /// Body of the chat completion request.
    pub fn body(&self) -> Vec<u8> {
        let message = json!({ "role": "user", "content": self.text });
        let body = json!({ "model": "any", "messages": [message], "max_tokens": self.tokens });
        body.to_string().into_bytes()
    }

    /// Checks that an answer is complete and belongs to this prompt.
    ///
    /// # Errors
    ///
    /// Fails with the first problem found.
    pub fn check(&self, answer: &CallAnswer) -> Result<ChatAnswer, ChatError> {
        let text = String::from_utf8_lossy(&answer.body);
        let mut events = text.split("\n\n").filter_map(event_data);
        let digest = format!("{:016x}", xxh3::xxh3_64(self.text.as_bytes()));
        for index in 0..self.tokens {
            check_token(events.next(), index, &digest)?;
        }
        let usage = events.next().and_then(|event| serde_json::from_str::<UsageEvent>(event).ok());
        let (Some(usage), Some("[DONE]"), None) = (usage, events.next(), events.next()) else {
            return Err(ChatError::Incomplete);
        };
        Ok(ChatAnswer { cached_bytes: usage.usage.cached_bytes })
    }
}

fn event_data(event: &str) -> Option<&str> {
    event.lines().find_map(|line| line.strip_prefix("data: "))
}

fn check_token(event: Option<&str>, index: u32, digest: &str) -> Result<(), ChatError> {
    let event = event.ok_or(ChatError::Incomplete)?;
    let token: TokenEvent = serde_json::from_str(event).map_err(|_| ChatError::InvalidTokens)?;
    if !token.token.starts_with(digest) {
        return Err(ChatError::ForeignToken);
    }
    if token.index != index || *token.token != *format!("{digest}-{index}") {
        return Err(ChatError::InvalidTokens);
    }
    Ok(())
}
