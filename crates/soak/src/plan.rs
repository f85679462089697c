//! Parameters of a soak, its bounds and routes, and the replies of its runners.

use std::{path::PathBuf, time::Duration};

use fakes::{HttpMessage, Reply};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

/// Bound on the time until a configuration is in force, as required at the users' sites.
pub(crate) const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Bound on the time until a draining runner gets no more calls.
pub(crate) const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Value of `stop_ms`: time after SIGTERM within which a gateway must exit. The soak allows
/// `STOP_SLACK` more before it reports STOP and replaces the process.
pub(crate) const STOP_BOUND: Duration = Duration::from_secs(4);
/// Time without faults after which the bounds apply to a gateway again.
pub(crate) const FAULT_FREE_TIME: Duration = Duration::from_secs(3);
/// Time within which each gateway must serve again, from the start of its own check after the last
/// round.
pub(crate) const RECOVER_BOUND: Duration = Duration::from_secs(12);
pub(crate) const RETRY_RATIO: f64 = 0.2;
pub(crate) const RETRY_SLACK: usize = 20;
pub(crate) const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Software versions that runners run in turn, if they run several.
pub(crate) const SOFTWARE_VERSIONS: [&str; 2] = ["v1", "v2"];
/// Number of events in a complete stream.
pub(crate) const EVENTS: u64 = 10;
/// Attempts that a route allows per call.
pub(crate) const ATTEMPTS: usize = 2;
pub(crate) const HOST: &str = "soak.example";
pub(crate) const KEY: &str = "key-of-the-soak";
pub(crate) const ACCOUNT: &str = "account-of-the-soak";

/// Parameters of one soak.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Seed of the random choices of callers, runners and faults.
    pub seed: u64,
    /// Number of gateway processes.
    pub gateways: usize,
    /// Number of runners at the start.
    pub runners: usize,
    /// Number of callers; each has one call in flight at a time.
    pub callers: usize,
    /// Number of series of faults, each followed by a time without faults.
    pub rounds: u32,
    /// Whether a runner announces in its answers in each round that it leaves.
    pub announcements: bool,
    /// Whether runners run two software versions in turn, and callers break streams off and take them
    /// up.
    pub software_versions: bool,
    /// Whether the store is restored from a copy in each round.
    pub restores: bool,
    /// Whether another writer puts odd entries among those of the runners, and all gateways are killed, in each
    /// round.
    pub foreign_entries: bool,
    /// Path of the `knapweedport` binary.
    pub program: PathBuf,
    /// Folder for the settings and logs of the gateways.
    pub folder: PathBuf,
}

/// Draws a pseudo-random reply to a call; the possible replies depend on the call's route.
pub(crate) fn reply_rule(call: &HttpMessage, random_seed: u64) -> Reply {
    let mut rng = SmallRng::seed_from_u64(random_seed);
    CallKind::of_path(call.target()).map_or(Reply::Whole, |kind| kind.reply(&mut rng))
}

/// The routes of the soak: non-idempotent, idempotent, streaming, and streaming with resumption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    Once,
    Safe,
    Stream,
    Resume,
}

impl CallKind {
    pub(crate) const ALL: [Self; 4] = [Self::Once, Self::Safe, Self::Stream, Self::Resume];

    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/",
            Self::Safe => "/safe/",
            Self::Stream => "/stream/",
            Self::Resume => "/resume/",
        }
    }

    pub(crate) fn of_path(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| path.starts_with(kind.path()))
    }

    pub(crate) fn is_streaming(self) -> bool {
        matches!(self, Self::Stream | Self::Resume)
    }

    pub(crate) fn is_retryable(self) -> bool {
        matches!(self, Self::Safe | Self::Resume)
    }

    /// Draws a runner's reply to a call; most replies are complete.
    pub(crate) fn reply(self, rng: &mut SmallRng) -> Reply {
        let complete = if self.is_streaming() { Reply::Events(EVENTS) } else { Reply::Whole };
        match rng.random_range(0..100) {
            0 => Reply::Failure,
            1 => Reply::Declined,
            2 => Reply::Cut,
            3 => Reply::Misdirected,
            4 if self.is_streaming() => Reply::EventsCut(rng.random_range(0..EVENTS)),
            4 => Reply::CutShort,
            5 if self.is_streaming() => Reply::EventsSilent(rng.random_range(1..EVENTS)),
            5 => Reply::Foreign,
            6 if !self.is_streaming() => Reply::Extra,
            7 if self == Self::Safe => Reply::Silent,
            8 if !self.is_streaming() => Reply::Unframed,
            _ => complete,
        }
    }

    fn route(self) -> Value {
        let kind = match self {
            Self::Once => "non_idempotent",
            Self::Safe => "idempotent",
            Self::Stream | Self::Resume => "streaming",
        };
        let resumable = self == Self::Resume;
        route(self.path(), kind, resumable)
    }
}

/// Path of the route that only this configuration version has.
pub(crate) fn version_path(version: u64) -> String {
    format!("/v{version}/")
}

/// Configuration at a version: the four call routes, and the route of the version.
pub(crate) fn configuration(version: u64) -> Value {
    let mut routes: Vec<Value> = CallKind::ALL.into_iter().map(CallKind::route).collect();
    routes.push(route(&version_path(version), "idempotent", false));
    let limits = json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    });
    json!({
        "version": version, "routes": routes, "services": [{"name": "pool"}], "limits": limits,
        "tenants": [{"name": ACCOUNT, "apiKeys": [KEY]}],
    })
}

fn route(path: &str, kind: &str, resumable: bool) -> Value {
    json!({
        "name": path.trim_matches('/'), "host": HOST, "pathPrefix": path, "kind": kind,
        "timeoutMs": 4_000, "sloMs": 200, "service": "pool", "attempts": ATTEMPTS,
        "resumable": resumable,
    })
}
