//! What a request is meant for.

use crate::{ModelName, ServiceName};

/// Model or plain service that a request is meant for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RouteTarget {
    /// Any engine that serves the model.
    Model(ModelName),
    /// Any server of the plain service.
    Service(ServiceName),
}
