//! What a soak is asked to do, and what its runners answer.

use std::{path::PathBuf, time::Duration};

use fakes::{HttpMessage, Reply};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

/// Bound on the time until a configuration is in force, as the users' sites have it.
pub(crate) const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Bound on the time until a leaving runner gets nothing.
pub(crate) const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Time from the order to stop to the kill.
pub(crate) const STOP_BOUND: Duration = Duration::from_secs(4);
/// Time for which a machine must be without faults before bounds hold for it.
pub(crate) const CALM_BEFORE: Duration = Duration::from_secs(3);
/// Time after the last fault in which service must be back.
pub(crate) const RECOVER_BOUND: Duration = Duration::from_secs(12);
pub(crate) const RETRY_RATIO: f64 = 0.2;
pub(crate) const RETRY_SLACK: usize = 20;
pub(crate) const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Events of a whole stream.
pub(crate) const EVENTS: u64 = 10;
/// Runners that one call may be sent to.
pub(crate) const ATTEMPTS: usize = 2;
pub(crate) const HOST: &str = "soak.example";
pub(crate) const KEY: &str = "key-of-the-soak";
pub(crate) const ACCOUNT: &str = "account-of-the-soak";

/// One soak.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Seed of callers, runners and faults.
    pub seed: u64,
    /// Gateway processes.
    pub gateways: usize,
    /// Runners.
    pub runners: usize,
    /// Callers that send one call after the other.
    pub callers: usize,
    /// Series of faults, each followed by some calm.
    pub rounds: u32,
    /// The program.
    pub program: PathBuf,
    /// Folder of settings and logs.
    pub folder: PathBuf,
}

/// The rule by which runners answer.
pub(crate) fn reply_rule(call: &HttpMessage, drawn: u64) -> Reply {
    let mut rng = SmallRng::seed_from_u64(drawn);
    CallKind::of_path(call.target()).map_or(Reply::Whole, |kind| kind.reply(&mut rng))
}

/// Routes of the soak and their kinds on the wire.
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

    pub(crate) fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::Resume)
    }

    pub(crate) fn repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Resume)
    }

    /// What a runner does with a call; most calls are answered whole.
    pub(crate) fn reply(self, rng: &mut SmallRng) -> Reply {
        let whole = if self.streams() { Reply::Events(EVENTS) } else { Reply::Whole };
        match rng.random_range(0..100) {
            0 => Reply::Failure,
            1 => Reply::Declined,
            2 => Reply::Cut,
            3 => Reply::Misdirected,
            4 if self.streams() => Reply::EventsCut(rng.random_range(0..EVENTS)),
            4 => Reply::CutShort,
            5 if self.streams() => Reply::EventsSilent(rng.random_range(1..EVENTS)),
            5 => Reply::Foreign,
            6 if !self.streams() => Reply::Extra,
            7 if self == Self::Safe => Reply::Silent,
            8 if !self.streams() => Reply::Unframed,
            _ => whole,
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

/// Path of the route that a version adds.
pub(crate) fn version_path(version: u64) -> String {
    format!("/v{version}/")
}

/// The configuration at a version: the four routes, and one that names the version.
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
