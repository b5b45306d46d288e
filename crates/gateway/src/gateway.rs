//! State of one gateway process.

use std::sync::{
    Arc, OnceLock,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use hawthornquay_backends::{BackendClient, ClientLimits};
use hawthornquay_decisions::{
    DomainName, Incarnation, InstanceId, InstanceName, Map, MonotonicTime, PartQuarantine,
    RegionName, RetryBudget, ServiceName, Set,
};
use hawthornquay_http::{ConnectionBudget, MemoryBudget, ServerLimits};
use hawthornquay_instances::{LinkPool, LinkSecurity, LocalInstance};
use hawthornquay_operators::{GatewaySettings, Logs};
use hawthornquay_traffic::{
    HomeDemand, InstanceList, ListedInstance, Offload, OperatorView, OrganisationLimits,
    RegionMembership, RegionTable, ReturnPromises, ServerTable,
};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    GatewayError, GatewayLogs, GatewayMetrics, InstanceReport,
    configuration_document::ConfigurationDocument, link_settings::gateway_link_settings,
    running_requests::RunningRequests, server_probes::ServerProbes, stop::Stop,
};

/// Share of the fleet's retry budget that is divided among the instances. The rest is a margin for
/// times at which instances have different instance lists.
const RETRY_BUDGET_SHARE: f64 = 0.7;

/// Time-out for connecting to a backend server of this region: a few round trips, but less than
/// the retransmission of a lost packet takes.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Instances among which rate limits and retries are divided.
#[derive(Clone, Debug)]
pub(crate) struct Fleet {
    pub(crate) regions: Set<RegionName>,
    pub(crate) size: usize,
}

/// State of one gateway process.
///
/// Locks are taken one at a time, or in this order: `operators`, `servers`, `instances`,
/// `membership`, `region_board`, `limits`, `instance_reports`, `offload`, `quarantine`. None is held
/// across an `await`, and no other lock is taken while `quarantine`, `home_demand` or
/// `return_promises` is held.
pub struct Gateway<C, H> {
    /// Settings of this instance.
    pub settings: GatewaySettings,
    /// Name and incarnation of this instance.
    pub id: InstanceId,
    /// Client of the platform's store.
    pub control: C,
    /// Translation of the platform's HTTP headers.
    pub header_mapping: H,
    /// Regions of the deployment.
    pub regions: Vec<RegionName>,
    /// Configuration and evacuations.
    pub(crate) operators: Mutex<OperatorView>,
    /// Encoded configuration, to be sent to other instances.
    pub(crate) configuration_document: Mutex<ConfigurationDocument>,
    /// Backend servers with their load and health.
    pub(crate) servers: Mutex<ServerTable>,
    /// Instances of the fleet.
    pub(crate) instances: Mutex<InstanceList>,
    /// Whether this instance knows the others of its region and they know it.
    pub(crate) membership: Mutex<RegionMembership>,
    /// Requests with home regions, by host.
    pub(crate) home_demand: Mutex<HomeDemand>,
    /// Load reports of all regions.
    pub(crate) region_board: Mutex<RegionTable>,
    /// Rate limits of the organisations.
    pub(crate) limits: Mutex<OrganisationLimits>,
    /// Last status reports of the other instances of the region, which the leader adds up.
    pub(crate) instance_reports: Mutex<Map<InstanceName, InstanceReport>>,
    /// Share of the region's requests that go to other regions, which the leader adapts.
    pub(crate) offload: Mutex<Offload>,
    /// Capacity promised to refused requests for their return.
    pub(crate) return_promises: Mutex<ReturnPromises>,
    /// This instance's part of the retry budget of each service.
    pub(crate) retries: Mutex<Map<ServiceName, RetryBudget>>,
    /// Prompt parts that crash backend servers, with the evidence.
    pub(crate) quarantine: Mutex<PartQuarantine>,
    /// Notifies the attempts that wait for an answer of changes of the quarantined parts.
    pub(crate) quarantine_changed: watch::Sender<()>,
    /// Links to other instances.
    pub(crate) links: LinkPool,
    pub(crate) local: LocalInstance,
    pub(crate) backends: BackendClient,
    /// Recent probes of silent backend servers.
    pub(crate) probes: ServerProbes,
    pub(crate) log: GatewayLogs,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) leaving: AtomicBool,
    /// Progress of the stop of this process.
    pub(crate) stop: Stop,
    /// Fleet when this instance began to leave.
    fleet_at_stop: OnceLock<Fleet>,
    /// Requests of callers that have no response yet, and those whose stream has not ended. A
    /// request whose caller has left is not counted.
    pub(crate) in_flight: RunningRequests,
    /// Number of times that this instance sent status notices as the leader. It selects the
    /// instances of another region that receive them while the leader of that region is unknown.
    pub(crate) status_round: AtomicUsize,
    /// Wakes the task that sends changes of the view to other instances.
    pub(crate) view_changed: Notify,
    /// Wakes the task that asks servers whether they are cold.
    pub(crate) server_doubted: Notify,
    /// Memory for the clients of all servers of this process, and for buffered responses.
    pub(crate) memory: MemoryBudget,
    /// Largest numbers of connections of clients.
    pub(crate) connections: ConnectionBudget,
    /// Limits for connections of callers, from the configuration.
    pub(crate) caller_limits: watch::Sender<ServerLimits>,
}

impl<C, H> Gateway<C, H> {
    /// Builds the state of a new process, with a random incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be registered.
    pub fn new(
        settings: GatewaySettings,
        control: C,
        header_mapping: H,
        logs: Logs,
    ) -> Result<Arc<Self>, GatewayError> {
        let id = InstanceId {
            name: settings.name.clone(),
            incarnation: Incarnation(rand::random()),
        };
        let local = LocalInstance::new(id.clone(), LinkSecurity::TrustedNetwork)
            .with_settings(gateway_link_settings());
        let limits = ClientLimits {
            connect_timeout: std::time::Duration::from_millis(CONNECT_TIMEOUT_MS),
            // Connections are not reused: a used one may deliver late bytes of its previous request
            // or may be dead.
            max_idle_connections: 0,
            ..ClientLimits::default()
        };
        let connections = ConnectionBudget::for_machine(settings.machine.descriptors);
        Ok(Arc::new(Self {
            regions: settings.region_names(),
            operators: Mutex::default(),
            configuration_document: Mutex::default(),
            servers: Mutex::default(),
            instances: Mutex::default(),
            membership: Mutex::default(),
            home_demand: Mutex::default(),
            region_board: Mutex::default(),
            limits: Mutex::new(OrganisationLimits::new(
                settings.limit_slack,
                settings.region_names().len(),
            )),
            instance_reports: Mutex::default(),
            offload: Mutex::default(),
            return_promises: Mutex::default(),
            retries: Mutex::default(),
            quarantine: Mutex::default(),
            quarantine_changed: watch::channel(()).0,
            links: LinkPool::new(local.clone()),
            local,
            backends: BackendClient::new(limits),
            probes: ServerProbes::default(),
            log: GatewayLogs::new(logs),
            metrics: GatewayMetrics::new()?,
            leaving: AtomicBool::new(false),
            stop: Stop::default(),
            fleet_at_stop: OnceLock::new(),
            in_flight: RunningRequests::default(),
            status_round: AtomicUsize::new(0),
            view_changed: Notify::new(),
            server_doubted: Notify::new(),
            memory: MemoryBudget::for_machine(settings.machine.memory_mb),
            connections,
            caller_limits: watch::channel(ServerLimits {
                max_connections: connections.callers(),
                ..ServerLimits::default()
            })
            .0,
            settings,
            id,
            control,
            header_mapping,
        }))
    }

    /// Returns whether this instance is ready for requests of callers: it has a configuration and a
    /// list of backend servers, and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving()
            && self.operators.lock().configuration().is_some()
            && !self.servers.lock().revision().is_absent()
    }

    /// Returns the latest era of the store that this instance has data of.
    pub(crate) fn store_era(&self) -> u64 {
        let operators = self.operators.lock().revision().era;
        let servers = self.servers.lock().revision().era;
        let instances = self.instances.lock().revision().era;
        operators.max(servers).max(instances)
    }

    /// Returns whether the process is stopping.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks this instance as stopping, also in its own list of instances, so that it names, asks
    /// and follows the same instances as the others, which leave it out.
    pub(crate) fn begin_leaving(&self) {
        self.fleet_at_stop.get_or_init(|| self.listed_fleet());
        self.leaving.store(true, Ordering::Relaxed);
        let incarnation = self.id.incarnation.0;
        self.instances
            .lock()
            .record_message(now(), &self.id.name, incarnation, true);
        self.region_board.lock().begin_leaving();
    }

    /// Returns the fleet among which rate limits and retries are divided.
    ///
    /// That of a leaving instance no longer shrinks: the instances that stop beside it still use
    /// their parts, so its own must not grow.
    pub(crate) fn fleet(&self) -> Fleet {
        let at_stop = self.fleet_at_stop.get().cloned();
        at_stop.unwrap_or_else(|| self.listed_fleet())
    }

    fn listed_fleet(&self) -> Fleet {
        let instances = self.instances.lock();
        Fleet {
            regions: instances.regions(),
            size: instances.all().len(),
        }
    }

    /// Returns this instance as it is listed in the store.
    pub fn to_listed_instance(&self) -> ListedInstance {
        ListedInstance {
            id: self.id.clone(),
            region: self.settings.region.clone(),
            domain: self.settings.domain.clone(),
            peer_address: self.settings.peers,
            caller_address: self.settings.callers,
            link_mbps: self.settings.link_mbps,
        }
    }

    /// Returns whether a failure domain is in the region of this instance.
    pub(crate) fn is_local(&self, domain: &DomainName) -> bool {
        match self.settings.regions.get(domain) {
            Some(region) => *region == self.settings.region,
            None => *domain == self.settings.domain,
        }
    }

    /// Takes one retry from this instance's part of the retry budget of a service; returns whether
    /// the budget had one.
    pub(crate) fn try_withdraw_retry(&self, service: &ServiceName) -> bool {
        self.with_retry_budget(service, RetryBudget::withdraw)
    }

    /// Returns whether this instance's part of the retry budget of a service has a retry left.
    pub(crate) fn has_retry(&self, service: &ServiceName) -> bool {
        self.with_retry_budget(service, |budget| budget.has_retry())
    }

    /// Adds a fraction of a retry to the retry budget of a service, for a request that is sent to a
    /// backend server.
    pub(crate) fn deposit_retry(&self, service: &ServiceName) {
        self.with_retry_budget(service, RetryBudget::deposit);
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let instances = self.fleet().size.max(1) as f64;
        let max_retries =
            (f64::from(self.settings.retry_slack) * RETRY_BUDGET_SHARE / instances).max(1.0);
        let mut budgets = self.retries.lock();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(self.settings.retry_ratio * RETRY_BUDGET_SHARE, max_retries)
        });
        budget.set_max_retries(max_retries);
        f(budget)
    }

    /// Returns the instances of the region of this instance, including itself.
    pub(crate) fn region_instances(&self) -> Vec<InstanceName> {
        let mut names = self.instances.lock().active_names_in(&self.settings.region);
        if !names.contains(&self.id.name) {
            names.push(self.id.name.clone());
        }
        names
    }
}

/// Returns the current time of the monotonic clock.
pub(crate) fn now() -> MonotonicTime {
    hawthornquay_clock::now()
}
