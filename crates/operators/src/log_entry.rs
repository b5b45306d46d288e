//! Line of an instance's log.

use std::fmt;

use serde_json::{Map, Value};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Fields that are the same in each line of a story, or say nothing about its request.
const LEFT_OUT: [&str; 5] = ["msg", "ts", "level", "id", "suppressed"];

/// Line of an instance's log, a JSON object.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Instance that wrote it.
    pub instance: String,
    /// Unix time in seconds.
    pub seconds: f64,
    fields: Map<String, Value>,
}

impl LogEntry {
    /// Reads a line; `None` if it is no object with a time.
    pub fn read(instance: &str, line: &str) -> Option<Self> {
        let fields: Map<String, Value> = serde_json::from_str(line.trim()).ok()?;
        let at = OffsetDateTime::parse(fields.get("ts")?.as_str()?, &Rfc3339).ok()?;
        Some(Self {
            instance: instance.to_owned(),
            seconds: at.unix_timestamp_nanos() as f64 / 1e9,
            fields,
        })
    }

    /// Returns whether the line is about the request.
    pub fn is_about(&self, id: &str) -> bool {
        self.text("id") == id
    }

    /// Returns the message.
    pub fn message(&self) -> &str {
        self.text("msg")
    }

    /// Returns a field.
    pub fn field(&self, name: &str) -> Option<&Value> {
        self.fields.get(name)
    }

    /// Returns a field as text, empty if it is missing or something else.
    pub fn text(&self, name: &str) -> &str {
        self.field(name).and_then(Value::as_str).unwrap_or("")
    }
}

impl fmt::Display for LogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (at, instance, message) = (self.text("ts"), &self.instance, self.message());
        write!(f, "{at} {instance} {message}")?;
        for (name, value) in &self.fields {
            if !LEFT_OUT.contains(&name.as_str()) && !value.is_null() {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}
