//! Builders of test input.
#![allow(dead_code, missing_docs)]

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{
    BackendName, DomainName, InstanceName, Map, MonotonicTime, OrganisationId, RegionName,
    ServiceName,
};
use hawthornquay_traffic::{
    BackendEntry, Configuration, EngineConfig, ExecutionSemantics, OrganisationConfig,
    PlacementRequest, PromptPart, Route, ServerListing, ServerTable, ServiceConfig, StoreRevision,
    UnknownServer, Work,
};

/// Latency target of all routes and requests.
pub const TARGET_LATENCY: Duration = Duration::from_millis(1_000);

/// Returns the time `ms` milliseconds after the start of a test.
pub fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(100_000 + ms)
}

pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        semantics: ExecutionSemantics::Repeatable,
        timeout: Duration::from_secs(3),
        target_latency: TARGET_LATENCY,
        max_attempts: 2,
        priority: 0,
        services: vec![(ServiceName::new("llm"), 1)],
        open: false,
        home_regions: Vec::new(),
    }
}

/// Returns a configuration with the engine service `llm`, the plain service `app` and the
/// organisation `o`, which has this rate and burst.
pub fn configuration(rate: u64, burst: u64) -> Configuration {
    let mut configuration = Configuration {
        version: 1,
        ..Configuration::default()
    };
    let engine = EngineConfig {
        slots: 100,
        kv_capacity_tokens: 600_000,
    };
    for (name, engine, cold_requests_per_s) in [("llm", Some(engine), 4.6), ("app", None, 0.0)] {
        let service = ServiceConfig {
            max_connections: 100,
            cold_duration: Duration::from_secs(3),
            cold_requests_per_s,
            health_path: Some("/healthz".to_owned()),
            engine,
        };
        configuration
            .services
            .insert(ServiceName::new(name), service);
    }
    let organisation = OrganisationConfig {
        rate,
        burst,
        default_request_tokens: 200,
        priority: None,
        home_regions: Vec::new(),
    };
    configuration
        .organisations
        .insert(OrganisationId::new("o"), Arc::new(organisation));
    configuration
}

pub fn server(id: &str, domain: &str) -> BackendEntry {
    BackendEntry {
        id: BackendName::new(id),
        service: ServiceName::new("llm"),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: DomainName::new(domain),
        slots: 100,
        leaving: false,
        cold_remaining: Duration::ZERO,
        started_ms: 1,
    }
}

/// Returns a revision of a store that has never come back from an older copy.
pub const fn rev(revision: u64) -> StoreRevision {
    StoreRevision::new(0, revision)
}

pub fn listing(revision: u64, servers: &[BackendEntry]) -> ServerListing {
    ServerListing {
        revision: rev(revision),
        servers: servers.to_vec(),
    }
}

/// Returns the table of an instance that has read the list for a while, and knows that these servers are
/// warm.
pub fn table_of_warm(entries: &[BackendEntry]) -> ServerTable {
    let mut table = ServerTable::default();
    let started_at = MonotonicTime::from_millis(90_000);
    table.apply_listing(started_at, started_at, &listing(1, entries));
    table.configure(&configuration(0, 0));
    for seconds in 1..=10 {
        table.confirm(started_at + Duration::from_secs(seconds));
    }
    for entry in entries {
        state_warm(&mut table, entry, at(0));
    }
    table
}

/// Lets a server that was asked at `asked_at` state that it is warm.
pub fn state_warm(table: &mut ServerTable, entry: &BackendEntry, asked_at: MonotonicTime) {
    let asked = UnknownServer {
        id: entry.id.clone(),
        service: entry.service.clone(),
        address: entry.address,
        started_ms: entry.started_ms,
        is_shared: false,
    };
    table.record_warm(&asked, asked_at);
}

/// Returns work whose prompt has a shared part with the identifier `shared` and a part of its own.
pub fn work(shared: u64, shared_tokens: u32, own_tokens: u32) -> Work {
    Work {
        prompt_tokens: u64::from(shared_tokens) + u64::from(own_tokens),
        output_tokens: 100,
        parts: vec![
            PromptPart {
                id: shared,
                tokens: shared_tokens,
            },
            PromptPart {
                id: u64::MAX,
                tokens: own_tokens,
            },
        ],
    }
}

/// Owner of the values that a [`PlacementRequest`] borrows.
pub struct RequestContext {
    pub configuration: Configuration,
    pub service: ServiceName,
    pub instance: InstanceName,
    pub region_instances: Vec<InstanceName>,
    pub is_region_settled: bool,
    pub may_ask_permits: bool,
    pub may_grant_permits: bool,
    pub excluded_servers: Vec<BackendName>,
    pub target_event_gap: Option<Duration>,
    pub route_priority: u8,
    pub time_left: Duration,
    pub domain_regions: Map<DomainName, RegionName>,
    pub storage_regions: Vec<RegionName>,
    pub target_latency: Duration,
    pub reserved_latency: Duration,
    pub is_returning: bool,
}

impl Default for RequestContext {
    fn default() -> Self {
        Self {
            configuration: configuration(0, 0),
            service: ServiceName::new("llm"),
            instance: InstanceName::new("i1"),
            region_instances: vec![InstanceName::new("i1")],
            is_region_settled: true,
            may_ask_permits: true,
            may_grant_permits: true,
            excluded_servers: Vec::new(),
            target_event_gap: None,
            route_priority: 0,
            time_left: Duration::from_secs(10),
            domain_regions: ["home", "far", "wide"]
                .iter()
                .map(|name| (DomainName::new(&format!("{name}-a")), RegionName::new(name)))
                .collect(),
            storage_regions: regions(&["home", "far", "wide"]),
            target_latency: TARGET_LATENCY,
            reserved_latency: Duration::ZERO,
            is_returning: false,
        }
    }
}

impl RequestContext {
    pub fn request<'a>(&'a self, work: &'a Work) -> PlacementRequest<'a> {
        PlacementRequest {
            configuration: &self.configuration,
            service: &self.service,
            work,
            target_latency: self.target_latency,
            target_event_gap: self.target_event_gap,
            route_priority: self.route_priority,
            time_left: self.time_left,
            excluded_servers: &self.excluded_servers,
            instance: &self.instance,
            region_instances: &self.region_instances,
            is_region_settled: self.is_region_settled,
            may_ask_permits: self.may_ask_permits,
            may_grant_permits: self.may_grant_permits,
            is_local: &|domain| domain.as_str().starts_with("home"),
            domain_regions: &self.domain_regions,
            storage_regions: &self.storage_regions,
            reserved_latency: self.reserved_latency,
            is_returning: self.is_returning,
        }
    }
}

pub fn regions(names: &[&str]) -> Vec<RegionName> {
    names.iter().map(|name| RegionName::new(name)).collect()
}
