//! Form of log lines.

/// Form in which log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}
