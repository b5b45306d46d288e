//! Authentication and residency check of a request.

use std::sync::Arc;

use hawthornquay_callers::CallerKey;
use hawthornquay_decisions::{
    Organisation, OrganisationId, Refusal, RefusalCode, RequestId, Residency,
};
use hawthornquay_operators::caller_key_digest;

use crate::{ActiveBundle, Decision, Node};

/// Organisation that a request runs for, with the bundle that was in force on its arrival.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Bundle in force when the request arrived.
    pub bundle: Arc<ActiveBundle>,
    /// Organisation that the request runs for.
    pub organisation: Organisation,
}

impl Admission {
    /// Admits a request by its API key, if the organisation's residency allows this region.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the instance has no bundle, the key is missing or unknown, or the
    /// residency does not allow the region of this instance.
    pub fn by_key(node: &Node, id: &RequestId, key: Option<&CallerKey>) -> Result<Self, Refusal> {
        let bundle = node.bundle.required()?;
        let organisation = key
            .map(|key| caller_key_digest(&bundle.bundle().key_salt, key.expose_secret()))
            .and_then(|digest| bundle.bundle().organisation_of(&digest))
            .cloned()
            .ok_or_else(key_rejected)?;
        let version = bundle.version();
        Self {
            bundle,
            organisation,
        }
        .record_and_check_residency(node, id, Decision::KeyAccepted { version })
    }

    /// Admits a request on an open route for the organisation that the route names.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the bundle lacks the organisation, or its residency does not allow the
    /// region of this instance.
    pub fn by_open_route(
        node: &Node,
        id: &RequestId,
        bundle: Arc<ActiveBundle>,
        organisation: &OrganisationId,
    ) -> Result<Self, Refusal> {
        let organisation = bundle
            .bundle()
            .organisations
            .get(organisation)
            .cloned()
            .ok_or_else(key_rejected)?;
        let version = bundle.version();
        Self {
            bundle,
            organisation,
        }
        .record_and_check_residency(node, id, Decision::OpenRoute { version })
    }

    /// Opens the log entry of the request, records how it was accepted and checks the residency.
    fn record_and_check_residency(
        self,
        node: &Node,
        id: &RequestId,
        accepted: Decision,
    ) -> Result<Self, Refusal> {
        node.requests.open(id, Some(&self.organisation.id));
        node.requests.record(id, accepted);
        if !self.organisation.residency.allows(&node.location.region) {
            return Err(residency_refused(node, &self.organisation.residency));
        }
        node.requests.record(id, Decision::ResidencyAllowed);
        Ok(self)
    }
}

fn key_rejected() -> Refusal {
    Refusal::not_run(
        RefusalCode::KeyRejected,
        "send a valid key as `Authorization: Bearer <key>`; this one is missing, unknown or revoked",
    )
}

fn residency_refused(node: &Node, residency: &Residency) -> Refusal {
    let allowed: Vec<String> = node
        .caller_list(residency, None)
        .into_iter()
        .map(|entry| format!("{} at {}", entry.name, entry.address))
        .collect();
    Refusal::not_run(
        RefusalCode::ResidencyRefused,
        &format!(
            "the organisation's data may not enter this region; use one of: {}",
            allowed.join(", ")
        ),
    )
}
