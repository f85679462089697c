//! At-most-once payments: after each is settled, it is sent again through another router.

use std::{collections::BTreeMap, time::Duration};

use error_stack::{Report, ResultExt};
use local_fleet::{CallAnswer, LocalFleet};
use tokio::task::JoinSet;

use crate::{
    demo::entry::{AddressList, CallerRequest, FleetCaller},
    steps::TaskError,
};

const PAYMENTS: usize = 60;
const PAYMENT_INTERVAL: Duration = Duration::from_millis(80);

/// Results of the payments.
#[derive(Debug, Default)]
pub(crate) struct PaymentTally {
    pub(crate) payments: usize,
    pub(crate) confirmed: usize,
    /// Payments reported as unknown, which an operator would have to settle, and payments that the
    /// caller gave up on.
    pub(crate) unknown: usize,
    pub(crate) retries: usize,
    /// Payments whose second answer differs from the first.
    pub(crate) mismatched: usize,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum PaymentOutcome {
    Confirmed,
    Unknown,
    Unsettled,
}

/// Runs all payments, started one after another at `PAYMENT_INTERVAL`.
pub(crate) async fn run_payments(caller: FleetCaller) -> PaymentTally {
    let mut payments = JoinSet::new();
    for payment in 0..PAYMENTS {
        payments.spawn(pay_twice(caller.clone(), payment));
        tokio::time::sleep(PAYMENT_INTERVAL).await;
    }
    let mut total = PaymentTally { payments: PAYMENTS, ..PaymentTally::default() };
    while let Some(tally) = payments.join_next().await {
        total.add(&tally.unwrap_or_default());
    }
    total
}

/// Counts the operations that the services executed more than once.
pub(crate) async fn count_duplicate_executions(
    fleet: &LocalFleet,
) -> Result<usize, Report<TaskError>> {
    let mut execution_counts = BTreeMap::<String, u64>::new();
    for service in &fleet.services {
        let counts: BTreeMap<String, u64> =
            fleet.client().get_json(service.address, "/runs").await.change_context(TaskError)?;
        for (operation, count) in counts {
            *execution_counts.entry(operation).or_default() += count;
        }
    }
    Ok(execution_counts.values().filter(|count| **count > 1).count())
}

impl PaymentTally {
    fn add(&mut self, other: &Self) {
        self.confirmed += other.confirmed;
        self.unknown += other.unknown;
        self.retries += other.retries;
        self.mismatched += other.mismatched;
    }
}

async fn pay_twice(caller: FleetCaller, payment: usize) -> PaymentTally {
    let mut addresses = caller.address_list("account=till", payment);
    let mut tally = PaymentTally::default();
    let first = pay(&mut addresses, payment, &mut tally).await;
    addresses.drop_current_address();
    let second = pay(&mut addresses, payment, &mut tally).await;
    tally.confirmed = usize::from(second.0 == PaymentOutcome::Confirmed);
    tally.unknown = usize::from(second.0 == PaymentOutcome::Unknown);
    let comparable = first.0 == PaymentOutcome::Confirmed && second.0 == PaymentOutcome::Confirmed;
    tally.mismatched = usize::from(comparable && first.1 != second.1);
    tally
}

/// Retries a payment until it is confirmed, is reported as unknown, or `REQUEST_TIMEOUT` passes,
/// which counts as unknown.
async fn pay(
    addresses: &mut AddressList,
    payment: usize,
    tally: &mut PaymentTally,
) -> (PaymentOutcome, Box<[u8]>) {
    let operation = format!("payment-{payment}");
    let headers = [("idempotency-key", &*operation), ("x-client-account", "till")];
    let body = format!("amount {payment}").into();
    let request = CallerRequest { path: "/pay", headers: &headers, body };
    let is_settled = |answer: &CallAnswer| payment_outcome(answer) != PaymentOutcome::Unsettled;
    let outcome = addresses.call(&request, is_settled).await;
    tally.retries += outcome.retries;
    match outcome.answer {
        Some(answer) => (payment_outcome(&answer), answer.body.to_vec().into()),
        None => (PaymentOutcome::Unknown, Box::default()),
    }
}

/// Outcome of a payment according to an answer. A payment that is in flight or was not run is
/// unsettled and therefore retried.
fn payment_outcome(answer: &CallAnswer) -> PaymentOutcome {
    const OPERATION_UNSETTLED: u16 = 3004;
    match answer.code() {
        _ if answer.status.is_success() => PaymentOutcome::Confirmed,
        OPERATION_UNSETTLED => PaymentOutcome::Unknown,
        _ => PaymentOutcome::Unsettled,
    }
}
