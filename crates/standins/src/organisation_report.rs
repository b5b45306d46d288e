//! Results of one organisation in a load run.

use serde::Serialize;

/// Results of the requests of one organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrganisationReport {
    /// Requests that were sent.
    pub sent: u64,
    /// Correct answers.
    pub right: u64,
    /// Refused requests.
    pub refused: u64,
    /// Prompt tokens and generated tokens of the correct answers.
    pub tokens: u64,
}
