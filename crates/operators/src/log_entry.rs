//! Entry in the log of an instance.

use std::fmt;

use serde_json::{Map, Value};
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

/// Fields that are not printed: they are printed separately, are the same for each entry of a
/// request, or do not concern the request.
const OMITTED_FIELDS: [&str; 5] = ["msg", "ts", "level", "id", "suppressed"];

/// Entry in the log of an instance: one line with a JSON object.
#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    /// Name of the instance.
    pub instance: String,
    /// Unix time in seconds.
    pub unix_seconds: f64,
    fields: Map<String, Value>,
}

impl LogEntry {
    /// Parses a line; returns `None` if it is not a JSON object with a time stamp in `ts`.
    pub fn read(instance: &str, line: &str) -> Option<Self> {
        let fields: Map<String, Value> = serde_json::from_str(line.trim()).ok()?;
        let time = OffsetDateTime::parse(fields.get("ts")?.as_str()?, &Rfc3339).ok()?;
        Some(Self {
            instance: instance.to_owned(),
            unix_seconds: time.unix_timestamp_nanos() as f64 / 1e9,
            fields,
        })
    }

    /// Returns whether the entry has this identifier of a request.
    pub fn has_request_id(&self, id: &str) -> bool {
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

    /// Returns a text field; the text is empty if the field is missing or has another type.
    pub fn text(&self, name: &str) -> &str {
        self.field(name).and_then(Value::as_str).unwrap_or("")
    }
}

impl fmt::Display for LogEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (time, instance, message) = (self.text("ts"), &self.instance, self.message());
        write!(f, "{time} {instance} {message}")?;
        for (name, value) in &self.fields {
            if !OMITTED_FIELDS.contains(&name.as_str()) && !value.is_null() {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}
