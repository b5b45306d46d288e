//! Story of one request from the logs of several instances.

use std::fmt;

use serde_json::Value;

use crate::LogEntry;

/// Time before the end of a request in which events of its instance may explain it, in seconds.
const CONTEXT_S: f64 = 10.0;

/// Time between the end of a request and that of its instance within which they belong together,
/// in seconds.
const SAME_END_S: f64 = 0.25;

/// Events of an instance that may explain what became of its requests.
const CONTEXT: [&str; 8] = [
    "daemon: started",
    "daemon: stopping",
    "daemon: stopped",
    "platform: the store is lost",
    "platform: the store answers again",
    "rollout: configuration in force",
    "rollout: evacuated failure domains changed",
    "membership: instances changed",
];

/// Story of one request: the lines about it, what its instance went through, and the cause.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHistory {
    /// Lines in the order of their times.
    pub lines: Vec<LogEntry>,
    /// What decided about the request.
    pub cause: String,
}

impl RequestHistory {
    /// Reads the logs of instances, given as pairs of a name and the text.
    ///
    /// Lines that are no JSON objects are passed over: the end of a log may be cut off. Returns
    /// `None` if no line names the request.
    pub fn read(logs: &[(String, String)], id: &str) -> Option<Self> {
        let all: Vec<LogEntry> = logs
            .iter()
            .flat_map(|(instance, text)| {
                text.lines()
                    .filter_map(|line| LogEntry::read(instance, line))
            })
            .collect();
        let own: Vec<&LogEntry> = all.iter().filter(|line| line.is_about(id)).collect();
        // The instance that the caller spoke to decides; the others worked for it.
        let end = own
            .iter()
            .rfind(|line| line.field("forwarded") != Some(&Value::Bool(true)))
            .or(own.last())?;
        let context = all.iter().filter(|line| {
            line.instance == end.instance
                && CONTEXT.contains(&line.message())
                && (-SAME_END_S..=CONTEXT_S).contains(&(end.seconds - line.seconds))
        });
        let mut lines: Vec<LogEntry> = own.iter().copied().chain(context).cloned().collect();
        lines.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
        let cause = cause_of(end, &lines);
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

fn cause_of(end: &LogEntry, lines: &[LogEntry]) -> String {
    let attempts = end.text("attempts");
    let stopped = lines.iter().find(|line| {
        line.message() == "daemon: stopped"
            && line.instance == end.instance
            && (line.seconds - end.seconds).abs() <= SAME_END_S
    });
    let outcome = end.text("outcome");
    match outcome {
        "limit-exceeded" => format!("refused for the limit: {}", end.text("reason")),
        "caller-left" | "broken-off" if stopped.is_some() => format!(
            "broken off by the end of {}: the request outlasted the grace period",
            end.instance
        ),
        "caller-left" => "the caller closed the connection".to_owned(),
        "broken-off" => format!("the stream broke off and could not be continued: {attempts}"),
        "deadline-exceeded" | "backend-failed" | "peer-unreachable" if unknown(end) => format!(
            "the answer was lost, so whether it ran is unknown: {attempts} ({})",
            failure_of(attempts)
        ),
        "no-capacity" => format!("no backend server could take it: {attempts}"),
        "error-answer" => format!("the backend server answered with a failure: {attempts}"),
        "answered" => format!("answered after {attempts}"),
        _ => match end.text("reason") {
            "" => format!("{outcome}: {attempts}"),
            reason => format!("{outcome}: {reason}"),
        },
    }
}

fn unknown(end: &LogEntry) -> bool {
    end.text("execution") == "unknown"
}

fn failure_of(attempts: &str) -> &'static str {
    if attempts.contains("silent") {
        "the server sent nothing until the route's time was over"
    } else if attempts.contains("broken") {
        "the connection broke while the server had the request"
    } else if attempts.contains("garbled") {
        "the answer was not one to this request"
    } else {
        "the other instance or the server could not be heard to the end"
    }
}
