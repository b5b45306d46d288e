//! Log format and levels.

use hawthornquay_decisions::Map;
use slog::Level;

use crate::{LogComponent, LogFormat};

/// Section `[log]` of the settings.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: Level,
    /// Levels of components for which `level` does not apply.
    pub component_levels: Map<LogComponent, Level>,
}

impl LogSettings {
    /// Returns the least severe level that is written for `component`.
    pub fn level_of(&self, component: LogComponent) -> Level {
        self.component_levels
            .get(&component)
            .copied()
            .unwrap_or(self.level)
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            level: Level::Info,
            component_levels: Map::default(),
        }
    }
}
