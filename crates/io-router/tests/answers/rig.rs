//! One router in this process between scripted targets, a platform and callers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{LazyLock, Mutex},
    time::Duration,
};

use base_settings::{FileReader, RouterSettings};
use base_types::HostName;
use http::Method;
use io_wire::keys::FleetAuthority;
use local_fleet::{CallAnswer, CallError, HttpCaller, PortSource};
use serde_json::{Value, json};

const READY_POLL: Duration = Duration::from_millis(20);
const READY_POLLS_MAX: u32 = 500;
static PORTS: LazyLock<Mutex<PortSource>> = LazyLock::new(|| Mutex::new(PortSource::default()));

struct MemoryFiles(BTreeMap<&'static str, Box<str>>);

impl FileReader for MemoryFiles {
    fn read(&self, path: &str) -> Result<Box<[u8]>, Box<str>> {
        let text = self.0.get(path).ok_or("no such file")?;
        Ok(text.as_bytes().into())
    }
}

pub(crate) fn free_port() -> SocketAddr {
    PORTS.lock().unwrap().take()
}

/// A running router and its addresses.
pub(crate) struct RouterRig {
    pub(crate) caller: HttpCaller,
    pub(crate) router: SocketAddr,
    pub(crate) platform: SocketAddr,
}

/// Runs a test with a router that sends `/chat` to a repeatable pool and `/pay` to one that may
/// run once, both served by the target.
pub(crate) fn with_router<F: Future<Output = ()>>(
    target: SocketAddr,
    test: impl FnOnce(RouterRig) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let rig = RouterRig::start(target).await;
        tokio::time::timeout(Duration::from_secs(60), test(rig)).await.unwrap();
    });
}

impl RouterRig {
    async fn start(target: SocketAddr) -> Self {
        let (platform, router) = (free_port(), free_port());
        tokio::spawn(fakes::run_platform(platform, Duration::ZERO, None));
        let rig = Self { caller: HttpCaller::default(), router, platform };
        rig.until_answered(platform, "/calls").await;
        rig.list(target).await;
        tokio::task::spawn_local(io_router::run_router(settings(router, platform)));
        rig.until_ready().await;
        rig
    }

    pub(crate) async fn call(
        &self,
        path: &str,
        operation: Option<&str>,
        body: &str,
    ) -> Result<CallAnswer, CallError> {
        self.call_as("counter", path, operation, body).await
    }

    pub(crate) async fn call_as(
        &self,
        account: &str,
        path: &str,
        operation: Option<&str>,
        body: &str,
    ) -> Result<CallAnswer, CallError> {
        let operation = operation.iter().map(|operation| ("idempotency-key", *operation));
        let headers: Vec<(&str, &str)> = operation.chain([("x-client-account", account)]).collect();
        let answer =
            self.caller.call(Method::POST, self.router, path, &headers, body.to_owned()).await;
        answer.map_err(|report| *report.current_context())
    }

    /// Sends the route of calls that run once to another pool of the same targets.
    pub(crate) async fn move_route(&self) {
        let pool = json!({ "name": "other", "team": "team", "group": "group", "kind": "service",
            "repeatable": false, "identity": 2 });
        let route = |name: &str| json!({ "name": name, "team": "team", "path": format!("/{name}"), "pool": "other" });
        self.put("pools/other", &pool).await;
        self.put("routes/pay", &route("pay")).await;
        self.put("routes/seen", &route("seen")).await;
        for _ in 0..READY_POLLS_MAX {
            // Changes of one table are heard in their order.
            if self.call("/seen", None, "").await.is_ok_and(|answer| answer.code() == 1007) {
                return;
            }
            tokio::time::sleep(READY_POLL).await;
        }
        panic!("the route is not in force");
    }

    async fn list(&self, target: SocketAddr) {
        let pool = |name: &str, repeatable: bool| {
            json!({ "name": name, "team": "team", "group": "group", "kind": "service",
                "repeatable": repeatable, "identity": 1 })
        };
        let route = |name: &str| json!({ "name": name, "team": "team", "path": format!("/{name}"), "pool": name });
        self.put("pools/chat", &pool("chat", true)).await;
        self.put("pools/pay", &pool("pay", false)).await;
        self.put("routes/chat", &route("chat")).await;
        self.put("routes/pay", &route("pay")).await;
        let host = json!({ "name": "target", "role": "target", "group": "group", "state": "live",
            "address": target.to_string(), "failure_domain": "domain" });
        let body = host.to_string();
        self.caller.call(Method::PUT, self.platform, "/hosts/target", &[], body).await.unwrap();
    }

    async fn put(&self, key: &str, row: &Value) {
        let edit = "1-0000000000000001";
        let body = json!({ "edit": edit, "row": row }).to_string();
        let path = format!("/objects/{key}");
        let answer = self.caller.call(Method::PUT, self.platform, &path, &[], body).await.unwrap();
        assert!(answer.status.is_success(), "{}", answer.status);
    }

    async fn until_answered(&self, address: SocketAddr, path: &str) {
        for _ in 0..READY_POLLS_MAX {
            if self.caller.read::<Value>(address, path).await.is_ok() {
                return;
            }
            tokio::time::sleep(READY_POLL).await;
        }
        panic!("{address} does not answer");
    }

    /// A call without an operation id is refused as such once the tables are in force; a listed
    /// target shows in the answer to a call that no target takes.
    async fn until_ready(&self) {
        for _ in 0..READY_POLLS_MAX {
            let answer = self.call("/pay", None, "").await;
            if answer.is_ok_and(|answer| answer.code() == 1007) {
                // The host list is read every half second.
                return tokio::time::sleep(Duration::from_millis(600)).await;
            }
            tokio::time::sleep(READY_POLL).await;
        }
        panic!("the router is not ready");
    }
}

fn settings(router: SocketAddr, platform: SocketAddr) -> RouterSettings {
    let authority = FleetAuthority::generate().unwrap();
    let own = authority.issue(&HostName::new("router-0")).unwrap();
    let files = MemoryFiles(BTreeMap::from([
        ("ca", authority.files().certificate.clone()),
        ("certificate", own.certificate.clone()),
        ("key", own.key.clone()),
    ]));
    let (operator, peer) = (free_port(), free_port());
    let text = format!(
        "host = \"router-0\"\nfailure_domain = \"domain-0\"\ncaller_listen = \"{router}\"\n\
         operator_listen = \"{operator}\"\nplatform = \"{platform}\"\npeer_listen = \"{peer}\"\n\
         peer_seeds = []\n[peer_tls]\nca = \"ca\"\ncertificate = \"certificate\"\nkey = \"key\"\n"
    );
    RouterSettings::parse(&text, &files).unwrap()
}
