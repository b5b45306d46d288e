//! Fleet under test.

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

const SLOTS_PER_DOMAIN: usize = 64;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Instances and stand-ins of one test; the instances run in the test process or as processes.
pub struct Fleet {
    pub platform: Platform,
    pub engines: Vec<ModelEngine>,
    pub service: PlainService,
    /// Further servers of the plain service.
    pub extra_services: Vec<PlainService>,
    /// Relays in front of the plain services, in the same order; empty unless fault relays were
    /// requested.
    pub service_relays: Vec<FaultRelay>,
    /// Relays in front of the peer addresses of the instances; empty unless fault relays were
    /// requested.
    pub link_relays: Vec<FaultRelay>,
    /// Bound sockets that reserve the ports of the instances.
    pub ports: Vec<TcpSocket>,
    /// Output of the log lines; standard error if not set.
    pub logs: Option<LogBuffer>,
    pub signer: OperatorKey,
    /// Text of the accepted bundle.
    pub bundle_text: String,
    pub store_client: PlatformClient,
    /// Instances that run in the test process.
    pub daemons: Vec<Option<Daemon>>,
    /// Settings of each instance.
    pub settings: Vec<DaemonSettings>,
    /// Path of the settings file of each instance.
    pub settings_files: Vec<PathBuf>,
    pub network: Network,
    /// Instances that run as processes.
    pub processes: Vec<Option<DaemonProcess>>,
}

impl Fleet {
    /// Returns the address on which an instance serves callers.
    pub fn callers(&self, index: usize) -> SocketAddr {
        self.settings[index].instance.callers
    }

    /// Returns the address on which an instance serves operators.
    pub fn operators(&self, index: usize) -> SocketAddr {
        self.settings[index].instance.operators
    }

    /// Returns the number of runs of each request id, over all plain services.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = self.service.runs();
        for (id, count) in self.extra_services.iter().flat_map(PlainService::runs) {
            *runs.entry(id).or_default() += count;
        }
        runs
    }

    /// Returns the number of requests in flight, over all running instances.
    pub fn in_flight(&self) -> usize {
        let daemons = self.daemons.iter().flatten();
        daemons.map(|daemon| daemon.node().drain.in_flight()).sum()
    }

    /// Returns the state of a running instance.
    ///
    /// # Panics
    ///
    /// Panics if the instance does not run in the test process.
    pub fn node(&self, index: usize) -> &Node {
        self.daemons[index]
            .as_ref()
            .expect("the instance is running")
            .node()
    }

    /// Stops an instance gracefully.
    pub async fn stop_instance(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.stop().await;
        }
    }

    /// Stops an instance at once, without draining it.
    pub async fn abort_instance(&mut self, index: usize) {
        if let Some(daemon) = self.daemons[index].take() {
            daemon.abort().await;
        }
    }
}

impl Fleet {
    /// Starts an instance as a process, without waiting until it is ready.
    pub async fn start_process(&mut self, program: &Path, index: usize) {
        let process = DaemonProcess::start(program, &self.settings_files[index]);
        while self.processes.len() <= index {
            self.processes.push(None);
        }
        self.processes[index] = Some(process);
    }

    /// Waits until all started processes are ready and every slot has a holder.
    ///
    /// # Panics
    ///
    /// Panics after `limit`.
    pub async fn wait_processes_ready(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        for (index, process) in self.processes.iter().enumerate() {
            while process.is_some() && !is_ready(self.operators(index)).await {
                assert!(
                    Instant::now() < deadline,
                    "instance {index} is not ready within {limit:?}"
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        for settings in &self.settings {
            let domain = &settings.instance.domain;
            while self.slots(domain).await.len() < SLOTS_PER_DOMAIN {
                assert!(
                    Instant::now() < deadline,
                    "slots without a holder in {domain} after {limit:?}"
                );
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Returns the holders of the slots of a domain, one for each held slot, as stored.
    pub async fn slots(&self, domain: &DomainName) -> Vec<InstanceId> {
        let key = format!("limits/{domain}");
        let Ok(entry) = self.store_client.get(&key).await else {
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

/// Returns the current time of the clock that the daemons use.
pub fn now() -> MonotonicTime {
    let time = clock_gettime(ClockId::Boottime);
    MonotonicTime(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// Polls until `condition` holds.
///
/// # Panics
///
/// Panics after `limit`; the message names `what` was expected.
pub async fn wait_until(limit: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < deadline, "no {what} within {limit:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
