//! Client of the platform: its key-value store, its list of instances and the client directory.
//!
//! Callers look up the addresses of instances in the client directory.

mod call_timeouts;
mod change;
mod changes;
mod entry;
mod lease_id;
mod listed_instances;
mod listing;
mod platform_client;
mod platform_error;
mod transport;
mod unknown_outcome_cause;
mod verified_write;
mod wire_entry;

pub use hawthornquay_decisions::StoreRevision;

pub use {
    call_timeouts::CallTimeouts, change::Change, changes::Changes, entry::Entry, lease_id::LeaseId,
    listed_instances::ListedInstances, listing::Listing, platform_client::PlatformClient,
    platform_error::PlatformError, unknown_outcome_cause::UnknownOutcomeCause,
};

/// Maximum size of the value of a key or directory entry, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
