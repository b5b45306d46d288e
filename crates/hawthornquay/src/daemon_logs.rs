//! Set-up of the daemon's logs.

use std::io::Write;

use hawthornquay_operators::{LogComponent, LogSettings, Logs};
use slog::warn;

/// Starts the logs of the process, including the lines that libraries write through the `log`
/// crate.
pub fn start_logs(settings: &LogSettings, output: Box<dyn Write + Send>) -> Logs {
    let logs = Logs::new(settings, output);
    // The daemon can serve callers without these lines, so a failure does not end it.
    if let Err(error) = logs.capture_library_logs() {
        warn!(logs.component(LogComponent::Daemon), "log lines of libraries are not captured"; "error" => %error);
    }
    logs
}
