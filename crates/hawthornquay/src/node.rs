//! Shared tables of one instance.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use hawthornquay_backends::BackendClient;
use hawthornquay_decisions::{
    DomainName, InstanceId, InstanceName, InstanceRecord, IssuedKeyTable, LimitTable, Map,
    MemberTable, MonotonicTime, RequestId, Rollout, RouteTarget, RoutingLocation, SlotSnapshot,
};
use hawthornquay_instances::{LinkCounters, LinkPool};
use hawthornquay_operators::DaemonSettings;
use hawthornquay_store::PlatformClient;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    BundleTable, ClaimLeases, Drain, Metrics, PartLogs, RequestLog, RequestQueue, RoutingState,
    clock,
};

/// Tables that the requests and tasks of one instance share.
///
/// Locks are taken in the order of the fields `rollout`, `members`, `limits`, `routing`,
/// `issued_keys`; the others are leaves. None is held across an `await`.
pub struct Node {
    /// Identity of the process.
    pub id: InstanceId,
    /// Place of the instance.
    pub location: RoutingLocation,
    /// Settings.
    pub settings: DaemonSettings,
    /// When the process started.
    pub started_at: MonotonicTime,
    /// Loggers.
    pub log: PartLogs,
    /// Metrics.
    pub metrics: Metrics,
    /// Rollout of bundles.
    pub rollout: Mutex<Rollout>,
    /// Other instances.
    pub members: Mutex<MemberTable>,
    /// Limits of organisations.
    pub limits: Mutex<LimitTable>,
    /// Load of backend servers.
    pub routing: Mutex<RoutingState>,
    /// Issued idempotency keys.
    pub issued_keys: Mutex<IssuedKeyTable>,
    /// Bundle in force.
    pub bundle: BundleTable,
    /// Version of the head that the store last gave, and when it was asked.
    pub head_seen: ArcSwapOption<(u64, MonotonicTime)>,
    /// Signals an answer to a loan request.
    pub loans: Notify,
    /// Requests that wait for a free backend server.
    pub queue: RequestQueue,
    /// Recent requests.
    pub requests: RequestLog,
    /// Leases of claims.
    pub claim_leases: ClaimLeases,
    /// Instances that digests go to now.
    pub partners: Mutex<Vec<InstanceName>>,
    /// The platform's list as last read, with its lag.
    pub listed: Mutex<(Vec<InstanceRecord>, Duration)>,
    /// Slots as last read from the store.
    pub slots: Mutex<SlotSnapshot>,
    /// Domains that were asked for their load lately.
    pub asked_domains: Mutex<Map<(DomainName, RouteTarget), MonotonicTime>>,
    /// Client of backend servers.
    pub backends: BackendClient,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Links to other instances.
    pub links: LinkPool,
    /// Traffic of the links.
    pub counters: Arc<LinkCounters>,
    /// Requests in flight.
    pub drain: Arc<Drain>,
    pub(crate) sequence: AtomicU64,
}

impl Node {
    /// Returns the identifier of the next request.
    pub fn next_request_id(&self) -> RequestId {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId::new(&format!(
            "{}-{}-{sequence}",
            self.id.name, self.id.incarnation
        ))
    }

    /// Returns this instance's rank among its region's watchers of the store, if it is one.
    pub fn watcher_rank(&self) -> Option<usize> {
        let members = self.members.lock();
        let watchers = members.watchers(&self.location.region, clock::now());
        watchers.iter().position(|name| *name == self.id.name)
    }

    /// Returns whether this instance is one of its region's watchers of the store.
    pub fn is_watcher(&self) -> bool {
        self.watcher_rank().is_some()
    }

    /// Returns the bytes of control traffic on links, TLS included.
    pub fn control_bytes(&self) -> u64 {
        let sockets = self.counters.socket_bytes_in() + self.counters.socket_bytes_out();
        let forwarded = &self.counters.forwarded;
        sockets.saturating_sub(forwarded.bytes_in() + forwarded.bytes_out())
    }
}
