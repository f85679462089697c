//! Claims of non-idempotent operations, one platform object an operation.

use std::{rc::Rc, time::Duration};

use base_types::{ContentDigest, NotRunCode, RequestKey, UnknownCode, value_types};
use base64::{Engine, prelude::BASE64_STANDARD};
use core_router::{ClaimOutcome, Event, OperationClaim, StoredAnswer};
use error_stack::Report;
use io_platform::{ObjectKey, ObjectRecord, PlatformClient, PlatformError, WriteGuard};

use crate::handle::LoopHandle;

const CLAIM_TRIES: u32 = 3;
const SETTLE_TRIES: u32 = 20;
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

value_types! {
    /// An operation as the platform keeps it.
    struct OperationRecord {
        operation: Box<str>,
        content: Box<str>,
        attempt: Box<str>,
        answer: Option<AnswerRecord>,
    }

    /// The stored answer of an operation.
    struct AnswerRecord {
        status: u16,
        content_type: Box<str>,
        body: Box<str>,
    }
}

/// The ledger of operations as one router sees it.
pub(crate) struct OperationLedger {
    platform: PlatformClient,
    handle: LoopHandle,
}

impl OperationLedger {
    pub(crate) fn new(platform: PlatformClient, handle: LoopHandle) -> Rc<Self> {
        Rc::new(Self { platform, handle })
    }

    pub(crate) fn spawn_claim(self: Rc<Self>, request: RequestKey, claim: OperationClaim) {
        tokio::task::spawn_local(async move {
            let outcome = self.claim(&claim).await;
            self.handle.post(Event::ClaimAnswered(request, outcome));
        });
    }

    pub(crate) fn spawn_complete(self: Rc<Self>, claim: OperationClaim, answer: StoredAnswer) {
        tokio::task::spawn_local(async move { self.complete(&claim, answer).await });
    }

    pub(crate) fn spawn_release(self: Rc<Self>, claim: OperationClaim) {
        tokio::task::spawn_local(async move { self.release(&claim).await });
    }

    /// Writes a claim and confirms it; an unanswered write is read back before it is trusted.
    async fn claim(&self, claim: &OperationClaim) -> ClaimOutcome {
        let key = operation_key(claim);
        let record = OperationRecord::claimed(claim);
        for _ in 0..CLAIM_TRIES {
            if self.platform.write(&key, WriteGuard::Absent, &record).await.is_ok() {
                return ClaimOutcome::Held;
            }
            if let Ok(Some(object)) = self.platform.read(&key).await {
                return standing(claim, &object);
            }
        }
        ClaimOutcome::Refused(NotRunCode::LedgerUnavailable)
    }

    async fn complete(&self, claim: &OperationClaim, answer: StoredAnswer) {
        let record =
            OperationRecord { answer: Some(answer.into()), ..OperationRecord::claimed(claim) };
        for _ in 0..SETTLE_TRIES {
            if self.try_complete(claim, &record).await.is_ok() {
                return;
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
        log::error!(operation = claim.operation.as_str(); "answer of an operation was not recorded");
    }

    async fn try_complete(
        &self,
        claim: &OperationClaim,
        record: &OperationRecord,
    ) -> Result<(), Report<PlatformError>> {
        let key = operation_key(claim);
        let Some(object) = self.platform.read(&key).await? else { return Ok(()) };
        let guard = WriteGuard::Version(object.version);
        self.platform.write(&key, guard, record).await.map(drop)
    }

    async fn release(&self, claim: &OperationClaim) {
        for _ in 0..SETTLE_TRIES {
            if self.try_release(claim).await.is_ok() {
                return;
            }
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
        log::error!(operation = claim.operation.as_str(); "claim of an operation was not released");
    }

    async fn try_release(&self, claim: &OperationClaim) -> Result<(), Report<PlatformError>> {
        let key = operation_key(claim);
        let Some(object) = self.platform.read(&key).await? else { return Ok(()) };
        let Some(record) = parse_record(&object) else { return Ok(()) };
        if record.attempt != OperationRecord::claimed(claim).attempt || record.answer.is_some() {
            return Ok(());
        }
        self.platform.delete(&key, object.version).await.map(drop)
    }
}

impl OperationRecord {
    fn claimed(claim: &OperationClaim) -> Self {
        Self {
            operation: claim.operation.as_str().into(),
            content: digest_text(claim.content).into(),
            attempt: format!("{:032x}", claim.attempt.0).into(),
            answer: None,
        }
    }
}

impl From<StoredAnswer> for AnswerRecord {
    fn from(answer: StoredAnswer) -> Self {
        Self {
            status: answer.status,
            content_type: answer.content_type,
            body: BASE64_STANDARD.encode(&answer.body).into(),
        }
    }
}

fn standing(claim: &OperationClaim, object: &ObjectRecord) -> ClaimOutcome {
    let Some(record) = parse_record(object) else {
        return ClaimOutcome::Unsettled(UnknownCode::OperationUnsettled);
    };
    if record.attempt == OperationRecord::claimed(claim).attempt {
        return ClaimOutcome::Held;
    }
    if *record.content != *digest_text(claim.content) {
        return ClaimOutcome::Refused(NotRunCode::OperationReused);
    }
    match record.answer.and_then(stored_answer) {
        Some(answer) => ClaimOutcome::Replayed(answer),
        None => ClaimOutcome::Unsettled(UnknownCode::OperationRunning),
    }
}

fn stored_answer(record: AnswerRecord) -> Option<StoredAnswer> {
    let body = BASE64_STANDARD.decode(record.body.as_bytes()).ok()?;
    let AnswerRecord { status, content_type, .. } = record;
    Some(StoredAnswer { status, content_type, body: body.into() })
}

fn parse_record(object: &ObjectRecord) -> Option<OperationRecord> {
    serde_json::from_value(object.value.clone()?).ok()
}

/// The operation's name is hashed, as callers may put any byte into it.
fn operation_key(claim: &OperationClaim) -> ObjectKey {
    let digest = ContentDigest::of(claim.operation.as_str().as_bytes());
    ObjectKey::new(&format!("operations/{}/{}", claim.pool, digest_text(digest)))
}

fn digest_text(digest: ContentDigest) -> String {
    format!("{:032x}", digest.0)
}
