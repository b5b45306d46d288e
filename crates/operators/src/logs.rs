//! Loggers of the daemon's components.

use std::{
    io::Write,
    sync::{Arc, Mutex, OnceLock},
};

use slog::{Drain, Level, Logger, OwnedKVList, Record, RecordStatic};
use slog_async::{Async, AsyncError, AsyncGuard, OverflowStrategy};

use crate::{LogComponent, LogFormat, LogSettings};

/// Maximum number of queued lines. Further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Writes log lines on a separate thread and provides a logger for each component.
///
/// Dropping it writes the lines that are still queued.
pub struct Logs {
    drain: Arc<Async>,
    settings: LogSettings,
    _guard: AsyncGuard,
}

impl Logs {
    /// Starts the thread that writes log lines to `output`.
    pub fn new(settings: &LogSettings, output: Box<dyn Write + Send>) -> Self {
        let (drain, guard) = match settings.format {
            LogFormat::Human => {
                let decorator = slog_term::PlainDecorator::new(output);
                let format = slog_term::FullFormat::new(decorator);
                start_writer(format.use_utc_timestamp().build())
            }
            LogFormat::Json => start_writer(slog_json::Json::default(output)),
        };
        Self {
            drain: Arc::new(drain),
            settings: settings.clone(),
            _guard: guard,
        }
    }

    /// Returns the logger of `component`.
    pub fn component(&self, component: LogComponent) -> Logger {
        self.logger(component, self.settings.level_of(component))
    }

    /// Writes what libraries log through the `log` crate, as [`LogComponent::Libraries`].
    ///
    /// Lines less severe than a warning are never written, whatever the settings: HTTP libraries
    /// log headers there, which contain callers' keys. A later call, on these or other logs,
    /// replaces this one.
    ///
    /// # Errors
    ///
    /// Returns an error if the process already has another logger for the `log` crate.
    pub fn capture_library_logs(&self) -> Result<(), LoggerAlreadySet> {
        static INSTALLED: OnceLock<bool> = OnceLock::new();
        let level = self.settings.level_of(LogComponent::Libraries);
        let level = if level.is_at_least(Level::Warning) {
            level
        } else {
            Level::Warning
        };
        let logger = self.logger(LogComponent::Libraries, level);
        // Libraries may log after these logs are dropped. Without `cancel_reset`, that would panic.
        slog_scope::set_global_logger(logger).cancel_reset();
        let installed =
            INSTALLED.get_or_init(|| slog_stdlog::init_with_level(log::Level::Warn).is_ok());
        if *installed {
            Ok(())
        } else {
            Err(LoggerAlreadySet)
        }
    }

    fn logger(&self, component: LogComponent, level: Level) -> Logger {
        let drain = ComponentDrain {
            component,
            level,
            next: Arc::clone(&self.drain),
        };
        Logger::root(drain.ignore_res(), slog::o!())
    }
}

/// Error of a process that already has another logger for the `log` crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("another logger is already set for the `log` crate, so it receives the lines of libraries")]
pub struct LoggerAlreadySet;

fn start_writer<D>(format: D) -> (Async, AsyncGuard)
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    // A slow output must not delay requests, so lines are dropped while the queue is full.
    Async::new(Mutex::new(format).fuse())
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}

/// Filters lines by level and puts the prefix of the component before each message.
struct ComponentDrain {
    component: LogComponent,
    level: Level,
    next: Arc<Async>,
}

impl Drain for ComponentDrain {
    type Ok = ();
    type Err = AsyncError;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), AsyncError> {
        if !record.level().is_at_least(self.level) {
            return Ok(());
        }
        let fixed = RecordStatic {
            location: record.location(),
            tag: record.tag(),
            level: record.level(),
        };
        let message = format_args!("{}: {}", self.component.prefix(), record.msg());
        self.next
            .log(&Record::new(&fixed, &message, record.kv()), values)
    }

    fn is_enabled(&self, level: Level) -> bool {
        level.is_at_least(self.level)
    }
}
