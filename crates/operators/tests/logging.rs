//! Checks the prefixes, levels and fields of log lines, and that queued lines are written at the
//! end.

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

fn written(settings: &LogSettings) -> String {
    let output = Output::default();
    let logs = Logs::new(settings, Box::new(output.clone()));
    slog::info!(logs.component(LogComponent::Rollout), "took version {}", 8; "from" => "peer");
    slog::debug!(logs.component(LogComponent::Rollout), "hidden");
    slog::debug!(logs.component(LogComponent::Limits), "shown");
    drop(logs);
    String::from_utf8(output.0.lock().unwrap().clone()).unwrap()
}

fn settings(format: LogFormat) -> LogSettings {
    let mut settings = LogSettings {
        format,
        ..LogSettings::default()
    };
    settings
        .component_levels
        .insert(LogComponent::Limits, Level::Debug);
    settings
}

/// Guards against human-readable lines without the prefix or of a disabled level.
#[test]
fn logging_human_lines_carry_the_prefix() {
    let text = written(&settings(LogFormat::Human));
    assert!(text.contains("rollout: took version 8"), "{text}");
    assert!(text.contains("limits: shown"), "{text}");
    assert!(!text.contains("hidden"), "{text}");
}

/// Guards against JSON lines that cannot be parsed or lack their fields.
#[test]
fn logging_json_lines_are_objects() {
    let text = written(&settings(LogFormat::Json));
    let lines: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0]["msg"], "rollout: took version 8");
    assert_eq!(lines[0]["from"], "peer");
}

/// Guards against components whose level cannot be set because another one has the same prefix.
#[test]
fn logging_components_have_distinct_prefixes() {
    for component in LogComponent::ALL {
        assert_eq!(
            LogComponent::from_prefix(component.prefix()),
            Some(component)
        );
    }
}
