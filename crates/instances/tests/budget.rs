//! Test of the control traffic of a fleet of 350 members against its budget.

mod support;

#[path = "../../decisions/tests/member_support/mod.rs"]
mod member_support;

use std::time::Duration;

use hawthornquay_instances::{Body, Digest, DigestEntry, Envelope, LinkSettings, Notice, Ping};
use member_support::Fleet;
use prost::Message;
use support::Pair;

/// Maximum control traffic that a daemon sends, in bytes per second.
const MAX_CONTROL_BYTES_PER_S: usize = 2_000;

/// Overhead of a message: 4 bytes for the length field of the frame, and 22 bytes for header,
/// content type and tag of a TLS 1.3 record.
const FRAME_OVERHEAD_BYTES: usize = 4 + 22;

/// Returns the bytes that opening a link costs its two ends together.
async fn handshake_bytes() -> usize {
    let pair = Pair::start().await;
    let digest = Notice::Digest(Digest::default());
    pair.pool.send(&pair.peer(), digest).await.unwrap();
    pair.server.service.noticed.notified().await;
    let counters = pair.client.counters();
    let both = counters.socket_bytes_in() + counters.socket_bytes_out();
    usize::try_from(both).unwrap()
}

/// Guards against digests, heartbeats and handshakes that together exceed the control traffic
/// budget of a daemon.
#[tokio::test]
async fn gossip_of_350_members_stays_within_budget() {
    const SECONDS: u64 = 120;
    let mut fleet = Fleet::new(350, 10, 3, 2);
    for index in 0..350 {
        fleet.set_loads(index, 2 + index % 3);
    }
    for node in &mut fleet.nodes {
        node.table.own_entry_mut().bundle_version = 700_000;
        node.table.own_entry_mut().heartbeat = 30_000_000;
    }
    let mut sent = vec![0; 350];
    let mut digests = 0;
    for _ in 0..SECONDS {
        fleet.digests_sent.clear();
        fleet.step(DigestEntry::len_in_digest);
        for &(index, entries) in &fleet.digests_sent {
            // Three bytes for the field key and length of the digest in the envelope.
            sent[index] += entries + 3 + FRAME_OVERHEAD_BYTES;
            digests += 1;
        }
    }
    let links_per_second = fleet.partner_changes as f64 / 350.0 / SECONDS as f64;
    let handshake = handshake_bytes().await as f64 * links_per_second;
    let ping = Envelope::one_way(Body::Ping(Ping {})).encoded_len() + FRAME_OVERHEAD_BYTES;
    // Each link carries heartbeats in both directions. On average a daemon opens as many links as
    // it accepts. The link to a former gossip partner stays open for the idle time-out.
    let settings = LinkSettings::default();
    let open = digests as f64 / 350.0 / SECONDS as f64
        + links_per_second * settings.idle_timeout.as_secs_f64();
    let heartbeats = 2.0 * open * ping as f64 / settings.heartbeat_interval.as_secs_f64();
    let mean = sent.iter().sum::<usize>() as f64 / 350.0 / SECONDS as f64;
    let highest = *sent.iter().max().unwrap() as f64 / SECONDS as f64;
    println!(
        "digests {mean:.0} B/s (highest {highest:.0}), heartbeats {heartbeats:.0} B/s, \
         new links {handshake:.0} B/s ({links_per_second:.4} links/s)"
    );
    let total = highest + heartbeats + handshake;
    assert!(total < MAX_CONTROL_BYTES_PER_S as f64, "{total:.0} B/s");
    assert!(settings.receive_timeout > Duration::from_millis(1_400));
}

/// Guards against a traffic estimate whose digest sizes differ from those of the encoded messages.
#[test]
fn estimated_digest_size_is_encoded_size() {
    let mut fleet = Fleet::new(20, 2, 1, 3);
    for index in 0..20 {
        fleet.set_loads(index, 3);
    }
    for _ in 0..10 {
        fleet.step(DigestEntry::len_in_digest);
    }
    let now = fleet.now();
    let to = fleet.records[1].name.clone();
    let entries = fleet.nodes[0]
        .table
        .digest(now, &to, DigestEntry::len_in_digest);
    assert!(entries.len() > 2);
    let estimated: usize = entries.iter().map(DigestEntry::len_in_digest).sum();
    let digest = Digest::from(entries.as_slice());
    assert_eq!(digest.encoded_len(), estimated);
    assert_eq!(Vec::from(digest), entries);
}
