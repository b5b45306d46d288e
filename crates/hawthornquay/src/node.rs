//! State of one instance.

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
    DomainName, EraRecovery, InstanceId, InstanceName, InstanceRecord, IssuedKeyTable, LimitTable,
    Map, MemberTable, MonotonicTime, RequestId, Rollout, RouteTarget, RoutingLocation,
    SlotSnapshot,
};
use hawthornquay_http::MemoryBudget;
use hawthornquay_instances::{LinkCounters, LinkPool};
use hawthornquay_operators::DaemonSettings;
use hawthornquay_store::PlatformClient;
use parking_lot::Mutex;
use tokio::sync::{Notify, Semaphore};

use crate::{
    BundleTable, ClaimJournal, ClaimLeases, Drain, Metrics, PartLogs, RequestLog, RequestQueue,
    RoutingState, UnreadAnswers, clock,
};

/// State of one instance, shared by its requests and background tasks.
///
/// A task that holds several locks takes them in the order `rollout`, `members`, `limits`,
/// `routing`, `issued_keys`. The other locks are leaves: no lock is taken while one is held. No
/// lock is held across an `await`.
pub struct Node {
    /// Name and incarnation of the process.
    pub id: InstanceId,
    /// Region and failure domain of the instance.
    pub location: RoutingLocation,
    /// Settings of the daemon.
    pub settings: DaemonSettings,
    /// Time at which the process started.
    pub started_at: MonotonicTime,
    /// Loggers of the daemon's parts.
    pub log: PartLogs,
    /// Metrics.
    pub metrics: Metrics,
    /// State of the bundle rollout.
    pub rollout: Mutex<Rollout>,
    /// Member table of the fleet.
    pub members: Mutex<MemberTable>,
    /// Rate limits of the organisations.
    pub limits: Mutex<LimitTable>,
    /// Load, prefix caches, capacity grants and retry budget.
    pub routing: Mutex<RoutingState>,
    /// Idempotency keys that this process issued.
    pub issued_keys: Mutex<IssuedKeyTable>,
    /// Bundle in force.
    pub bundle: BundleTable,
    /// Version of the head last read from the store, and the time at which that read began.
    pub last_head_read: ArcSwapOption<(u64, MonotonicTime)>,
    /// Notified when a loan request has been answered or has failed.
    pub loan_answered: Notify,
    /// Queue of requests that wait for a free backend server.
    pub queue: RequestQueue,
    /// Answers that are being sent to callers.
    pub unread_answers: UnreadAnswers,
    /// Log of recent requests.
    pub requests: RequestLog,
    /// Recovery of the store after it came back from an older copy.
    pub era_recovery: Mutex<EraRecovery>,
    /// Recent claims, which are written back if the store loses them.
    pub claim_journal: Mutex<ClaimJournal>,
    /// Store leases of claims.
    pub claim_leases: ClaimLeases,
    /// Instances that received a digest in the last gossip round.
    pub gossip_partners: Mutex<Vec<InstanceName>>,
    /// The platform's list of instances as last read, and how far it may be out of date.
    pub instance_list: Mutex<(Vec<InstanceRecord>, Duration)>,
    /// Slots of all failure domains as last read from the store.
    pub slots: Mutex<SlotSnapshot>,
    /// Time of the last capacity request for each failure domain and target; only recent ones.
    pub capacity_requested_at: Mutex<Map<(DomainName, RouteTarget), MonotonicTime>>,
    /// Memory that clients may take up: connections and bodies of requests.
    pub memory: MemoryBudget,
    /// Permits for the requests of callers that run, as many as callers may have connections.
    pub running_requests: Arc<Semaphore>,
    /// HTTP client of backend servers.
    pub backends: BackendClient,
    /// HTTP client of the platform.
    pub platform: PlatformClient,
    /// Links to other instances.
    pub links: LinkPool,
    /// Byte counters of the links.
    pub link_counters: Arc<LinkCounters>,
    /// Count of the requests in flight, and the shutdown state.
    pub drain: Arc<Drain>,
    pub(crate) request_sequence: AtomicU64,
}

impl Node {
    /// Returns an identifier for a new request, which names this process.
    pub fn next_request_id(&self) -> RequestId {
        let sequence = self.request_sequence.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId::new(&format!(
            "{}-{}-{sequence}",
            self.id.name, self.id.incarnation
        ))
    }

    /// Returns this instance's position among the watchers of the store in its region, or `None` if
    /// it is no watcher.
    pub fn watcher_rank(&self) -> Option<usize> {
        let members = self.members.lock();
        let watchers = members.watchers(&self.location.region, clock::now());
        watchers.iter().position(|name| *name == self.id.name)
    }

    /// Returns whether this instance is one of the watchers of the store in its region.
    pub fn is_watcher(&self) -> bool {
        self.watcher_rank().is_some()
    }

    /// Returns the bytes of control traffic on the links, including TLS overhead.
    ///
    /// These are all bytes except those of forwarded requests and answers.
    pub fn control_bytes(&self) -> u64 {
        let sockets = self.link_counters.socket_bytes_in() + self.link_counters.socket_bytes_out();
        let forwarded = &self.link_counters.forwarded;
        sockets.saturating_sub(forwarded.bytes_in() + forwarded.bytes_out())
    }
}
