//! Kind of a backend server.

use crate::{ModelName, ServiceName};

/// What a backend server serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// Engine that serves models.
    ModelEngine {
        /// Models that it serves.
        models: Vec<ModelName>,
    },
    /// Server of a plain service.
    PlainService {
        /// Service that it belongs to.
        service: ServiceName,
    },
}
