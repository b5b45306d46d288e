//! Checks of a configuration before it is put in force.

use std::fmt;

use hawthornquay_decisions::{Map, OrganisationId, Set};

use crate::{ConfigurationDocument, ExecutionSemantics, OrganisationEntry, Route};

/// Kind of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingKind {
    /// Requests would fail, or an entry replaces another one.
    Error,
    /// The entry never applies to a request.
    Unused,
    /// Two values contradict each other.
    Contradiction,
}

/// Finding in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationFinding {
    /// Kind.
    pub kind: FindingKind,
    /// Entry that it concerns, such as ``route `a` ``.
    pub entry: String,
    /// What is wrong. API keys are never named.
    pub message: String,
}

impl fmt::Display for ConfigurationFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            FindingKind::Error => "error",
            FindingKind::Unused => "unused",
            FindingKind::Contradiction => "contradiction",
        };
        write!(f, "{kind}: {}: {}", self.entry, self.message)
    }
}

/// Findings of one check after the other.
#[derive(Debug, Default)]
struct Findings(Vec<ConfigurationFinding>);

impl Findings {
    fn add(&mut self, kind: FindingKind, entry: &str, message: impl Into<String>) {
        self.0.push(ConfigurationFinding {
            kind,
            entry: entry.to_owned(),
            message: message.into(),
        });
    }

    fn error(&mut self, entry: &str, message: impl Into<String>) {
        self.add(FindingKind::Error, entry, message);
    }

    fn unused(&mut self, entry: &str, message: impl Into<String>) {
        self.add(FindingKind::Unused, entry, message);
    }

    fn contradiction(&mut self, entry: &str, message: impl Into<String>) {
        self.add(FindingKind::Contradiction, entry, message);
    }
}

/// Returns the findings in a configuration, in the order of its entries.
pub fn check_configuration(document: &ConfigurationDocument) -> Vec<ConfigurationFinding> {
    let mut findings = Findings::default();
    check_limits(document, &mut findings);
    check_routes(document, &mut findings);
    check_services(document, &mut findings);
    check_organisations(document, &mut findings);
    findings.0
}

/// Returns the finding in the version of a configuration that replaces `in_force`.
pub fn check_successor(
    in_force: &ConfigurationDocument,
    next: &ConfigurationDocument,
) -> Option<ConfigurationFinding> {
    let is_valid = next.version > in_force.version || next == in_force;
    (!is_valid).then(|| ConfigurationFinding {
        kind: FindingKind::Error,
        entry: "version".to_owned(),
        message: format!(
            "{} is not above the version in force, {}",
            next.version, in_force.version
        ),
    })
}

fn check_limits(document: &ConfigurationDocument, findings: &mut Findings) {
    let limits = &document.limits;
    let zero = [
        ("header size", limits.max_header_bytes == 0),
        ("body size", limits.max_body_bytes == 0),
        ("header time-out", limits.header_timeout.is_zero()),
        ("idle time-out", limits.idle_timeout.is_zero()),
    ];
    for (name, is_zero) in zero {
        if is_zero {
            findings.error("limits", format!("the {name} is zero"));
        }
    }
    if limits.max_header_bytes > limits.max_body_bytes {
        findings.contradiction(
            "limits",
            format!(
                "the header size of {} bytes is above the body size of {} bytes",
                limits.max_header_bytes, limits.max_body_bytes
            ),
        );
    }
    if limits.header_timeout > limits.idle_timeout {
        findings.contradiction(
            "limits",
            format!(
                "the header time-out of {:?} is above the idle time-out of {:?}",
                limits.header_timeout, limits.idle_timeout
            ),
        );
    }
}

fn check_routes(document: &ConfigurationDocument, findings: &mut Findings) {
    if document.routes.is_empty() {
        findings.error("routes", "there are none");
    }
    let mut names: Set<&str> = Set::default();
    let mut places: Map<(&str, &str), &str> = Map::default();
    for route in &document.routes {
        let entry = format!("route `{}`", route.name);
        if !names.insert(&route.name) {
            findings.error(&entry, "another route has the same name");
        }
        let place = (route.host.as_str(), route.prefix.as_str());
        if let Some(first) = places.get(&place) {
            findings.unused(
                &entry,
                format!("route `{first}` has the same host and prefix and comes first"),
            );
        } else {
            places.insert(place, &route.name);
        }
        check_route_match(route, &entry, findings);
        check_route_limits(route, &entry, findings);
        check_route_services(document, route, &entry, findings);
        if document.requires_no_key(route) {
            findings.contradiction(
                &entry,
                "it is not public, but without organisations it accepts requests without a key",
            );
        }
    }
}

fn check_route_match(route: &Route, entry: &str, findings: &mut Findings) {
    // A request matches by its host without the port, and by its path up to a slash.
    if route.host.is_empty() || route.host.contains([':', '/', ' ']) {
        findings.unused(entry, format!("no request has the host `{}`", route.host));
    }
    let prefix = &route.prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        findings.unused(
            entry,
            format!("the prefix `{prefix}` does not begin and end with a slash"),
        );
    } else if prefix.contains(['?', '#', ' ']) {
        findings.unused(
            entry,
            format!("no path begins with `{prefix}`, which has more than a path"),
        );
    }
}

fn check_route_limits(route: &Route, entry: &str, findings: &mut Findings) {
    if route.timeout.is_zero() {
        findings.error(entry, "the time-out is zero");
    }
    if route.timeout < route.target_latency {
        findings.contradiction(
            entry,
            format!(
                "the time-out of {:?} is below the target latency of {:?}",
                route.timeout, route.target_latency
            ),
        );
    }
    if let ExecutionSemantics::Stream {
        target_event_gap, ..
    } = route.semantics
        && route.timeout < target_event_gap
    {
        findings.contradiction(
            entry,
            format!(
                "the time-out of {:?} is below the target gap between events of {target_event_gap:?}",
                route.timeout
            ),
        );
    }
}

fn check_route_services(
    document: &ConfigurationDocument,
    route: &Route,
    entry: &str,
    findings: &mut Findings,
) {
    let total: u64 = route
        .services
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    if total == 0 {
        findings.error(entry, "it has no service with a weight above zero");
    }
    for (name, weight) in &route.services {
        if *weight == 0 && total > 0 {
            findings.unused(entry, format!("the service `{name}` has the weight zero"));
        }
        if !document.services.iter().any(|(known, _)| known == name) {
            findings.error(entry, format!("the service `{name}` is not defined"));
        }
    }
}

fn check_services(document: &ConfigurationDocument, findings: &mut Findings) {
    let mut names = Set::default();
    for (name, config) in &document.services {
        let entry = format!("service `{name}`");
        if !names.insert(name) {
            findings.error(&entry, "another service has the same name; the last counts");
        }
        let mut routed = document.routes.iter().flat_map(|route| &route.services);
        if !routed.any(|(service, _)| service == name) {
            findings.unused(&entry, "no route leads to it");
        }
        let (duration, rate) = (config.cold_duration, config.cold_requests_per_s);
        if duration.is_zero() && rate > 0.0 {
            findings.contradiction(
                &entry,
                format!("cold servers accept {rate} requests per second, but no server is cold"),
            );
        }
        if !duration.is_zero() && rate <= 0.0 {
            findings.contradiction(
                &entry,
                format!("servers are cold for {duration:?}, but accept any number of requests"),
            );
        }
        if config.engine.is_some_and(|engine| engine.slots == 0) {
            findings.error(&entry, "its engines have no slots");
        }
    }
}

fn check_organisations(document: &ConfigurationDocument, findings: &mut Findings) {
    let mut ids = Set::default();
    let mut holders: Map<&str, &OrganisationId> = Map::default();
    for organisation in &document.organisations {
        let entry = format!("organisation `{}`", organisation.id);
        if !ids.insert(&organisation.id) {
            findings.error(
                &entry,
                "another organisation has the same name; the last counts",
            );
        }
        if organisation.keys.is_empty() {
            findings.unused(&entry, "it has no keys");
        }
        for key in &organisation.keys {
            if key.trim().is_empty() {
                findings.unused(&entry, "one of its keys is empty");
            }
            if let Some(holder) = holders.insert(key, &organisation.id)
                && *holder != organisation.id
            {
                findings.error(
                    &entry,
                    format!("`{holder}` holds one of its keys too; the last organisation counts"),
                );
            }
        }
        check_rate(organisation, &entry, findings);
        check_regions(document, organisation, &entry, findings);
    }
}

fn check_rate(organisation: &OrganisationEntry, entry: &str, findings: &mut Findings) {
    let config = &organisation.config;
    if config.rate == 0 {
        if config.burst > 0 {
            findings.contradiction(entry, "it has a burst, but no rate, and so no limit");
        }
    } else if config.burst < config.default_request_tokens {
        findings.contradiction(
            entry,
            format!(
                "the burst of {} tokens is below the {} of a default request",
                config.burst, config.default_request_tokens
            ),
        );
    }
}

/// Reports the routes whose home regions exclude those of the organisation.
fn check_regions(
    document: &ConfigurationDocument,
    organisation: &OrganisationEntry,
    entry: &str,
    findings: &mut Findings,
) {
    let homes = &organisation.config.home_regions;
    for route in document.routes.iter().filter(|route| !route.open) {
        let is_disjoint = !route.home_regions.iter().any(|home| homes.contains(home));
        if !homes.is_empty() && !route.home_regions.is_empty() && is_disjoint {
            findings.contradiction(
                entry,
                format!(
                    "route `{}` may not run in any of its home regions",
                    route.name
                ),
            );
        }
    }
}

impl ConfigurationDocument {
    /// Returns whether a route that is not public accepts requests without a key.
    fn requires_no_key(&self, route: &Route) -> bool {
        !route.open && self.organisations.is_empty()
    }
}
