//! Kind of a section of the bundle.

use serde::{Deserialize, Serialize};

/// Kind that a section's changes are counted under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SectionKind {
    /// Backend server.
    Backend,
    /// Fields of `[bundle]` other than the version and the signers.
    Bundle,
    /// Failure domain.
    Domain,
    /// Key of a caller.
    Key,
    /// Organisation.
    Organisation,
    /// Region.
    Region,
    /// Route to a plain service.
    Route,
    /// Settings of the routing.
    Routing,
    /// Signer, which is a field of `[bundle]`.
    Signer,
}

impl SectionKind {
    /// Returns the kind of a section with `header`; `None` for headers that no bundle has.
    pub(crate) fn of_header(header: &str) -> Option<Self> {
        match header.split(' ').next()? {
            "backend" => Some(Self::Backend),
            "bundle" => Some(Self::Bundle),
            "domain" => Some(Self::Domain),
            "key" => Some(Self::Key),
            "organisation" => Some(Self::Organisation),
            "region" => Some(Self::Region),
            "route" => Some(Self::Route),
            "routing" => Some(Self::Routing),
            _ => None,
        }
    }

    /// Returns the name used in records and listings.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Backend => "backend",
            Self::Bundle => "bundle",
            Self::Domain => "domain",
            Self::Key => "key",
            Self::Organisation => "organisation",
            Self::Region => "region",
            Self::Route => "route",
            Self::Routing => "routing",
            Self::Signer => "signer",
        }
    }
}
