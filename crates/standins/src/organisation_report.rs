//! Service that an organisation got.

use serde::Serialize;

/// Requests of one organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrganisationReport {
    /// Requests sent.
    pub sent: u64,
    /// Right answers.
    pub right: u64,
    /// Refusals.
    pub refused: u64,
    /// Prompt and output tokens of the right answers.
    pub tokens: u64,
}
