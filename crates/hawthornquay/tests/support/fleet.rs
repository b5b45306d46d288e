//! Running fleet.

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration};

use hawthornquay::{Daemon, Node};
use hawthornquay_decisions::MonotonicTime;
use hawthornquay_operators::{DaemonSettings, OperatorKey};
use hawthornquay_platform::PlatformClient;
use hawthornquay_standins::{ModelEngine, PlainService, Platform};
use rustix::time::{ClockId, clock_gettime};
use tokio::{net::TcpSocket, time::Instant};

use super::{LogBuffer, Network, Relay};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Fleet in the process of a test.
pub struct Fleet {
    pub platform: Platform,
    pub engines: Vec<ModelEngine>,
    pub service: PlainService,
    /// Servers of the same service in other domains.
    pub more_services: Vec<PlainService>,
    /// Relays in front of the plain services, in their order; empty unless asked for.
    pub service_relays: Vec<Relay>,
    /// Relays in front of the instances' peers' addresses; empty unless asked for.
    pub link_relays: Vec<Relay>,
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
