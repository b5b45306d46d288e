//! Running fleet.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use bytes::Bytes;
use hawthornquay::{Daemon, Node};
use hawthornquay_decisions::{DomainName, DomainSlots, InstanceId, MonotonicTime};
use hawthornquay_operators::{DaemonSettings, OperatorKey};
use hawthornquay_standins::{ModelEngine, PlainService, Platform};
use hawthornquay_store::PlatformClient;
use http::{Method, StatusCode};
use rustix::time::{ClockId, clock_gettime};
use tokio::{net::TcpSocket, time::Instant};

use super::{Caller, DaemonProcess, FaultRelay, LogBuffer, Network};

const SLOTS: usize = 64;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fleet in the process of a test.
pub struct Fleet {
    pub platform: Platform,
    pub engines: Vec<ModelEngine>,
    pub service: PlainService,
    /// Servers of the same service in other domains.
    pub more_services: Vec<PlainService>,
    /// Relays in front of the plain services, in their order; empty unless asked for.
    pub service_relays: Vec<FaultRelay>,
    /// Relays in front of the instances' peers' addresses; empty unless asked for.
    pub link_relays: Vec<FaultRelay>,
    /// Reserves the ports of the instances.
    pub ports: Vec<TcpSocket>,
    /// Where the log lines go, if not to the standard error.
    pub logs: Option<LogBuffer>,
    pub signer: OperatorKey,
    pub text: String,
    pub client: PlatformClient,
    pub daemons: Vec<Option<Daemon>>,
    pub settings: Vec<DaemonSettings>,
    pub settings_files: Vec<PathBuf>,
    pub network: Network,
    pub processes: Vec<Option<DaemonProcess>>,
}

impl Fleet {
    /// Returns the callers' address of an instance.
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.settings[index].instance.callers
    }

    /// Returns the operators' address of an instance.
    pub fn operators(&self, index: usize) -> SocketAddr {
        self.settings[index].instance.operators
    }

    /// Returns the runs by request id of all plain services.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = self.service.runs();
        for (id, count) in self.more_services.iter().flat_map(PlainService::runs) {
            *runs.entry(id).or_default() += count;
        }
        runs
    }

    /// Returns the requests in flight at all running instances.
    pub fn in_flight(&self) -> usize {
        let running = self.daemons.iter().flatten();
        running.map(|daemon| daemon.node().drain.in_flight()).sum()
    }

    /// Returns the tables of a running instance.
    pub fn node(&self, index: usize) -> &Node {
        self.daemons[index]
            .as_ref()
            .expect("the instance runs")
            .node()
    }

    /// Stops an instance gracefully.
    pub async fn stop_instance(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.stop().await;
        }
    }

    /// Ends an instance without a graceful stop.
    pub async fn abort_instance(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.abort().await;
        }
    }
}

impl Fleet {
    /// Starts an instance as a process and waits until it is ready.
    pub async fn start_process(&mut self, program: &Path, index: usize) {
        let process = DaemonProcess::start(program, &self.settings_files[index]);
        while self.processes.len() <= index {
            self.processes.push(None);
        }
        self.processes[index] = Some(process);
    }

    /// Waits until all started processes are ready and all slots are held.
    pub async fn wait_processes(&self, limit: Duration) {
        let end = Instant::now() + limit;
        for (index, process) in self.processes.iter().enumerate() {
            while process.is_some() && !is_ready(self.operators(index)).await {
                assert!(Instant::now() < end, "instance {index} is not ready");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        for settings in &self.settings {
            let domain = &settings.instance.domain;
            while self.slots(domain).await.len() < SLOTS {
                assert!(Instant::now() < end, "free slots in {domain}");
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Returns the holder of each slot of a domain, as the store has them.
    pub async fn slots(&self, domain: &DomainName) -> Vec<InstanceId> {
        let key = format!("limits/{domain}");
        let Ok(entry) = self.client.get(&key).await else {
            return Vec::new();
        };
        let domain: DomainSlots = serde_json::from_slice(&entry.value).unwrap();
        domain
            .slots
            .into_values()
            .map(|record| record.holder)
            .collect()
    }
}

async fn is_ready(operators: SocketAddr) -> bool {
    let caller = Caller::new(None);
    let get = caller.send(operators, Method::GET, "/ready", &[], Bytes::new());
    get.await.is_ok_and(|res| res.status() == StatusCode::OK)
}

/// Returns the time of the daemons' clock.
pub fn now() -> MonotonicTime {
    let time = clock_gettime(ClockId::Boottime);
    MonotonicTime(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// Polls until `condition` holds.
///
/// # Panics
///
/// Panics after `limit`, naming what was waited for.
pub async fn wait_until(limit: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < end, "no {what} within {limit:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
