//! Processes of the project's gateway, as the deploy file runs them.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener, UdpSocket},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Process ids of all gateways that run, so that the watchdog can end them.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

/// Bounds of a deployment, with the names of the users' pages.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: u32,
    pub retry_slack: u32,
    pub evacuations: bool,
}

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub entry: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    text: String,
    log: PathBuf,
    pid: u32,
}

/// Number of ports that were tried.
static TRIED: AtomicU16 = AtomicU16::new(0);

/// Finds a port for a gateway, below those that the system gives to outgoing connections, one of which
/// could otherwise take it before the gateway does.
fn free_address() -> SocketAddr {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 18_000;
    loop {
        let tried = u32::from(TRIED.fetch_add(1, Ordering::Relaxed));
        let port = FIRST + (std::process::id().wrapping_mul(211) + tried) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Gateway {
    /// Starts a gateway with the settings that `deploy/gateway.toml.template` gives.
    pub fn start(folder: &std::path::Path, name: &str, zone: &str, platform: SocketAddr, bounds: Bounds) -> Self {
        let [callers, entry, readiness, metrics, peers] = [(); 5].map(|()| free_address());
        let Bounds { drain_ms, retry_slack, evacuations } = bounds;
        let cold = if evacuations { "cold_ratio = 1.5\ncold_slack = 5\n" } else { "" };
        let text = format!(
            "host = \"{name}\"\nfailure_domain = \"{zone}\"\ncaller_listen = \"{callers}\"\n\
             entry_listen = \"{entry}\"\nreadiness_listen = \"{readiness}\"\n\
             metrics_listen = \"{metrics}\"\npeer_listen = \"{peers}\"\nplatform = \"{platform}\"\n\
             cpu_share = 0.25\nlink_mbps = 1000.0\nmax_descriptors = 4100\nfirst_start = FIRST\n\n\
             [fleet]\nretry_ratio = 0.2\nretry_slack = {retry_slack}\nretry_window_ms = 10000\n\
             load_ratio_max = 2\ntarget_drain_ms = {drain_ms}\nstop_ms = 8000\n\
             entry_life_max_ms = 5000\nevacuations = {evacuations}\n{cold}\n\
             [log]\nlevel = \"info\"\nformat = \"json\"\n"
        );
        let mut gateway = Self {
            name: name.to_owned(),
            callers,
            entry,
            readiness,
            settings: folder.join(format!("{name}.toml")),
            text,
            log: folder.join(format!("{name}.log")),
            pid: 0,
        };
        gateway.spawn(true);
        gateway
    }

    fn spawn(&mut self, first_start: bool) {
        let text = self.text.replace("FIRST", if first_start { "true" } else { "false" });
        std::fs::write(&self.settings, text).expect("the settings can be written");
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new("target/release/knapweedport");
        // SAFETY: a plain system call between fork and exec.
        unsafe {
            command.pre_exec(|| {
                // The gateway ends with this process, however that ends.
                prctl(PR_SET_PDEATHSIG, 9);
                Ok(())
            });
        }
        let child = command
            .arg("gateway")
            .env("KNAPWEEDPORT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the gateway starts");
        self.pid = child.id();
        CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).push(child);
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&self) {
        let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(at) = children.iter().position(|child| child.id() == self.pid) {
            let mut child = children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let _ = Command::new("kill").arg("-TERM").arg(self.pid.to_string()).status();
    }

    /// Starts the process again, as the platform does after it ended.
    pub fn start_again(&mut self) {
        self.spawn(false);
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::get(self.readiness, "/api/readyz", Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Waits until the gateway is ready; returns false after `timeout`.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Asks the directory of this gateway where to connect.
    pub fn resolve(&self, zone: &str) -> Vec<SocketAddr> {
        let target = format!("/api/resolve?name=host.example&region=r&zone={zone}");
        let answer = http::get(self.entry, &target, Duration::from_secs(1));
        let Some((200, body)) = answer else { return Vec::new() };
        let list = body.split('[').nth(1).and_then(|rest| rest.split(']').next()).unwrap_or("");
        list.split(',').filter_map(|item| item.trim().trim_matches('"').parse().ok()).collect()
    }
}

/// Ends all gateways that still run.
pub fn end_all() {
    for mut child in CHILDREN.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}
