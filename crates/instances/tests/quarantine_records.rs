//! Tests of the encoding of the evidence about prompt parts that crash backend servers.
#![allow(missing_docs)]

use hawthornquay_instances::{CrashRecord, PartStartRecord, QuarantineRecord, Status};
use prost::Message;

/// Status notice of an instance that does not know the evidence.
#[derive(Clone, PartialEq, Message)]
struct OlderStatus {
    #[prost(string, tag = "1")]
    region: String,
    #[prost(uint64, tag = "7")]
    servers_revision: u64,
}

/// Status notice and crash record of a later version, with fields that are not known here.
#[derive(Clone, PartialEq, Message)]
struct LaterStatus {
    #[prost(string, tag = "1")]
    region: String,
    #[prost(message, repeated, tag = "17")]
    crashes: Vec<LaterCrash>,
    #[prost(string, tag = "100")]
    more: String,
}

#[derive(Clone, PartialEq, Message)]
struct LaterCrash {
    #[prost(string, tag = "1")]
    server: String,
    #[prost(fixed64, repeated, tag = "4")]
    parts: Vec<u64>,
    #[prost(double, tag = "9")]
    more: f64,
}

fn status() -> Status {
    Status {
        region: "home".to_owned(),
        servers_revision: 5,
        crashes: vec![CrashRecord {
            server: "s-1".to_owned(),
            address: "127.0.0.1:80".to_owned(),
            age_ms: 40,
            parts: vec![1, u64::MAX],
            stages: vec![0, 2],
        }],
        part_starts: vec![PartStartRecord {
            part: 7,
            age_ms: 12,
            stage: 1,
        }],
        quarantined_parts: vec![QuarantineRecord {
            part: u64::MAX,
            first_crash_age_ms: 900,
            age_ms: 300,
            alternatives: vec![7, u64::MAX - 1],
        }],
        ..Status::default()
    }
}

/// Guards against evidence that is lost or changed between two instances.
#[test]
fn status_evidence_survives_encoding() {
    let encoded = status().encode_to_vec();
    assert_eq!(Status::decode(&encoded[..]).unwrap(), status());
}

/// Guards against part lists that grow by a tag for each part: instances may send 2 KB a second.
#[test]
fn crash_record_parts_are_packed() {
    let record = |parts| CrashRecord {
        parts,
        ..CrashRecord::default()
    };
    let (one, ten) = (record(vec![1]), record((1..=10).collect()));
    assert_eq!(ten.encoded_len() - one.encoded_len(), 9 * 8);
}

/// Guards against instances that cannot read each other's notices while the fleet is updated.
#[test]
fn status_between_versions_keeps_the_known_fields() {
    let older = OlderStatus {
        region: "home".to_owned(),
        servers_revision: 5,
    };
    let from_older = Status::decode(&older.encode_to_vec()[..]).unwrap();
    let expected = Status {
        region: "home".to_owned(),
        servers_revision: 5,
        ..Status::default()
    };
    assert_eq!(from_older, expected);
    let at_older = OlderStatus::decode(&status().encode_to_vec()[..]).unwrap();
    assert_eq!(at_older, older);

    let later = LaterStatus {
        region: "home".to_owned(),
        crashes: vec![LaterCrash {
            server: "s-1".to_owned(),
            parts: vec![3, 4],
            more: 1.5,
        }],
        more: "later".to_owned(),
    };
    let from_later = Status::decode(&later.encode_to_vec()[..]).unwrap();
    assert_eq!(from_later.region, "home");
    assert_eq!(from_later.crashes[0].server, "s-1");
    assert_eq!(from_later.crashes[0].parts, [3, 4]);
}
