//! Guards against a daemon that drops the log lines of libraries.
//!
//! The `log` crate has one logger per process, so this file has only one test.

use std::{
    io::Write,
    sync::{Arc, Mutex},
};

use hawthornquay::start_logs;
use hawthornquay_operators::LogSettings;

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

/// Guards against missing a handler panic that only gotham logs.
#[test]
fn start_logs_writes_library_log_lines() {
    let output = Output::default();
    let logs = start_logs(&LogSettings::default(), Box::new(output.clone()));
    log::error!(target: "gotham", "handler panicked");
    drop(logs);
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    assert!(text.contains("libraries: handler panicked"), "{text:?}");
}
