//! Choice of the instance that polls a backend server.

use sha2::{Digest, Sha256};

use crate::{BackendName, InstanceName};

/// Returns the instance of a domain that polls `backend`, by rendezvous hash.
///
/// When an instance comes or goes, only its own servers change hands.
pub fn polling_instance<'a>(
    backend: &BackendName,
    instances: impl IntoIterator<Item = &'a InstanceName>,
) -> Option<&'a InstanceName> {
    instances
        .into_iter()
        .max_by_key(|instance| (weight(backend, instance), *instance))
}

fn weight(backend: &BackendName, instance: &InstanceName) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(backend.as_str());
    hasher.update([0]);
    hasher.update(instance.as_str());
    hasher.finalize().into()
}
