//! Bundle, settings, signatures, audit records and logging.

mod audit_action;
mod audit_record;
mod bundle_checks;
mod bundle_difference;
mod bundle_digest;
mod bundle_document;
mod bundle_head;
mod bundle_lines;
mod bundle_reader;
mod bundle_signature;
mod caller_key;
mod daemon_settings;
mod difference_error;
mod fault;
mod fault_collector;
mod faults;
mod hex;
mod ini_field;
mod ini_section;
mod ini_text;
mod instance_settings;
mod log_format;
mod log_settings;
mod logs;
mod operator_key;
mod part;
mod random_bytes;
mod section_change;
mod section_reader;
mod settings_reader;
mod signature_error;
mod tls_settings;
mod trust;
mod trust_reader;

pub use {
    audit_action::AuditAction,
    audit_record::AuditRecord,
    bundle_difference::BundleDifference,
    bundle_digest::{BundleDigest, InvalidDigest},
    bundle_document::BundleDocument,
    bundle_head::BundleHead,
    bundle_signature::BundleSignature,
    caller_key::{caller_key_digest, generate_caller_key, key_digest_text},
    daemon_settings::DaemonSettings,
    difference_error::DifferenceError,
    fault::Fault,
    faults::Faults,
    instance_settings::InstanceSettings,
    log_format::LogFormat,
    log_settings::LogSettings,
    logs::Logs,
    operator_key::OperatorKey,
    part::Part,
    section_change::SectionChange,
    signature_error::SignatureError,
    tls_settings::TlsSettings,
    trust::Trust,
};
