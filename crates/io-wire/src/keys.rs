//! Certificates of a fleet: one authority and one certificate for each host.
//!
//! The authority's key alone is enough to issue certificates for further hosts, as the
//! authority's name and settings are fixed here.

use base_types::HostName;
use error_stack::{Report, ResultExt};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use time::{Duration, OffsetDateTime};

use crate::WireError;

/// Name that every router's certificate carries beside the name of its host.
pub const FLEET_NAME: &str = "router.knapweedport.internal";

const AUTHORITY_NAME: &str = "knapweedport fleet authority";
const AUTHORITY_DAYS: i64 = 3650;
const HOST_DAYS: i64 = 365;
const CLOCK_SLACK_DAYS: i64 = 1;

/// A certificate and its private key as PEM text.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyFiles {
    /// The certificate.
    pub certificate: Box<str>,
    /// The private key; secret.
    pub key: Box<str>,
}

impl std::fmt::Debug for KeyFiles {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyFiles").field("certificate", &self.certificate).finish_non_exhaustive()
    }
}

/// The authority whose certificates make hosts one fleet.
#[derive(Debug)]
pub struct FleetAuthority {
    issuer: Issuer<'static, KeyPair>,
    files: KeyFiles,
}

impl FleetAuthority {
    /// Makes an authority with a new key.
    ///
    /// # Errors
    ///
    /// Fails when no key can be made.
    pub fn generate() -> Result<Self, Report<WireError>> {
        let key = KeyPair::generate().change_context(WireError::Keys)?;
        Self::with_key(key)
    }

    /// The authority of an existing key, to issue certificates for further hosts.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a key.
    pub fn from_key(key_pem: &str) -> Result<Self, Report<WireError>> {
        let key = KeyPair::from_pem(key_pem).change_context(WireError::Keys)?;
        Self::with_key(key)
    }

    /// The authority's certificate, which each host trusts, and its key, which no host needs.
    pub fn files(&self) -> &KeyFiles {
        &self.files
    }

    /// Issues a certificate for a host.
    ///
    /// # Errors
    ///
    /// Fails when the host's name cannot stand in a certificate.
    pub fn issue(&self, host: &HostName) -> Result<KeyFiles, Report<WireError>> {
        let names = vec![host.as_str().to_owned(), FLEET_NAME.to_owned()];
        let mut params = CertificateParams::new(names).change_context(WireError::Keys)?;
        params.distinguished_name.push(DnType::CommonName, host.as_str());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        params.use_authority_key_identifier_extension = true;
        set_validity(&mut params, HOST_DAYS);
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
        set_validity(&mut params, AUTHORITY_DAYS);
        let certificate = params.self_signed(&key).change_context(WireError::Keys)?;
        let files =
            KeyFiles { certificate: certificate.pem().into(), key: key.serialize_pem().into() };
        Ok(Self { issuer: Issuer::new(params, key), files })
    }
}

/// Validity starts a day early, as the clocks of hosts differ.
fn set_validity(params: &mut CertificateParams, days: i64) {
    let now = OffsetDateTime::now_utc();
    params.not_before = now - Duration::days(CLOCK_SLACK_DAYS);
    params.not_after = now + Duration::days(days);
}
