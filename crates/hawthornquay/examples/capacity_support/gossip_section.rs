//! Gossip, heartbeats and reads of the head in a fleet without sockets.

use std::time::Duration;

use hawthornquay_decisions::{
    BundleId, GossipEntry, GossipLoad, GossipPartners, GossipSettings, Incarnation, InstanceId,
    InstanceName, InstanceRecord, MemberTable, MonotonicTime, Rollout, Set,
};
use hawthornquay_instances::{Body, Digest, DigestEntry, Envelope, LinkSettings, Ping};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{figure, processor_us, table_sections::record};

const DOMAINS: usize = 10;
const REGIONS: usize = 3;
const SECONDS: u64 = 60;
/// Frame length, and header, content type and tag of a TLS 1.3 record.
const FRAME_AND_RECORD: usize = 4 + 22;
const HEAD: BundleId = BundleId {
    version: 700_000,
    digest: [7; 32],
};

struct Node {
    record: InstanceRecord,
    table: MemberTable,
    partners: GossipPartners,
    rollout: Rollout,
    head_read: MonotonicTime,
    last: Set<InstanceName>,
}

/// Prints bytes and processor time of gossip, and the reads of the head.
pub fn gossip() {
    let ping = Envelope::one_way(Body::Ping(Ping {})).encoded_len() + FRAME_AND_RECORD;
    let heartbeat = LinkSettings::default().heartbeat_interval.as_secs_f64();
    for count in [50, 150, 350] {
        let (bytes, opened, cpu_us, reads) = run(count);
        let seconds = SECONDS as f64;
        let each = count as f64 * seconds;
        figure("gossip.digest_bytes_per_s", count, bytes as f64 / each);
        figure("gossip.links_opened_per_s", count, opened as f64 / each);
        figure("gossip.processor_us_per_s", count, cpu_us / each);
        figure("gossip.head_reads_per_s", count, reads as f64 / seconds);
        // Each link of a full mesh would carry one heartbeat each way.
        let mesh = (count - 1) as f64 * ping as f64 / heartbeat;
        figure("mesh.heartbeat_bytes_per_s", count, mesh);
        let idle = LinkSettings::default().idle_timeout.as_secs_f64();
        let links = 2.0 * (3.2 + opened as f64 / each * idle);
        figure(
            "gossip.heartbeat_bytes_per_s",
            count,
            links * ping as f64 / heartbeat,
        );
    }
}

/// Returns digest bytes, opened links, processor time and head reads of the whole fleet.
fn run(count: usize) -> (usize, usize, f64, usize) {
    let mut rng = StdRng::seed_from_u64(5);
    let records: Vec<_> = (0..count).map(|n| record(n, DOMAINS, REGIONS)).collect();
    let start = MonotonicTime::from_millis(1_000);
    let mut nodes: Vec<Node> = records
        .iter()
        .map(|record| node(record, &records, start, rng.random()))
        .collect();
    let (mut bytes, mut opened, mut cpu_us, mut reads) = (0, 0, 0.0, 0);
    let warm_up = 60;
    for tick in 0..(warm_up + SECONDS) * 10 {
        let now = MonotonicTime::from_millis(1_000 + tick * 100);
        let counts = tick >= warm_up * 10;
        for index in 0..count {
            // The first two live instances of each region watch, as the names are in order.
            let watches = index / DOMAINS == 0 && index % DOMAINS < 2 * REGIONS;
            let due = nodes[index].rollout.next_head_read_at(watches);
            if now >= due {
                nodes[index].rollout.record_head_read(now, rng.random());
                nodes[index].head_read = now;
                reads += usize::from(counts);
            }
            if tick % 10 != index as u64 % 10 {
                continue;
            }
            let before = processor_us();
            let sent = send(&mut nodes, index, now, &mut rng);
            if counts {
                bytes += sent.0;
                opened += sent.1;
                cpu_us += processor_us() - before;
            }
        }
    }
    (bytes, opened, cpu_us, reads)
}

fn node(own: &InstanceRecord, all: &[InstanceRecord], now: MonotonicTime, random: u64) -> Node {
    let settings = GossipSettings::default();
    let mut table = MemberTable::new(own.clone(), Incarnation(random), settings);
    table.apply_instance_list(now, all);
    table.own_entry_mut().heartbeat = 30_000_000;
    table.own_entry_mut().bundle_version = HEAD.version;
    let load = |n: usize| GossipLoad {
        backend: format!("{}-engine-{n}", own.name).as_str().into(),
        running: 96,
        waiting: 40,
        slots: 128,
        sequence: 100_000,
        leaving: false,
    };
    table.own_entry_mut().loads = (0..2).map(load).collect();
    let mut rollout = Rollout::new(now, random);
    rollout.install(HEAD);
    Node {
        record: own.clone(),
        table,
        partners: GossipPartners::new(settings, now),
        rollout,
        head_read: MonotonicTime(0),
        last: Set::default(),
    }
}

/// Sends the digests of one node; returns their bytes and the links opened.
fn send(nodes: &mut [Node], from: usize, now: MonotonicTime, rng: &mut StdRng) -> (usize, usize) {
    let node = &mut nodes[from];
    node.table.increment_heartbeat();
    for load in &mut node.table.own_entry_mut().loads {
        load.sequence += 1;
    }
    let id = {
        let entry: &GossipEntry = node.table.own_entry_mut();
        InstanceId::new(node.record.name.as_str(), entry.id.incarnation.0)
    };
    let chosen = node.partners.choose(now, &node.table, || rng.random());
    let chosen_set: Set<_> = chosen.iter().cloned().collect();
    let opened = chosen_set.difference(&node.last).count();
    node.last = chosen_set;
    let mut bytes = 0;
    for partner in chosen {
        let node = &mut nodes[from];
        let entries = node.table.digest(now, &partner, DigestEntry::len_in_digest);
        let age = now.since(node.head_read);
        let digest = Digest {
            entries: entries.iter().map(DigestEntry::from).collect(),
            head_version: HEAD.version,
            head_age_ms: age.as_millis() as u64,
        };
        let encoded = digest.encode_to_vec();
        bytes += encoded.len() + 3 + FRAME_AND_RECORD;
        let received: Vec<GossipEntry> = Digest::decode(encoded.as_slice()).unwrap().into();
        let index: usize = partner
            .as_str()
            .rsplit('-')
            .next()
            .unwrap()
            .parse()
            .unwrap();
        let to = &mut nodes[index];
        to.table.apply_digest(now, &id, &received);
        let age = Duration::from_millis(digest.head_age_ms);
        to.rollout.confirm(HEAD, age, now, rng.random());
    }
    (bytes, opened)
}
