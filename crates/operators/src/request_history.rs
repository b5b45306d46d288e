//! History of one request from the logs of several instances.

use std::fmt;

use serde_json::Value;

use crate::LogEntry;

/// Time before the end of a request within which events of its instance are included, in seconds.
const EVENT_WINDOW_S: f64 = 10.0;

/// Maximum time between the end of a request and the exit of its instance for which the exit counts
/// as the cause, in seconds. Events after that time are left out.
const EXIT_TOLERANCE_S: f64 = 0.25;

/// Messages about the state of an instance that may explain the outcome of a request.
const EVENT_MESSAGES: [&str; 8] = [
    "daemon: started",
    "daemon: stopping",
    "daemon: stopped",
    "platform: the store is lost",
    "platform: the store answers again",
    "rollout: configuration in force",
    "rollout: evacuated failure domains changed",
    "membership: instances changed",
];

/// History of one request: the log entries about it, events of its instance, and the cause of its
/// outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHistory {
    /// Log entries, sorted by time.
    pub lines: Vec<LogEntry>,
    /// Cause of the outcome, for human readers.
    pub cause: String,
}

impl RequestHistory {
    /// Builds the history from the logs of instances, given as pairs of an instance name and the
    /// text of its log.
    ///
    /// Lines that are not JSON objects are ignored, because the end of a log may be truncated.
    /// Returns `None` if no line has the identifier of the request.
    pub fn read(logs: &[(String, String)], id: &str) -> Option<Self> {
        let all: Vec<LogEntry> = logs
            .iter()
            .flat_map(|(instance, text)| {
                text.lines()
                    .filter_map(|line| LogEntry::read(instance, line))
            })
            .collect();
        let matching: Vec<&LogEntry> = all.iter().filter(|line| line.has_request_id(id)).collect();
        // The instance that received the request from the caller determines the outcome. Other
        // instances log the request as forwarded.
        let last = matching
            .iter()
            .rfind(|line| line.field("forwarded") != Some(&Value::Bool(true)))
            .or(matching.last())?;
        let events = all.iter().filter(|line| {
            line.instance == last.instance
                && EVENT_MESSAGES.contains(&line.message())
                && (-EXIT_TOLERANCE_S..=EVENT_WINDOW_S)
                    .contains(&(last.unix_seconds - line.unix_seconds))
        });
        let mut lines: Vec<LogEntry> = matching.iter().copied().chain(events).cloned().collect();
        lines.sort_by(|a, b| a.unix_seconds.total_cmp(&b.unix_seconds));
        let cause = cause_of(last, &lines);
        Some(Self { lines, cause })
    }
}

impl fmt::Display for RequestHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        write!(f, "cause: {}", self.cause)
    }
}

fn cause_of(last: &LogEntry, lines: &[LogEntry]) -> String {
    let attempts = last.text("attempts");
    let stopped = lines.iter().find(|line| {
        line.message() == "daemon: stopped"
            && line.instance == last.instance
            && (line.unix_seconds - last.unix_seconds).abs() <= EXIT_TOLERANCE_S
    });
    let outcome = last.text("outcome");
    let is_ended_by_stop = is_outcome_unknown(last) && attempts.ends_with("stopping");
    match outcome {
        _ if is_ended_by_stop => end_of_instance(last),
        "limit-exceeded" => format!("refused for the limit: {}", last.text("reason")),
        "caller-left" | "broken-off" if stopped.is_some() => end_of_instance(last),
        "caller-left" => "the caller closed the connection".to_owned(),
        "timed-out" => format!("the time of the request ended during the response: {attempts}"),
        "broken-off" => {
            format!("the response stream ended early and could not be resumed: {attempts}")
        }
        "deadline-exceeded" | "backend-failed" | "peer-unreachable" if is_outcome_unknown(last) => {
            format!(
                "the answer was lost, so whether it ran is unknown: {attempts} ({})",
                failure_of(attempts)
            )
        }
        "no-capacity" => format!("no backend server had free capacity: {attempts}"),
        "error-answer" => format!("the backend server responded with an error: {attempts}"),
        "answered" => format!("answered after {attempts}"),
        _ => match last.text("reason") {
            "" => format!("{outcome}: {attempts}"),
            reason => format!("{outcome}: {reason}"),
        },
    }
}

fn end_of_instance(last: &LogEntry) -> String {
    format!(
        "broken off by the end of {}: the request outlasted the grace period",
        last.instance
    )
}

fn is_outcome_unknown(last: &LogEntry) -> bool {
    last.text("execution") == "unknown"
}

fn failure_of(attempts: &str) -> &'static str {
    if attempts.contains("silent") || attempts.contains("timed-out") {
        "the server sent no response before the timeout of the route"
    } else if attempts.contains("broken") {
        "the connection broke while the server had the request"
    } else if attempts.contains("garbled") {
        "the response was malformed or belonged to another request"
    } else {
        "the response of the other instance or the server did not arrive completely"
    }
}
