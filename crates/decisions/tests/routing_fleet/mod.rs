//! Small fleet for the routing tests.

use std::time::Duration;

use hawthornquay_decisions::{
    BackendKind, BackendServer, Bundle, FailureDomain, LoadKey, LoadReport, LoadView,
    MonotonicTime, PrefixMap, Priority, Residency, RouteTarget, RoutingDecision, RoutingGrant,
    RoutingGrants, RoutingHop, RoutingLocation, RoutingRequest, RoutingSnapshot, decide_route,
};

pub const NOW: MonotonicTime = MonotonicTime::from_millis(60_000);

/// State of an instance in domain `a1` of region `a`, and inputs of its routing decision.
#[derive(Debug)]
pub struct Fleet {
    pub bundle: Bundle,
    pub view: LoadView,
    pub prefixes: PrefixMap,
    pub grants: RoutingGrants,
    pub location: RoutingLocation,
    pub residency: Residency,
    pub hop: RoutingHop,
    pub tried: Vec<LoadKey>,
    pub queue_wait: Duration,
}

impl Fleet {
    /// Returns a fleet with domains `a1` and `a2` in region `a`, and `b1` in region `b`; each domain
    /// has two engines.
    pub fn new() -> Self {
        let mut bundle = Bundle::default();
        for (region, domain) in [("a", "a1"), ("a", "a2"), ("b", "b1")] {
            bundle.domains.insert(
                domain.into(),
                FailureDomain {
                    name: domain.into(),
                    region: region.into(),
                    limit_weight: 1,
                },
            );
            for number in 1..=2 {
                let name = format!("{domain}-e{number}");
                bundle.backends.insert(
                    name.as_str().into(),
                    BackendServer {
                        name: name.as_str().into(),
                        address: "127.0.0.1:9".parse().unwrap(),
                        domain: domain.into(),
                        kind: BackendKind::ModelEngine {
                            models: vec!["m".into()],
                        },
                        checks_fencing: true,
                    },
                );
            }
        }
        Self {
            bundle,
            view: LoadView::default(),
            prefixes: PrefixMap::default(),
            grants: RoutingGrants::default(),
            location: RoutingLocation {
                region: "a".into(),
                domain: "a1".into(),
            },
            residency: Residency::Any,
            hop: RoutingHop::Caller,
            tried: Vec::new(),
            queue_wait: Duration::ZERO,
        }
    }

    /// Records a load report of an engine, such as `a1-e1`, or of a domain, such as `b1`.
    pub fn load(mut self, name: &str, running: u32) -> Self {
        self.view
            .record_report(key(name), report(running), Duration::ZERO, NOW);
        self
    }

    pub fn grant(mut self, domain: &str, requests: u32) -> Self {
        let grant = RoutingGrant {
            domain: domain.into(),
            target: target(),
            requests,
            valid_for: Duration::from_secs(2),
        };
        self.grants.add(grant, NOW);
        self
    }

    pub fn decide_for(&self, priority: Priority, random: u64) -> RoutingDecision {
        let state = RoutingSnapshot {
            bundle: &self.bundle,
            view: &self.view,
            prefixes: &self.prefixes,
            grants: &self.grants,
            location: &self.location,
            queue_wait: self.queue_wait,
            now: NOW,
        };
        let req = RoutingRequest {
            target: &target(),
            residency: &self.residency,
            priority,
            prompt_tokens: 400,
            prefixes: &[],
            hop: self.hop,
            tried: &self.tried,
            deadline_left: None,
        };
        decide_route(&state, &req, random)
    }
}

pub fn target() -> RouteTarget {
    RouteTarget::Model("m".into())
}

pub fn key(name: &str) -> LoadKey {
    if name.contains("-e") {
        LoadKey::Backend(name.into())
    } else {
        LoadKey::Domain(name.into(), target())
    }
}

pub fn report(running: u32) -> LoadReport {
    LoadReport {
        name: String::new(),
        running,
        waiting: 0,
        slots: 8,
        servers: 1,
        kv_used: 0,
        kv_capacity: 0,
        prefill_tokens_per_s: 4_000.0,
        decode_ms: 20.0,
        leaving: false,
        sequence: 1,
    }
}
