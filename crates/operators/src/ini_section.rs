//! Section of an INI file.

use crate::ini_field::IniField;

/// Section with the line number of its header.
#[derive(Clone, Debug)]
pub(crate) struct IniSection {
    /// Header without brackets and with single spaces, such as `region lagos`.
    pub(crate) header: String,
    pub(crate) line: usize,
    pub(crate) fields: Vec<IniField>,
}

impl IniSection {
    /// Returns the first word of the header.
    pub(crate) fn kind(&self) -> &str {
        self.header.split(' ').next().unwrap_or_default()
    }

    /// Returns the rest of the header; it is empty if the header has one word.
    pub(crate) fn name(&self) -> &str {
        self.header.split_once(' ').map_or("", |(_, name)| name)
    }

    /// Returns the body in canonical form: sorted fields, one per line.
    pub(crate) fn canonical_body(&self) -> String {
        let mut lines: Vec<String> = self
            .fields
            .iter()
            .map(|field| format!("{} = {}\n", field.name, field.value))
            .collect();
        lines.sort();
        lines.concat()
    }
}
