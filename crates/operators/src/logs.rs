//! Loggers of the daemon's parts.

use std::{
    io::Write,
    sync::{Arc, Mutex, OnceLock},
};

use slog::{Drain, Level, Logger, OwnedKVList, Record, RecordStatic};
use slog_async::{Async, AsyncError, AsyncGuard, OverflowStrategy};

use crate::{LogComponent, LogFormat, LogSettings};

/// Lines that wait for the writer before further ones are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Writes log lines on a thread of its own and hands out a logger for each part.
///
/// Dropping it writes the lines that still wait.
pub struct Logs {
    drain: Arc<Async>,
    settings: LogSettings,
    _guard: AsyncGuard,
}

impl Logs {
    /// Starts the writer.
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

    /// Returns the logger of `part`.
    pub fn component(&self, component: LogComponent) -> Logger {
        self.logger(component, self.settings.level_of(component))
    }

    /// Writes what libraries log through the `log` crate, as [`LogComponent::Libraries`].
    ///
    /// Lines below warning are never written, whatever the settings say: HTTP libraries put headers
    /// into them, and with these a caller's key. A later call, of these or other logs, replaces
    /// this one.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has another logger for the `log` crate.
    pub fn capture_library_logs(&self) -> Result<(), LoggerAlreadySet> {
        static INSTALLED: OnceLock<bool> = OnceLock::new();
        let level = self.settings.level_of(LogComponent::Libraries);
        let level = if level.is_at_least(Level::Warning) {
            level
        } else {
            Level::Warning
        };
        let logger = self.logger(LogComponent::Libraries, level);
        // A library may still log after these logs are dropped; a reset would make that a panic.
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

/// Process that has another logger for the `log` crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the process has another logger for the `log` crate, so lines of libraries go there")]
pub struct LoggerAlreadySet;

fn start_writer<D>(format: D) -> (Async, AsyncGuard)
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    // A slow output must not delay requests, so lines over the queue are dropped.
    Async::new(Mutex::new(format).fuse())
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}

/// Filters by level and puts the part's prefix before each message.
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
