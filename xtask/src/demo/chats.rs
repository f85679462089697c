//! Multi-turn chats: several run concurrently, and each turn extends the prompt.

use std::time::Duration;

use local_fleet::ChatPrompt;
use tokio::task::JoinSet;

use crate::demo::entry::{CallerRequest, FleetCaller};

const CHATS: usize = 40;
const TURNS: usize = 8;
const ANSWER_TOKENS: u32 = 80;
const TURN_INTERVAL: Duration = Duration::from_millis(100);
const CATALOGUE: &str = "Catalogue of mouldings, mounts and glass, page by page. ";

/// Results of the chats.
#[derive(Debug, Default)]
pub(crate) struct ChatTally {
    pub(crate) turns: usize,
    pub(crate) complete: usize,
    pub(crate) retries: usize,
    pub(crate) prompt_bytes: u64,
    pub(crate) cached_bytes: u64,
}

/// Runs all chats concurrently.
pub(crate) async fn run_chats(caller: FleetCaller) -> ChatTally {
    let mut chats = JoinSet::new();
    for chat in 0..CHATS {
        chats.spawn(run_chat(caller.clone(), chat));
    }
    let mut total = ChatTally::default();
    while let Some(tally) = chats.join_next().await {
        total.add(&tally.unwrap_or_default());
    }
    total.turns = CHATS * TURNS;
    total
}

impl ChatTally {
    fn add(&mut self, other: &Self) {
        self.complete += other.complete;
        self.retries += other.retries;
        self.prompt_bytes += other.prompt_bytes;
        self.cached_bytes += other.cached_bytes;
    }
}

async fn run_chat(caller: FleetCaller, chat: usize) -> ChatTally {
    let name = format!("chat-{chat}");
    let account = format!("counter-{}", chat % 10);
    let headers = [("x-chat-id", &*name), ("x-client-account", &*account)];
    let mut addresses = caller.address_list(&format!("chat={name}&account={account}"), chat);
    let mut tally = ChatTally::default();
    let mut text = format!("Chat {chat}. {}", CATALOGUE.repeat(20));
    for turn in 0..TURNS {
        text.push_str(&format!("Turn {turn}: {}", CATALOGUE.repeat(10)));
        let prompt = ChatPrompt { text: text.as_str().into(), tokens: ANSWER_TOKENS };
        let body = prompt.body().into();
        let request = CallerRequest { path: "/v1/chat/completions", headers: &headers, body };
        let outcome = addresses.call(&request, |answer| prompt.check(answer).is_ok()).await;
        tally.retries += outcome.retries;
        if let Some(Ok(answer)) = outcome.answer.map(|answer| prompt.check(&answer)) {
            tally.complete += 1;
            tally.prompt_bytes += prompt.text.len() as u64;
            tally.cached_bytes += answer.cached_bytes;
        }
        tokio::time::sleep(TURN_INTERVAL).await;
    }
    tally
}
