//! Shared tables of one instance.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use hawthornquay_backends::BackendClient;
use hawthornquay_decisions::{
    InstanceId, IssuedKeyTable, LimitTable, MemberTable, RequestId, RoutingPlace,
};
use hawthornquay_instances::LinkPool;
use hawthornquay_operators::{DaemonSettings, Logs};
use hawthornquay_platform::PlatformClient;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{BundleTable, Drain, Metrics, RequestLog, RequestQueue, RoutingState};

/// Tables that the requests and tasks of one instance share.
///
/// Locks are taken in the order of the fields `members`, `limits`, `routing`, `queue`,
/// `issued_keys`, and none is held across an `await`.
pub struct Node {
    /// Identity of the process.
    pub id: InstanceId,
    /// Place of the instance.
    pub place: RoutingPlace,
    /// Settings.
    pub settings: DaemonSettings,
    /// Loggers.
    pub logs: Logs,
    /// Metrics.
    pub metrics: Metrics,
    /// Other instances.
    pub members: Mutex<MemberTable>,
    /// Bundle in force.
    pub bundle: BundleTable,
    /// Limits of organisations.
    pub limits: Mutex<LimitTable>,
    /// Signals an answer to a loan request.
    pub loans: Notify,
    /// Load of backend servers.
    pub routing: Mutex<RoutingState>,
    /// Requests that wait for a free backend server.
    pub queue: RequestQueue,
    /// Issued idempotency keys.
    pub issued_keys: Mutex<IssuedKeyTable>,
    /// Recent requests.
    pub requests: RequestLog,
    /// Client of backend servers.
    pub backends: BackendClient,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Links to other instances.
    pub links: LinkPool,
    /// Requests in flight.
    pub drain: Arc<Drain>,
    /// Number of the last request.
    pub(crate) sequence: AtomicU64,
}

impl Node {
    /// Returns the identifier of the next request.
    pub fn next_request_id(&self) -> RequestId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId::new(&format!("{}-{}-{sequence}", self.id.name, self.id.incarnation))
    }
}
