//! Client of the platform: store, instance list, client directory.

mod call_limits;
mod change;
mod changes;
mod entry;
mod lease_id;
mod listed_instances;
mod listing;
mod lost_answer_cause;
mod platform_client;
mod platform_error;
mod revision;
mod token_write;
mod transport;
mod wire_entry;

pub use {
    call_limits::CallLimits, change::Change, changes::Changes, entry::Entry, lease_id::LeaseId,
    listed_instances::ListedInstances, listing::Listing, lost_answer_cause::LostAnswerCause,
    platform_client::PlatformClient, platform_error::PlatformError, revision::Revision,
};

/// Largest value of a key or directory entry, in bytes.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;
