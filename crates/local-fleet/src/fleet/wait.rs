//! Waits with a timeout for states of the fleet's processes.

use std::{net::SocketAddr, time::Duration};

use error_stack::Report;
use serde_json::{Value, json};

use crate::fleet::{FleetError, LocalFleet, RouterProcess};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The timeout of all waits: 500 polls take 10 s plus the time of the calls.
const POLLS_MAX: u32 = 500;

impl LocalFleet {
    /// Waits until each running router has at least a number of rows in force.
    ///
    /// # Errors
    ///
    /// Fails when a router does not have the rows within the timeout.
    pub async fn wait_rows(&self, rows: usize) -> Result<(), Report<FleetError>> {
        for router in self.routers.iter().filter(|router| router.process.is_some()) {
            let has_rows =
                |status: &Value| status["rows"].as_array().is_some_and(|all| all.len() >= rows);
            self.wait_status(router, has_rows).await?;
        }
        Ok(())
    }

    pub(super) async fn wait_until_ready(&self) -> Result<(), Report<FleetError>> {
        for engine in &self.engines {
            self.wait_until_answering(engine.address, "/load").await?;
        }
        for service in &self.services {
            self.wait_until_answering(service.address, "/runs").await?;
        }
        let targets = self.engines.len() + self.services.len();
        for router in &self.routers {
            let is_ready = |status: &Value| {
                status["tables_complete"] == json!(true)
                    && status["targets"].as_array().is_some_and(|all| all.len() >= targets)
            };
            self.wait_status(router, is_ready).await?;
        }
        Ok(())
    }

    async fn wait_status(
        &self,
        router: &RouterProcess,
        is_ready: impl Fn(&Value) -> bool,
    ) -> Result<(), Report<FleetError>> {
        for _ in 0..POLLS_MAX {
            let status =
                self.client.get_json::<Value>(router.operator_address, "/admin/v1/status").await;
            if status.is_ok_and(|status| is_ready(&status)) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Report::new(FleetError).attach(format!(
            "{}: `/admin/v1/status` did not show the expected tables and targets within \
                 {POLLS_MAX} polls",
            router.host
        )))
    }

    pub(super) async fn wait_until_answering(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<(), Report<FleetError>> {
        for _ in 0..POLLS_MAX {
            if self.client.get_json::<Value>(address, path).await.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Report::new(FleetError)
            .attach(format!("{address} did not answer within {POLLS_MAX} polls")))
    }
}
