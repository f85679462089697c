//! Pool of connections to targets; each carries one call at a time and is reused.

use std::{collections::BTreeMap, io, net::SocketAddr, ops::RangeInclusive, time::Duration};

use base_types::{TargetKey, TimePoint};
use bytes::Bytes;
use core_forward::AttemptSpec;
use http::{Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use io_clock::MonotonicClock;
use tokio::task::AbortHandle;

use crate::{
    ForwardState,
    connect::connect_target,
    target_stream::{ReadAllowance, TargetBody, TargetStream},
};

/// Idle timeout assumed for a target whose response has no `Keep-Alive` timeout.
const TARGET_IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(4);

/// Percentage of the target's idle timeout within which a connection is reused, so that a call is
/// not sent just as the target closes the connection.
const IDLE_REUSE_PERCENT: u32 = 60;

/// Maximum number of idle connections per target.
const IDLE_CONNECTIONS_MAX: usize = 32;

/// Time from the loss of a call until its target is probed.
const CRASH_PROBE_DELAY: Duration = Duration::from_millis(50);

/// Interval at which targets are checked for links in doubt.
const LINK_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Size of the read buffer, which also limits the response head. Every idle connection keeps its
/// buffer, so hyper's default of 8 KiB would double the memory of each.
const READ_BUFFER_BYTES: usize = 4_096;

/// Status codes of final responses (RFC 9110, section 15). Interim ones are not returned, except 101, which agrees to an
/// upgrade that no request asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Idle connections by target, and a count of all connections attempted.
#[derive(Debug, Default)]
pub(crate) struct UpstreamPool {
    idle: BTreeMap<TargetKey, Vec<IdleConnection>>,
    opened: u64,
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    usable_until: TimePoint,
}

/// A connection to a target; dropping the value closes the connection at once.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
    task: AbortHandle,
}

/// Why an attempt failed before a response arrived.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the call left this router.
    Unsent(Box<str>),
    /// The call may have reached the target.
    Lost(Box<str>),
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl TargetConnection {
    /// Connects to a target and spawns the task that drives the connection.
    pub(crate) async fn connect(address: SocketAddr) -> io::Result<Self> {
        let allowance = ReadAllowance::new();
        let stream = TargetStream::new(connect_target(address).await?, allowance.clone());
        let mut builder = http1::Builder::new();
        builder.read_buf_exact_size(Some(READ_BUFFER_BYTES));
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error = error.to_string().as_str(); "connection to target failed");
            }
        });
        Ok(Self { sender, allowance, task: task.abort_handle() })
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request; fails with [`SendError::Unsent`] if nothing of it was written, and with
    /// [`SendError::Lost`] if the status of the response is not a final one.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<TargetBody>, SendError> {
        self.allowance.restore();
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| {
            let unsent = error.take_message().is_some();
            let reason = error_chain(&error.into_error());
            if unsent { SendError::Unsent(reason) } else { SendError::Lost(reason) }
        })?;
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(SendError::Lost(format!("status {status} is not a final one").into()));
        }
        Ok(response.map(|body| TargetBody::new(body, self.allowance.clone())))
    }
}

impl UpstreamPool {
    /// Takes the most recently used idle connection to a target that is still usable.
    pub(crate) fn take(&mut self, now: TimePoint, target: TargetKey) -> Option<TargetConnection> {
        let idle = self.idle.get_mut(&target)?;
        while let Some(entry) = idle.pop() {
            if !entry.usable_until.passed(now) && entry.connection.is_usable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Adds an idle connection to the pool. Closes it instead when the pool is full for the target,
    /// or when the idle timeout is zero.
    pub(crate) fn put(
        &mut self,
        now: TimePoint,
        target: TargetKey,
        connection: TargetConnection,
        idle_timeout: Option<Duration>,
    ) {
        let reuse_time =
            idle_timeout.unwrap_or(TARGET_IDLE_TIMEOUT_DEFAULT) * IDLE_REUSE_PERCENT / 100;
        let idle = self.idle.entry(target).or_default();
        if idle.len() < IDLE_CONNECTIONS_MAX && !reuse_time.is_zero() {
            idle.push(IdleConnection { connection, usable_until: now.after(reuse_time) });
        }
    }

    /// Closes idle connections that are past their reuse time or were closed by the target.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        for idle in self.idle.values_mut() {
            idle.retain(|entry| {
                !entry.usable_until.passed(now) && !entry.connection.sender.is_closed()
            });
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Number of connections to targets attempted for calls and probes since the process started.
    pub(crate) fn opened(&self) -> u64 {
        self.opened
    }

    /// Counts a connection that is about to be attempted.
    pub(crate) fn count_opened(&mut self) {
        self.opened += 1;
    }
}

/// Opens a connection for an attempt, within the attempt's deadline.
pub(crate) async fn open_connection(
    clock: MonotonicClock,
    attempt: &AttemptSpec,
) -> Result<TargetConnection, SendError> {
    let deadline = clock.instant(attempt.deadline);
    match tokio::time::timeout_at(deadline, TargetConnection::connect(attempt.address)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(SendError::Unsent(error.to_string().into())),
        Err(_) => Err(SendError::Unsent("the deadline passed while connecting".into())),
    }
}

/// Probes a silent target with a new connection: pools the connection, or reports the target as
/// unreachable.
pub(crate) fn probe_target(state: &ForwardState, attempt: &AttemptSpec) {
    spawn_probe(state, TargetProbe::new(attempt));
}

fn spawn_probe(state: &ForwardState, probe: TargetProbe) {
    let state = state.clone();
    tokio::task::spawn_local(async move {
        if probe.connect(&state).await {
            state.with_core(|core, now| core.on_target_reachable(now, probe.target));
        }
    });
}

/// Probes a target that lost a call, at once and again when a crashed process has had time to close its
/// port.
pub(crate) fn probe_for_crash(state: &ForwardState, attempt: &AttemptSpec) {
    let (state, probe) = (state.clone(), TargetProbe::new(attempt));
    tokio::task::spawn_local(async move {
        if !probe.connect(&state).await {
            return;
        }
        tokio::time::sleep(CRASH_PROBE_DELAY).await;
        if probe.connect(&state).await {
            state.with_core(|core, now| core.on_target_reachable(now, probe.target));
        }
    });
}

/// Probes targets whose links are in doubt, until the process ends.
pub async fn watch_links(state: ForwardState) {
    loop {
        tokio::time::sleep(LINK_WATCH_INTERVAL).await;
        for probe in state.with_core(|core, now| core.take_link_probes(now)) {
            let probe =
                TargetProbe { target: probe.target, name: probe.name, address: probe.address };
            spawn_probe(&state, probe);
        }
        for change in state.with_core(|core, _| core.take_link_changes()) {
            let (pool, targets) = (change.pool.as_str(), change.targets);
            match change.reachable {
                true => log::info!(pool; "pool reachable again"),
                false => log::warn!(pool, targets; "no target of the pool accepts connections"),
            }
        }
    }
}

/// The target of a probe.
#[derive(Debug)]
struct TargetProbe {
    target: TargetKey,
    name: Box<str>,
    address: SocketAddr,
}

impl TargetProbe {
    fn new(attempt: &AttemptSpec) -> Self {
        Self { target: attempt.target, name: attempt.name.clone(), address: attempt.address }
    }

    /// Returns whether the target accepts a connection, which is pooled; reports it as unreachable if it
    /// does not.
    async fn connect(&self, state: &ForwardState) -> bool {
        state.with_upstream(|pool, _| pool.count_opened());
        let target = self.target;
        match TargetConnection::connect(self.address).await {
            Ok(connection) => {
                state.with_upstream(|pool, now| pool.put(now, target, connection, None));
                true
            }
            Err(error) => {
                let error = error.to_string();
                log::info!(target = &*self.name, error = error.as_str(); "target unreachable");
                state.with_core(|core, now| core.on_target_unreachable(now, target));
                state.heartbeat_wakeup().notify_one();
                false
            }
        }
    }
}

/// Formats an error and its sources on one line.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> Box<str> {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text.into()
}
