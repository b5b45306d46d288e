//! Distance between a caller and the instances that the directory names to it.

/// Distance between a caller and the instances that the directory names to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallerProximity {
    /// In the caller's failure domain.
    Domain,
    /// In the caller's region.
    Region,
    /// In other regions that the caller may use, since no instance of its own region is usable.
    OtherRegion,
    /// No instance that the caller may use is usable.
    #[default]
    Nowhere,
}

impl CallerProximity {
    /// Returns the name used in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Domain => "domain",
            Self::Region => "region",
            Self::OtherRegion => "other-region",
            Self::Nowhere => "nowhere",
        }
    }
}
