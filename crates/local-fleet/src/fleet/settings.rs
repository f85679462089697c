//! Settings files and TLS credentials of the fleet's routers.

use std::{fs, path::PathBuf};

use base_types::HostName;
use error_stack::{Report, ResultExt};
use io_wire::keys::FleetAuthority;

use crate::{
    fleet::{FleetError, LocalFleet, RouterProcess},
    operators::operator_settings,
};

const PEER_SEED_COUNT: usize = 3;

impl LocalFleet {
    /// Generates a fleet authority and writes its certificate and the routers' certificates and
    /// keys.
    pub(super) fn write_credentials(&self) -> Result<(), Report<FleetError>> {
        let authority = FleetAuthority::generate().change_context(FleetError)?;
        let certificate = authority.files().certificate.as_bytes();
        fs::write(self.credential_path("authority.crt"), certificate).change_context(FleetError)?;
        for router in &self.routers {
            let files = authority.issue(&HostName::new(&router.host)).change_context(FleetError)?;
            let certificate = self.credential_path(&format!("{}.crt", router.host));
            fs::write(certificate, files.certificate.as_bytes()).change_context(FleetError)?;
            let key = self.credential_path(&format!("{}.key", router.host));
            fs::write(key, files.key.as_bytes()).change_context(FleetError)?;
        }
        Ok(())
    }

    pub(super) fn settings_text(&self, router: &RouterProcess) -> String {
        format!(
            "host = \"{}\"\nfailure_domain = \"{}\"\ncaller_listen = \"{}\"\n\
             operator_listen = \"{}\"\nplatform = \"{}\"\npeer_listen = \"{}\"\n\
             peer_seeds = [{}]\n\n[peer_tls]\nca = \"{}\"\ncertificate = \"{}\"\nkey = \"{}\"\n\n\
             [orders]\nload_every_ms = {}\n\n[stop]\nlinger_ms = {}\ndrain_ms = {}\n{}",
            router.host,
            router.failure_domain,
            router.caller_address,
            router.operator_address,
            self.platform,
            router.peer_address,
            self.seed_list(router),
            self.credential_path("authority.crt").display(),
            self.credential_path(&format!("{}.crt", router.host)).display(),
            self.credential_path(&format!("{}.key", router.host)).display(),
            self.plan.model_load_interval.as_millis(),
            self.plan.linger_time.as_millis(),
            self.plan.drain_timeout.as_millis(),
            operator_settings(),
        )
    }

    /// Value of a router's `peer_seeds` setting: the peer addresses of the next few routers.
    fn seed_list(&self, router: &RouterProcess) -> String {
        let own_index =
            self.routers.iter().position(|other| other.host == router.host).unwrap_or(0);
        let seeds = (1..self.routers.len()).take(PEER_SEED_COUNT);
        let seeds = seeds
            .map(|offset| &self.routers[(own_index + offset) % self.routers.len()].peer_address);
        seeds.map(|peer| format!("\"{peer}\"")).collect::<Vec<_>>().join(", ")
    }

    fn credential_path(&self, name: &str) -> PathBuf {
        self.plan.workdir.join(name)
    }
}
