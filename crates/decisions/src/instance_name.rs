//! Name of an entry instance.

crate::define_name! {
    /// Identifies an entry instance; a replacement may reuse the name.
    InstanceName
}
