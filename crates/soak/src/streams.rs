//! Callers that break resumable streams off and resume them, mostly at another gateway.

use std::{rc::Rc, time::Duration};

use fakes::{HttpConnection, HttpMessage, resume_headers};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    callers::{AddressList, request_with},
    plan::{CallKind, EVENTS},
    record::{ResumptionRecord, StreamRecord},
    run::SoakCluster,
};

/// Calls that resume one stream at most.
const RESUMPTIONS_MAX: usize = 2;
/// Upper bound of the random time after which a caller breaks a stream off; a stream takes 50 ms.
const BREAK_MS_MAX: u64 = 60;
/// Upper bound of the random pause between two streams of a caller.
const PAUSE_MS_MAX: u64 = 150;
/// Distinguishes the ids of these calls from those of other callers.
const CALLER_OFFSET: u64 = 0x8000;

/// Sends streams until the soak stops.
pub(crate) async fn resume_streams(cluster: Rc<SoakCluster>, caller_index: u64) {
    let caller_index = CALLER_OFFSET + caller_index;
    let mut caller = StreamCaller {
        rng: SmallRng::seed_from_u64(cluster.plan.seed ^ (caller_index << 32)),
        addresses: AddressList::new(),
        caller_index,
        sent: 0,
        cluster,
    };
    while !caller.cluster.is_stopped() {
        let stream = caller.run_stream().await;
        caller.cluster.streams.borrow_mut().push(stream);
        let pause = Duration::from_millis(caller.rng.random_range(0..PAUSE_MS_MAX));
        tokio::time::sleep(pause).await;
    }
}

struct StreamCaller {
    cluster: Rc<SoakCluster>,
    rng: SmallRng,
    addresses: AddressList,
    caller_index: u64,
    sent: u64,
}

impl StreamCaller {
    /// Begins a stream, breaks it off, and resumes it until it is complete or was resumed often
    /// enough. A stream without an event is not resumed.
    async fn run_stream(&mut self) -> StreamRecord {
        let mut stream = StreamRecord::default();
        for attempt in 0..=RESUMPTIONS_MAX {
            self.addresses.refresh(&self.cluster, &mut self.rng).await;
            let connection = self.addresses.connect(&self.cluster, &mut self.rng).await;
            let Some((gateway, connection)) = connection else { break };
            let sent = Instant::now();
            let (id, answer) = self.send_call(connection, &stream).await;
            let count_before = stream.events.len();
            read_events(&answer, &mut stream);
            let continued = stream.events.len() > count_before || answer.whole;
            if attempt == 0 {
                stream.origin = id;
            } else {
                let (ended, status) = (Instant::now(), answer.status());
                let continued = continued && status == 200;
                stream.resumptions.push(ResumptionRecord {
                    gateway,
                    sent,
                    ended,
                    status,
                    continued,
                });
            }
            if stream.events.is_empty() || stream.events.len() as u64 >= EVENTS {
                break;
            }
        }
        stream
    }

    /// Sends one call, which resumes the stream if it has events, and reads for a random time.
    async fn send_call(
        &mut self,
        mut connection: HttpConnection,
        stream: &StreamRecord,
    ) -> (Box<str>, HttpMessage) {
        self.sent += 1;
        let (seed, caller_index, sent) =
            (self.cluster.plan.seed & 0xff_ffff, self.caller_index, self.sent);
        let id = format!("{seed:06x}{caller_index:04x}{sent:06x}");
        let headers = stream.events.last().map(|event| resume_headers(*event, &stream.origin));
        let text = request_with(CallKind::Resume.path(), &id, &headers.unwrap_or_default());
        let answer = if stream.events.is_empty() {
            connection.send(text.as_bytes()).await;
            let break_after = Duration::from_millis(self.rng.random_range(0..BREAK_MS_MAX));
            connection.stop_reading_at(Instant::now() + break_after);
            connection.read(true).await.unwrap_or_default()
        } else {
            connection.request(&text).await
        };
        (id.into(), answer)
    }
}

/// Adds the complete events of an answer to a stream.
fn read_events(answer: &HttpMessage, stream: &mut StreamRecord) {
    let text = answer.text();
    let Some((events, _)) = text.rsplit_once("\n\n") else { return };
    if answer.status() != 200 {
        return;
    }
    for event in events.split("\n\n") {
        let mut lines = event.lines();
        let number = lines.clone().find_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok());
        stream.events.extend(number);
        stream.software.extend(lines.find_map(|line| line.strip_prefix(": ")).map(Box::from));
    }
}
