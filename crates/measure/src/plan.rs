//! Parameters of scenarios: workload, fleet, policy and faults.

use std::time::Duration;

use base_types::{key_types, message_types};

key_types! {
    /// Parameters of the generated chats of a scenario.
    pub struct WorkloadShape {
        /// Number of client accounts.
        pub accounts: u32,
        /// Number of prefix groups. Groups with low numbers are the most popular.
        pub groups: u32,
        /// Length in tokens of the prefix that all chats of a group share.
        pub group_tokens: u32,
        /// Length of each question in tokens.
        pub question_tokens: u32,
        /// Mean length of an answer in tokens.
        pub answer_tokens: u32,
        /// Mean number of turns in a chat.
        pub turns: u32,
        /// Mean pause between an answer and the next question.
        pub pause: Duration,
    }

    /// A fault or other change that is applied to the fleet.
    pub enum FleetChange {
        /// Starts the count of chats that move, as a drain does, and changes nothing else.
        StartMoveCount,
        /// The target starts to drain: it accepts requests for two more seconds and then finishes
        /// those that it has.
        Drain(u32),
        /// A new target with an empty cache joins; the number is ignored.
        Join(u32),
        /// The target aborts its requests and refuses connections, but keeps its cache.
        Down(u32),
        /// The target accepts connections again.
        Up(u32),
        /// The accounts with the lowest numbers multiply their number of chats.
        StartSurge {
            /// Number of accounts that surge.
            accounts: u32,
            /// Multiple of the usual number of chats of these accounts.
            factor: u32,
        },
        /// The chats started by the surge end.
        EndSurge,
        /// A caller sends a request whose content has this number and crashes each target that runs
        /// it.
        /// After each refusal the caller sends the request again through a random router.
        CrashingContent(u64),
        /// Each attempt on this many targets, those with the lowest numbers, fails after it was
        /// sent.
        StartFailures(u32),
        /// Attempts on these targets succeed again.
        EndFailures,
    }

    /// A fault and the time at which it is applied.
    pub struct ScheduledFault {
        /// Time since the start of the run.
        pub at: Duration,
        /// The fault to apply.
        pub kind: FleetChange,
    }
}

message_types! {
    /// Pool settings for the production routing module.
    #[derive(Copy)]
    pub struct ModuleSettings {
        /// Limit of a target's load, as a multiple of the mean load.
        pub max_load_ratio: f64,
        /// Trade-off between even load (0) and cache reuse (1).
        pub reuse_bias: f64,
    }

    /// The policy by which routers choose targets.
    #[derive(Copy)]
    pub enum PolicyKind {
        /// A random target.
        Random,
        /// The next target in a fixed rotation.
        RoundRobin,
        /// The target with the least load in the router's view.
        LeastLoaded,
        /// The less loaded of two random targets.
        PowerOfTwo,
        /// The target preferred by rendezvous hashing of the chat.
        Rendezvous,
        /// The production routing module with these settings.
        Module(ModuleSettings),
    }

    /// The parameters of one scenario.
    pub struct ScenarioPlan {
        /// Name in the printed table and in the CSV file.
        pub name: Box<str>,
        /// Seed of all random number generators of the run.
        pub seed: u64,
        /// Number of routers.
        pub routers: u32,
        /// Number of targets at the start.
        pub targets: u32,
        /// Number of requests that a target runs concurrently.
        pub slots: u32,
        /// Intended mean number of requests in flight per target, which determines the number of
        /// chats.
        pub in_flight: u32,
        /// Interval at which each router publishes its load. Its peers' view of its load is up
        /// to this old, plus `notice_delay`.
        pub load_share_interval: Duration,
        /// Additional delay of each published notice.
        pub notice_delay: Duration,
        /// Probability that a turn is sent to the router of the chat's previous turn, rather than
        /// to a random one.
        pub same_router_probability: f64,
        /// Fraction of chats whose callers send back their placement token.
        pub token_return_ratio: f64,
        /// Cache size of a target, as a multiple of its share of all chat histories plus all group
        /// prefixes.
        pub cache_ratio: f64,
        /// Parameters of the generated chats.
        pub workload: WorkloadShape,
        /// Faults of the run.
        pub faults: Vec<ScheduledFault>,
        /// Time at the start of the run that is left out of the figures.
        pub warm_up: Duration,
        /// Time after the warm-up over which the figures are taken.
        pub measured_duration: Duration,
    }
}

impl PolicyKind {
    /// The policies that the production routing module is compared with.
    pub const BASELINES: [Self; 5] =
        [Self::Random, Self::RoundRobin, Self::LeastLoaded, Self::PowerOfTwo, Self::Rendezvous];

    /// Name in the printed table and in the CSV file.
    pub fn name(&self) -> Box<str> {
        match self {
            Self::Random => "random".into(),
            Self::RoundRobin => "round robin".into(),
            Self::LeastLoaded => "least loaded".into(),
            Self::PowerOfTwo => "power of two choices".into(),
            Self::Rendezvous => "plain rendezvous".into(),
            Self::Module(settings) => {
                format!("module {:.2}/{:.2}", settings.reuse_bias, settings.max_load_ratio).into()
            }
        }
    }
}

impl WorkloadShape {
    /// Chats of the Agency deployment: many groups with prefixes of medium length.
    pub const AGENCY: Self = Self {
        accounts: 10,
        groups: 60,
        group_tokens: 1500,
        question_tokens: 80,
        answer_tokens: 160,
        turns: 12,
        pause: Duration::from_secs(20),
    };

    /// Chats of the Kameeldoring deployment: few groups with long prefixes (catalogues).
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
    /// A scenario without faults, of the size of the Agency deployment.
    pub fn agency(seed: u64) -> Self {
        Self {
            name: "steady".into(),
            seed,
            routers: 7,
            targets: 12,
            slots: 64,
            in_flight: 16,
            load_share_interval: Duration::from_millis(500),
            notice_delay: Duration::ZERO,
            same_router_probability: 0.7,
            token_return_ratio: 0.0,
            cache_ratio: 1.5,
            workload: WorkloadShape::AGENCY,
            faults: Vec::new(),
            warm_up: Duration::from_secs(60),
            measured_duration: Duration::from_secs(120),
        }
    }

    /// A scenario without faults, of the size of the Kameeldoring deployment.
    pub fn kameeldoring(seed: u64) -> Self {
        Self { targets: 9, workload: WorkloadShape::KAMEELDORING, ..Self::agency(seed) }
    }

    /// Returns the same scenario with another name.
    pub fn named(self, name: &str) -> Self {
        Self { name: name.into(), ..self }
    }
}
