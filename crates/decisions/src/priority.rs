//! Priority of a request.

use serde::{Deserialize, Serialize};

/// Priority that a caller gives to a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// Nobody waits; served after interactive requests.
    Batch,
}
