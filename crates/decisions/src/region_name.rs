//! Name of a region.

crate::define_name! {
    /// Identifies a region.
    RegionName
}
