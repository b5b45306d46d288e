//! Assignment of backend servers to the instances that poll them.

use sha2::{Digest, Sha256};

use crate::{BackendName, InstanceName};

/// Returns the one of `instances` that polls `backend`, by rendezvous hashing; `None` if there are
/// no instances.
///
/// When an instance joins or leaves, only the servers that it polls are reassigned.
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
