//! Tests of the encoding of capacity promised to refused requests.
#![allow(missing_docs)]

use hawthornquay_instances::{ReturnPromiseRecord, Status};
use prost::Message;

/// Status notice of an instance that does not know promises.
#[derive(Clone, PartialEq, Message)]
struct OlderStatus {
    #[prost(string, tag = "1")]
    region: String,
    #[prost(uint64, tag = "7")]
    servers_revision: u64,
}

fn status(records: usize) -> Status {
    let record = ReturnPromiseRecord {
        key: u64::MAX,
        service: u32::MAX,
        organisation: u32::MAX,
        tokens: 11_992,
        urgency: 2,
        ends_in_ms: 4_600,
    };
    Status {
        region: "home".to_owned(),
        servers_revision: 5,
        return_promises: vec![record; records],
        redeemed_promises: vec![u64::MAX; records],
        ..Status::default()
    }
}

/// Guards against records that are not read as they were sent.
#[test]
fn status_promises_are_unchanged_by_encoding() {
    let encoded = status(3).encode_to_vec();
    assert_eq!(Status::decode(&encoded[..]).unwrap(), status(3));
}

/// Guards against notices that an older instance cannot read, and the reverse.
#[test]
fn status_promises_are_ignored_by_older_instance() {
    let encoded = status(3).encode_to_vec();
    let older = OlderStatus::decode(&encoded[..]).unwrap();
    assert_eq!((older.region.as_str(), older.servers_revision), ("home", 5));
    let from_older = Status::decode(&older.encode_to_vec()[..]).unwrap();
    assert_eq!(from_older, status(0));
}

/// Guards against notices that take up the links of small instances.
#[test]
fn status_promise_takes_at_most_39_bytes() {
    let (none, many) = (status(0).encoded_len(), status(256).encoded_len());
    assert!(many - none <= 256 * 39 + 4, "{}", many - none);
}
