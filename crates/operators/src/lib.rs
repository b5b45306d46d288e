//! Bundles and their signatures, settings, audit records and logging.

mod accept_bundle;
mod accept_conflict;
mod accept_error;
mod accept_request;
mod accepted_bundle;
mod audit_action;
mod audit_record;
mod bundle_changes;
mod bundle_checks;
mod bundle_difference;
mod bundle_digest;
mod bundle_document;
mod bundle_head;
mod bundle_lines;
mod bundle_reader;
mod bundle_signature;
mod bundle_store;
mod caller_key;
mod change_counts;
mod daemon_settings;
mod difference_error;
mod fault;
mod fault_collector;
mod faults;
mod gateway_settings;
mod gateway_settings_reader;
mod hex;
mod ini_field;
mod ini_section;
mod ini_text;
mod instance_settings;
mod load_bundle;
mod load_error;
mod log_component;
mod log_entry;
mod log_format;
mod log_settings;
mod logs;
mod machine_settings;
mod operator_key;
mod random_bytes;
mod request_history;
mod restore_bundle;
mod section_change;
mod section_kind;
mod section_reader;
mod settings_reader;
mod signature_error;
mod store_entry;
mod store_error;
mod store_keys;
mod stored_difference;
mod stored_head;
mod tls_settings;
mod trust;
mod trust_reader;

pub use {
    accept_bundle::accept_bundle,
    accept_conflict::AcceptConflict,
    accept_error::AcceptError,
    accept_request::AcceptRequest,
    accepted_bundle::AcceptedBundle,
    audit_action::AuditAction,
    audit_record::AuditRecord,
    bundle_changes::BundleChanges,
    bundle_difference::BundleDifference,
    bundle_digest::{BundleDigest, InvalidDigest},
    bundle_document::BundleDocument,
    bundle_head::BundleHead,
    bundle_signature::BundleSignature,
    bundle_store::BundleStore,
    caller_key::{caller_key_digest, generate_caller_key, key_digest_text},
    change_counts::ChangeCounts,
    daemon_settings::DaemonSettings,
    difference_error::DifferenceError,
    fault::Fault,
    faults::Faults,
    gateway_settings::GatewaySettings,
    instance_settings::InstanceSettings,
    load_bundle::{load_content, load_differences, load_head},
    load_error::LoadError,
    log_component::LogComponent,
    log_entry::LogEntry,
    log_format::LogFormat,
    log_settings::LogSettings,
    logs::{LoggerAlreadySet, Logs},
    machine_settings::MachineSettings,
    operator_key::OperatorKey,
    request_history::RequestHistory,
    restore_bundle::restore_bundle,
    section_change::SectionChange,
    section_kind::SectionKind,
    signature_error::SignatureError,
    store_entry::StoreEntry,
    store_error::StoreError,
    store_keys::{AUDIT_PREFIX, HEAD_KEY, era_marker_key},
    stored_difference::StoredDifference,
    stored_head::StoredHead,
    tls_settings::TlsSettings,
    trust::Trust,
};
