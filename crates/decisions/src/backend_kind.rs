//! Kinds of backend servers.

use crate::{ModelName, ServiceName};

/// Kind of a backend server, with the models or the service that it serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// Inference engine that serves models.
    ModelEngine {
        /// Models that the engine serves.
        models: Vec<ModelName>,
    },
    /// Server of a plain service, which is an HTTP service other than model inference.
    PlainService {
        /// Service that the server belongs to.
        service: ServiceName,
    },
}
