//! Target of a request.

use crate::{ModelName, ServiceName};

/// Model or plain service that a request addresses.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RouteTarget {
    /// Any engine that serves the model.
    Model(ModelName),
    /// Any server of the plain service.
    Service(ServiceName),
}
