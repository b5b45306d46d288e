//! Field of an INI section.

/// Field with its line number.
#[derive(Clone, Debug)]
pub(crate) struct IniField {
    pub(crate) name: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}
