//! Reading of a gateway's settings into their typed form.

use std::time::Duration;

use hawthornquay_decisions::{Map, Set};

use crate::{
    GatewaySettings, LogSettings,
    fault_collector::FaultCollector,
    ini_section::IniSection,
    ini_text::IniText,
    section_reader::SectionReader,
    settings_reader::{
        find_sections, listen_address, read_log, read_name, read_section, server_address,
    },
};

const SECTIONS: [&str; 9] = [
    "instance", "status", "places", "store", "routing", "retries", "limits", "stop", "log",
];

/// Reads the sections and records every fault.
pub(crate) fn read_gateway_settings(
    text: &IniText,
    faults: &mut FaultCollector,
) -> Option<GatewaySettings> {
    let sections = find_sections(text, &SECTIONS, faults);
    let log = match sections.get("log") {
        Some(section) => read_section(section, faults, read_log),
        None => Some(LogSettings::default()),
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

    let mut seen = Set::default();
    let instance = instance.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let name = read_name(reader, "name", faults);
            let region = read_name(reader, "region", faults);
            let domain = read_name(reader, "domain", faults);
            let callers = listen_once(reader, "callers", &mut seen, faults);
            let peers = listen_once(reader, "peers", &mut seen, faults);
            Some((name?, region?, domain?, callers?, peers?))
        })
    });
    let status = status.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let readiness = listen_once(reader, "readiness", &mut seen, faults);
            let directory = listen_once(reader, "directory", &mut seen, faults);
            let metrics = listen_once(reader, "metrics", &mut seen, faults);
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
                    "write `domain.NAME = REGION` for each",
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
            let registration_ttl = millis(reader, "registration_ms", faults);
            Some((address?, registration_ttl?))
        })
    });
    let routing = routing.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let round_trip = millis(reader, "region_round_trip_ms", faults);
            let margin = millis(reader, "send_away_margin_ms", faults);
            Some((round_trip?, margin?))
        })
    });
    let retries = retries.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let ratio = reader.fraction("ratio", faults);
            let slack = reader.positive::<u32>("slack", faults);
            Some((ratio?, slack?))
        })
    });
    let limit_slack = limits.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            reader.number_or("slack_tokens", 0, faults)
        })
    });
    let stop_grace = stop.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            let seconds = reader.positive::<u64>("grace_s", faults)?;
            Some(Duration::from_secs(seconds))
        })
    });
    let (name, region, domain, callers, peers) = instance?;
    let (readiness, directory, metrics) = status?;
    let (store, registration_ttl) = store?;
    let (region_round_trip, send_away_margin) = routing?;
    let (retry_ratio, retry_slack) = retries?;
    Some(GatewaySettings {
        name: name.into(),
        region: region.into(),
        domain: domain.into(),
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
        log: log?,
    })
}

fn millis(
    reader: &mut SectionReader<'_>,
    name: &'static str,
    faults: &mut FaultCollector,
) -> Option<Duration> {
    reader
        .positive::<u64>(name, faults)
        .map(Duration::from_millis)
}

fn listen_once(
    reader: &mut SectionReader<'_>,
    name: &'static str,
    seen: &mut Set<std::net::SocketAddr>,
    faults: &mut FaultCollector,
) -> Option<std::net::SocketAddr> {
    let address = listen_address(reader, name, faults)?;
    if !seen.insert(address) {
        faults.add(
            reader.line_of(name),
            format!("`{name}` is `{address}`, which another field already has"),
            "give each a port of its own",
        );
    }
    Some(address)
}
