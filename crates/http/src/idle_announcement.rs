//! Announcement of the idle time-out to clients.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// `Keep-Alive`.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Adds the time for which a client may use the idle connection again, in whole seconds: four fifths
/// of `idle_timeout`.
///
/// The client counts from the arrival of the response and the server from its transmission, and a
/// request takes time to arrive. A request that meets the end of the idle time-out gets no response.
/// Nothing is added to the last response of a connection or below one second.
pub(crate) fn announce_idle_time(headers: &mut HeaderMap, idle_timeout: Duration) {
    let seconds = (idle_timeout * 4 / 5).as_secs();
    let is_last = headers.get_all(header::CONNECTION).iter().any(|value| {
        value
            .to_str()
            .is_ok_and(|value| value.to_ascii_lowercase().contains("close"))
    });
    if seconds == 0 || is_last || headers.contains_key(KEEP_ALIVE) {
        return;
    }
    if let Ok(value) = HeaderValue::from_str(&format!("timeout={seconds}")) {
        headers.insert(KEEP_ALIVE, value);
    }
}
