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

const AUTHORITY_FILE_STEM: &str = "ca";

/// Creates the fleet authority unless the folder has one, and issues a certificate and key for each
/// host.
pub(super) fn run(folder: &Path, hosts: &[String]) -> CommandResult {
    fs::create_dir_all(folder)
        .change_context(CommandError::Failed)
        .attach_with(|| format!("cannot create {}", folder.display()))?;
    let authority = load_or_create_authority(folder)?;
    for host in hosts {
        let files = authority.issue(&HostName::new(host)).change_context(CommandError::Failed)?;
        write_key_pair(folder, host, &files)?;
    }
    Ok(())
}

fn load_or_create_authority(folder: &Path) -> Result<FleetAuthority, Report<CommandError>> {
    let key = folder.join(format!("{AUTHORITY_FILE_STEM}-key.pem"));
    if key.exists() {
        return FleetAuthority::from_key(&read_text(&key)?).change_context(CommandError::Failed);
    }
    let authority = FleetAuthority::generate().change_context(CommandError::Failed)?;
    write_key_pair(folder, AUTHORITY_FILE_STEM, authority.files())?;
    Ok(authority)
}

fn write_key_pair(folder: &Path, name: &str, files: &KeyFiles) -> CommandResult {
    let certificate = folder.join(format!("{name}.pem"));
    let key = folder.join(format!("{name}-key.pem"));
    write_secret(&key, &files.key)?;
    write_public(&certificate, &files.certificate)?;
    println!("{}\n{}", certificate.display(), key.display());
    Ok(())
}
