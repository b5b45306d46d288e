//! State of an instance in the platform's list.

use serde::{Deserialize, Serialize};

/// State that the platform's list gives for an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Runs and takes work.
    Live,
    /// Finishes its work and takes no new one.
    Leaving,
    /// Has ended for certain.
    Gone,
}
