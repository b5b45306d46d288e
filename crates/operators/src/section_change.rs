//! Change of one section between two bundles.

/// Change of one section; bodies are in canonical form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SectionChange {
    /// The section is new.
    Added {
        /// Canonical fields, one per line.
        body: String,
    },
    /// The fields of the section have changed.
    Changed {
        /// Canonical fields after the change, one per line.
        body: String,
    },
    /// The section was removed.
    Removed,
}

impl SectionChange {
    /// Returns the mark before the header in the text form of a difference.
    pub const fn mark(&self) -> char {
        match self {
            Self::Added { .. } => '+',
            Self::Changed { .. } => '~',
            Self::Removed => '-',
        }
    }

    /// Returns the canonical fields after the change; they are empty for a removed section.
    pub fn body(&self) -> &str {
        match self {
            Self::Added { body } | Self::Changed { body } => body,
            Self::Removed => "",
        }
    }
}
