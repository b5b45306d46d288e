//! Differences between two configurations.

use std::{collections::BTreeMap, fmt::Debug};

use hawthornquay_decisions::Set;

use crate::{
    ConfigurationDocument, ExecutionSemantics, OrganisationEntry, Route, ServiceConfig,
    caller_limits::CallerLimits,
};

/// Names and values of the fields of an entry.
type Fields = Vec<(&'static str, String)>;

/// Returns what differs between two configurations, one line for each entry or field:
/// `+ <entry>` if it was added, `- <entry>` if it was removed, and
/// `~ <entry>: <field>: <old> -> <new>` if it was changed. API keys are counted, but never named.
pub fn configuration_changes(
    old: &ConfigurationDocument,
    new: &ConfigurationDocument,
) -> Vec<String> {
    let mut changes = Vec::new();
    let [before, after] =
        [old, new].map(|document| vec![("version", document.version.to_string())]);
    add_field_changes("configuration", &before, &after, &mut changes);
    let [before, after] = [old, new].map(|document| limit_fields(&document.limits));
    add_field_changes("limits", &before, &after, &mut changes);
    let [before, after] = [old, new].map(entries);
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        changes.push(format!("- {name}"));
    }
    for (name, fields) in &after {
        match before.get(name) {
            None => changes.push(format!("+ {name}")),
            Some(previous) => add_field_changes(name, previous, fields, &mut changes),
        }
    }
    changes.extend(key_changes(old, new));
    changes
}

/// Returns the fields of all routes, services and organisations. Of entries with the same name, the
/// last one counts.
fn entries(document: &ConfigurationDocument) -> BTreeMap<String, Fields> {
    let routes = document
        .routes
        .iter()
        .map(|route| (format!("route `{}`", route.name), route_fields(route)));
    let services = document
        .services
        .iter()
        .map(|(name, config)| (format!("service `{name}`"), service_fields(config)));
    let organisations = document
        .organisations
        .iter()
        .map(|entry| (organisation_name(entry), organisation_fields(entry)));
    routes.chain(services).chain(organisations).collect()
}

fn add_field_changes(name: &str, before: &Fields, after: &Fields, changes: &mut Vec<String>) {
    for ((field, old), (_, new)) in before.iter().zip(after) {
        if old != new {
            changes.push(format!("~ {name}: {field}: {old} -> {new}"));
        }
    }
}

fn organisation_name(entry: &OrganisationEntry) -> String {
    format!("organisation `{}`", entry.id)
}

/// Returns how many keys each organisation that exists before and after has gained and lost.
fn key_changes(old: &ConfigurationDocument, new: &ConfigurationDocument) -> Vec<String> {
    let keys = |document: &ConfigurationDocument| {
        let mut keys: BTreeMap<String, Set<String>> = BTreeMap::new();
        for entry in &document.organisations {
            let of_organisation = keys.entry(organisation_name(entry)).or_default();
            of_organisation.extend(entry.keys.iter().cloned());
        }
        keys
    };
    let (before, after) = (keys(old), keys(new));
    after
        .iter()
        .filter_map(|(name, keys)| {
            let previous = before.get(name)?;
            let added = keys.difference(previous).count();
            let removed = previous.difference(keys).count();
            (added + removed > 0)
                .then(|| format!("~ {name}: keys: {added} added, {removed} removed"))
        })
        .collect()
}

fn limit_fields(limits: &CallerLimits) -> Fields {
    vec![
        ("header bytes", limits.max_header_bytes.to_string()),
        ("body bytes", limits.max_body_bytes.to_string()),
        ("header time-out", text(limits.header_timeout)),
        ("idle time-out", text(limits.idle_timeout)),
    ]
}

fn route_fields(route: &Route) -> Fields {
    let semantics = match route.semantics {
        ExecutionSemantics::Repeatable => "repeatable".to_owned(),
        ExecutionSemantics::AtMostOnce => "at most once".to_owned(),
        ExecutionSemantics::Stream {
            resumable,
            target_event_gap,
        } => {
            let kind = if resumable { "resumable " } else { "" };
            format!("{kind}stream with a gap of {target_event_gap:?}")
        }
    };
    let services: Vec<String> = route
        .services
        .iter()
        .map(|(name, weight)| format!("{name} {weight}"))
        .collect();
    vec![
        ("host", route.host.clone()),
        ("prefix", route.prefix.clone()),
        ("kind", semantics),
        ("time-out", text(route.timeout)),
        ("target latency", text(route.target_latency)),
        ("attempts", route.max_attempts.to_string()),
        ("priority", route.priority.to_string()),
        ("services", services.join(", ")),
        ("public", route.open.to_string()),
        ("home regions", text(&route.home_regions)),
    ]
}

fn service_fields(config: &ServiceConfig) -> Fields {
    vec![
        ("connections", config.max_connections.to_string()),
        ("cold time", text(config.cold_duration)),
        (
            "cold requests per second",
            config.cold_requests_per_s.to_string(),
        ),
        ("health check", text(&config.health_path)),
        ("engine", text(config.engine)),
    ]
}

fn organisation_fields(entry: &OrganisationEntry) -> Fields {
    let config = &entry.config;
    vec![
        ("rate", config.rate.to_string()),
        ("burst", config.burst.to_string()),
        (
            "tokens of a default request",
            config.default_request_tokens.to_string(),
        ),
        ("priority", text(config.priority)),
        ("home regions", text(&config.home_regions)),
    ]
}

fn text(value: impl Debug) -> String {
    format!("{value:?}")
}
