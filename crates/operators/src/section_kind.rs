//! Kinds of changes in a bundle.

use serde::{Deserialize, Serialize};

/// Kind under which a change is counted: the kind of its section, or a signer.
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
    /// Weights of routing.
    Routing,
    /// Field `signer.<name>` of `[bundle]`.
    Signer,
}

impl SectionKind {
    /// Returns the kind of a section; `None` if a bundle has no such section.
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

    /// Returns the name in audit records and in the output of the command.
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
