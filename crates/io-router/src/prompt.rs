//! Reading the prompt of a chat call, as far as routing needs it.

use bytes::Bytes;
use serde::Deserialize;

const ANSWER_ROLE: &str = "assistant";
const BYTES_PER_TOKEN: usize = 4;
const HEAD_BYTES_MAX: usize = 64 * 1024;

/// Prompt of a chat call, as far as routing needs it.
#[derive(Debug, Default)]
pub(crate) struct ChatPrompt {
    /// Leading part of the text, as a request is kept for as long as its answer runs.
    pub(crate) head: Bytes,
    pub(crate) tokens: u32,
    /// Whether the prompt holds no answer of an earlier turn.
    pub(crate) begins: bool,
}

#[derive(Deserialize)]
struct ChatBody {
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: u32,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: Box<str>,
    #[serde(default)]
    role: Box<str>,
}

impl ChatPrompt {
    /// Reads the prompt of a chat body; other bodies have none and count by their length.
    pub(crate) fn parse(body: &[u8]) -> Self {
        let Ok(chat) = serde_json::from_slice::<ChatBody>(body) else {
            return Self {
                head: Bytes::new(),
                tokens: (body.len() / BYTES_PER_TOKEN) as u32,
                begins: false,
            };
        };
        let bytes: usize = chat.messages.iter().map(|message| message.content.len()).sum();
        let tokens = (bytes / BYTES_PER_TOKEN) as u32;
        let begins = chat.messages.iter().all(|message| &*message.role != ANSWER_ROLE);
        Self { head: chat.head(), begins, tokens: tokens.saturating_add(chat.max_tokens) }
    }
}

impl ChatBody {
    fn head(&self) -> Bytes {
        let mut head = Vec::new();
        for message in &self.messages {
            let room = HEAD_BYTES_MAX - head.len();
            let content = message.content.as_bytes();
            head.extend_from_slice(&content[..content.len().min(room)]);
        }
        head.into()
    }
}
