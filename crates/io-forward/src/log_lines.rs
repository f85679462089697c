//! Log lines for the decisions on calls; `explain --logs` parses them.

use std::time::Duration;

use base_types::{ContentKey, NotRunCode, Refusal, TimePoint};
use core_forward::{AdmittedCall, AttemptSpec, DetourSpec, ShedReason, WaitInputs};

use crate::framing::BodyProgress;

/// Writes the log lines of one call.
#[derive(Debug, Clone)]
pub(crate) struct CallLog {
    id: Box<str>,
    received_at: TimePoint,
}

impl CallLog {
    pub(crate) fn new(id: &str, received_at: TimePoint) -> Self {
        Self { id: id.into(), received_at }
    }

    /// The call's id, as sent by the caller; empty if the request head was malformed.
    pub(crate) fn id(&self) -> &str {
        &self.id
    }

    /// Time since the router received the call.
    pub(crate) fn age(&self, now: TimePoint) -> Duration {
        now.since(self.received_at)
    }

    fn age_ms(&self, now: TimePoint) -> u64 {
        self.age(now).as_millis() as u64
    }

    /// Logs a call that was refused before its admission.
    pub(crate) fn denied(&self, now: TimePoint, code: NotRunCode, host: &str, path: &str) {
        log::info!(
            call = &*self.id, age_ms = self.age_ms(now), code = code.number(), host, path;
            "call denied"
        );
    }

    /// Logs an attempt, with the inputs of the choice of its target.
    pub(crate) fn attempt_sent(&self, now: TimePoint, call: &AdmittedCall, attempt: &AttemptSpec) {
        log::info!(
            call = &*self.id,
            age_ms = self.age_ms(now),
            route = call.route.as_str(),
            pool = call.pool.as_str(),
            version = call.version.0,
            target = &*attempt.name,
            software = &*attempt.software_version,
            resumes = call.resumption.as_ref().map(|stream| stream.origin.as_deref().unwrap_or("")),
            send = attempt.attempts_before + 1,
            rank = attempt.rank,
            left_ms = attempt.deadline.since(now).as_millis() as u64,
            cost = format!("{:.2}", attempt.inputs.cost).as_str(),
            load = attempt.inputs.load,
            mean_load = format!("{:.1}", attempt.inputs.mean_load).as_str(),
            targets = attempt.inputs.candidates,
            prompt = attempt.inputs.prompt_tokens,
            held = attempt.inputs.cached_tokens,
            unread = attempt.inputs.prefill_tokens,
            slowdown = format!("{:.2}", attempt.inputs.slowdown).as_str(),
            comfortable = attempt.inputs.comfortable_calls,
            fetch = attempt.fetch_from.is_some();
            "call sent"
        );
    }

    /// Logs a call that waits for a target with room, with the inputs of the decision.
    pub(crate) fn wait_started(&self, now: TimePoint, call: &AdmittedCall, inputs: &WaitInputs) {
        log::info!(
            call = &*self.id,
            age_ms = self.age_ms(now),
            pool = call.pool.as_str(),
            rank = inputs.rank,
            repeat = inputs.is_retry,
            waiting = inputs.waiting,
            ahead = inputs.estimate.map(|estimate| estimate.ahead),
            expected_ms =
                inputs.estimate.map(|estimate| estimate.start_at.since(now).as_millis() as u64),
            limit_ms = inputs.start_by.since(now).as_millis() as u64,
            places = inputs.room.places,
            taken = inputs.room.taken,
            open = inputs.room.open,
            starts_per_s = format!("{:.1}", inputs.room.starts_per_s).as_str();
            "call waits"
        );
    }

    /// Logs a call that waited and is sent.
    pub(crate) fn wait_ended(&self, now: TimePoint, since: TimePoint, attempt: &AttemptSpec) {
        log::info!(
            call = &*self.id,
            age_ms = self.age_ms(now),
            target = &*attempt.name,
            rank = attempt.rank,
            waited_ms = now.since(since).as_millis() as u64;
            "call waited"
        );
    }

    /// Logs a call that is refused because waiting does not serve it, with the inputs of the
    /// decision.
    pub(crate) fn shed(
        &self,
        now: TimePoint,
        call: &AdmittedCall,
        inputs: &WaitInputs,
        reason: ShedReason,
        waited: Duration,
    ) {
        log::info!(
            call = &*self.id,
            age_ms = self.age_ms(now),
            pool = call.pool.as_str(),
            reason = reason.as_str(),
            rank = inputs.rank,
            waited_ms = waited.as_millis() as u64,
            waiting = inputs.waiting,
            ahead = inputs.estimate.map(|estimate| estimate.ahead),
            expected_ms =
                inputs.estimate.map(|estimate| estimate.start_at.since(now).as_millis() as u64),
            limit_ms = inputs.start_by.since(now).as_millis() as u64,
            places = inputs.room.places,
            taken = inputs.room.taken,
            open = inputs.room.open,
            starts_per_s = format!("{:.1}", inputs.room.starts_per_s).as_str();
            "call not queued"
        );
    }

    /// Logs a call whose stream began in a call that no router reported.
    pub(crate) fn origin_unknown(&self, now: TimePoint, call: &AdmittedCall) {
        log::info!(
            call = &*self.id,
            age_ms = self.age_ms(now),
            pool = call.pool.as_str(),
            resumes = call.resumption.as_ref().and_then(|stream| stream.origin.as_deref());
            "origin of the stream not reported"
        );
    }

    /// Logs an attempt that ended without a response to forward.
    pub(crate) fn attempt_failed(
        &self,
        now: TimePoint,
        attempt: &AttemptSpec,
        end: &str,
        reason: &str,
    ) {
        log::info!(
            call = &*self.id, age_ms = self.age_ms(now), target = &*attempt.name, end, reason;
            "send ended"
        );
    }

    /// Logs a call that is sent through another router.
    pub(crate) fn detour_sent(&self, now: TimePoint, call: &AdmittedCall, detour: &DetourSpec) {
        log::info!(
            call = &*self.id,
            age_ms = self.age_ms(now),
            pool = call.pool.as_str(),
            router = detour.router.as_str(),
            sends = detour.attempts,
            version = detour.version.0,
            left_ms = detour.deadline.since(now).as_millis() as u64;
            "call sent through another router"
        );
    }

    /// Logs how the other router took a call.
    pub(crate) fn detour_ended(
        &self,
        now: TimePoint,
        detour: &DetourSpec,
        end: &str,
        reason: &str,
    ) {
        log::info!(
            call = &*self.id, age_ms = self.age_ms(now), router = detour.router.as_str(), end, reason;
            "answer of another router"
        );
    }

    /// Logs a call whose head names a wrong key of this router.
    pub(crate) fn detour_claim_ignored(&self, now: TimePoint) {
        log::info!(
            call = &*self.id, age_ms = self.age_ms(now);
            "claim to come from a router ignored"
        );
    }

    /// Logs the content of a call whose connection to a target was lost, as keys in hexadecimal.
    pub(crate) fn content_lost(
        &self,
        now: TimePoint,
        attempt: &AttemptSpec,
        content_keys: &[ContentKey],
    ) {
        let content: Vec<String> =
            content_keys.iter().map(|key| format!("{:016x}", key.0)).collect();
        log::info!(
            call = &*self.id,
            age_ms = self.age_ms(now),
            target = &*attempt.name,
            content = content.join(",").as_str();
            "content on a lost connection"
        );
    }

    /// Logs how far the body of a target's response was received, and how the attempt ended.
    pub(crate) fn response_ended(
        &self,
        now: TimePoint,
        attempt: &AttemptSpec,
        progress: &BodyProgress,
        end: &str,
    ) {
        log::info!(
            call = &*self.id,
            age_ms = self.age_ms(now),
            target = &*attempt.name,
            end,
            framing = progress.framing.as_str(),
            bytes = progress.bytes,
            inside_event = progress.inside_event;
            "response ended"
        );
    }

    /// Logs a stream that goes on at a silent target, as no other one continued it sooner.
    pub(crate) fn silent_target_kept(&self, now: TimePoint, attempt: &AttemptSpec) {
        log::info!(
            call = &*self.id, age_ms = self.age_ms(now), target = &*attempt.name;
            "silent target kept"
        );
    }

    /// Logs a call that the router gave up after its admission.
    pub(crate) fn given_up(&self, now: TimePoint, refusal: Refusal) {
        log::info!(
            call = &*self.id, age_ms = self.age_ms(now), code = refusal.row().number;
            "call given up"
        );
    }

    /// Logs the end of a call, with the status that the caller received.
    pub(crate) fn finished(&self, now: TimePoint, status: u16, end: &str) {
        log::info!(call = &*self.id, age_ms = self.age_ms(now), status, end; "call ended");
    }
}
