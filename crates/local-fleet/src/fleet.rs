//! The fleet: one platform, and routers, engines and plain services in failure domains.

mod plan;
mod settings;
mod wait;

use std::{
    fmt, fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use error_stack::{Report, ResultExt};
use fakes::{FaultSet, ServiceExecution};
use http::Method;
use serde_json::{Value, json};

pub use self::plan::FleetPlan;
use crate::{HttpClient, ports::PortSource, process::ChildProcess};

const JOURNAL_SUFFIX: &str = "kept";

/// A process of the fleet could not be started or did not answer as expected.
#[derive(Debug)]
pub struct FleetError;

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a process of the fleet could not be started or did not answer as expected")
    }
}

impl std::error::Error for FleetError {}

/// A router process and its addresses.
#[derive(Debug)]
pub struct RouterProcess {
    /// Name of the host in the host list, and of the process's files.
    pub host: Box<str>,
    /// Failure domain of the host.
    pub failure_domain: Box<str>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for other routers.
    pub peer_address: SocketAddr,
    /// The process; none while it is stopped.
    pub process: Option<ChildProcess>,
}

/// A target process and its address.
#[derive(Debug)]
pub struct TargetProcess {
    /// Name of the host in the host list, and of the process's files.
    pub host: Box<str>,
    /// Group by which pools select the target.
    pub group: Box<str>,
    /// Failure domain of the host.
    pub failure_domain: Box<str>,
    /// Address on which the target serves calls.
    pub address: SocketAddr,
    /// The process; none while it is stopped.
    pub process: Option<ChildProcess>,
}

/// A running fleet; dropping the value kills all processes.
#[derive(Debug)]
pub struct LocalFleet {
    plan: FleetPlan,
    client: HttpClient,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Process of the platform; none while it is stopped.
    pub platform_process: Option<ChildProcess>,
    /// Routers, by index.
    pub routers: Vec<RouterProcess>,
    /// Model engines, by index.
    pub engines: Vec<TargetProcess>,
    /// Plain services, by index.
    pub services: Vec<TargetProcess>,
}

impl LocalFleet {
    /// Starts all processes, registers their hosts and waits until each process is ready.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or is not ready within the timeout.
    pub async fn start(plan: FleetPlan) -> Result<Self, Report<FleetError>> {
        fs::create_dir_all(&plan.workdir).change_context(FleetError)?;
        remove_journals(&plan.workdir).change_context(FleetError)?;
        let mut ports = PortSource::default();
        let mut fleet = Self::allocate(plan, &mut ports);
        fleet.write_credentials()?;
        fleet.start_platform()?;
        fleet.wait_until_answering(fleet.platform, "/calls").await?;
        for index in 0..fleet.engines.len() {
            fleet.start_engine(index)?;
        }
        for index in 0..fleet.services.len() {
            fleet.start_service(index)?;
        }
        for index in 0..fleet.routers.len() {
            fleet.start_router(index)?;
        }
        fleet.register_hosts().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// The HTTP client that the fleet itself uses.
    pub fn client(&self) -> &HttpClient {
        &self.client
    }

    /// All executions of the plain services, including those of killed processes.
    ///
    /// # Errors
    ///
    /// Fails when the journal of a service cannot be read.
    pub fn service_executions(&self) -> Result<Vec<ServiceExecution>, Report<FleetError>> {
        let mut executions = Vec::new();
        for service in &self.services {
            let text = fs::read_to_string(self.journal_path(&service.host));
            let text = text.change_context(FleetError)?;
            let lines = text.lines().filter_map(|line| serde_json::from_str(line).ok());
            executions.extend(lines);
        }
        Ok(executions)
    }

    /// Starts the platform's process.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn start_platform(&mut self) -> Result<(), Report<FleetError>> {
        let listen = self.platform.to_string();
        let lag = self.plan.host_lag.as_millis().to_string();
        let journal = self.journal_path("platform").display().to_string();
        let arguments =
            ["platform", "--listen", &listen, "--host-lag-ms", &lag, "--kept", &journal];
        self.platform_process = Some(self.start_program("stand-in", &arguments, "platform")?);
        Ok(())
    }

    /// Writes the settings of a router and starts or restarts the process.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn start_router(&mut self, index: usize) -> Result<(), Report<FleetError>> {
        let router = &self.routers[index];
        let path = self.plan.workdir.join(format!("{}.toml", router.host));
        fs::write(&path, self.settings_text(router)).change_context(FleetError)?;
        let settings = path.display().to_string();
        let arguments = ["router", "--settings", &settings];
        let process = self.start_program("knapweedport", &arguments, &router.host)?;
        self.routers[index].process = Some(process);
        Ok(())
    }

    /// Starts or restarts an engine's process.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn start_engine(&mut self, index: usize) -> Result<(), Report<FleetError>> {
        let engine = &self.engines[index];
        let listen = engine.address.to_string();
        let process =
            self.start_program("stand-in", &["engine", "--listen", &listen], &engine.host)?;
        self.engines[index].process = Some(process);
        Ok(())
    }

    /// Starts or restarts a plain service's process.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn start_service(&mut self, index: usize) -> Result<(), Report<FleetError>> {
        let service = &self.services[index];
        let listen = service.address.to_string();
        let journal = self.journal_path(&service.host).display().to_string();
        let arguments = ["service", "--listen", &listen, "--kept", &journal];
        let process = self.start_program("stand-in", &arguments, &service.host)?;
        self.services[index].process = Some(process);
        Ok(())
    }

    /// Sets the faults that a stand-in injects from now on, in place of the previous ones.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer.
    pub async fn set_faults(
        &self,
        address: SocketAddr,
        faults: &FaultSet,
    ) -> Result<(), Report<FleetError>> {
        let body = serde_json::to_vec(faults).change_context(FleetError)?;
        let answer = self.client.call(Method::POST, address, "/control", &[], body).await;
        answer.map(drop).change_context(FleetError)
    }

    /// Writes a row through a router's admin API; `version` is that of the row to replace;
    /// without it the row is created.
    ///
    /// # Errors
    ///
    /// Fails when the router does not answer or refuses the row.
    pub async fn put_row(
        &self,
        router: usize,
        path: &str,
        version: Option<u64>,
        row: &Value,
    ) -> Result<(), Report<FleetError>> {
        let operator = self.routers[router].operator_address;
        let tag = version.map(|version| format!("\"{version}\""));
        let reason = ("x-change-reason", "the local fleet's own tables");
        let tag = tag.iter().map(|tag| ("if-match", &**tag));
        let headers: Vec<(&str, &str)> = tag.chain([reason]).collect();
        let path = format!("/admin/v1/{path}");
        let body = row.to_string();
        let answer = self.client.call(Method::PUT, operator, &path, &headers, body).await;
        let answer = answer.change_context(FleetError)?;
        if answer.status.is_success() {
            return Ok(());
        }
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        Err(Report::new(FleetError).attach(format!("{path}: {} {body}", answer.status)))
    }

    /// Writes a pool of engines, a pool of services whose calls run at most once
    /// (`repeatable: false`), and a route to each.
    ///
    /// # Errors
    ///
    /// Fails when a row is refused or is not in force on all routers within the timeout.
    pub async fn put_tables(&self) -> Result<(), Report<FleetError>> {
        let assistant = json!({
            "name": "assistant", "team": "renewals", "group": "assistant",
            "kind": "engine", "repeatable": true,
        });
        let payments = json!({
            "name": "payments", "team": "payments", "group": "payments",
            "kind": "service", "repeatable": false,
        });
        self.put_row(0, "pools/assistant", None, &assistant).await?;
        self.put_row(0, "pools/payments", None, &payments).await?;
        self.wait_rows(2).await?;
        let chat =
            json!({ "name": "chat", "team": "renewals", "path": "/v1/chat", "pool": "assistant" });
        let pay = json!({ "name": "pay", "team": "payments", "path": "/pay", "pool": "payments" });
        self.put_row(0, "routes/chat", None, &chat).await?;
        self.put_row(0, "routes/pay", None, &pay).await?;
        self.wait_rows(4).await
    }

    /// Writes a host into the platform's host list, or removes it if there is no `row`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn set_host_entry(
        &self,
        name: &str,
        row: Option<&Value>,
    ) -> Result<(), Report<FleetError>> {
        let method = if row.is_some() { Method::PUT } else { Method::DELETE };
        let body = row.map(ToString::to_string).unwrap_or_default();
        let path = format!("/hosts/{name}");
        let answer = self.client.call(method, self.platform, &path, &[], body).await;
        answer.map(drop).change_context(FleetError)
    }

    /// Allocates names and addresses for all processes; none is started.
    fn allocate(plan: FleetPlan, ports: &mut PortSource) -> Self {
        let domain = |index: usize| format!("domain-{}", index % plan.domains.max(1));
        let mut target = |kind: &str, group: &str, index: usize| TargetProcess {
            host: format!("{kind}-{index}").into(),
            group: group.into(),
            failure_domain: domain(index).into(),
            address: ports.allocate(),
            process: None,
        };
        let engines = (0..plan.engines).map(|index| target("engine", "assistant", index)).collect();
        let services =
            (0..plan.services).map(|index| target("service", "payments", index)).collect();
        let mut router = |index: usize| RouterProcess {
            host: format!("router-{index}").into(),
            failure_domain: domain(index).into(),
            caller_address: ports.allocate(),
            operator_address: ports.allocate(),
            peer_address: ports.allocate(),
            process: None,
        };
        let routers = (0..plan.routers).map(&mut router).collect();
        let platform = ports.allocate();
        let client = HttpClient::default();
        Self { plan, client, platform, platform_process: None, routers, engines, services }
    }

    fn journal_path(&self, host: &str) -> PathBuf {
        self.plan.workdir.join(format!("{host}.{JOURNAL_SUFFIX}"))
    }

    fn start_program(
        &self,
        program: &str,
        arguments: &[&str],
        name: &str,
    ) -> Result<ChildProcess, Report<FleetError>> {
        let log = self.plan.workdir.join(format!("{name}.log"));
        ChildProcess::start(&self.plan.programs.join(program), arguments, &log)
    }

    async fn register_hosts(&self) -> Result<(), Report<FleetError>> {
        for router in &self.routers {
            let row = json!({
                "name": router.host, "role": "entry", "group": "router", "state": "live",
                "address": router.caller_address.to_string(), "peer": router.peer_address.to_string(),
                "failure_domain": router.failure_domain,
            });
            self.set_host_entry(&router.host, Some(&row)).await?;
        }
        for target in self.engines.iter().chain(&self.services) {
            let row = json!({
                "name": target.host, "role": "target", "group": target.group, "state": "live",
                "address": target.address.to_string(), "failure_domain": target.failure_domain,
            });
            self.set_host_entry(&target.host, Some(&row)).await?;
        }
        Ok(())
    }
}

/// Removes the journals of an earlier fleet, so that a new one starts empty.
fn remove_journals(workdir: &Path) -> std::io::Result<()> {
    for entry in fs::read_dir(workdir)? {
        let path = entry?.path();
        if path.extension().is_some_and(|suffix| suffix == JOURNAL_SUFFIX) {
            fs::remove_file(path)?;
        }
    }
    Ok(())
}
