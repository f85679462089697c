//! Admission of arriving requests.

use std::time::Duration;

use base_types::{IncomingRequest, NotRunCode, Refusal, TimePoint};
use state_tables::PoolRow;

use crate::{
    RequestStep,
    core::{RETRY_AFTER, RouterCore, dispatch::budget_key},
    request::Request,
};

impl RouterCore {
    pub(super) fn on_arrival(&mut self, now: TimePoint, mut incoming: IncomingRequest) {
        let (pool, deadline) = match self.admit(now, &incoming) {
            Ok(admitted) => admitted,
            Err(code) => return self.refuse_arrival(now, &incoming, code),
        };
        if let Err(retry_after) = self.charge_account(now, &incoming, &pool) {
            let refusal = Refusal::NotRun(NotRunCode::AccountLimited, retry_after);
            return self.finish(now, incoming.request, RequestStep::Refuse(refusal));
        }
        incoming.deadline = deadline;
        self.deadlines.insert((deadline, incoming.request));
        let request = Request::new(incoming, pool.name.clone());
        self.retry_budgets.on_first_attempt(&budget_key(&request));
        if pool.repeatable {
            return self.dispatch_fresh(now, request, &pool);
        }
        self.claim(now, request);
    }

    pub(super) fn admit(
        &self,
        now: TimePoint,
        incoming: &IncomingRequest,
    ) -> Result<(PoolRow, TimePoint), NotRunCode> {
        if !self.tables_complete {
            return Err(NotRunCode::TablesMissing);
        }
        if self.trusted_until.passed(now) {
            return Err(NotRunCode::RouterIsolated);
        }
        let route = self.tables.match_route(&incoming.path).ok_or(NotRunCode::UnknownRoute)?;
        let pool = self.tables.pool(&route.pool).ok_or(NotRunCode::PoolMissing)?;
        if !pool.repeatable && incoming.operation.is_none() {
            return Err(NotRunCode::OperationMissing);
        }
        let route_deadline = now.after(Duration::from_millis(route.deadline_ms));
        let deadline = incoming.deadline.min(route_deadline);
        if deadline.passed(now) {
            return Err(NotRunCode::DeadlinePassed);
        }
        Ok((pool.clone(), deadline))
    }

    pub(super) fn refuse_arrival(
        &mut self,
        now: TimePoint,
        incoming: &IncomingRequest,
        code: NotRunCode,
    ) {
        let refusal = Refusal::NotRun(code, now.after(RETRY_AFTER));
        self.finish(now, incoming.request, RequestStep::Refuse(refusal));
    }
}
