//! Priority of a request.

use serde::{Deserialize, Serialize};

/// Priority that a caller assigns to a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A user waits for the response.
    #[default]
    Interactive,
    /// No user waits for the response; served after interactive requests.
    Batch,
}
