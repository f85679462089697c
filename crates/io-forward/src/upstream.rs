//! Connections to targets: one call at a time on each, kept for the next one.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use base_types::{TargetKey, TimePoint};
use bytes::Bytes;
use core_forward::SendOrder;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use io_clock::LoopClock;
use tokio::task::AbortHandle;

use crate::{ForwardState, connect::connect_target};

/// Time for which an idle connection is kept when the target names none.
const IDLE_LIFE: Duration = Duration::from_secs(4);

/// Part of the target's idle time for which a connection is used again, so that a call does not
/// cross the target's close.
const IDLE_USED_PERCENT: u32 = 60;

/// Idle connections that are kept for one target.
const IDLE_MAX: usize = 32;

/// Bytes of a target's answer that are read at once, and of the longest head of one; an idle
/// connection keeps as many, so that the library's 8 KiB would double its memory.
const READ_BYTES: usize = 4_096;

/// Idle connections to targets.
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

/// A connection to a target; dropping it closes it at once.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

/// How a send ended before its answer.
#[derive(Debug)]
pub(crate) enum SendFault {
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
    /// Connects to a target.
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = connect_target(address).await?;
        let mut builder = http1::Builder::new();
        builder.read_buf_exact_size(Some(READ_BYTES));
        let shake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shake.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!(error = error.to_string().as_str(); "connection to a target ended");
            }
        });
        Ok(Self { sender, task: task.abort_handle() })
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a call; a call that was not written comes back as unsent.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFault> {
        self.sender.try_send_request(request).await.map_err(|mut fault| {
            let unsent = fault.take_message().is_some();
            let reason = describe(&fault.into_error());
            if unsent { SendFault::Unsent(reason) } else { SendFault::Lost(reason) }
        })
    }
}

impl UpstreamPool {
    /// Takes an idle connection to a target, the one used last first.
    pub(crate) fn take(&mut self, now: TimePoint, target: TargetKey) -> Option<TargetConnection> {
        let idle = self.idle.get_mut(&target)?;
        while let Some(entry) = idle.pop() {
            if !entry.usable_until.passed(now) && entry.connection.is_usable() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn put(
        &mut self,
        now: TimePoint,
        target: TargetKey,
        connection: TargetConnection,
        idle_life: Option<Duration>,
    ) {
        let life = idle_life.unwrap_or(IDLE_LIFE) * IDLE_USED_PERCENT / 100;
        let idle = self.idle.entry(target).or_default();
        if idle.len() < IDLE_MAX && !life.is_zero() {
            idle.push(IdleConnection { connection, usable_until: now.after(life) });
        }
    }

    /// Closes connections that are idle for too long.
    pub(crate) fn sweep(&mut self, now: TimePoint) {
        for idle in self.idle.values_mut() {
            idle.retain(|entry| {
                !entry.usable_until.passed(now) && !entry.connection.sender.is_closed()
            });
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Connections opened since the start.
    pub(crate) fn opened(&self) -> u64 {
        self.opened
    }

    /// Counts a new connection.
    pub(crate) fn count_opened(&mut self) {
        self.opened += 1;
    }
}

/// Opens a connection for an order.
pub(crate) async fn open_connection(
    clock: LoopClock,
    order: &SendOrder,
) -> Result<TargetConnection, SendFault> {
    let limit = clock.instant(order.deadline);
    match tokio::time::timeout_at(limit, TargetConnection::open(order.address)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(SendFault::Unsent(error.to_string().into())),
        Err(_) => Err(SendFault::Unsent("the deadline passed while connecting".into())),
    }
}

/// Checks whether a silent target takes connections; one that does keeps the new one for a call.
pub(crate) fn check_target(state: &ForwardState, order: &SendOrder) {
    let (state, target, address) = (state.clone(), order.target, order.address);
    let name = order.name.clone();
    tokio::task::spawn_local(async move {
        state.with_upstream(|pool, _| pool.count_opened());
        match TargetConnection::open(address).await {
            Ok(connection) => {
                state.with_upstream(|pool, now| pool.put(now, target, connection, None));
            }
            Err(error) => {
                let error = error.to_string();
                log::info!(target = &*name, error = error.as_str(); "target takes no connection");
                state.with_core(|core, now| core.target_unreachable(now, target));
            }
        }
    });
}

/// An error and its causes in one line.
pub(crate) fn describe(error: &dyn std::error::Error) -> Box<str> {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text.into()
}
