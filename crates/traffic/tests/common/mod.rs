//! Builders of what the decisions work on.
#![allow(dead_code, missing_docs)]

use std::{sync::Arc, time::Duration};

use hawthornquay_decisions::{
    BackendName, DomainName, InstanceName, Map, MonotonicTime, OrganisationId, RegionName,
    ServiceName,
};
use hawthornquay_traffic::{
    BackendEntry, Configuration, EngineConfig, ExecutionSemantics, OrganisationConfig,
    PlacementRequest, PromptPart, Route, ServerListing, ServiceConfig, Work,
};

pub const TARGET: Duration = Duration::from_millis(1_000);

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
        target_latency: TARGET,
        max_attempts: 2,
        priority: 0,
        services: vec![(ServiceName::new("llm"), 1)],
        open: false,
        home_regions: Vec::new(),
    }
}

/// Configuration with an engine service `llm`, a plain service `app` and one organisation.
pub fn configuration(rate: u64, burst: u64) -> Configuration {
    let mut configuration = Configuration {
        version: 1,
        ..Configuration::default()
    };
    let engine = EngineConfig {
        slots: 100,
        kv_capacity_tokens: 600_000,
    };
    for (name, engine, cold_rate) in [("llm", Some(engine), 4.6), ("app", None, 0.0)] {
        let terms = ServiceConfig {
            max_connections: 100,
            cold_duration: Duration::from_secs(3),
            cold_requests_per_s: cold_rate,
            engine,
        };
        configuration.services.insert(ServiceName::new(name), terms);
    }
    let terms = OrganisationConfig {
        rate,
        burst,
        default_request_tokens: 200,
        priority: None,
        home_regions: Vec::new(),
    };
    configuration
        .organisations
        .insert(OrganisationId::new("o"), Arc::new(terms));
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

pub fn listing(revision: u64, servers: &[BackendEntry]) -> ServerListing {
    ServerListing {
        revision,
        servers: servers.to_vec(),
    }
}

/// Work with a shared part and one of its own.
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

pub struct Asker {
    pub configuration: Configuration,
    pub service: ServiceName,
    pub instance: InstanceName,
    pub members: Vec<InstanceName>,
    pub avoid: Vec<BackendName>,
    pub time_left: Duration,
    pub regions: Map<DomainName, RegionName>,
    pub storing: Vec<RegionName>,
}

impl Default for Asker {
    fn default() -> Self {
        Self {
            configuration: configuration(0, 0),
            service: ServiceName::new("llm"),
            instance: InstanceName::new("i1"),
            members: vec![InstanceName::new("i1")],
            avoid: Vec::new(),
            time_left: Duration::from_secs(10),
            regions: ["home", "far", "wide"]
                .iter()
                .map(|name| (DomainName::new(&format!("{name}-a")), RegionName::new(name)))
                .collect(),
            storing: regions(&["home", "far", "wide"]),
        }
    }
}

impl Asker {
    pub fn request<'a>(&'a self, work: &'a Work) -> PlacementRequest<'a> {
        PlacementRequest {
            configuration: &self.configuration,
            service: &self.service,
            work,
            target_latency: TARGET,
            time_left: self.time_left,
            excluded_servers: &self.avoid,
            instance: &self.instance,
            region_instances: &self.members,
            is_local: &|domain| domain.as_str().starts_with("home"),
            domain_regions: &self.regions,
            storage_regions: &self.storing,
        }
    }
}

pub fn regions(names: &[&str]) -> Vec<RegionName> {
    names.iter().map(|name| RegionName::new(name)).collect()
}
