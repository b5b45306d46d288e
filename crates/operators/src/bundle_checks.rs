//! Consistency checks across the sections of a bundle.

use std::net::SocketAddr;

use hawthornquay_decisions::{Bundle, Map, Residency, ServiceRoute};

use crate::{bundle_lines::BundleLines, fault_collector::FaultCollector};

/// Paths of the gateway's own endpoints.
const GATEWAY_PATHS: [&str; 5] = [
    "/v1/chat/completions",
    "/v1/idempotency-keys",
    "/v1/instances",
    "/v1/models",
    "/v1/requests",
];

/// Checks references and values that depend on several sections, and records every fault.
pub(crate) fn check(bundle: &Bundle, lines: &BundleLines, faults: &mut FaultCollector) {
    check_residencies(bundle, lines, faults);
    check_routes(bundle, lines, faults);
    check_addresses(bundle, lines, faults);
}

/// Reports organisations whose residency allows none of the failure domains.
fn check_residencies(bundle: &Bundle, lines: &BundleLines, faults: &mut FaultCollector) {
    // A domain with a fault is missing from the bundle, so its region is unknown.
    if bundle.domains.len() < lines.domains.len() {
        return;
    }
    for organisation in bundle.organisations.values() {
        if bundle
            .domains
            .values()
            .any(|domain| organisation.residency.allows(&domain.region))
        {
            continue;
        }
        let remedy = match organisation.residency {
            Residency::Any => "add a [domain ...]",
            Residency::Regions(_) => "add a [domain ...] in one of these regions, or allow others",
        };
        faults.add(
            lines
                .residencies
                .get(&organisation.id)
                .copied()
                .unwrap_or(1),
            format!("the residency of `{}` allows no domain", organisation.id),
            remedy,
        );
    }
}

fn check_routes(bundle: &Bundle, lines: &BundleLines, faults: &mut FaultCollector) {
    for (route, (line, service_line)) in bundle.routes.iter().zip(&lines.routes) {
        let path = route.path.as_str();
        if !path.starts_with('/') || path.ends_with('/') || path.contains("//") {
            faults.add(
                *line,
                format!("`{path}` is not a valid route path"),
                "write a path that begins with `/` and does not end with one",
            );
        }
        if GATEWAY_PATHS
            .iter()
            .any(|own| path == *own || path.starts_with(&format!("{own}/")))
        {
            faults.add(
                *line,
                format!("the gateway serves `{path}` itself"),
                "choose another path, such as /v1/services/<name>",
            );
        }
        let service = route.service.as_str();
        if !lines.services.contains(service) {
            faults.add(
                *service_line,
                format!("no backend server offers the service `{service}`"),
                format!(
                    "add a [backend ...] with `kind = plain-service` and `service = {service}`, \
                     or correct the name"
                ),
            );
        }
        check_bursts(bundle, route, *line, faults);
    }
}

/// Reports organisations whose burst is below the cost of the route, which would refuse all of
/// their requests.
fn check_bursts(bundle: &Bundle, route: &ServiceRoute, line: usize, faults: &mut FaultCollector) {
    let mut too_small: Vec<&str> = bundle
        .organisations
        .values()
        .filter(|organisation| organisation.burst < route.cost_tokens)
        .filter(|organisation| {
            route
                .anonymous_organisation
                .as_ref()
                .is_none_or(|id| *id == organisation.id)
        })
        .map(|organisation| organisation.id.as_str())
        .collect();
    too_small.sort_unstable();
    if !too_small.is_empty() {
        faults.add(
            line,
            format!(
                "the route {} costs {} tokens, more than the burst of: {}",
                route.path,
                route.cost_tokens,
                too_small.join(", ")
            ),
            "lower `cost` or raise `burst`",
        );
    }
}

fn check_addresses(bundle: &Bundle, lines: &BundleLines, faults: &mut FaultCollector) {
    let mut backends: Vec<_> = bundle
        .backends
        .values()
        .map(|backend| {
            (
                lines.backends.get(&backend.name).copied().unwrap_or(1),
                backend,
            )
        })
        .collect();
    backends.sort_by_key(|(line, _)| *line);
    let mut names_by_address: Map<SocketAddr, &str> = Map::default();
    for (line, backend) in backends {
        let address = backend.address;
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            faults.add(
                line,
                format!("`{address}` is not a valid server address"),
                "write the IP address of the server and a port above 0",
            );
        }
        if let Some(other) = names_by_address.insert(address, backend.name.as_str()) {
            faults.add(
                line,
                format!(
                    "the backend servers `{other}` and `{}` have the same address",
                    backend.name
                ),
                "give each backend server a different address",
            );
        }
    }
}
