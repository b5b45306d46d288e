//! Logs of the daemon's process.

use std::io::Write;

use hawthornquay_operators::{LogComponent, LogSettings, Logs};
use slog::warn;

/// Starts the logs of the process, with the lines that libraries write through the `log` crate.
pub fn start_logs(settings: &LogSettings, output: Box<dyn Write + Send>) -> Logs {
    let logs = Logs::new(settings, output);
    // Serving callers matters more than the lines of libraries.
    if let Err(error) = logs.capture_library_logs() {
        warn!(logs.component(LogComponent::Daemon), "lines of libraries are not written"; "error" => %error);
    }
    logs
}
