//! Request to accept a bundle.

use crate::{BundleDocument, BundleSignature, Trust};

/// Bundle to accept, with its signatures and the operator who submits it.
#[derive(Clone, Copy, Debug)]
pub struct AcceptRequest<'a> {
    /// Bundle to accept.
    pub document: &'a BundleDocument,
    /// Signatures over the version and digest of the bundle.
    pub signatures: &'a [BundleSignature],
    /// Trust that the first bundle is checked against. If it is `None`, the first bundle is checked
    /// against the signers that it names itself.
    pub first_trust: Option<&'a Trust>,
    /// Name of the operator, for the audit record.
    pub who: &'a str,
    /// Unix time in milliseconds, for the audit record.
    pub when_ms: u64,
}
