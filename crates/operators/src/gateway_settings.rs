//! Settings of a gateway of routed services.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{DomainName, InstanceName, Map, RegionName};

use crate::{
    Faults, LogSettings, fault_collector::FaultCollector,
    gateway_settings_reader::read_gateway_settings, ini_text::IniText,
};

/// Checked settings of a gateway of routed services.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub name: InstanceName,
    /// Region that it runs in.
    pub region: RegionName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Address to listen on for callers.
    pub callers: SocketAddr,
    /// Address to listen on for other instances.
    pub peers: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address at which callers ask where to connect.
    pub directory: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Regions of the failure domains.
    pub regions: Map<DomainName, RegionName>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time after which the store forgets an instance that does not renew its entry.
    pub registration_ttl: Duration,
    /// Time to an instance of another region and back.
    pub region_round_trip: Duration,
    /// Gain that a request must have in another region to be sent there.
    pub send_away_margin: Duration,
    /// Retries that each request earns, over the whole fleet.
    pub retry_ratio: f64,
    /// Retries that the fleet may make beyond those.
    pub retry_slack: u32,
    /// Tokens by which the fleet may exceed an organisation's burst.
    pub limit_slack: u64,
    /// Longest time from the order to stop to the end of the process.
    pub stop_grace: Duration,
    /// Logging.
    pub log: LogSettings,
}

impl GatewaySettings {
    /// Reads and checks settings; `file` names the text in messages.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text.
    pub fn read(file: &str, text: &str) -> Result<Self, Faults> {
        let mut faults = FaultCollector::new(file, text);
        let ini = IniText::read(text, &mut faults);
        let settings = read_gateway_settings(&ini, &mut faults);
        faults.finish(settings)
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
