//! Checks that warnings and errors of libraries are logged and that less severe lines, which may
//! contain callers' keys, are not.
//!
//! The `log` crate has one logger per process, so this file has a single test.

use std::{
    io::Write,
    sync::{Arc, Mutex},
};

use hawthornquay_operators::{LogComponent, LogFormat, LogSettings, Logs};
use slog::Level;

#[derive(Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn messages(level: Level) -> Vec<String> {
    let mut settings = LogSettings {
        format: LogFormat::Json,
        ..LogSettings::default()
    };
    settings
        .component_levels
        .insert(LogComponent::Libraries, level);
    let output = Output::default();
    let logs = Logs::new(&settings, Box::new(output.clone()));
    assert_eq!(logs.capture_library_logs(), Ok(()));
    // A library may raise the maximum level of the `log` crate for the whole process.
    log::set_max_level(log::LevelFilter::Trace);
    log::error!(target: "gotham", "cannot accept: {}", 24);
    log::warn!(target: "hyper", "slow");
    log::info!(target: "hyper", "authorization: hidden");
    log::trace!(target: "hyper", "authorization: hidden");
    drop(logs);
    log::error!(target: "gotham", "after the end");
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    lines
        .map(|line| line["msg"].as_str().unwrap().to_owned())
        .collect()
}

/// Guards against lines without the prefix, less severe than a warning, or after the writer has
/// stopped.
#[test]
fn library_logs_are_limited_to_warnings() {
    let both = ["libraries: cannot accept: 24", "libraries: slow"];
    for (level, expected) in [
        (Level::Trace, both.as_slice()),
        (Level::Info, &both),
        (Level::Warning, &both),
        (Level::Error, &both[..1]),
    ] {
        assert_eq!(messages(level), expected, "{level}");
    }
}
