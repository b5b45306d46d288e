//! Checks between the parts of a bundle.

use std::net::SocketAddr;

use hawthornquay_decisions::{Bundle, Map, Residency, ServiceRoute};

use crate::{bundle_lines::BundleLines, fault_collector::FaultCollector};

/// Paths that the gateway serves itself.
const OWN_PATHS: [&str; 5] = [
    "/v1/chat/completions",
    "/v1/idempotency-keys",
    "/v1/instances",
    "/v1/models",
    "/v1/requests",
];

pub(crate) fn check(bundle: &Bundle, lines: &BundleLines, faults: &mut FaultCollector) {
    check_residencies(bundle, lines, faults);
    check_routes(bundle, lines, faults);
    check_addresses(bundle, lines, faults);
}

fn check_residencies(bundle: &Bundle, lines: &BundleLines, faults: &mut FaultCollector) {
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
                format!("`{path}` is no path of a route"),
                "write a path that begins with `/` and does not end with one",
            );
        }
        if OWN_PATHS
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

/// Reports the callers whose burst can never pay for the route.
fn check_bursts(bundle: &Bundle, route: &ServiceRoute, line: usize, faults: &mut FaultCollector) {
    let mut short: Vec<&str> = bundle
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
    short.sort_unstable();
    if !short.is_empty() {
        faults.add(
            line,
            format!(
                "the route {} costs {} tokens, more than the burst of: {}",
                route.path,
                route.cost_tokens,
                short.join(", ")
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
    let mut users: Map<SocketAddr, &str> = Map::default();
    for (line, backend) in backends {
        let address = backend.address;
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            faults.add(
                line,
                format!("`{address}` is no address that a server can have"),
                "write the server's own IP number and a port above 0",
            );
        }
        if let Some(other) = users.insert(address, backend.name.as_str()) {
            faults.add(
                line,
                format!(
                    "the backend servers `{other}` and `{}` have one address",
                    backend.name
                ),
                "give each backend server its own address",
            );
        }
    }
}
