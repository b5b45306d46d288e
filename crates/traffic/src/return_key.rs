//! Identity of a request that may return after a refusal.

use hawthornquay_decisions::{OrganisationId, ServiceName};

use crate::{Work, stable_hash};

/// Identity of a request that may return with another request identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReturnKey {
    /// Hash of the organisation, the service and the last part of the prompt.
    pub hash: u64,
    /// Hash of the service.
    pub service: u32,
    /// Hash of the organisation.
    pub organisation: u32,
}

impl ReturnKey {
    /// Builds the key of a request; `None` if its prompt has no parts.
    pub fn new(
        organisation: Option<&OrganisationId>,
        service: &ServiceName,
        work: &Work,
    ) -> Option<Self> {
        let part = work.parts.last()?.id.to_le_bytes();
        let organisation = organisation.map_or(&[][..], |id| id.as_str().as_bytes());
        Some(Self {
            hash: stable_hash(&[organisation, service.as_str().as_bytes(), &part]),
            service: service_hash(service),
            organisation: stable_hash(&[organisation]) as u32,
        })
    }
}

/// Returns the hash by which promises name a service.
pub(crate) fn service_hash(service: &ServiceName) -> u32 {
    stable_hash(&[service.as_str()]) as u32
}
