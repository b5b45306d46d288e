//! Actions that are audited.

use hawthornquay_decisions::{BackendName, DomainName, InstanceName, OrderKind};
use serde::{Deserialize, Serialize};

use crate::{BundleChanges, BundleDigest};

/// Action that is recorded in the audit log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case", deny_unknown_fields)]
pub enum AuditAction {
    /// A bundle was accepted.
    BundleAccepted {
        /// Version of the bundle.
        version: u64,
        /// Digest of the bundle.
        digest: BundleDigest,
        /// Numbers of changed sections. `None` in records of older versions of the command, and if
        /// the predecessor could not be read.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        changes: Option<BundleChanges>,
    },
    /// An instance wrote back a bundle that the store lost when it came back from an older copy.
    BundleRestored {
        /// Version of the bundle.
        version: u64,
        /// Digest of the bundle.
        digest: BundleDigest,
    },
    /// Another instance, or the same one with a new lease, now sends the orders to the engines of a
    /// failure domain.
    OrdererChanged {
        /// Failure domain.
        domain: DomainName,
        /// Instance that sends the orders from now on.
        instance: InstanceName,
        /// Fencing token, which follows the store revision of the lease key.
        fence: u64,
    },
    /// An order was sent to an engine; recorded whether or not the engine accepts it.
    OrderSent {
        /// Backend server.
        server: BackendName,
        /// Kind of the order.
        kind: OrderKind,
        /// Model, adapter, version or role that the order concerns.
        model: String,
        /// Fencing token of the instance that sent the order.
        fence: u64,
    },
}
