//! Certificate and private key of an instance.

/// Certificate and private key of an instance, in PEM format.
#[derive(Clone)]
pub struct CertifiedKeyPem {
    /// Certificate.
    pub certificate: String,
    /// Private key.
    pub key: String,
}
