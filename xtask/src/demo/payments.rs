//! Payments that may run once: each is sent again through another router once it is settled.

use std::{collections::BTreeMap, time::Duration};

use error_stack::{Report, ResultExt};
use local_fleet::{CallAnswer, LocalFleet};
use tokio::task::JoinSet;

use crate::{
    demo::entry::{CallerRequest, EntryList, FleetCaller},
    steps::TaskError,
};

const PAYMENTS: usize = 60;
const PAYMENT_GAP: Duration = Duration::from_millis(80);

/// What became of the payments.
#[derive(Debug, Default)]
pub(crate) struct PaymentTally {
    pub(crate) payments: usize,
    pub(crate) confirmed: usize,
    /// Settled with the word that nobody knows; an operator would settle them.
    pub(crate) unknown: usize,
    pub(crate) repeats: usize,
    /// Second sends whose answer differs from the first.
    pub(crate) changed: usize,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum PaymentEnd {
    Confirmed,
    Unknown,
    Unsettled,
}

/// Runs all payments, one started shortly after the other.
pub(crate) async fn run_payments(caller: FleetCaller) -> PaymentTally {
    let mut payments = JoinSet::new();
    for payment in 0..PAYMENTS {
        payments.spawn(pay_twice(caller.clone(), payment));
        tokio::time::sleep(PAYMENT_GAP).await;
    }
    let mut total = PaymentTally { payments: PAYMENTS, ..PaymentTally::default() };
    while let Some(tally) = payments.join_next().await {
        total.add(&tally.unwrap_or_default());
    }
    total
}

/// Operations that the services ran more than once.
pub(crate) async fn count_doubles(fleet: &LocalFleet) -> Result<usize, Report<TaskError>> {
    let mut runs = BTreeMap::<String, u64>::new();
    for service in &fleet.services {
        let counts: BTreeMap<String, u64> =
            fleet.caller().read(service.address, "/runs").await.change_context(TaskError)?;
        for (operation, count) in counts {
            *runs.entry(operation).or_default() += count;
        }
    }
    Ok(runs.values().filter(|count| **count > 1).count())
}

impl PaymentTally {
    fn add(&mut self, other: &Self) {
        self.confirmed += other.confirmed;
        self.unknown += other.unknown;
        self.repeats += other.repeats;
        self.changed += other.changed;
    }
}

async fn pay_twice(caller: FleetCaller, payment: usize) -> PaymentTally {
    let mut entries = caller.entry_list("account=till", payment);
    let mut tally = PaymentTally::default();
    let first = pay(&mut entries, payment, &mut tally).await;
    entries.drop_first();
    let second = pay(&mut entries, payment, &mut tally).await;
    tally.confirmed = usize::from(second.0 == PaymentEnd::Confirmed);
    tally.unknown = usize::from(second.0 == PaymentEnd::Unknown);
    let comparable = first.0 == PaymentEnd::Confirmed && second.0 == PaymentEnd::Confirmed;
    tally.changed = usize::from(comparable && first.1 != second.1);
    tally
}

/// Sends a payment until it is confirmed, or its outcome stays unknown.
async fn pay(
    entries: &mut EntryList,
    payment: usize,
    tally: &mut PaymentTally,
) -> (PaymentEnd, Box<[u8]>) {
    let operation = format!("payment-{payment}");
    let headers = [("idempotency-key", &*operation), ("x-client-account", "till")];
    let body = format!("amount {payment}").into();
    let request = CallerRequest { path: "/pay", headers: &headers, body };
    let settled = |answer: &CallAnswer| payment_end(answer) != PaymentEnd::Unsettled;
    let outcome = entries.call(&request, settled).await;
    tally.repeats += outcome.repeats;
    match outcome.answer {
        Some(answer) => (payment_end(&answer), answer.body.to_vec().into()),
        None => (PaymentEnd::Unknown, Box::default()),
    }
}

/// What an answer says of a payment; one that is in flight or was not run is asked for again.
fn payment_end(answer: &CallAnswer) -> PaymentEnd {
    const OPERATION_UNSETTLED: u16 = 3004;
    match answer.code() {
        _ if answer.status.is_success() => PaymentEnd::Confirmed,
        OPERATION_UNSETTLED => PaymentEnd::Unknown,
        _ => PaymentEnd::Unsettled,
    }
}
