//! Settings of the gateway for routed services.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{DomainName, InstanceName, Map, RegionName};

use crate::{
    Faults, LogSettings, MachineSettings, fault_collector::FaultCollector,
    gateway_settings_reader::read_gateway_settings, ini_text::IniText,
};

/// Validated settings of an instance of the gateway for routed services.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub name: InstanceName,
    /// Region in which the instance runs.
    pub region: RegionName,
    /// Failure domain in which the instance runs.
    pub domain: DomainName,
    /// Bandwidth of the network link of the instance in Mbit/s; zero if unknown.
    pub link_mbps: u32,
    /// Whether the whole fleet starts for the first time, before it has callers.
    pub first_start: bool,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for other instances.
    pub peers: SocketAddr,
    /// Address to listen on for readiness checks.
    pub readiness: SocketAddr,
    /// Address to listen on for callers that look up an instance to connect to.
    pub directory: SocketAddr,
    /// Address to listen on for metrics.
    pub metrics: SocketAddr,
    /// Region of each failure domain.
    pub regions: Map<DomainName, RegionName>,
    /// Address of the platform's key-value store.
    pub store: SocketAddr,
    /// Time after which the store removes the entry of an instance that does not renew it.
    pub registration_ttl: Duration,
    /// Round-trip time to an instance in another region.
    pub region_round_trip: Duration,
    /// Minimum expected gain in response time for which a request is sent to another region.
    pub send_away_margin: Duration,
    /// Retries allowed for each request on average, over the whole fleet; from 0 to 1.
    pub retry_ratio: f64,
    /// Retries that the fleet may make in addition to that ratio; a fraction is rounded down.
    pub retry_slack: u32,
    /// Tokens by which the fleet may exceed the burst of an organisation; a fraction is rounded down.
    pub limit_slack: u64,
    /// Maximum time from the stop signal to the exit of the process.
    pub stop_grace: Duration,
    /// Memory and descriptors of the machine.
    pub machine: MachineSettings,
    /// Log format and levels.
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Parses and validates settings. `file` is the file name in messages.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn read(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = FaultCollector::new(file, text);
        let ini = IniText::read(text, &mut faults);
        let settings = read_gateway_settings(&ini, &mut faults);
        faults.into_result(settings)
    }

    /// Returns the names of all regions, sorted.
    pub fn region_names(&self) -> Vec<RegionName> {
        let mut names: Vec<RegionName> = self.regions.values().cloned().collect();
        names.push(self.region.clone());
        names.sort();
        names.dedup();
        names
    }
}
