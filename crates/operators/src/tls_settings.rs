//! Files for mutual TLS between instances.

use std::path::PathBuf;

/// Section `[tls]` of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// PEM file with the certificate of the instance.
    pub certificate: PathBuf,
    /// PEM file with the private key of the instance.
    pub key: PathBuf,
    /// PEM file with the certificate of the authority that signs the instances' certificates.
    pub authority: PathBuf,
}
