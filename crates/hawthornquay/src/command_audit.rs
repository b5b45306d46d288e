//! Command `audit`: shows the audit records.

use std::net::SocketAddr;

use hawthornquay_operators::{AUDIT_PREFIX, AuditAction, AuditRecord};
use hawthornquay_store::Entry;
use serde_json::{Value, json};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::{
    CommandError, CommandExit, CommandOutput, command_platform::read_listing,
    command_runtime::block_on, command_table::format_table,
};

/// Start of the key, after the prefix of audit records, of a record that was written when the
/// revision of the accepted bundle was no longer known.
const BY_VERSION: &str = "version-";

const HEADER: [&str; 7] = [
    "RECORD", "WHEN", "WHO", "WHAT", "VERSION", "DETAILS", "DIGEST",
];

struct Record {
    /// Store revision of the accepted head, or of the lease of the instance that sent the order.
    revision: u64,
    /// Sequence number among the records of the same lease.
    sequence: u64,
    key: String,
    content: Result<AuditRecord, serde_json::Error>,
}

/// Shows the audit records, sorted by revision. If records are malformed, they are reported and the
/// exit status is `Refused`.
pub(crate) fn audit(as_json: bool, platform: SocketAddr) -> Result<CommandOutput, CommandError> {
    let listing = block_on(read_listing(platform, AUDIT_PREFIX))??;
    let records = sorted_records(&listing.entries);
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
    let mut output =
        CommandOutput::json_or_text(exit, as_json, &Value::from(listed), format_table(&rows));
    if !as_json {
        output.stderr = stderr;
    }
    Ok(output)
}

/// Parses the records and sorts them by revision.
fn sorted_records(entries: &[Entry]) -> Vec<Record> {
    let mut records: Vec<Record> = entries.iter().map(read_record).collect();
    // A record without the revision of the accepted head is placed before the next version, because
    // versions are accepted in ascending order. The record's own revision is too late, because the
    // record was written after the next version was accepted.
    let known: Vec<(u64, u64)> = records
        .iter()
        .filter(|record| parse_key(&record.key).is_some())
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
    let (revision, sequence) =
        parse_key(&entry.key).unwrap_or((entry.revision.fencing_number(), 0));
    Record {
        revision,
        sequence,
        key: entry.key.clone(),
        content: serde_json::from_slice(&entry.value),
    }
}

/// Returns the revision in a key and, for an order, the sequence number that follows it.
fn parse_key(key: &str) -> Option<(u64, u64)> {
    let suffix = key.strip_prefix(AUDIT_PREFIX)?;
    match suffix.split_once('-') {
        Some((revision, sequence)) => Some((revision.parse().ok()?, sequence.parse().ok()?)),
        None => Some((suffix.parse().ok()?, 0)),
    }
}

/// Returns the version of the bundle if the record is about an accepted bundle.
fn version(record: &Record) -> Option<u64> {
    match record.content.as_ref().ok()?.action {
        AuditAction::BundleAccepted { version, .. }
        | AuditAction::BundleRestored { version, .. } => Some(version),
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
        AuditAction::BundleRestored { version, digest } => {
            (version.to_string(), none(), digest.to_string())
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
            format!(
                "{} {model} at {server}, fence {fence}",
                variant_name(&json!(kind))
            ),
            none(),
        ),
    };
    [
        key_name(&record.key),
        format_time(content.when_ms),
        replace_control_chars(&content.who),
        variant_name(&json!(content)["what"]),
        version,
        replace_control_chars(&details),
        digest,
    ]
}

fn record_json(record: &Record, content: &AuditRecord) -> Value {
    let mut value = json!(content);
    value["key"] = json!(record.key);
    value["revision"] = json!(parse_key(&record.key).map(|parsed| parsed.0));
    value["when"] = json!(format_time(content.when_ms));
    value
}

fn key_name(key: &str) -> String {
    key.strip_prefix(AUDIT_PREFIX).unwrap_or(key).to_owned()
}

/// Returns the serialised name of an enum variant.
fn variant_name(name: &Value) -> String {
    name.as_str().unwrap_or_default().to_owned()
}

/// Replaces control characters, which a terminal would interpret.
fn replace_control_chars(text: &str) -> String {
    text.chars()
        .map(|char| if char.is_control() { '?' } else { char })
        .collect()
}

/// Formats a Unix time in RFC 3339, or in milliseconds if it is beyond the range of dates.
fn format_time(unix_ms: u64) -> String {
    OffsetDateTime::from_unix_timestamp_nanos(i128::from(unix_ms) * 1_000_000)
        .ok()
        .and_then(|time| time.format(&Rfc3339).ok())
        .unwrap_or_else(|| format!("{unix_ms} ms"))
}
