//! Parses the settings of the daemon.

use std::net::SocketAddr;

use hawthornquay_decisions::{Map, Set};
use slog::Level;

use crate::{
    DaemonSettings, InstanceSettings, LogComponent, LogFormat, LogSettings, MachineSettings,
    TlsSettings, Trust, fault_collector::FaultCollector, ini_field::IniField,
    ini_section::IniSection, ini_text::IniText, machine_settings::read_machine,
    section_reader::SectionReader, trust_reader::read_trust,
};

const SECTIONS: [&str; 6] = ["instance", "platform", "tls", "trust", "log", "machine"];
const LEVELS: &str = "critical, error, warning, info, debug, trace";

/// Parses the sections and records every fault.
pub(crate) fn read_settings(text: &IniText, faults: &mut FaultCollector) -> Option<DaemonSettings> {
    let sections = find_sections(text, &SECTIONS, faults);
    let mut required = |name: &'static str| {
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
    let (instance, platform) = (required("instance"), required("platform"));
    let (tls, trust) = (required("tls"), required("trust"));
    let instance = instance.and_then(|section| read_instance(section, faults));
    let platform = platform.and_then(|section| {
        read_section(section, faults, |reader, faults| {
            server_address(reader, "address", faults)
        })
    });
    let tls = tls.and_then(|section| read_section(section, faults, read_tls));
    let trust = trust.and_then(|section| read_section(section, faults, read_trust));
    let log = match sections.get("log") {
        Some(section) => read_section(section, faults, read_log),
        None => Some(LogSettings::default()),
    };
    let machine = match sections.get("machine") {
        Some(section) => read_machine(section, faults),
        None => Some(MachineSettings::default()),
    };
    let (signers, signatures_needed) = trust?;
    Some(DaemonSettings {
        instance: instance?,
        platform: platform?,
        tls: tls?,
        trust: Trust {
            signers,
            signatures_needed,
        },
        log: log?,
        machine: machine?,
    })
}

/// Returns the sections by name. Unknown and repeated sections are faults.
pub(crate) fn find_sections<'a>(
    text: &'a IniText,
    known: &[&str],
    faults: &mut FaultCollector,
) -> Map<&'a str, &'a IniSection> {
    let mut sections: Map<&str, &IniSection> = Map::default();
    for section in &text.sections {
        let header = section.header.as_str();
        if !known.contains(&header) {
            faults.add(
                section.line,
                format!("there is no section [{header}]"),
                format!("remove it or use one of: {}", known.join(", ")),
            );
        } else if let Some(other) = sections.get(header) {
            faults.add(
                section.line,
                format!("[{header}] is already defined on line {}", other.line),
                "merge the two sections",
            );
        } else {
            sections.insert(header, section);
        }
    }
    sections
}

/// Parses a section with `read` and reports the fields that `read` has not read.
pub(crate) fn read_section<'a, T>(
    section: &'a IniSection,
    faults: &mut FaultCollector,
    read: impl FnOnce(&mut SectionReader<'a>, &mut FaultCollector) -> Option<T>,
) -> Option<T> {
    let mut reader = SectionReader::new(section);
    let value = read(&mut reader, faults);
    reader.report_unknown_fields(faults);
    value
}

fn read_instance(section: &IniSection, faults: &mut FaultCollector) -> Option<InstanceSettings> {
    read_section(section, faults, |reader, faults| {
        let name = read_name(reader, "name", faults);
        let region = read_name(reader, "region", faults);
        let domain = read_name(reader, "domain", faults);
        let mut used_addresses = Set::default();
        let mut listen = |field: &'static str| {
            let address = listen_address(reader, field, faults)?;
            if !used_addresses.insert(address) {
                faults.add(
                    section.line,
                    format!("`{field}` is `{address}`, which another field already has"),
                    "give `callers`, `peers` and `operators` different ports",
                );
            }
            Some(address)
        };
        let (callers, peers, operators) = (listen("callers"), listen("peers"), listen("operators"));
        Some(InstanceSettings {
            name: name?.into(),
            region: region?.into(),
            domain: domain?.into(),
            callers: callers?,
            peers: peers?,
            operators: operators?,
        })
    })
}

/// Returns a required name of letters, digits and `-_.`.
pub(crate) fn read_name<'a>(
    reader: &mut SectionReader<'a>,
    field: &'static str,
    faults: &mut FaultCollector,
) -> Option<&'a str> {
    let field = reader.required(field, faults)?;
    let allowed = |char: char| char.is_ascii_alphanumeric() || matches!(char, '_' | '-' | '.');
    if !field.value.chars().all(allowed) {
        faults.add(
            field.line,
            format!("`{}` is `{}`, which is no name", field.name, field.value),
            "write letters, digits and `-_.`",
        );
        return None;
    }
    Some(&field.value)
}

/// Returns a required address with a port other than 0.
pub(crate) fn listen_address(
    reader: &mut SectionReader<'_>,
    name: &'static str,
    faults: &mut FaultCollector,
) -> Option<SocketAddr> {
    let address = reader.address(name, faults)?;
    // The platform publishes the address before the process starts, so the operating system cannot
    // choose the port.
    if address.port() == 0 {
        let line = reader.line_of(name);
        faults.add(
            line,
            format!("`{name}` has port 0"),
            "write the port to listen on",
        );
        return None;
    }
    Some(address)
}

/// Returns a required address of a server, which is not the unspecified address.
pub(crate) fn server_address(
    reader: &mut SectionReader<'_>,
    name: &'static str,
    faults: &mut FaultCollector,
) -> Option<SocketAddr> {
    let address = listen_address(reader, name, faults)?;
    if address.ip().is_unspecified() {
        faults.add(
            reader.line_of(name),
            format!("`{address}` is not a valid server address"),
            "write the IP address of the server",
        );
        return None;
    }
    Some(address)
}

fn read_tls(reader: &mut SectionReader<'_>, faults: &mut FaultCollector) -> Option<TlsSettings> {
    let mut path = |name| {
        reader
            .required(name, faults)
            .map(|field| field.value.as_str())
    };
    let (certificate, key, authority) = (path("certificate"), path("key"), path("authority"));
    Some(TlsSettings {
        certificate: certificate?.into(),
        key: key?.into(),
        authority: authority?.into(),
    })
}

pub(crate) fn read_log(
    reader: &mut SectionReader<'_>,
    faults: &mut FaultCollector,
) -> Option<LogSettings> {
    let format = match reader.optional("format", faults) {
        None => Some(LogFormat::default()),
        Some(field) => read_format(field, faults),
    };
    let level = match reader.optional("level", faults) {
        None => Some(LogSettings::default().level),
        Some(field) => read_level(field, faults),
    };
    let mut component_levels = Map::default();
    for (prefix, field) in reader.prefixed("level.", faults) {
        let level = read_level(field, faults);
        match (LogComponent::from_prefix(prefix), level) {
            (Some(component), Some(level)) => {
                component_levels.insert(component, level);
            }
            (None, _) => faults.add(
                field.line,
                format!("unknown log component `{prefix}`"),
                format!(
                    "use one of: {}",
                    LogComponent::ALL.map(LogComponent::prefix).join(", ")
                ),
            ),
            (Some(_), None) => {}
        }
    }
    Some(LogSettings {
        format: format?,
        level: level?,
        component_levels,
    })
}

fn read_format(field: &IniField, faults: &mut FaultCollector) -> Option<LogFormat> {
    match field.value.as_str() {
        "human" => Some(LogFormat::Human),
        "json" => Some(LogFormat::Json),
        other => {
            faults.add(
                field.line,
                format!("unknown log format `{other}`"),
                "write `human` or `json`",
            );
            None
        }
    }
}

fn read_level(field: &IniField, faults: &mut FaultCollector) -> Option<Level> {
    let level = match field.value.as_str() {
        "critical" => Some(Level::Critical),
        "error" => Some(Level::Error),
        "warning" => Some(Level::Warning),
        "info" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        "trace" => Some(Level::Trace),
        _ => None,
    };
    if level.is_none() {
        faults.add(
            field.line,
            format!("unknown log level `{}`", field.value),
            format!("use one of: {LEVELS}"),
        );
    }
    level
}
