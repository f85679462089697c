//! `knapweedport keys`.

use std::{fs, path::Path};

use base_types::HostName;
use error_stack::{Report, ResultExt};
use io_wire::keys::{FleetAuthority, KeyFiles};

use crate::{
    commands::CommandResult,
    exit::CommandError,
    files::{read_text, write_public, write_secret},
};

const AUTHORITY: &str = "ca";

/// Makes an authority where there is none, and a certificate and key for each host.
pub(super) fn run(folder: &Path, hosts: &[String]) -> CommandResult {
    fs::create_dir_all(folder)
        .change_context(CommandError::Failed)
        .attach_with(|| format!("cannot make {}", folder.display()))?;
    let authority = authority(folder)?;
    for host in hosts {
        let files = authority.issue(&HostName::new(host)).change_context(CommandError::Failed)?;
        write_pair(folder, host, &files)?;
    }
    Ok(())
}

fn authority(folder: &Path) -> Result<FleetAuthority, Report<CommandError>> {
    let key = folder.join(format!("{AUTHORITY}-key.pem"));
    if key.exists() {
        return FleetAuthority::from_key(&read_text(&key)?).change_context(CommandError::Failed);
    }
    let authority = FleetAuthority::generate().change_context(CommandError::Failed)?;
    write_pair(folder, AUTHORITY, authority.files())?;
    Ok(authority)
}

fn write_pair(folder: &Path, name: &str, files: &KeyFiles) -> CommandResult {
    let certificate = folder.join(format!("{name}.pem"));
    let key = folder.join(format!("{name}-key.pem"));
    write_secret(&key, &files.key)?;
    write_public(&certificate, &files.certificate)?;
    println!("{}\n{}", certificate.display(), key.display());
    Ok(())
}
