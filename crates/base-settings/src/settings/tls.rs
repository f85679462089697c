//! TLS settings of a listening port, and checks of PEM files.

use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

use crate::{FileReader, SecretValue, section::SettingsSection};

/// Certificate chain and private key of a listening port, as PEM text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificate chain, with the host's own certificate first.
    pub certificates: Box<[u8]>,
    /// Private key that belongs to the first certificate.
    pub key: SecretValue<Box<[u8]>>,
}

impl TlsSettings {
    pub(crate) fn read(
        root: &SettingsSection<'_, '_>,
        name: &'static str,
        files: &dyn FileReader,
    ) -> Option<Self> {
        let section = root.section(name)?;
        let certificates = read_pem(&section, "certificate", files, contains_certificate);
        let key = read_pem(&section, "key", files, contains_private_key);
        section.finish();
        Some(Self { certificates: certificates?, key: SecretValue::new(key?) })
    }
}

/// Reads the PEM file that a key names, and records a fault when it cannot be used.
pub(crate) fn read_pem(
    section: &SettingsSection<'_, '_>,
    name: &'static str,
    files: &dyn FileReader,
    is_valid: fn(&[u8]) -> bool,
) -> Option<Box<[u8]>> {
    let path = section.required_string(name)?;
    let pem = match files.read(path) {
        Ok(pem) => pem,
        Err(reason) => {
            let problem = format!("names {path}, which cannot be read: {reason}");
            section.report_fault(name, problem, "use a PEM file that this process can read");
            return None;
        }
    };
    if !is_valid(&pem) {
        let problem = format!("names {path}, which contains no {name} in PEM format");
        section.report_fault(name, problem, "generate one with `knapweedport keys`");
        return None;
    }
    Some(pem)
}

/// Whether PEM text contains at least one certificate, and all certificates in it can be decoded.
pub(crate) fn contains_certificate(pem: &[u8]) -> bool {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    parsed.is_ok_and(|certificates| !certificates.is_empty())
}

pub(crate) fn contains_private_key(pem: &[u8]) -> bool {
    PrivateKeyDer::from_pem_slice(pem).is_ok()
}
