//! Progress of a stream that several runs of a request may produce.

use http::{HeaderMap, HeaderValue, StatusCode, header};

use crate::Event;

/// What is done with an event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventAction {
    /// The caller gets it.
    Deliver,
    /// The caller has it already, or does not need it.
    Skip,
    /// It does not belong to the stream, so the run has failed.
    Reject,
}

/// Which events the caller of a stream has received, and which of them the current run has produced.
#[derive(Clone, Debug, Default)]
pub struct StreamProgress {
    /// Status and media type that the caller has received; `None` before the head is delivered.
    head: Option<(StatusCode, Option<HeaderValue>)>,
    /// Whether a run may go on after the last event that the caller has.
    is_resumable: bool,
    /// Number of the last event that the caller has.
    last_event: Option<u64>,
    /// Number of numbered events that were delivered.
    delivered: u64,
    /// Whether the numbers of the delivered events have risen by one each.
    is_consecutive: bool,
    /// Whether an event with data but without a number was delivered. It cannot be distinguished
    /// from those that another run would send.
    has_unnumbered: bool,
    /// Whether the current run continues a stream whose head was delivered.
    resumes: bool,
    /// Whether the current run has produced an event that was delivered.
    has_progressed: bool,
}

impl StreamProgress {
    /// Builds the progress of a caller that has the events up to `last_event`, of a stream that may
    /// be resumed or not.
    pub fn new(last_event: Option<u64>, is_resumable: bool) -> Self {
        Self {
            last_event,
            is_resumable,
            is_consecutive: true,
            ..Self::default()
        }
    }

    /// Returns the number of the last event that the caller has.
    pub const fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Records the head that the caller receives.
    pub fn set_head(&mut self, status: StatusCode, headers: &HeaderMap) {
        self.head = Some((status, headers.get(header::CONTENT_TYPE).cloned()));
    }

    /// Returns whether the body of a response with this head continues the one that the caller
    /// receives: its status and media type are the same, and it is not encoded.
    pub fn continues_head(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let Some((first_status, first_type)) = &self.head else {
            return true;
        };
        status == *first_status
            && media_type(headers.get(header::CONTENT_TYPE)) == media_type(first_type.as_ref())
            && !headers.contains_key(header::CONTENT_ENCODING)
    }

    /// Records that a run begins.
    pub fn start_run(&mut self) {
        self.resumes = self.head.is_some();
        self.has_progressed = false;
    }

    /// Returns whether another run can continue the stream.
    pub const fn can_resume(&self) -> bool {
        !self.has_unnumbered
    }

    /// Returns whether the stream may be complete at the end of the current run. A run that
    /// continues a broken stream has at least one event.
    pub const fn may_end(&self) -> bool {
        !self.resumes || self.has_progressed
    }

    /// Records an event of the current run, and returns what happens to it.
    pub fn record(&mut self, event: &Event) -> EventAction {
        let is_first_of_resumed = self.resumes && !self.has_progressed;
        let Some(id) = event.id else {
            return self.record_unnumbered(event, is_first_of_resumed);
        };
        let expected = self.last_event.unwrap_or(0).saturating_add(1);
        if self.last_event.is_some_and(|last| id <= last) {
            // A run that begins anew does not go on with the one before.
            return if self.is_resumable && !self.has_progressed {
                EventAction::Reject
            } else {
                EventAction::Skip
            };
        }
        let is_gap = self.delivered > 0 && self.is_consecutive && id > expected;
        if is_first_of_resumed && is_gap {
            return EventAction::Reject;
        }
        self.is_consecutive &= id == expected;
        self.last_event = Some(id);
        self.delivered += 1;
        self.has_progressed = true;
        EventAction::Deliver
    }

    fn record_unnumbered(&mut self, event: &Event, is_first_of_resumed: bool) -> EventAction {
        if event.has_data {
            if is_first_of_resumed {
                return EventAction::Reject;
            }
            self.has_unnumbered = true;
            return EventAction::Deliver;
        }
        // An error in place of an event, for example the head of another response.
        if self.delivered > 0 && !event.is_comment() {
            return EventAction::Reject;
        }
        if is_first_of_resumed {
            EventAction::Skip
        } else {
            EventAction::Deliver
        }
    }
}

/// Returns the media type of a `Content-Type` without its parameters, in lowercase.
fn media_type(value: Option<&HeaderValue>) -> Option<String> {
    let text = value?.to_str().ok()?;
    let name = text.split(';').next().unwrap_or_default();
    Some(name.trim().to_ascii_lowercase())
}
