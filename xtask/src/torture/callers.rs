//! Callers that send operations, resend them through other routers, and check chats.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use history_check::{CallEnd, CallRecord};
use http::Method;
use local_fleet::{ChatPrompt, HttpCaller, LocalFleet};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const PAYERS: usize = 12;
const CHATTERS: usize = 4;
const SENDS_MAX: usize = 3;
const DEADLINE_MS: &str = "8000";

/// How chats ended.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ChatCounts {
    pub(crate) whole: usize,
    pub(crate) broken: usize,
    /// Answers that ended as whole and were not, or belonged to another prompt.
    pub(crate) foreign: usize,
}

/// All callers and what they were told.
pub(crate) struct CallerBook {
    caller: HttpCaller,
    routers: Vec<SocketAddr>,
    start: Instant,
    stopped: Cell<bool>,
    records: RefCell<Vec<CallRecord>>,
    chats: Cell<ChatCounts>,
}

impl CallerBook {
    pub(crate) fn start(fleet: &LocalFleet, seed: u64) -> Rc<Self> {
        let book = Rc::new(Self {
            caller: fleet.caller().clone(),
            routers: fleet.routers.iter().map(|router| router.caller).collect(),
            start: Instant::now(),
            stopped: Cell::new(false),
            records: RefCell::default(),
            chats: Cell::default(),
        });
        for payer in 0..PAYERS {
            let rng = SmallRng::seed_from_u64(seed.wrapping_add(1 + payer as u64));
            tokio::task::spawn_local(book.clone().pay(payer, rng));
        }
        for chatter in 0..CHATTERS {
            let rng = SmallRng::seed_from_u64(seed.wrapping_add(1000 + chatter as u64));
            tokio::task::spawn_local(book.clone().chat(chatter, rng));
        }
        book
    }

    pub(crate) fn stop(&self) {
        self.stopped.set(true);
    }

    pub(crate) fn take_records(&self) -> Vec<CallRecord> {
        self.records.take()
    }

    pub(crate) fn chats(&self) -> ChatCounts {
        self.chats.get()
    }

    async fn pay(self: Rc<Self>, payer: usize, mut rng: SmallRng) {
        for turn in 0.. {
            if self.stopped.get() {
                return;
            }
            let operation = format!("payment-{payer}-{turn}");
            let mut sends = tokio::task::JoinSet::new();
            for send in 0..rng.random_range(1..=SENDS_MAX) {
                let router = self.routers[rng.random_range(0..self.routers.len())];
                let content = if rng.random_bool(0.02) { "other" } else { "amount" };
                let content = format!("{content} of {operation}");
                let leaves = rng.random_bool(0.1).then(|| rng.random_range(1..100));
                let at_once = send > 0 && rng.random_bool(0.3);
                if !at_once {
                    while sends.join_next().await.is_some() {}
                }
                let sent = self.clone().send(operation.clone(), content, router, leaves);
                sends.spawn_local(sent);
            }
            while sends.join_next().await.is_some() {}
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
        }
    }

    async fn send(
        self: Rc<Self>,
        operation: String,
        content: String,
        router: SocketAddr,
        leaves: Option<u64>,
    ) {
        let begun = self.micros();
        let headers = [("idempotency-key", &*operation), ("x-deadline-ms", DEADLINE_MS)];
        let call = self.caller.call(Method::POST, router, "/pay", &headers, content.clone());
        let wait = leaves.map_or(Duration::MAX, Duration::from_millis);
        let answer = tokio::time::timeout(wait, call).await.ok().and_then(Result::ok);
        let (request, end) = match &answer {
            Some(answer) => {
                let body = String::from_utf8_lossy(&answer.body);
                let request = answer.header("x-request-id").into();
                (Some(request), CallEnd::new(answer.code(), &body))
            }
            None => (None, CallEnd::Silent),
        };
        let ended = self.micros();
        let (operation, content) = (operation.into(), content.into());
        let record = CallRecord { operation, request, content, begun, ended, end };
        self.records.borrow_mut().push(record);
    }

    async fn chat(self: Rc<Self>, chatter: usize, mut rng: SmallRng) {
        for turn in 0.. {
            if self.stopped.get() {
                return;
            }
            let text = format!("Chat {chatter} of turn {turn}. ").repeat(rng.random_range(1..50));
            let prompt = ChatPrompt { text: text.into(), tokens: rng.random_range(1..40) };
            let router = self.routers[rng.random_range(0..self.routers.len())];
            let headers = [("x-deadline-ms", DEADLINE_MS)];
            let path = "/v1/chat/completions";
            let answer =
                self.caller.call(Method::POST, router, path, &headers, prompt.body()).await;
            let mut counts = self.chats.get();
            match answer {
                Ok(answer) if answer.code() / 1000 == 2 => match prompt.check(&answer) {
                    Ok(_) => counts.whole += 1,
                    Err(_) => counts.foreign += 1,
                },
                _ => counts.broken += 1,
            }
            self.chats.set(counts);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn micros(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}
