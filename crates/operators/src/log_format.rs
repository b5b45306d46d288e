//! Format of log lines.

/// Format in which log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Text for human readers.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}
