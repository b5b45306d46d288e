//! State of an instance in the platform's instance list.

use serde::{Deserialize, Serialize};

/// State that the platform's instance list reports for an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Runs and accepts requests.
    Live,
    /// Finishes its requests and accepts no new ones.
    Leaving,
    /// Has ended, as confirmed by the platform.
    Gone,
}
