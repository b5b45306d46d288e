//! Protection of links.

use crate::TlsIdentity;

/// How the two ends of a link know each other.
///
/// Both ends of a fleet have to use the same kind.
#[derive(Clone)]
pub enum LinkSecurity {
    /// Certificates that name the instances, over TLS.
    MutualTls(TlsIdentity),
    /// Nothing: the network admits only instances of the fleet.
    TrustedNetwork,
}

impl From<TlsIdentity> for LinkSecurity {
    fn from(identity: TlsIdentity) -> Self {
        Self::MutualTls(identity)
    }
}
