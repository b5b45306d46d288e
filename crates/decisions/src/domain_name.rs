//! Name of a failure domain.

crate::define_name! {
    /// Identifies a failure domain.
    DomainName
}
