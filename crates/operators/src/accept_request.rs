//! Request of an operator to accept a bundle.

use crate::{BundleDocument, BundleSignature, Trust};

/// Bundle with its signatures and the operator who brings it.
#[derive(Clone, Copy, Debug)]
pub struct AcceptRequest<'a> {
    /// Bundle to accept.
    pub document: &'a BundleDocument,
    /// Signatures over its version and digest.
    pub signatures: &'a [BundleSignature],
    /// Trust for the first bundle; without it, the first bundle's own signers count.
    pub first_trust: Option<&'a Trust>,
    /// Operator who acts, for the audit record.
    pub who: &'a str,
    /// Unix time in milliseconds, for the audit record.
    pub when_ms: u64,
}
