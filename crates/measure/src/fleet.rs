//! Routers of a run, each with its own view.

use std::collections::BTreeSet;

use base_types::{
    AccountName, Arrival, ChatName, ContentDigest, HostName, PlacementToken, PoolName, RequestKey,
    RouteName, RowVersion, TeamName, TimePoint,
};
use bytes::Bytes;
use core_router::{Effect, Event, RouterCore, SharePace};
use state_tables::{PoolRow, RouteRow, RowChange, RowContent, RowKey, ServiceKind};

use crate::{ModuleSetting, PolicyKind, ScenarioPlan, baseline::BaselineRouter, trace::ChatState};

const PATH: &str = "/v1/chat/completions";
const GROUP: &str = "runners";

/// A router of either kind.
pub(crate) trait FleetRouter {
    /// Takes an event and returns what is to be done.
    fn on_event(&mut self, now: TimePoint, event: Event) -> Vec<Effect>;

    /// The next point at which a timer event is due.
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

/// A router by its number that runs a policy.
pub(crate) fn open_router(
    plan: &ScenarioPlan,
    policy: PolicyKind,
    index: u32,
) -> Box<dyn FleetRouter> {
    let name = HostName::new(&format!("entry-{index}"));
    let seed = plan.seed.wrapping_add(u64::from(index) << 32);
    let pace = SharePace { every: plan.view_age };
    let PolicyKind::Module(setting) = policy else {
        return Box::new(BaselineRouter::new(name, seed, policy, pace));
    };
    let mut core = RouterCore::new(name, seed).with_share_pace(pace);
    for change in rows(plan, setting) {
        core.on_event(TimePoint(0), Event::RowHeard(change));
    }
    core.on_event(TimePoint(0), Event::TablesComplete);
    Box::new(core)
}

/// Name of the group of all targets.
pub(crate) fn target_group() -> Box<str> {
    GROUP.into()
}

/// A turn of a chat as a router sees it.
pub(crate) fn arrival(
    request: RequestKey,
    chat: &ChatState,
    tokens: u32,
    placement: Option<PlacementToken>,
    deadline: TimePoint,
) -> Arrival {
    Arrival {
        request,
        path: PATH.into(),
        account: AccountName::new(&format!("account-{}", chat.account)),
        chat: Some(ChatName::new(&format!("chat-{}", chat.chat))),
        placement,
        chat_begins: chat.history == 0,
        operation: None,
        content: content_of(chat),
        prompt_head: Bytes::from(format!("group-{}", chat.group)),
        tokens,
        deadline,
    }
}

/// A turn that is sent again has the same content.
fn content_of(chat: &ChatState) -> ContentDigest {
    ContentDigest::of(format!("{} {}", chat.chat, chat.history).as_bytes())
}

fn rows(plan: &ScenarioPlan, setting: ModuleSetting) -> [RowChange; 2] {
    let team = TeamName::new("measure");
    let pool = PoolRow {
        drained: BTreeSet::new(),
        name: PoolName::new(GROUP),
        team: team.clone(),
        group: GROUP.into(),
        kind: ServiceKind::Engine,
        repeatable: true,
        max_load_ratio: setting.max_load_ratio,
        reuse_bias: setting.reuse_bias,
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
