//! Settings and keys of the fleet's routers.

use std::{fs, path::PathBuf};

use base_types::HostName;
use error_stack::{Report, ResultExt};
use io_wire::keys::FleetAuthority;

use crate::{
    fleet::{FleetError, LocalFleet, RouterProcess},
    operators::operator_settings,
};

const SEEDS: usize = 3;

impl LocalFleet {
    /// Writes the certificates of a new fleet authority.
    pub(super) fn write_keys(&self) -> Result<(), Report<FleetError>> {
        let authority = FleetAuthority::generate().change_context(FleetError)?;
        let certificate = authority.files().certificate.as_bytes();
        fs::write(self.key_path("authority.crt"), certificate).change_context(FleetError)?;
        for router in &self.routers {
            let files = authority.issue(&HostName::new(&router.host)).change_context(FleetError)?;
            let certificate = self.key_path(&format!("{}.crt", router.host));
            fs::write(certificate, files.certificate.as_bytes()).change_context(FleetError)?;
            let key = self.key_path(&format!("{}.key", router.host));
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
            router.caller,
            router.operator,
            self.platform,
            router.peer,
            self.seed_list(router),
            self.key_path("authority.crt").display(),
            self.key_path(&format!("{}.crt", router.host)).display(),
            self.key_path(&format!("{}.key", router.host)).display(),
            self.plan.load_every.as_millis(),
            self.plan.linger.as_millis(),
            self.plan.drain.as_millis(),
            operator_settings(),
        )
    }

    /// Peer addresses of the next few routers, which stand in a router's settings.
    fn seed_list(&self, router: &RouterProcess) -> String {
        let own = self.routers.iter().position(|other| other.host == router.host).unwrap_or(0);
        let seeds = (1..self.routers.len()).take(SEEDS);
        let seeds = seeds.map(|step| &self.routers[(own + step) % self.routers.len()].peer);
        seeds.map(|peer| format!("\"{peer}\"")).collect::<Vec<_>>().join(", ")
    }

    fn key_path(&self, name: &str) -> PathBuf {
        self.plan.workdir.join(name)
    }
}
