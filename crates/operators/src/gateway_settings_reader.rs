//! Parses the settings of the gateway for routed services.

use std::time::Duration;

use hawthornquay_decisions::{Map, Set};

use crate::{
    GatewaySettings, LogSettings, MachineSettings,
    fault_collector::FaultCollector,
    ini_section::IniSection,
    ini_text::IniText,
    machine_settings::read_machine,
    section_reader::SectionReader,
    settings_reader::{
        find_sections, listen_address, read_log, read_name, read_section, server_address,
    },
};

const SECTIONS: [&str; 10] = [
    "instance", "status", "places", "store", "routing", "retries", "limits", "stop", "machine",
    "log",
];

/// Grace period of a stop if the settings state none, in seconds.
const DEFAULT_STOP_GRACE_S: f64 = 5.0;

/// Longest grace period of a stop, in seconds.
const MAX_STOP_GRACE_S: f64 = 3_600.0;

/// Parses the sections and records every fault.
pub(crate) fn read_gateway_settings(
    text: &IniText,
    faults: &mut FaultCollector,
) -> Option<GatewaySettings> {
    let sections = find_sections(text, &SECTIONS, faults);
    let log = match sections.get("log") {
        Some(section) => read_section(section, faults, read_log),
        None => Some(LogSettings::default()),
    };
    let machine = match sections.get("machine") {
        Some(section) => read_machine(section, faults),
        None => Some(MachineSettings::default()),
    };
    let mut required = |name: &'static str| -> Option<&IniSection> {
        let section = sections.get(name).copied();
        if section.is_none() {
            faults.add(
                1,
                format!("the section [{name}] is missing"),
                format!("add [{name}] with its fields"),
            );
        }
        section
    };
    let (instance, status) = (required("instance"), required("status"));
    let (places, store) = (required("places"), required("store"));
    let (routing, retries) = (required("routing"), required("retries"));
    let (limits, stop) = (required("limits"), required("stop"));

    let mut used_addresses = Set::default();
    let instance = instance.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let name = read_name(reader, "name", faults);
            let region = read_name(reader, "region", faults);
            let domain = read_name(reader, "domain", faults);
            let callers = unique_listen_address(reader, "callers", &mut used_addresses, faults);
            let peers = unique_listen_address(reader, "peers", &mut used_addresses, faults);
            let link_mbps = reader.decimal_or("link_mbps", 0.0, faults);
            let first_start = reader.flag("first_start", false, faults);
            let places = (name?, region?, domain?);
            Some((places, callers?, peers?, link_mbps? as u32, first_start?))
        })
    });
    let status = status.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let readiness = unique_listen_address(reader, "readiness", &mut used_addresses, faults);
            let directory = unique_listen_address(reader, "directory", &mut used_addresses, faults);
            let metrics = unique_listen_address(reader, "metrics", &mut used_addresses, faults);
            Some((readiness?, directory?, metrics?))
        })
    });
    let places = places.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let domains = reader.prefixed("domain.", faults);
            if domains.is_empty() {
                faults.add(
                    section.line,
                    "no failure domain is named",
                    "write `domain.NAME = REGION` for each failure domain",
                );
                return None;
            }
            let regions: Map<_, _> = domains
                .into_iter()
                .map(|(domain, field)| (domain.into(), field.value.as_str().into()))
                .collect();
            Some(regions)
        })
    });
    let store = store.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let address = server_address(reader, "address", faults);
            let registration_ttl = read_millis(reader, "registration_ms", faults);
            Some((address?, registration_ttl?))
        })
    });
    let routing = routing.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let round_trip = read_millis(reader, "region_round_trip_ms", faults);
            let margin = read_millis(reader, "send_away_margin_ms", faults);
            Some((round_trip?, margin?))
        })
    });
    let retries = retries.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            // Without a stated budget there are no retries.
            let ratio = reader.fraction_or("ratio", 0.0, faults);
            let slack = reader.decimal_or("slack", 0.0, faults);
            Some((ratio?, slack? as u32))
        })
    });
    let limit_slack = limits.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let tokens = reader.decimal_or("slack_tokens", 0.0, faults)?;
            Some(tokens as u64)
        })
    });
    let stop_grace = stop.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let seconds = reader.decimal_or("grace_s", DEFAULT_STOP_GRACE_S, faults)?;
            Some(Duration::from_secs_f64(seconds.min(MAX_STOP_GRACE_S)))
        })
    });
    let ((name, region, domain), callers, peers, link_mbps, first_start) = instance?;
    let (readiness, directory, metrics) = status?;
    let (store, registration_ttl) = store?;
    let (region_round_trip, send_away_margin) = routing?;
    let (retry_ratio, retry_slack) = retries?;
    Some(GatewaySettings {
        name: name.into(),
        region: region.into(),
        domain: domain.into(),
        link_mbps,
        first_start,
        callers,
        peers,
        readiness,
        directory,
        metrics,
        regions: places?,
        store,
        registration_ttl,
        region_round_trip,
        send_away_margin,
        retry_ratio,
        retry_slack,
        limit_slack: limit_slack?,
        stop_grace: stop_grace?,
        machine: machine?,
        log: log?,
    })
}

/// Returns a required duration in milliseconds of at least 1.
fn read_millis(
    reader: &mut SectionReader<'_>,
    name: &'static str,
    faults: &mut FaultCollector,
) -> Option<Duration> {
    reader
        .positive::<u64>(name, faults)
        .map(Duration::from_millis)
}

/// Returns a listen address; an address that another field already has is a fault.
fn unique_listen_address(
    reader: &mut SectionReader<'_>,
    name: &'static str,
    used_addresses: &mut Set<std::net::SocketAddr>,
    faults: &mut FaultCollector,
) -> Option<std::net::SocketAddr> {
    let address = listen_address(reader, name, faults)?;
    if !used_addresses.insert(address) {
        faults.add(
            reader.line_of(name),
            format!("`{name}` is `{address}`, which another field already has"),
            "give each field a different port",
        );
    }
    Some(address)
}
