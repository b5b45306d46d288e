//! What was done.

use hawthornquay_decisions::{BackendName, DomainName, InstanceName, OrderKind};
use serde::{Deserialize, Serialize};

use crate::{BundleChanges, BundleDigest};

/// Action that leaves an audit record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum AuditAction {
    /// A bundle was accepted.
    BundleAccepted {
        /// Version of the bundle.
        version: u64,
        /// Digest of the bundle.
        digest: BundleDigest,
        /// Sections that changed; none in records of older versions of the command, and if the
        /// predecessor could not be read.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        changes: Option<BundleChanges>,
    },
    /// Another instance, or the same one with a new lease, orders the engines of a failure domain.
    OrdererChanged {
        /// Failure domain.
        domain: DomainName,
        /// Instance that orders from now on.
        instance: InstanceName,
        /// Fencing number, which is the store revision of the lease key.
        fence: u64,
    },
    /// An order was sent to an engine, whatever its answer.
    OrderSent {
        /// Backend server.
        server: BackendName,
        /// What was ordered.
        kind: OrderKind,
        /// Model, adapter, version or role that the order concerns.
        model: String,
        /// Fencing number of the orderer.
        fence: u64,
    },
}
