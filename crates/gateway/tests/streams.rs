//! Tests of the event parser, hop-by-hop headers, home regions and the rate limit of log lines.

use hawthornquay_decisions::RegionName;
use hawthornquay_gateway::{EventReader, LogRateLimiter, allowed_regions, strip_hop_headers};
use http::{HeaderMap, HeaderValue};

fn events(parts: &[&[u8]]) -> (Vec<(String, Option<u64>)>, bool) {
    let mut reader = EventReader::default();
    let mut found = Vec::new();
    for part in parts {
        assert!(reader.push(part));
        while let Some(event) = reader.next_event() {
            let raw = String::from_utf8(event.raw.to_vec()).unwrap();
            found.push((raw, event.id));
        }
    }
    (found, reader.has_partial_event())
}

/// Guards against events that are lost or merged depending on how the bytes are split into chunks.
#[test]
fn next_event_result_is_independent_of_chunk_boundaries() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
    let whole = events(&[stream]);
    assert_eq!(whole.0.len(), 3);
    assert_eq!(whole.0[0].1, Some(1));
    assert_eq!(whole.0[1].1, Some(2));
    assert_eq!(whole.0[2].1, None);
    assert!(!whole.1);
    for at in 1..stream.len() {
        assert_eq!(events(&[&stream[..at], &stream[at..]]), whole, "{at}");
    }
}

/// Guards against delivering part of an event when a stream is interrupted.
#[test]
fn next_event_unfinished_event_is_not_returned() {
    let (found, rest) = events(&[b"id: 1\ndata: a\n\nid: 2\ndata:"]);
    assert_eq!(found.len(), 1);
    assert!(rest);
}

/// Guards against a sender that exhausts memory with one endless event.
#[test]
fn push_oversized_event_returns_false() {
    let mut reader = EventReader::default();
    let part = vec![b'x'; 300 << 10];
    assert!((0..4).any(|_| !reader.push(&part)));
}

/// Guards against forwarding hop-by-hop headers, both the standard ones and those that `Connection`
/// lists.
#[test]
fn strip_hop_headers_removes_standard_and_listed_headers() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-Private"),
        ("x-private", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "3"),
        ("te", "trailers"),
        ("x-kept", "1"),
    ] {
        headers.append(name, HeaderValue::from_static(value));
    }
    strip_hop_headers(&mut headers);
    assert_eq!(
        headers.keys().map(|name| name.as_str()).collect::<Vec<_>>(),
        ["x-kept"]
    );
}

/// Guards against running a request in a region that only its route or only its organisation
/// allows.
#[test]
fn allowed_regions_are_homes_of_route_and_organisation() {
    let all: Vec<RegionName> = ["a", "b", "c"].map(RegionName::new).to_vec();
    let homes = |names: &[&str]| names.iter().map(|n| RegionName::new(n)).collect::<Vec<_>>();
    assert_eq!(allowed_regions(&all, &[], &[]), all);
    assert_eq!(
        allowed_regions(&all, &homes(&["a", "b"]), &[]),
        homes(&["a", "b"])
    );
    assert_eq!(
        allowed_regions(&all, &homes(&["a", "b"]), &homes(&["b", "c"])),
        homes(&["b"])
    );
    assert!(allowed_regions(&all, &homes(&["a"]), &homes(&["c"])).is_empty());
}

/// Guards against a log that grows with the load, and against suppressed lines that are not
/// counted.
#[test]
fn admit_line_over_the_limit_counts_suppressed_lines() {
    let limiter = LogRateLimiter::default();
    let second = |s: u64| hawthornquay_decisions::MonotonicTime::from_millis(1_000 * s);
    let written = (0..5_000)
        .filter(|_| limiter.admit_line(second(1)).is_some())
        .count();
    assert_eq!(written, 300);
    assert_eq!(limiter.admit_line(second(2)), Some(4_700));
}
