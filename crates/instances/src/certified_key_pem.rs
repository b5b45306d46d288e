//! Generated certificate and key.

/// Certificate and private key of one instance, as PEM text.
#[derive(Clone)]
pub struct CertifiedKeyPem {
    /// Certificate.
    pub certificate: String,
    /// Private key.
    pub key: String,
}
