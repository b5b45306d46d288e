//! Authentication of links.

use crate::TlsIdentity;

/// How the two ends of a link authenticate each other.
///
/// All instances of a fleet have to use the same variant.
#[derive(Clone)]
pub enum LinkSecurity {
    /// Mutual TLS with certificates that contain the instance names.
    MutualTls(TlsIdentity),
    /// No authentication or encryption: only instances of the fleet can reach the network.
    TrustedNetwork,
}

impl From<TlsIdentity> for LinkSecurity {
    fn from(identity: TlsIdentity) -> Self {
        Self::MutualTls(identity)
    }
}
