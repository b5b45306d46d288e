//! Settings of mutual TLS between instances.

use std::path::PathBuf;

/// Section `[tls]` of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// PEM file with the instance's certificate.
    pub certificate: PathBuf,
    /// PEM file with the instance's private key.
    pub key: PathBuf,
    /// PEM file with the authority's certificate.
    pub authority: PathBuf,
}
