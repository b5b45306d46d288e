//! Start and shutdown of an instance.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use hawthornquay_backends::{BackendClient, ClientLimits};
use hawthornquay_callers::caller_router;
use hawthornquay_decisions::{
    GossipSettings, Incarnation, InstanceId, InstanceRecord, InstanceState, IssuedKeyTable,
    LimitTable, MemberTable, Rollout, RoutingLocation,
};
use hawthornquay_http::{
    ConnectionBudget, ConnectionEnd, EndReason, HttpServer, MemoryBudget, ServerLimits,
};
use hawthornquay_instances::{LinkError, LinkPool, LocalInstance, PeerServer, TlsIdentity};
use hawthornquay_operators::{DaemonSettings, Logs};
use hawthornquay_store::{CallTimeouts, PlatformClient};
use parking_lot::Mutex;
use slog::{debug, info, warn};
use tokio::{sync::Semaphore, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    BundleTable, CallerGateway, Drain, Metrics, MetricsError, Node, PartLogs, PeerGateway,
    RequestLog, RequestQueue, RoutingState, UnreadAnswers, clock,
    directory_task::run_directory_updates,
    gossip,
    limit_task::{release_slots, run_loan_renewals, run_slot_updates},
    load_task::run_load_polls,
    operator_router,
    order_task::run_orders,
    rollout_task::{install_first_bundle, run_head_reads, run_head_watch},
    store_recovery::run_store_recovery,
    unread_answers::run_unread_answer_checks,
};

/// Smallest memory for clients: the largest body fits into it, with the copies of its parsing.
const MIN_CLIENT_MEMORY_BYTES: usize = 16 << 20;

/// Longest time for which a shutdown waits for the requests in flight.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(600);

/// Failure to start an instance.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// A TLS file cannot be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// Links to other instances cannot be set up.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The metrics cannot be registered.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// Running instance with its listeners and background tasks.
pub struct Daemon {
    node: Arc<Node>,
    callers: JoinHandle<bool>,
    operators: JoinHandle<bool>,
    peers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    callers_shutdown: CancellationToken,
    shutdown: CancellationToken,
}

impl Daemon {
    /// Starts an instance, which refuses requests until it has installed a bundle.
    ///
    /// # Errors
    ///
    /// Returns an error if a TLS file is unreadable or invalid, an address cannot be bound, or the
    /// metrics cannot be registered.
    pub async fn start(settings: DaemonSettings, logs: Logs) -> Result<Self, DaemonError> {
        let local = local_instance(&settings)?;
        let node = Arc::new(build_node(settings, logs, local.clone())?);
        let peers = PeerServer::bind(
            node.settings.instance.peers,
            local,
            Arc::new(PeerGateway(Arc::clone(&node))),
        )
        .await?;
        let callers_router = caller_router(Arc::new(CallerGateway(Arc::clone(&node))));
        let connections = ConnectionBudget::for_machine(node.settings.machine.descriptors);
        let (address, max) = (node.settings.instance.callers, connections.callers());
        let callers = bind(address, callers_router, max, &node).await?;
        let operators_router = operator_router(Arc::clone(&node));
        let (address, max) = (node.settings.instance.operators, connections.status());
        let operators = bind(address, operators_router, max, &node).await?;
        let (callers_shutdown, shutdown) = (CancellationToken::new(), CancellationToken::new());
        info!(node.log.daemon, "started"; "instance" => %node.id);
        Ok(Self {
            callers: tokio::spawn(callers.serve(callers_shutdown.clone())),
            operators: tokio::spawn(operators.serve(shutdown.clone())),
            peers: tokio::spawn(peers.serve(shutdown.clone())),
            tasks: spawn_tasks(&node),
            node,
            callers_shutdown,
            shutdown,
        })
    }

    /// Returns the state of the instance.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Stops the instance after its requests in flight have ended.
    ///
    /// It waits up to 600 s for them and refuses new requests meanwhile.
    pub async fn stop(self) {
        let Self {
            node,
            callers,
            operators,
            peers,
            tasks,
            callers_shutdown,
            shutdown,
        } = self;
        info!(node.log.daemon, "stopping"; "in_flight" => node.drain.in_flight());
        node.drain.close();
        node.members.lock().own_entry_mut().leaving = true;
        let drained = tokio::time::timeout(MAX_DRAIN_TIME, node.drain.wait_idle()).await;
        if drained.is_err() {
            warn!(node.log.daemon, "shutdown continues with requests in flight"; "in_flight" => node.drain.in_flight());
        }
        // The listener stays open until here and refuses new requests. Closing it resets
        // connections that have not been accepted, and their callers cannot know whether their
        // requests ran.
        callers_shutdown.cancel();
        let _ = callers.await;
        release_slots(&node).await;
        shutdown.cancel();
        node.links.close();
        for task in tasks {
            task.abort();
        }
        let _ = tokio::join!(operators, peers);
        info!(node.log.daemon, "stopped");
    }

    /// Ends the instance immediately, like a crash: requests are cut off and slots are not
    /// released.
    pub async fn abort(self) {
        self.shutdown.cancel();
        self.node.links.close();
        let servers = [self.callers, self.operators];
        let tasks = self.tasks.into_iter().chain([self.peers]);
        for task in &servers {
            task.abort();
        }
        for task in tasks {
            task.abort();
            let _ = task.await;
        }
        for task in servers {
            let _ = task.await;
        }
    }
}

fn spawn_tasks(node: &Arc<Node>) -> Vec<JoinHandle<()>> {
    let queue = Arc::clone(node);
    let rollout = Arc::clone(node);
    vec![
        tokio::spawn(run_store_recovery(Arc::clone(node))),
        tokio::spawn(gossip::run_membership(Arc::clone(node))),
        tokio::spawn(async move {
            install_first_bundle(&rollout).await;
            tokio::join!(
                run_head_reads(Arc::clone(&rollout)),
                run_head_watch(rollout)
            );
        }),
        tokio::spawn(run_slot_updates(Arc::clone(node))),
        tokio::spawn(run_loan_renewals(Arc::clone(node))),
        tokio::spawn(run_load_polls(Arc::clone(node))),
        tokio::spawn(run_orders(Arc::clone(node))),
        tokio::spawn(run_unread_answer_checks(Arc::clone(node))),
        tokio::spawn(run_directory_updates(Arc::clone(node))),
        tokio::spawn(async move { queue.queue.run(&queue).await }),
    ]
}

async fn bind(
    address: SocketAddr,
    router: gotham::router::Router,
    max_connections: usize,
    node: &Arc<Node>,
) -> Result<HttpServer, DaemonError> {
    let limits = ServerLimits {
        max_connections,
        ..ServerLimits::default()
    };
    let observer = Arc::clone(node);
    let server = HttpServer::bind(address, router, limits)
        .await
        .map_err(|source| DaemonError::Listen { address, source })?;
    Ok(server
        .with_memory(node.memory.clone())
        .with_end_observer(move |end| report_connection_end(&observer, end)))
}

/// Counts a connection that the server ended because memory or connections ran short.
fn report_connection_end(node: &Node, end: &ConnectionEnd) {
    if end.reason == EndReason::Pressure {
        node.metrics.count_pressure_end();
        debug!(node.log.callers, "connection ended, memory or connections ran short";
            "client" => %end.client, "idle_ms" => end.idle.as_millis());
    }
}

fn local_instance(settings: &DaemonSettings) -> Result<LocalInstance, DaemonError> {
    let tls = TlsIdentity::from_pem(
        &read_file(&settings.tls.certificate)?,
        &read_file(&settings.tls.key)?,
        &read_file(&settings.tls.authority)?,
    )?;
    let id = InstanceId {
        name: settings.instance.name.clone(),
        incarnation: Incarnation(rand::random()),
    };
    Ok(LocalInstance::new(id, tls))
}

/// Returns the memory that clients may take up on a machine with `memory_mb` MB: a quarter of it.
///
/// With three eighths, chunked bodies led to a peak of 60.6 MB on a machine with 64 MB: the allocator
/// keeps the smaller buffers that a growing body has left.
fn client_memory_bytes(memory_mb: u64) -> usize {
    let quarter = usize::try_from(memory_mb)
        .unwrap_or(usize::MAX)
        .saturating_mul((1 << 20) / 4);
    quarter.max(MIN_CLIENT_MEMORY_BYTES)
}

fn read_file(path: &Path) -> Result<Vec<u8>, DaemonError> {
    fs::read(path).map_err(|source| DaemonError::File {
        path: path.to_owned(),
        source,
    })
}

fn build_node(
    settings: DaemonSettings,
    logs: Logs,
    local: LocalInstance,
) -> Result<Node, DaemonError> {
    let id = local.id().clone();
    let instance = settings.instance.clone();
    let started_at = clock::now();
    let max_running = ConnectionBudget::for_machine(settings.machine.descriptors).callers();
    let record = InstanceRecord {
        name: instance.name,
        region: instance.region.clone(),
        domain: instance.domain.clone(),
        callers: instance.callers,
        peers: instance.peers,
        operators: instance.operators,
        state: InstanceState::Live,
        state_age_ms: 0,
    };
    Ok(Node {
        members: Mutex::new(MemberTable::new(
            record,
            id.incarnation,
            GossipSettings::default(),
        )),
        limits: Mutex::new(LimitTable::new(id.clone(), instance.domain.clone())),
        issued_keys: Mutex::new(IssuedKeyTable::new(id.clone())),
        rollout: Mutex::new(Rollout::new(started_at, rand::random())),
        location: RoutingLocation {
            region: instance.region,
            domain: instance.domain,
        },
        running_requests: Arc::new(Semaphore::new(max_running)),
        memory: MemoryBudget::new(client_memory_bytes(settings.machine.memory_mb)),
        platform: PlatformClient::new(settings.platform, CallTimeouts::default()),
        backends: BackendClient::new(ClientLimits::default()),
        link_counters: local.counters(),
        links: LinkPool::new(local),
        log: PartLogs::new(logs),
        metrics: Metrics::new()?,
        bundle: BundleTable::default(),
        loan_answered: tokio::sync::Notify::new(),
        routing: Mutex::new(RoutingState::default()),
        queue: RequestQueue::default(),
        unread_answers: UnreadAnswers::default(),
        requests: RequestLog::default(),
        era_recovery: Mutex::default(),
        claim_journal: Mutex::default(),
        claim_leases: crate::ClaimLeases::default(),
        drain: Arc::new(Drain::default()),
        gossip_partners: Mutex::default(),
        instance_list: Mutex::default(),
        slots: Mutex::default(),
        capacity_requested_at: Mutex::default(),
        last_head_read: arc_swap::ArcSwapOption::default(),
        request_sequence: AtomicU64::new(0),
        started_at,
        settings,
        id,
    })
}
