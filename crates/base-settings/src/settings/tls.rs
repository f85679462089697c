//! TLS of a listening port.

use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

use crate::{FileReader, SecretValue, section::SettingsSection};

/// Certificate chain and private key of a listening port, as PEM text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificate chain, the host's own certificate first.
    pub certificates: Box<[u8]>,
    /// Private key.
    pub key: SecretValue<Box<[u8]>>,
}

impl TlsSettings {
    pub(crate) fn read(
        root: &SettingsSection<'_, '_>,
        name: &'static str,
        files: &dyn FileReader,
    ) -> Option<Self> {
        let section = root.section(name)?;
        let certificates = read_pem(&section, "certificate", files, holds_certificate);
        let key = read_pem(&section, "key", files, holds_key);
        section.finish();
        Some(Self { certificates: certificates?, key: SecretValue::new(key?) })
    }
}

/// Reads a PEM file that a key names and notes why it cannot be used.
pub(crate) fn read_pem(
    section: &SettingsSection<'_, '_>,
    name: &'static str,
    files: &dyn FileReader,
    holds: fn(&[u8]) -> bool,
) -> Option<Box<[u8]>> {
    let path = section.required_text(name)?;
    let pem = match files.read(path) {
        Ok(pem) => pem,
        Err(reason) => {
            let problem = format!("names {path}, which cannot be read: {reason}");
            section.fault(name, problem, "name a PEM file that this process may read");
            return None;
        }
    };
    if !holds(&pem) {
        let problem = format!("names {path}, which holds no {name} in PEM form");
        section.fault(name, problem, "make one with `knapweedport keys`");
        return None;
    }
    Some(pem)
}

/// Whether PEM text holds at least one certificate and nothing that cannot be read.
pub(crate) fn holds_certificate(pem: &[u8]) -> bool {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    parsed.is_ok_and(|certificates| !certificates.is_empty())
}

/// Whether PEM text holds a private key.
pub(crate) fn holds_key(pem: &[u8]) -> bool {
    PrivateKeyDer::from_pem_slice(pem).is_ok()
}
