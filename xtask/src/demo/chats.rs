//! Chats that return: several at once, each turn with a longer prompt.

use std::time::Duration;

use local_fleet::ChatPrompt;
use tokio::task::JoinSet;

use crate::demo::entry::{CallerRequest, FleetCaller};

const CHATS: usize = 40;
const TURNS: usize = 8;
const TOKENS: u32 = 80;
const TURN_PAUSE: Duration = Duration::from_millis(100);
const CATALOGUE: &str = "Catalogue of mouldings, mounts and glass, page by page. ";

/// What became of the chats.
#[derive(Debug, Default)]
pub(crate) struct ChatTally {
    pub(crate) answers: usize,
    pub(crate) whole: usize,
    pub(crate) repeats: usize,
    pub(crate) prompt_bytes: u64,
    pub(crate) cached_bytes: u64,
}

/// Runs all chats side by side.
pub(crate) async fn run_chats(caller: FleetCaller) -> ChatTally {
    let mut chats = JoinSet::new();
    for chat in 0..CHATS {
        chats.spawn(run_chat(caller.clone(), chat));
    }
    let mut total = ChatTally::default();
    while let Some(tally) = chats.join_next().await {
        total.add(&tally.unwrap_or_default());
    }
    total.answers = CHATS * TURNS;
    total
}

impl ChatTally {
    fn add(&mut self, other: &Self) {
        self.whole += other.whole;
        self.repeats += other.repeats;
        self.prompt_bytes += other.prompt_bytes;
        self.cached_bytes += other.cached_bytes;
    }
}

async fn run_chat(caller: FleetCaller, chat: usize) -> ChatTally {
    let name = format!("chat-{chat}");
    let account = format!("counter-{}", chat % 10);
    let headers = [("x-chat-id", &*name), ("x-client-account", &*account)];
    let mut entries = caller.entry_list(&format!("chat={name}&account={account}"), chat);
    let mut tally = ChatTally::default();
    let mut text = format!("Chat {chat}. {}", CATALOGUE.repeat(20));
    for turn in 0..TURNS {
        text.push_str(&format!("Turn {turn}: {}", CATALOGUE.repeat(10)));
        let prompt = ChatPrompt { text: text.as_str().into(), tokens: TOKENS };
        let body = prompt.body().into();
        let request = CallerRequest { path: "/v1/chat/completions", headers: &headers, body };
        let outcome = entries.call(&request, |answer| prompt.check(answer).is_ok()).await;
        tally.repeats += outcome.repeats;
        if let Some(Ok(answer)) = outcome.answer.map(|answer| prompt.check(&answer)) {
            tally.whole += 1;
            tally.prompt_bytes += prompt.text.len() as u64;
            tally.cached_bytes += answer.cached_bytes;
        }
        tokio::time::sleep(TURN_PAUSE).await;
    }
    tally
}
