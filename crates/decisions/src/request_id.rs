//! Identifier of a request.

crate::define_name! {
    /// Identifies one request across instances and backend servers.
    RequestId
}
