//! Endpoints that list the unresolved operations and let operators settle them.

use std::sync::Arc;

use base_settings::OperatorSettings;
use base_types::{AccountName, OperationName, PoolName, RowVersion, value_types};
use error_stack::Report;
use io_platform::{ObjectKey, ObjectRecord, PlatformClient, PlatformError, WriteCondition};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode, writing::Json,
};
use serde_json::{Value, json};
use state_ledger::{
    OPERATIONS_PREFIX, OperationRecord, OperationState, SettledOutcome, Settlement,
    operation_partition_prefix, operation_path,
};

use crate::{
    admin::{AdminState, write_error},
    ledger::{parse_record, wall_time},
    retention::RETENTION,
};

const BODY_BYTES_MAX: usize = 64 * 1024;
const UNANSWERED: &str = "the platform did not answer; read the operation again before another try";
const NOT_UNRESOLVED: &str = "the outcome of the operation is not open; a claim is open 12 minutes \
                              after it was written";

/// Answers `GET /admin/v1/operations/{pool}`: unresolved operations, or with `state=settled` those
/// that operators settled. `part=00` to `part=ff` reads one of 256 partitions.
pub(super) struct OperationsHandler(pub(super) Arc<AdminState>);

/// Answers `POST /admin/v1/operations/{pool}/settle`.
pub(super) struct SettleHandler(pub(super) Arc<AdminState>);

value_types! {
    /// Body of a settle request.
    #[serde(deny_unknown_fields)]
    struct SettleRequest {
        account: AccountName,
        operation: OperationName,
        outcome: SettledOutcome,
        reason: Box<str>,
    }
}

enum SettleError {
    Missing,
    NotUnresolved,
    Conflict,
    Unanswered,
}

#[async_trait]
impl Handler for OperationsHandler {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let pool = PoolName::new(&req.param::<String>("pool").unwrap_or_default());
        let partition =
            req.query::<String>("part").map(|partition| u8::from_str_radix(&partition, 16));
        let prefix = match partition {
            Some(Ok(partition)) => operation_partition_prefix(partition),
            Some(Err(_)) => {
                let message = "a part is two hexadecimal digits";
                return write_error(res, StatusCode::BAD_REQUEST, message);
            }
            None => OPERATIONS_PREFIX.to_owned(),
        };
        let settled = req.query::<String>("state").is_some_and(|state| state == "settled");
        match self.0.platform.list(&prefix).await {
            Ok(list) => res.render(Json(operations_body(&list.objects, &pool, settled))),
            Err(_) => write_error(res, StatusCode::SERVICE_UNAVAILABLE, UNANSWERED),
        }
    }
}

#[async_trait]
impl Handler for SettleHandler {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let Ok(operator) = depot.get_typed::<OperatorSettings>() else {
            return write_error(res, StatusCode::UNAUTHORIZED, "no operator");
        };
        let pool = PoolName::new(&req.param::<String>("pool").unwrap_or_default());
        let body = req.payload_with_max_size(BODY_BYTES_MAX).await.cloned().unwrap_or_default();
        let request = match serde_json::from_slice::<SettleRequest>(&body) {
            Ok(request) if !request.reason.trim().is_empty() => request,
            Ok(_) => return write_error(res, StatusCode::BAD_REQUEST, "say the reason"),
            Err(error) => return write_error(res, StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match self.settle(&pool, request, operator.name.as_str()).await {
            Ok(record) => res.render(Json(operation_body(&record))),
            Err(error) => error.write(res),
        }
    }
}

impl SettleHandler {
    async fn settle(
        &self,
        pool: &PoolName,
        request: SettleRequest,
        operator: &str,
    ) -> Result<OperationRecord, SettleError> {
        let platform = &self.0.platform;
        let key = ObjectKey::new(&operation_path(&request.account, &request.operation));
        let (version, record) = read_operation(platform, &key).await?;
        if record.pool != *pool {
            return Err(SettleError::Missing);
        }
        let SettleRequest { outcome, reason, .. } = request;
        let settlement = Settlement { outcome, operator: operator.into(), reason };
        let host = self.0.handle.query(|core| core.name().clone()).await;
        let host = host.ok_or(SettleError::Unanswered)?;
        let settled = record.with_settlement(settlement, &host, wall_time());
        let settled = settled.ok_or(SettleError::NotUnresolved)?;
        let written = platform.write(&key, WriteCondition::Version(version), &settled).await;
        match written {
            Ok(_) => {}
            Err(report) => confirm_write(platform, &key, &settled, &report).await?,
        }
        log::info!(operation = settled.operation.as_str(), operator = operator; "operation settled");
        Ok(settled)
    }
}

impl SettleError {
    fn write(self, res: &mut Response) {
        let (status, message) = match self {
            Self::Missing => (StatusCode::NOT_FOUND, "no such operation is kept"),
            Self::NotUnresolved => (StatusCode::CONFLICT, NOT_UNRESOLVED),
            Self::Conflict => (StatusCode::CONFLICT, "the operation changed meanwhile"),
            Self::Unanswered => (StatusCode::SERVICE_UNAVAILABLE, UNANSWERED),
        };
        write_error(res, status, message);
    }
}

async fn read_operation(
    platform: &PlatformClient,
    key: &ObjectKey,
) -> Result<(RowVersion, OperationRecord), SettleError> {
    let object = platform.read(key).await.map_err(|_| SettleError::Unanswered)?;
    let object = object.ok_or(SettleError::Missing)?;
    let record = parse_record(&object).ok_or(SettleError::Missing)?;
    Ok((object.version, record))
}

/// Checks a failed write by reading the record back, because a write whose answer was lost may
/// have taken effect.
async fn confirm_write(
    platform: &PlatformClient,
    key: &ObjectKey,
    settled: &OperationRecord,
    report: &Report<PlatformError>,
) -> Result<(), SettleError> {
    if *report.current_context() == PlatformError::Conflict {
        return Err(SettleError::Conflict);
    }
    let (_, record) = read_operation(platform, key).await?;
    if record == *settled { Ok(()) } else { Err(SettleError::Unanswered) }
}

fn operations_body(objects: &[ObjectRecord], pool: &PoolName, settled: bool) -> Value {
    let now = wall_time();
    let is_listed = |record: &OperationRecord| match record.state {
        OperationState::Settled(_) => settled,
        _ => !settled && record.is_unresolved(now),
    };
    let records = objects.iter().filter_map(parse_record);
    let records = records.filter(|record| record.pool == *pool).filter(is_listed);
    let operations: Vec<Value> = records.map(|record| operation_body(&record)).collect();
    json!({ "operations": operations, "retention_seconds": RETENTION.as_secs() })
}

fn operation_body(record: &OperationRecord) -> Value {
    let (state, settlement) = match &record.state {
        OperationState::Claimed => ("claimed", None),
        OperationState::Released => ("released", None),
        OperationState::Unsettled => ("unsettled", None),
        OperationState::Completed(_) => ("completed", None),
        OperationState::Settled(settlement) => ("settled", Some(settlement)),
    };
    json!({
        "account": record.account,
        "operation": record.operation,
        "pool": record.pool,
        "state": state,
        "host": record.host,
        "written_unix_ms": record.written,
        "settlement": settlement,
    })
}
