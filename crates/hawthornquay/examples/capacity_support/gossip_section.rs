//! Gossip, link heartbeats and reads of the bundle head, in a simulated fleet without sockets.

use std::time::Duration;

use hawthornquay_decisions::{
    BundleId, GossipEntry, GossipLoad, GossipPartners, GossipSettings, Incarnation, InstanceId,
    InstanceName, InstanceRecord, MemberTable, MonotonicTime, Rollout, Set,
};
use hawthornquay_instances::{Body, Digest, DigestEntry, Envelope, LinkSettings, Ping};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{print_figure, process_cpu_us, table_sections::instance_record};

const DOMAINS: usize = 10;
const REGIONS: usize = 3;
const MEASURED_SECONDS: u64 = 60;
/// Overhead of a message: the frame length (4 bytes), and the header, content type and tag of a
/// TLS 1.3 record (22 bytes).
const FRAME_AND_RECORD_BYTES: usize = 4 + 22;
const HEAD: BundleId = BundleId {
    version: 700_000,
    digest: [7; 32],
};

struct SimulatedInstance {
    record: InstanceRecord,
    table: MemberTable,
    partners: GossipPartners,
    rollout: Rollout,
    head_read_at: MonotonicTime,
    previous_partners: Set<InstanceName>,
}

/// Prints the bytes and CPU time of gossip, and the reads of the bundle head.
pub fn gossip() {
    let ping = Envelope::one_way(Body::Ping(Ping {})).encoded_len() + FRAME_AND_RECORD_BYTES;
    let heartbeat = LinkSettings::default().heartbeat_interval.as_secs_f64();
    for count in [50, 150, 350] {
        let (bytes, opened, cpu_us, reads) = run(count);
        let seconds = MEASURED_SECONDS as f64;
        let instance_seconds = count as f64 * seconds;
        print_figure(
            "gossip.digest_bytes_per_s",
            count,
            bytes as f64 / instance_seconds,
        );
        print_figure(
            "gossip.links_opened_per_s",
            count,
            opened as f64 / instance_seconds,
        );
        print_figure(
            "gossip.processor_us_per_s",
            count,
            cpu_us / instance_seconds,
        );
        print_figure("gossip.head_reads_per_s", count, reads as f64 / seconds);
        // In a full mesh, each link would carry one heartbeat in each direction.
        let mesh = (count - 1) as f64 * ping as f64 / heartbeat;
        print_figure("mesh.heartbeat_bytes_per_s", count, mesh);
        let idle = LinkSettings::default().idle_timeout.as_secs_f64();
        // Links to the partners, and links that stay open until their idle time-out, in both
        // directions.
        let links = 2.0 * (3.2 + opened as f64 / instance_seconds * idle);
        print_figure(
            "gossip.heartbeat_bytes_per_s",
            count,
            links * ping as f64 / heartbeat,
        );
    }
}

/// Returns the digest bytes, opened links, CPU time in microseconds and head reads of the whole
/// fleet.
fn run(count: usize) -> (usize, usize, f64, usize) {
    let mut rng = StdRng::seed_from_u64(5);
    let records: Vec<_> = (0..count)
        .map(|n| instance_record(n, DOMAINS, REGIONS))
        .collect();
    let start = MonotonicTime::from_millis(1_000);
    let mut instances: Vec<SimulatedInstance> = records
        .iter()
        .map(|record| simulated_instance(record, &records, start, rng.random()))
        .collect();
    let (mut bytes, mut opened, mut cpu_us, mut reads) = (0, 0, 0.0, 0);
    let warm_up_s = 60;
    for tick in 0..(warm_up_s + MEASURED_SECONDS) * 10 {
        let now = MonotonicTime::from_millis(1_000 + tick * 100);
        let is_measured = tick >= warm_up_s * 10;
        for index in 0..count {
            // The two live instances of each region whose names sort first are watchers.
            let is_watcher = index / DOMAINS == 0 && index % DOMAINS < 2 * REGIONS;
            let due = instances[index].rollout.next_head_read_at(is_watcher);
            if now >= due {
                instances[index].rollout.record_head_read(now, rng.random());
                instances[index].head_read_at = now;
                reads += usize::from(is_measured);
            }
            if tick % 10 != index as u64 % 10 {
                continue;
            }
            let before = process_cpu_us();
            let sent = send(&mut instances, index, now, &mut rng);
            if is_measured {
                bytes += sent.0;
                opened += sent.1;
                cpu_us += process_cpu_us() - before;
            }
        }
    }
    (bytes, opened, cpu_us, reads)
}

fn simulated_instance(
    own: &InstanceRecord,
    all: &[InstanceRecord],
    now: MonotonicTime,
    random: u64,
) -> SimulatedInstance {
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
    SimulatedInstance {
        record: own.clone(),
        table,
        partners: GossipPartners::new(settings, now),
        rollout,
        head_read_at: MonotonicTime(0),
        previous_partners: Set::default(),
    }
}

/// Sends the digests of one instance; returns their size in bytes and the number of opened links.
fn send(
    instances: &mut [SimulatedInstance],
    from: usize,
    now: MonotonicTime,
    rng: &mut StdRng,
) -> (usize, usize) {
    let instance = &mut instances[from];
    instance.table.increment_heartbeat();
    for load in &mut instance.table.own_entry_mut().loads {
        load.sequence += 1;
    }
    let id = {
        let entry: &GossipEntry = instance.table.own_entry_mut();
        InstanceId::new(instance.record.name.as_str(), entry.id.incarnation.0)
    };
    let chosen = instance
        .partners
        .choose(now, &instance.table, || rng.random());
    let chosen_set: Set<_> = chosen.iter().cloned().collect();
    let opened = chosen_set.difference(&instance.previous_partners).count();
    instance.previous_partners = chosen_set;
    let mut bytes = 0;
    for partner in chosen {
        let instance = &mut instances[from];
        let entries = instance
            .table
            .digest(now, &partner, DigestEntry::len_in_digest);
        let age = now.since(instance.head_read_at);
        let digest = Digest {
            entries: entries.iter().map(DigestEntry::from).collect(),
            head_version: HEAD.version,
            head_age_ms: age.as_millis() as u64,
        };
        let encoded = digest.encode_to_vec();
        bytes += encoded.len() + 3 + FRAME_AND_RECORD_BYTES;
        let received: Vec<GossipEntry> = Digest::decode(encoded.as_slice()).unwrap().into();
        let index: usize = partner
            .as_str()
            .rsplit('-')
            .next()
            .unwrap()
            .parse()
            .unwrap();
        let to = &mut instances[index];
        to.table.apply_digest(now, &id, &received);
        let age = Duration::from_millis(digest.head_age_ms);
        to.rollout.confirm(HEAD, age, now, rng.random());
    }
    (bytes, opened)
}
