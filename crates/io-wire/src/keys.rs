//! Certificates of a fleet: one authority, and one certificate per host that the authority issues.
//!
//! The key of the authority suffices to issue certificates for further hosts, because the name and
//! the parameters of its certificate are constants of this module.

use base_types::HostName;
use error_stack::{Report, ResultExt};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use time::{Duration, OffsetDateTime};

use crate::WireError;

/// DNS name in the certificate of every host, in addition to the name of the host; links verify it
/// as the server name.
pub const FLEET_NAME: &str = "router.knapweedport.internal";

const AUTHORITY_NAME: &str = "knapweedport fleet authority";
const AUTHORITY_VALIDITY_DAYS: i64 = 3650;
const HOST_VALIDITY_DAYS: i64 = 365;
const CLOCK_SKEW_DAYS: i64 = 1;

/// A certificate and its private key, as PEM text; the `Debug` form leaves out the key.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificate of the authority or of a host.
    pub certificate: Box<str>,
    /// Private key that belongs to the certificate; must not be logged.
    pub key: Box<str>,
}

impl std::fmt::Debug for KeyFiles {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyFiles").field("certificate", &self.certificate).finish_non_exhaustive()
    }
}

/// Certificate authority of one fleet; hosts accept links only from hosts with its certificates.
#[derive(Debug)]
pub struct FleetAuthority {
    issuer: Issuer<'static, KeyPair>,
    files: KeyFiles,
}

impl FleetAuthority {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    ///
    /// Fails when no key can be generated.
    pub fn generate() -> Result<Self, Report<WireError>> {
        let key = KeyPair::generate().change_context(WireError::Keys)?;
        Self::with_key(key)
    }

    /// Restores the authority of an existing key, to issue certificates for further hosts.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a private key in PEM format.
    pub fn from_key(key_pem: &str) -> Result<Self, Report<WireError>> {
        let key = KeyPair::from_pem(key_pem).change_context(WireError::Keys)?;
        Self::with_key(key)
    }

    /// Certificate of the authority, which every host trusts, and its key, which no host needs.
    pub fn files(&self) -> &KeyFiles {
        &self.files
    }

    /// Issues a certificate with a new key for a host.
    ///
    /// # Errors
    ///
    /// Fails when the name of the host is not a valid DNS name for a certificate, or no key can be
    /// generated.
    pub fn issue(&self, host: &HostName) -> Result<KeyFiles, Report<WireError>> {
        let names = vec![host.as_str().to_owned(), FLEET_NAME.to_owned()];
        let mut params = CertificateParams::new(names).change_context(WireError::Keys)?;
        params.distinguished_name.push(DnType::CommonName, host.as_str());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        params.use_authority_key_identifier_extension = true;
        set_validity(&mut params, HOST_VALIDITY_DAYS);
        let key = KeyPair::generate().change_context(WireError::Keys)?;
        let certificate = params.signed_by(&key, &self.issuer).change_context(WireError::Keys)?;
        Ok(KeyFiles { certificate: certificate.pem().into(), key: key.serialize_pem().into() })
    }

    fn with_key(key: KeyPair) -> Result<Self, Report<WireError>> {
        let mut params = CertificateParams::default();
        params.distinguished_name = rcgen::DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, AUTHORITY_NAME);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        set_validity(&mut params, AUTHORITY_VALIDITY_DAYS);
        let certificate = params.self_signed(&key).change_context(WireError::Keys)?;
        let files =
            KeyFiles { certificate: certificate.pem().into(), key: key.serialize_pem().into() };
        Ok(Self { issuer: Issuer::new(params, key), files })
    }
}

/// Sets a validity that starts a day in the past, as the clocks of hosts differ.
fn set_validity(params: &mut CertificateParams, days: i64) {
    let now = OffsetDateTime::now_utc();
    params.not_before = now - Duration::days(CLOCK_SKEW_DAYS);
    params.not_after = now + Duration::days(days);
}
