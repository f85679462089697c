//! A router in the test process, with a fake platform and a scripted target.

#![allow(dead_code, reason = "each test uses a part")]

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
use local_fleet::{CallAnswer, CallError, HttpClient, OPERATOR_TOKEN, PortSource};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

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
    PORTS.lock().unwrap().allocate()
}

/// A running router, its platform and a caller.
pub(crate) struct RouterFixture {
    pub(crate) caller: HttpClient,
    pub(crate) router: SocketAddr,
    pub(crate) platform: SocketAddr,
    pub(crate) operator: SocketAddr,
    /// Address of the router's links to other routers.
    pub(crate) peer: SocketAddr,
    /// Issues keys of other routers.
    pub(crate) authority: FleetAuthority,
}

/// Runs a test with a router that sends `/chat` to a repeatable pool and `/pay` to a pool whose
/// calls must not be retried. The target serves both pools.
pub(crate) fn with_router<F: Future<Output = ()>>(
    target: SocketAddr,
    test: impl FnOnce(RouterFixture) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let fixture = RouterFixture::start(target).await;
        tokio::time::timeout(Duration::from_secs(60), test(fixture)).await.unwrap();
    });
}

impl RouterFixture {
    async fn start(target: SocketAddr) -> Self {
        let (platform, router) = (free_port(), free_port());
        tokio::spawn(fakes::run_platform(platform, Duration::ZERO, None));
        let authority = FleetAuthority::generate().unwrap();
        let settings = settings(router, platform, &authority);
        let (operator, peer) = (settings.operator_listen, settings.peers.listen);
        let caller = HttpClient::default();
        let fixture = Self { caller, router, platform, operator, peer, authority };
        fixture.wait_until_answering(platform, "/calls").await;
        fixture.write_tables_and_host(target).await;
        tokio::task::spawn_local(io_router::run_router(settings));
        fixture.wait_until_ready().await;
        fixture
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

    /// Moves the `/pay` route to another pool of the same targets.
    pub(crate) async fn move_routes_to_other_pool(&self) {
        let pool = json!({ "name": "other", "team": "team", "group": "group", "kind": "service",
            "repeatable": false, "identity": 2 });
        let route = |name: &str| json!({ "name": name, "team": "team", "path": format!("/{name}"), "pool": "other" });
        self.put("pools/other", &pool).await;
        self.put("routes/pay", &route("pay")).await;
        self.put("routes/seen", &route("seen")).await;
        for _ in 0..READY_POLLS_MAX {
            // The router receives the changes of a table in order, so the `pay` row is in force too.
            if self.call("/seen", None, "").await.is_ok_and(|answer| answer.code() == 1007) {
                return;
            }
            tokio::time::sleep(READY_POLL).await;
        }
        panic!("the route is not in force");
    }

    async fn write_tables_and_host(&self, target: SocketAddr) {
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

    async fn wait_until_answering(&self, address: SocketAddr, path: &str) {
        for _ in 0..READY_POLLS_MAX {
            if self.caller.get_json::<Value>(address, path).await.is_ok() {
                return;
            }
            tokio::time::sleep(READY_POLL).await;
        }
        panic!("{address} does not answer");
    }

    /// Waits until a call without an operation id is refused with code 1007, which shows that the
    /// tables are in force, and then until the host list has been read.
    async fn wait_until_ready(&self) {
        for _ in 0..READY_POLLS_MAX {
            let answer = self.call("/pay", None, "").await;
            if answer.is_ok_and(|answer| answer.code() == 1007) {
                // The router polls the host list every 500 ms.
                return tokio::time::sleep(Duration::from_millis(600)).await;
            }
            tokio::time::sleep(READY_POLL).await;
        }
        panic!("the router is not ready");
    }
}

fn settings(
    router: SocketAddr,
    platform: SocketAddr,
    authority: &FleetAuthority,
) -> RouterSettings {
    let host_keys = authority.issue(&HostName::new("router-0")).unwrap();
    let files = MemoryFiles(BTreeMap::from([
        ("ca", authority.files().certificate.clone()),
        ("certificate", host_keys.certificate.clone()),
        ("key", host_keys.key.clone()),
    ]));
    let (operator, peer) = (free_port(), free_port());
    let digest = Sha256::digest(OPERATOR_TOKEN);
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let text = format!(
        "host = \"router-0\"\nfailure_domain = \"domain-0\"\ncaller_listen = \"{router}\"\n\
         operator_listen = \"{operator}\"\nplatform = \"{platform}\"\npeer_listen = \"{peer}\"\n\
         peer_seeds = []\n[peer_tls]\nca = \"ca\"\ncertificate = \"certificate\"\nkey = \"key\"\n\
         [[operator]]\nname = \"operator\"\nteam = \"team\"\nrights = [\"read\"]\n\
         token_sha256 = \"{digest}\"\n"
    );
    RouterSettings::parse(&text, &files).unwrap()
}
