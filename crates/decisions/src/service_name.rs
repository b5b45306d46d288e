//! Name of a plain service.

crate::define_name! {
    /// Identifies a plain service.
    ServiceName
}
