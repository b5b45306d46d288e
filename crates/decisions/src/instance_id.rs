//! Identity of one instance process.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceName};

/// Name and incarnation, which together identify one process of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceId {
    /// Name of the instance, from its settings.
    pub name: InstanceName,
    /// Random number drawn at process start.
    pub incarnation: Incarnation,
}

impl InstanceId {
    /// Returns the identity with this name and incarnation.
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            incarnation: Incarnation(incarnation),
        }
    }
}

impl std::fmt::Display for InstanceId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}
