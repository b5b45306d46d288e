//! Settings of logging.

use hawthornquay_decisions::Map;
use slog::Level;

use crate::{LogFormat, Part};

/// Section `[log]` of the settings.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: Level,
    /// Levels of parts that differ from `level`.
    pub part_levels: Map<Part, Level>,
}

impl LogSettings {
    /// Returns the least severe level that `part` writes.
    pub fn level_of(&self, part: Part) -> Level {
        self.part_levels.get(&part).copied().unwrap_or(self.level)
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            level: Level::Info,
            part_levels: Map::default(),
        }
    }
}
