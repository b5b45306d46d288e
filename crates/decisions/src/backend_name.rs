//! Name of a backend server.

crate::define_name! {
    /// Identifies a backend server within the bundle.
    BackendName
}
