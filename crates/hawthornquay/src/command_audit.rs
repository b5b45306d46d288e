//! Command that shows the audit records.

use std::net::SocketAddr;

use hawthornquay_operators::{AUDIT_PREFIX, AuditAction, AuditRecord};
use hawthornquay_store::Entry;
use serde_json::{Value, json};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::{
    CommandError, CommandExit, CommandOutput, command_platform::read_listing,
    command_runtime::block_on, command_table::table,
};

/// Start of the key of a record whose revision was not known any more when it was written.
const BY_VERSION: &str = "version-";

const HEADER: [&str; 7] = [
    "RECORD", "WHEN", "WHO", "WHAT", "VERSION", "DETAILS", "DIGEST",
];

struct Record {
    /// Revision of the accept, or of the orderer's lease.
    revision: u64,
    /// Number among the records of the same lease.
    sequence: u64,
    key: String,
    content: Result<AuditRecord, serde_json::Error>,
}

/// Shows the audit records in the order of their revisions; malformed ones are refused.
pub(crate) fn audit(as_json: bool, platform: SocketAddr) -> Result<CommandOutput, CommandError> {
    let listing = block_on(read_listing(platform, AUDIT_PREFIX))??;
    let records = in_order(&listing.entries);
    let mut rows = vec![HEADER.map(str::to_owned)];
    let mut listed = Vec::new();
    let mut stderr = String::new();
    for record in &records {
        match &record.content {
            Ok(content) => {
                rows.push(row(record, content));
                listed.push(record_json(record, content));
            }
            Err(error) => {
                stderr += &format!("{}: the record is malformed: {error}\n", record.key);
                listed.push(json!({"key": record.key, "error": error.to_string()}));
            }
        }
    }
    let exit = if records.iter().all(|record| record.content.is_ok()) {
        CommandExit::Done
    } else {
        CommandExit::Refused
    };
    let mut output = CommandOutput::json_or_text(exit, as_json, &Value::from(listed), table(&rows));
    if !as_json {
        output.stderr = stderr;
    }
    Ok(output)
}

fn in_order(entries: &[Entry]) -> Vec<Record> {
    let mut records: Vec<Record> = entries.iter().map(read_record).collect();
    // Versions are accepted in their order, so a record without the revision of its accept stands
    // before the next version. Its own revision is later, because it was written afterwards.
    let known: Vec<(u64, u64)> = records
        .iter()
        .filter(|record| place_in_key(&record.key).is_some())
        .filter_map(|record| Some((version(record)?, record.revision)))
        .collect();
    for record in &mut records {
        let Some(version) = version(record) else {
            continue;
        };
        if record
            .key
            .starts_with(&format!("{AUDIT_PREFIX}{BY_VERSION}"))
        {
            let later = known.iter().filter(|known| known.0 > version);
            record.revision = later.map(|known| known.1).min().unwrap_or(record.revision);
        }
    }
    records.sort_by_key(|record| {
        let version = version(record).unwrap_or(u64::MAX);
        (record.revision, record.sequence, version)
    });
    records
}

fn read_record(entry: &Entry) -> Record {
    let (revision, sequence) = place_in_key(&entry.key).unwrap_or((entry.revision.0, 0));
    Record {
        revision,
        sequence,
        key: entry.key.clone(),
        content: serde_json::from_slice(&entry.value),
    }
}

/// Returns the revision in a key, and the number that follows it in keys of orders.
fn place_in_key(key: &str) -> Option<(u64, u64)> {
    let place = key.strip_prefix(AUDIT_PREFIX)?;
    match place.split_once('-') {
        Some((revision, sequence)) => Some((revision.parse().ok()?, sequence.parse().ok()?)),
        None => Some((place.parse().ok()?, 0)),
    }
}

/// Returns the version of an accepted bundle.
fn version(record: &Record) -> Option<u64> {
    match record.content.as_ref().ok()?.action {
        AuditAction::BundleAccepted { version, .. } => Some(version),
        AuditAction::OrdererChanged { .. } | AuditAction::OrderSent { .. } => None,
    }
}

fn row(record: &Record, content: &AuditRecord) -> [String; 7] {
    let none = || "-".to_owned();
    let (version, details, digest) = match &content.action {
        AuditAction::BundleAccepted {
            version,
            digest,
            changes,
        } => {
            let changes = changes.as_ref().map(ToString::to_string);
            let changes = changes.filter(|changes| !changes.is_empty());
            (
                version.to_string(),
                changes.unwrap_or_else(none),
                digest.to_string(),
            )
        }
        AuditAction::OrdererChanged {
            domain,
            instance,
            fence,
        } => (
            none(),
            format!("{instance} orders in {domain}, fence {fence}"),
            none(),
        ),
        AuditAction::OrderSent {
            server,
            kind,
            model,
            fence,
        } => (
            none(),
            format!("{} {model} at {server}, fence {fence}", word(&json!(kind))),
            none(),
        ),
    };
    [
        key_name(&record.key),
        when(content.when_ms),
        printable(&content.who),
        word(&json!(content)["what"]),
        version,
        printable(&details),
        digest,
    ]
}

fn record_json(record: &Record, content: &AuditRecord) -> Value {
    let mut value = json!(content);
    value["key"] = json!(record.key);
    value["revision"] = json!(place_in_key(&record.key).map(|place| place.0));
    value["when"] = json!(when(content.when_ms));
    value
}

fn key_name(key: &str) -> String {
    key.strip_prefix(AUDIT_PREFIX).unwrap_or(key).to_owned()
}

/// Returns the text of an enumeration's name.
fn word(name: &Value) -> String {
    name.as_str().unwrap_or_default().to_owned()
}

/// Replaces characters that would change the terminal.
fn printable(text: &str) -> String {
    text.chars()
        .map(|char| if char.is_control() { '?' } else { char })
        .collect()
}

/// Formats a Unix time; one that no calendar date stands for is shown in milliseconds.
fn when(unix_ms: u64) -> String {
    OffsetDateTime::from_unix_timestamp_nanos(i128::from(unix_ms) * 1_000_000)
        .ok()
        .and_then(|time| time.format(&Rfc3339).ok())
        .unwrap_or_else(|| format!("{unix_ms} ms"))
}
