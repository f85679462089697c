//! Creates the routers of a run and the events that they receive.

use std::collections::BTreeSet;

use base_types::{
    AccountName, ChatName, ContentDigest, HostName, IncomingRequest, PlacementToken, PoolName,
    RequestKey, RouteName, RowVersion, TeamName, TimePoint,
};
use bytes::Bytes;
use core_router::{Effect, Event, RouterCore, ShareOptions};
use state_tables::{PoolRow, RouteRow, RowChange, RowContent, RowKey, ServiceKind};

use crate::{ModuleSettings, PolicyKind, ScenarioPlan, baseline::BaselineRouter, trace::ChatState};

const PATH: &str = "/v1/chat/completions";
const GROUP: &str = "runners";

/// A router under test: the production core or a baseline.
pub(crate) trait FleetRouter {
    /// Handles an event and returns the resulting effects.
    fn on_event(&mut self, now: TimePoint, event: Event) -> Vec<Effect>;

    /// Returns the time at which the next timer event is due.
    fn next_deadline(&self) -> TimePoint;
}

impl FleetRouter for RouterCore {
    fn on_event(&mut self, now: TimePoint, event: Event) -> Vec<Effect> {
        Self::on_event(self, now, event)
    }

    fn next_deadline(&self) -> TimePoint {
        Self::next_deadline(self)
    }
}

/// Creates the router with the given index, which runs the given policy.
pub(crate) fn create_router(
    plan: &ScenarioPlan,
    policy: PolicyKind,
    index: u32,
) -> Box<dyn FleetRouter> {
    let name = HostName::new(&format!("entry-{index}"));
    let seed = plan.seed.wrapping_add(u64::from(index) << 32);
    let share_options = ShareOptions { min_interval: plan.load_share_interval };
    let PolicyKind::Module(settings) = policy else {
        return Box::new(BaselineRouter::new(name, seed, policy, share_options));
    };
    let mut core = RouterCore::new(name, seed).with_share_options(share_options);
    for change in table_rows(plan, settings) {
        core.on_event(TimePoint(0), Event::RowReceived(change));
    }
    core.on_event(TimePoint(0), Event::TablesComplete);
    Box::new(core)
}

/// Returns the name of the group that contains all targets.
pub(crate) fn target_group() -> Box<str> {
    GROUP.into()
}

/// Creates the request that a router receives for a turn of a chat.
pub(crate) fn incoming_request(
    request: RequestKey,
    chat: &ChatState,
    estimated_tokens: u32,
    placement: Option<PlacementToken>,
    deadline: TimePoint,
) -> IncomingRequest {
    IncomingRequest {
        request,
        path: PATH.into(),
        account: AccountName::new(&format!("account-{}", chat.account)),
        chat: Some(ChatName::new(&format!("chat-{}", chat.chat))),
        placement,
        is_first_turn: chat.history == 0,
        operation: None,
        content_digest: content_digest(chat),
        prompt_prefix: Bytes::from(format!("group-{}", chat.group)),
        estimated_tokens,
        deadline,
    }
}

/// Returns the digest of a turn's content, which is the same when the turn is sent again.
fn content_digest(chat: &ChatState) -> ContentDigest {
    ContentDigest::of(format!("{} {}", chat.chat, chat.history).as_bytes())
}

fn table_rows(plan: &ScenarioPlan, settings: ModuleSettings) -> [RowChange; 2] {
    let team = TeamName::new("measure");
    let pool = PoolRow {
        drained: BTreeSet::new(),
        name: PoolName::new(GROUP),
        team: team.clone(),
        group: GROUP.into(),
        kind: ServiceKind::Engine,
        repeatable: true,
        max_load_ratio: settings.max_load_ratio,
        reuse_bias: settings.reuse_bias,
        account_token_rate: 0,
        target_slots: plan.slots,
        prefix_bytes: 1024,
        serving: None,
        may_interrupt: false,
        identity: None,
    };
    let route = RouteRow {
        name: RouteName::new("chat"),
        team,
        path: PATH.into(),
        pool: pool.name.clone(),
        deadline_ms: 120_000,
    };
    [
        RowChange {
            key: RowKey::Pool(pool.name.clone()),
            version: RowVersion(1),
            content: RowContent::Pool(pool),
        },
        RowChange {
            key: RowKey::Route(route.name.clone()),
            version: RowVersion(2),
            content: RowContent::Route(route),
        },
    ]
}
