//! A small fleet in this process: platform, engine, service, and two routers, one with TLS.

use std::{
    collections::BTreeMap,
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::LazyLock,
    thread,
    time::Duration,
};

use base_settings::{FileReader, RouterSettings};
use base_types::HostName;
use io_wire::keys::FleetAuthority;
use local_fleet::{ChatPrompt, HttpClient, OPERATOR_TOKEN, PortSource};
use serde_json::json;
use sha2::{Digest, Sha256};

/// Limit for an answer or a closed connection; far above every limit of the settings.
const IO_TIMEOUT: Duration = Duration::from_secs(10);
const START_POLLS_MAX: usize = 1000;
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
pub(crate) const BODY_BYTES: usize = 64 * 1024;

const LIMITS: &str = "
[limits]
body_bytes = 65536
header_bytes = 16384
header_wait_ms = 500
body_wait_ms = 700
write_wait_ms = 2000
";

pub(crate) struct RouterPorts {
    pub(crate) caller: SocketAddr,
    pub(crate) operator: SocketAddr,
}

pub(crate) struct SmallFleet {
    pub(crate) plain: RouterPorts,
    pub(crate) tls: RouterPorts,
    pub(crate) authority: Box<str>,
}

/// One fleet for all tests of this process; it ends with the process.
pub(crate) static FLEET: LazyLock<SmallFleet> = LazyLock::new(SmallFleet::start);

struct MemoryFiles(BTreeMap<&'static str, Box<str>>);

impl FileReader for MemoryFiles {
    fn read(&self, path: &str) -> Result<Box<[u8]>, Box<str>> {
        let text = self.0.get(path).ok_or("no such file")?;
        Ok(text.as_bytes().into())
    }
}

impl SmallFleet {
    fn start() -> Self {
        let mut ports = PortSource::default();
        let [platform, engine, service] = [ports.allocate(), ports.allocate(), ports.allocate()];
        spawn(
            move || async move { drop(fakes::run_platform(platform, Duration::ZERO, None).await) },
        );
        spawn(
            move || async move { drop(fakes::run_engine(engine, Duration::from_millis(1)).await) },
        );
        spawn(move || async move {
            drop(fakes::run_service(service, Duration::from_millis(1), None).await)
        });
        let authority = FleetAuthority::generate().unwrap();
        let router =
            |tls: &str, ports: &mut PortSource| start_router(&authority, platform, tls, ports);
        let plain = router("", &mut ports);
        let certificate_and_key = "certificate = \"host.pem\"\nkey = \"host-key.pem\"\n";
        let tls =
            format!("\n[caller_tls]\n{certificate_and_key}\n[operator_tls]\n{certificate_and_key}");
        let tls = router(&tls, &mut ports);
        let fleet = Self { plain, tls, authority: authority.files().certificate.clone() };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(fleet.write_tables_and_hosts(platform, engine, service));
        fleet
    }

    async fn write_tables_and_hosts(
        &self,
        platform: SocketAddr,
        engine: SocketAddr,
        service: SocketAddr,
    ) {
        let caller = HttpClient::default();
        wait_until(async || caller.get_json::<serde_json::Value>(platform, "/calls").await.is_ok())
            .await;
        for (name, address) in [("assistant", engine), ("payments", service)] {
            let row = json!({
                "name": name, "role": "target", "group": name, "state": "live",
                "address": address.to_string(), "failure_domain": "domain-0",
            });
            put(&caller, platform, &format!("/hosts/{name}"), &row).await;
        }
        let operator = self.plain.operator;
        let admin = |path: &str| format!("/admin/v1/{path}");
        let pools = [("assistant", "engine", true), ("payments", "service", false)];
        for (name, kind, repeatable) in pools {
            let row = json!({
                "name": name, "team": "platform", "group": name, "kind": kind, "repeatable": repeatable,
            });
            put(&caller, operator, &admin(&format!("pools/{name}")), &row).await;
        }
        for (name, path, pool) in [("chat", "/v1/chat", "assistant"), ("pay", "/pay", "payments")] {
            let row = json!({ "name": name, "team": "platform", "path": path, "pool": pool });
            put(&caller, operator, &admin(&format!("routes/{name}")), &row).await;
        }
        wait_until(async || chat_completes(self.plain.caller)).await;
    }
}

async fn put(caller: &HttpClient, address: SocketAddr, path: &str, row: &serde_json::Value) {
    wait_until(async || {
        let answer = caller.call(http::Method::PUT, address, path, &[], row.to_string()).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    })
    .await;
}

async fn wait_until(mut done: impl AsyncFnMut() -> bool) {
    for _ in 0..START_POLLS_MAX {
        if done().await {
            return;
        }
        tokio::time::sleep(START_POLL_INTERVAL).await;
    }
    panic!("the fleet did not start in time");
}

fn start_router(
    authority: &FleetAuthority,
    platform: SocketAddr,
    tls: &str,
    ports: &mut PortSource,
) -> RouterPorts {
    let [caller, operator, peer] = [ports.allocate(), ports.allocate(), ports.allocate()];
    let host = format!("router-{}", caller.port());
    let keys = authority.issue(&HostName::new(&host)).unwrap();
    let files = [
        ("ca.pem", authority.files().certificate.clone()),
        ("host.pem", keys.certificate),
        ("host-key.pem", keys.key),
    ];
    let digest: String =
        Sha256::digest(OPERATOR_TOKEN).iter().map(|byte| format!("{byte:02x}")).collect();
    let text = format!(
        "host = \"{host}\"\nfailure_domain = \"domain-0\"\ncaller_listen = \"{caller}\"\n\
         operator_listen = \"{operator}\"\nplatform = \"{platform}\"\npeer_listen = \"{peer}\"\n\
         [peer_tls]\nca = \"ca.pem\"\ncertificate = \"host.pem\"\nkey = \"host-key.pem\"\n\
         [[operator]]\nname = \"test\"\nteam = \"platform\"\n\
         rights = [\"read\", \"edit\", \"any-team\"]\ntoken_sha256 = \"{digest}\"\n{LIMITS}{tls}"
    );
    let settings = RouterSettings::parse(&text, &MemoryFiles(files.into())).unwrap();
    spawn(|| async { io_router::run_router(settings).await.unwrap() });
    RouterPorts { caller, operator }
}

/// Runs a process's future on its own thread. The future is also created there, as it need not be
/// `Send`.
fn spawn<F: Future>(process: impl FnOnce() -> F + Send + 'static) {
    thread::spawn(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(process());
    });
}

pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
    stream.set_write_timeout(Some(IO_TIMEOUT)).unwrap();
    stream
}

/// Reads until the router closes the connection; panics when that exceeds the I/O timeout.
pub(crate) fn read_to_close(stream: &mut impl Read) -> String {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(length) => bytes.extend_from_slice(&chunk[..length]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                panic!("neither an answer nor a closed connection in time");
            }
            // A reset also closes the connection.
            Err(_) => break,
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends bytes and returns everything that is received until the connection is closed.
pub(crate) fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The router may close the connection before all bytes are written.
    let _ = stream.write_all(bytes);
    read_to_close(&mut stream)
}

/// Builds a request with `connection: close`.
pub(crate) fn request(method: &str, path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n",
        body.len(),
    );
    [head.as_bytes(), body].concat()
}

pub(crate) fn chat_request() -> Vec<u8> {
    let prompt = ChatPrompt { text: "Is the answer whole?".into(), tokens: 3 };
    request("POST", "/v1/chat/completions", "", &prompt.body())
}

/// Whether a well-formed chat gets its complete answer.
pub(crate) fn chat_completes(address: SocketAddr) -> bool {
    let answer = exchange(address, &chat_request());
    answer.starts_with("HTTP/1.1 200") && answer.contains("data: [DONE]")
}
