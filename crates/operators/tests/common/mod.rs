//! Valid bundles and settings for tests.
#![allow(dead_code)]

pub mod fake_store;

use hawthornquay_operators::{BundleDocument, OperatorKey};

/// Secret keys of the signers `ada` and `bola`.
pub const SECRETS: [&str; 2] = [
    "AQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQEBAQE=",
    "AgICAgICAgICAgICAgICAgICAgICAgICAgICAgICAgI=",
];

pub fn key(index: usize) -> OperatorKey {
    OperatorKey::from_base64(SECRETS[index]).unwrap()
}

/// Returns the text of a valid bundle. Its successor needs `needed` signatures by `ada` and `bola`.
pub fn bundle_text(version: u64, needed: u32) -> String {
    format!(
        "\
[bundle]
version = {version}
signatures_needed = {needed}
key_salt = 000102030405060708090a0b0c0d0e0f ; hex
signer.ada = {}
signer.bola = {}
[region lagos]
[region kano]
[domain lagos-a]
region = lagos
limit_weight = 1
[organisation yard]
rate = 2000
burst = 20000
residency = lagos, kano
[key yard-1]
organisation = yard
digest = {}
[route /v1/services/bookings]
service = bookings
repeatable = no
idempotency_key = required
cost = 5
[backend engine-1]
kind = model-engine
address = 127.0.0.1:9001
domain = lagos-a
models = ledger-7b
fencing = yes
[backend bookings-1]
kind = plain-service
address = 127.0.0.1:9002
domain = lagos-a
service = bookings
[routing]
send_away_margin_ms = 150
path_cost_ms = 60
",
        key(0).public_base64(),
        key(1).public_base64(),
        "ab".repeat(32),
    )
}

pub fn document(version: u64) -> BundleDocument {
    BundleDocument::read("bundle.ini", &bundle_text(version, 1)).unwrap()
}

/// Returns the text of valid settings.
pub fn settings_text() -> String {
    format!(
        "\
[instance]
name = lagos-a-1
region = lagos
domain = lagos-a
callers = 127.0.0.1:7001
peers = 127.0.0.1:7002
operators = 127.0.0.1:7003
[platform]
address = 127.0.0.1:7000
[tls]
certificate = tls/lagos-a-1.pem
key = tls/lagos-a-1.key
authority = tls/authority.pem
[trust]
signatures_needed = 1
signer.ada = {}
[log]
format = json
level = info
level.limits = debug
",
        key(0).public_base64()
    )
}

/// Replaces `from`, which must occur exactly once.
pub fn replaced(text: &str, from: &str, to: &str) -> String {
    assert_eq!(text.matches(from).count(), 1, "`{from}` must occur once");
    text.replacen(from, to, 1)
}
