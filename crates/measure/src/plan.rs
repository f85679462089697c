//! What a run is asked to measure.

use std::time::Duration;

use base_types::{key_types, message_types};

key_types! {
    /// Shape of the chats of a run.
    pub struct TraceShape {
        /// Client accounts.
        pub accounts: u32,
        /// Prefix groups; low ones are asked for most.
        pub groups: u32,
        /// Tokens of the prefix that all chats of a group share.
        pub group_tokens: u32,
        /// Tokens of one question.
        pub question_tokens: u32,
        /// Mean tokens of one answer.
        pub answer_tokens: u32,
        /// Mean turns of a chat.
        pub turns: u32,
        /// Mean pause between an answer and the next question.
        pub pause: Duration,
    }

    /// Something that happens to the fleet.
    pub enum FaultKind {
        /// Nothing; moves are counted from here as they are from a target's leaving.
        Mark,
        /// The target says that it leaves, takes requests for two seconds more and ends its work.
        Leave(u32),
        /// A target with an empty cache joins.
        Join(u32),
        /// The target refuses connections and loses its requests, but keeps its cache.
        Down(u32),
        /// The target is back.
        Up(u32),
        /// The first accounts send this many times as many chats.
        SurgeBegin {
            /// Accounts that surge.
            accounts: u32,
            /// Multiple of their usual number of chats.
            factor: u32,
        },
        /// Chats of the surge end.
        SurgeEnd,
        /// A caller sends a request that crashes each target that runs it, and sends it again
        /// through any router whenever it is given up. The content is that of this number.
        Crasher(u64),
        /// Each attempt on the first targets fails after it was sent.
        FailBegin(u32),
        /// Attempts no longer fail.
        FailEnd,
    }

    /// A fault and when it comes.
    pub struct FaultPlan {
        /// Time since the start of the run.
        pub at: Duration,
        /// What happens.
        pub kind: FaultKind,
    }
}

message_types! {
    /// Settings of a pool that the routing module is run with.
    #[derive(Copy)]
    pub struct ModuleSetting {
        /// Multiple of the mean load that no target may exceed.
        pub max_load_ratio: f64,
        /// Place between even load (0) and kept caches (1).
        pub reuse_bias: f64,
    }

    /// How routers choose targets.
    #[derive(Copy)]
    pub enum PolicyKind {
        /// Any target.
        Random,
        /// Each target in turn.
        RoundRobin,
        /// The target with the least load in the router's view.
        LeastLoaded,
        /// The less loaded of two random targets.
        PowerOfTwo,
        /// The target preferred by rendezvous hashing of the chat.
        Rendezvous,
        /// The product's own decisions.
        Module(ModuleSetting),
    }

    /// One scenario.
    pub struct ScenarioPlan {
        /// Name in tables.
        pub name: Box<str>,
        /// Seed of everything random.
        pub seed: u64,
        /// Routers.
        pub routers: u32,
        /// Targets at the start.
        pub targets: u32,
        /// Requests that one target runs at once.
        pub slots: u32,
        /// Mean requests in flight on a target that the chats are numbered for.
        pub in_flight: u32,
        /// Time between two shares of a router; the others' views are up to this old.
        pub view_age: Duration,
        /// Further delay of each share.
        pub view_lag: Duration,
        /// Share of turns that enter at the router where the chat entered before.
        pub sticky: f64,
        /// Share of chats whose callers send the placement token back.
        pub token_share: f64,
        /// Memory of the caches as a multiple of all chats' history.
        pub cache_ratio: f64,
        /// Shape of the chats.
        pub trace: TraceShape,
        /// What happens, by time.
        pub faults: Vec<FaultPlan>,
        /// Time before anything is counted.
        pub warm_up: Duration,
        /// Time over which is counted.
        pub counted: Duration,
    }
}

impl PolicyKind {
    /// The baselines.
    pub const BASELINES: [Self; 5] =
        [Self::Random, Self::RoundRobin, Self::LeastLoaded, Self::PowerOfTwo, Self::Rendezvous];

    /// Name in tables.
    pub fn name(&self) -> Box<str> {
        match self {
            Self::Random => "random".into(),
            Self::RoundRobin => "round robin".into(),
            Self::LeastLoaded => "least loaded".into(),
            Self::PowerOfTwo => "power of two choices".into(),
            Self::Rendezvous => "plain rendezvous".into(),
            Self::Module(setting) => {
                format!("module {:.2}/{:.2}", setting.reuse_bias, setting.max_load_ratio).into()
            }
        }
    }
}

impl TraceShape {
    /// Chats of the Agency's counters: many groups with prefixes of middling length.
    pub const AGENCY: Self = Self {
        accounts: 10,
        groups: 60,
        group_tokens: 1500,
        question_tokens: 80,
        answer_tokens: 160,
        turns: 12,
        pause: Duration::from_secs(20),
    };

    /// Chats of Kameeldoring's counters: few groups with long catalogues.
    pub const KAMEELDORING: Self = Self {
        accounts: 10,
        groups: 24,
        group_tokens: 5000,
        question_tokens: 60,
        answer_tokens: 120,
        turns: 16,
        pause: Duration::from_secs(20),
    };
}

impl ScenarioPlan {
    /// A steady scenario of the Agency's size.
    pub fn agency(seed: u64) -> Self {
        Self {
            name: "steady".into(),
            seed,
            routers: 7,
            targets: 12,
            slots: 64,
            in_flight: 16,
            view_age: Duration::from_millis(500),
            view_lag: Duration::ZERO,
            sticky: 0.7,
            token_share: 0.0,
            cache_ratio: 1.5,
            trace: TraceShape::AGENCY,
            faults: Vec::new(),
            warm_up: Duration::from_secs(60),
            counted: Duration::from_secs(120),
        }
    }

    /// A steady scenario of Kameeldoring's size.
    pub fn kameeldoring(seed: u64) -> Self {
        Self { targets: 9, trace: TraceShape::KAMEELDORING, ..Self::agency(seed) }
    }

    /// The same scenario under another name.
    pub fn named(self, name: &str) -> Self {
        Self { name: name.into(), ..self }
    }
}
