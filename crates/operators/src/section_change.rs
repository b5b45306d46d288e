//! Change of one section between two bundles.

/// Change of one section; bodies are in canonical form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SectionChange {
    /// The section is new.
    Added {
        /// Canonical fields, one a line.
        body: String,
    },
    /// The section has other fields than before.
    Changed {
        /// Canonical fields after the change, one a line.
        body: String,
    },
    /// The section is gone.
    Removed,
}

impl SectionChange {
    /// Returns the mark that stands before the header in text.
    pub const fn mark(&self) -> char {
        match self {
            Self::Added { .. } => '+',
            Self::Changed { .. } => '~',
            Self::Removed => '-',
        }
    }

    /// Returns the fields after the change, empty for a removed section.
    pub fn body(&self) -> &str {
        match self {
            Self::Added { body } | Self::Changed { body } => body,
            Self::Removed => "",
        }
    }
}
