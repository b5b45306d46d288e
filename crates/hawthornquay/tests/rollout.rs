//! Rollout of bundles to nine instances in three regions, under faults of the store, links and
//! peers.

mod support;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornquay_decisions::{InstanceId, MemberState};
use hawthornquay_instances::{
    BundleContent, BundleFetch, CapacityGrant, CapacityRequest, Digest, DigestEntry, Forward,
    ForwardSink, LinkPool, LoanGrant, LoanRequest, LocalInstance, Notice, PeerAddress, PeerServer,
    PeerService, TlsIdentity,
};
use hawthornquay_operators::{BundleDocument, BundleHead, DaemonSettings, OperatorKey};
use hawthornquay_standins::PlatformFaults;
use http::StatusCode;
use parking_lot::Mutex;
use support::{Caller, Fleet, FleetBuilder, now, wait_until};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time limit from the acceptance of a bundle until it is in force at all instances.
const ROLLOUT_BOUND: Duration = Duration::from_secs(4);
const HEAD_KEY: &str = "bundle/head";
const KANO: [usize; 3] = [6, 7, 8];

/// Accepts a version, waits until it is in force at all running instances, and checks that no
/// version goes back meanwhile.
async fn roll_out(fleet: &mut Fleet, version: u64, what: &str) {
    let before = versions(fleet);
    fleet.accept(version).await.unwrap();
    let accepted = Instant::now();
    let mut previous = before;
    wait_until(
        ROLLOUT_BOUND,
        &format!("version {version} at all instances, {what}"),
        || {
            let current = versions(fleet);
            for (index, (was, is)) in previous.iter().zip(&current).enumerate() {
                assert!(is >= was, "instance {index} went from {was} to {is}");
            }
            previous = current;
            previous.iter().all(|held| *held == version)
        },
    )
    .await;
    println!("{what}: {:?}", accepted.elapsed());
}

/// Returns the bundle version in force at each running instance.
fn versions(fleet: &Fleet) -> Vec<u64> {
    let running = fleet.daemons.iter().flatten();
    running
        .map(|daemon| daemon.node().bundle.version())
        .collect()
}

/// Waits until the platform has served `count` more reads.
async fn wait_for_store_reads(fleet: &Fleet, count: u64) {
    let before = fleet.platform.counters().reads;
    wait_until(Duration::from_secs(10), "reads of the store", || {
        fleet.platform.counters().reads >= before + count
    })
    .await;
}

/// Guards against a single fault that delays a change beyond the time limit: watches without
/// responses, lost or slow responses, or a stopped watcher.
#[tokio::test(flavor = "multi_thread")]
async fn bundle_change_under_store_faults_is_in_force_within_the_bound() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    roll_out(&mut fleet, 2, "no fault").await;
    let faults = [
        (
            "watches without responses",
            PlatformFaults {
                hold_watches: true,
                ..PlatformFaults::default()
            },
        ),
        (
            "lost responses",
            PlatformFaults {
                lose_answers: 3,
                ..PlatformFaults::default()
            },
        ),
        (
            "responses after 500 ms",
            PlatformFaults {
                delay_ms: 500,
                ..PlatformFaults::default()
            },
        ),
    ];
    let mut version = 2;
    for (what, faults) in faults {
        // Watches that were open before the fault may still report the first change, so each fault
        // is tested with two.
        for _ in 0..2 {
            version += 1;
            fleet.platform.set_faults(faults);
            roll_out(&mut fleet, version, what).await;
        }
        fleet.platform.set_faults(PlatformFaults::default());
    }
    fleet.stop_instance(6).await;
    roll_out(&mut fleet, version + 1, "one watcher stopped").await;
}

/// Guards against a revoked API key that still works on a connection opened before the revocation.
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_on_open_connection_is_refused_within_the_bound() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    let caller = Caller::new(Some("key-kolanut"));
    for instance in 0..9 {
        let response = caller.chat(fleet.callers(instance), "n", 4, false).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    }
    let start = fleet.bundle_text.find("[key kolanut-1]").unwrap();
    let end = start
        + fleet.bundle_text[start..]
            .find("[key homebound-1]")
            .unwrap();
    fleet.bundle_text.replace_range(start..end, "");
    fleet.accept(2).await.unwrap();
    let end = Instant::now() + ROLLOUT_BOUND;
    for instance in 0..9 {
        loop {
            let response = caller.chat(fleet.callers(instance), "n", 4, false).await;
            if response.status == StatusCode::UNAUTHORIZED {
                assert_eq!(response.execution(), "not-run");
                break;
            }
            assert!(
                Instant::now() < end,
                "instance {instance} still accepts the revoked key"
            );
        }
    }
}

/// Guards against a region that keeps an old bundle after its partition has healed, both when its
/// old connections resume and when they stay stalled.
#[tokio::test(flavor = "multi_thread")]
async fn healed_region_catches_up_within_the_bound() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    for (version, stall_old_connections) in [(2, false), (3, true)] {
        fleet.network.set_partitioned("kano", true);
        fleet.accept(version).await.unwrap();
        wait_until(ROLLOUT_BOUND, "bundle change outside the partition", || {
            versions(&fleet)[..6].iter().all(|held| *held == version)
        })
        .await;
        // Waits until the instances have detected the partition, so that it heals while they retry.
        wait_until(
            Duration::from_secs(15),
            "suspicion of an instance of another region",
            || {
                KANO.into_iter().all(|index| {
                    let members = fleet.node(index).members.lock();
                    let state = members.state(&"lagos-1".into(), now());
                    state == Some(MemberState::Suspect)
                })
            },
        )
        .await;
        assert_eq!(versions(&fleet)[6..], [version - 1; 3]);
        if stall_old_connections {
            fleet.network.stall_open_connections("kano");
        }
        fleet.network.set_partitioned("kano", false);
        let healed = Instant::now();
        wait_until(ROLLOUT_BOUND, "bundle change in the healed region", || {
            versions(&fleet).iter().all(|held| *held == version)
        })
        .await;
        println!(
            "healed, old connections stalled {stall_old_connections}: {:?}",
            healed.elapsed()
        );
    }
}

/// Guards against an older bundle head, as a store may have after an outage: a running instance
/// must not go back to it, and a starting one must not use it while its peers have a newer bundle.
#[tokio::test(flavor = "multi_thread")]
async fn older_store_head_is_not_adopted() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    let old = fleet.store_client.get(HEAD_KEY).await.unwrap();
    roll_out(&mut fleet, 2, "no fault").await;
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    fleet.platform.set_faults(outage);
    fleet.platform.set_faults(PlatformFaults::default());
    let current = fleet.store_client.get(HEAD_KEY).await.unwrap();
    fleet
        .store_client
        .compare_and_swap(HEAD_KEY, &old.value, current.revision, None)
        .await
        .unwrap();
    wait_for_store_reads(&fleet, 40).await;
    assert_eq!(versions(&fleet), [2; 9]);
    for instance in KANO {
        fleet.stop_instance(instance).await;
        fleet.start_instance(instance).await;
        let node = Arc::clone(fleet.daemons[instance].as_ref().unwrap().node());
        wait_until(Duration::from_secs(10), "bundle", || {
            node.bundle.version() > 0
        })
        .await;
        assert_eq!(
            node.bundle.version(),
            2,
            "instance {instance} starts with an older bundle than its peers"
        );
    }
}

/// Peer that serves one bundle for every fetch and counts the fetches of each instance.
struct OfferingPeer {
    head: BundleHead,
    document: BundleDocument,
    fetches: Mutex<BTreeMap<String, usize>>,
}

impl PeerService for OfferingPeer {
    async fn handle_notice(&self, _from: &InstanceId, _notice: Notice) {}

    async fn fetch_bundle(&self, from: &InstanceId, _request: BundleFetch) -> BundleContent {
        let mut fetches = self.fetches.lock();
        *fetches.entry(from.name.to_string()).or_default() += 1;
        BundleContent {
            version: u64::MAX,
            head: serde_json::to_vec(&self.head).unwrap().into(),
            part: 0,
            parts: 1,
            content: Bytes::copy_from_slice(self.document.canonical().as_bytes()),
        }
    }

    async fn lend(&self, _from: &InstanceId, _request: LoanRequest) -> LoanGrant {
        LoanGrant::default()
    }

    async fn grant_capacity(&self, _from: &InstanceId, _req: CapacityRequest) -> CapacityGrant {
        CapacityGrant::default()
    }

    async fn forward(&self, _from: &InstanceId, _request: Forward, _sink: ForwardSink) {}
}

fn tls_identity(settings: &DaemonSettings) -> TlsIdentity {
    let read = |path| std::fs::read(path).unwrap();
    TlsIdentity::from_pem(
        &read(&settings.tls.certificate),
        &read(&settings.tls.key),
        &read(&settings.tls.authority),
    )
    .unwrap()
}

/// Offers a bundle with the identity of the stopped instance 8, until each other instance has
/// fetched it at least twice.
async fn offer_bundle(fleet: &Fleet, text: &str, signer: &OperatorKey, version: u64) {
    let document = BundleDocument::read("bundle", text).unwrap();
    assert_eq!(document.version(), version);
    let stored = fleet.store_client.get(HEAD_KEY).await.unwrap();
    let mut head: BundleHead = serde_json::from_slice(&stored.value).unwrap();
    head.version = version;
    head.digest = document.digest();
    head.signatures = vec![signer.sign("ada", version, &document.digest())];
    let settings = &fleet.settings[8];
    let id = InstanceId::new("kano-3", rand::random());
    let local = LocalInstance::new(id.clone(), tls_identity(settings));
    let pool = LinkPool::new(local.clone());
    let peer = Arc::new(OfferingPeer {
        head,
        document,
        fetches: Mutex::default(),
    });
    let server = PeerServer::bind(settings.instance.peers, local, Arc::clone(&peer))
        .await
        .unwrap();
    let shutdown = CancellationToken::new();
    let serving = tokio::spawn(server.serve(shutdown.clone()));
    let digest = |heartbeat| Digest {
        entries: vec![DigestEntry {
            name: id.name.to_string(),
            incarnation: id.incarnation.0,
            heartbeat,
            bundle_version: u64::MAX,
            leaving: false,
            loads: Vec::new(),
        }],
        head_version: version,
        head_age_ms: 0,
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    for heartbeat in 1.. {
        for target in &fleet.settings[..8] {
            let name = target.instance.name.as_str();
            let address = PeerAddress::new(name, target.instance.peers);
            let notice = Notice::Digest(digest(heartbeat));
            pool.send(&address, notice).await.unwrap();
        }
        let fetched = peer
            .fetches
            .lock()
            .values()
            .filter(|&&count| count > 1)
            .count();
        if fetched == 8 {
            break;
        }
        assert!(
            Instant::now() < deadline,
            "not all instances fetched from the peer within 10 s"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    wait_for_store_reads(fleet, 40).await;
    pool.close();
    shutdown.cancel();
    serving.await.unwrap();
}

/// Guards against adopting a bundle of a peer that is older than the one in force, signed by an
/// unknown key, or signed by a signer that the settings name but the bundle in force has removed.
#[tokio::test(flavor = "multi_thread")]
async fn older_or_forged_peer_bundle_is_not_adopted() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    let first = fleet.bundle_text.clone();
    let new_signer = OperatorKey::generate().unwrap();
    fleet.bundle_text = first.replace(&fleet.signer.public_base64(), &new_signer.public_base64());
    roll_out(&mut fleet, 2, "signer replaced").await;
    fleet.stop_instance(8).await;
    let forged = fleet
        .bundle_text
        .replacen("version = 2\n", "version = 9\n", 1);
    let unknown_signer = OperatorKey::generate().unwrap();
    let offers = [
        ("older", first.as_str(), &fleet.signer, 1),
        ("unknown signer", &forged, &unknown_signer, 9),
        ("removed signer", &forged, &fleet.signer, 9),
    ];
    for (what, text, signer, version) in offers {
        offer_bundle(&fleet, text, signer, version).await;
        assert_eq!(versions(&fleet), [2; 8], "{what}");
    }
    // The same offer with a signature of the current signer is adopted, so the signatures were the
    // reason for the refusals.
    offer_bundle(&fleet, &forged, &new_signer, 9).await;
    assert_eq!(versions(&fleet), [9; 8], "current signer");
}

/// Guards against a new instance that never serves because its region is partitioned from the
/// store, although its peers have the bundle, the instance list and the slots.
#[tokio::test(flavor = "multi_thread")]
async fn new_instance_in_a_partitioned_region_starts_from_its_peers() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    roll_out(&mut fleet, 2, "before the partition").await;
    let holder = fleet
        .node(6)
        .limits
        .lock()
        .slot_holder(&"kolanut".into())
        .cloned();
    let holder = holder.expect("slot has a holder").name;
    // The slots of the stopped instance serve no requests, so the holder must be another instance.
    let index = KANO
        .into_iter()
        .find(|&index| fleet.settings[index].instance.name != holder)
        .unwrap();
    fleet.network.set_partitioned("kano", true);
    fleet.abort_instance(index).await;
    fleet.start_instance(index).await;
    let node = Arc::clone(fleet.daemons[index].as_ref().unwrap().node());
    let started = Instant::now();
    wait_until(Duration::from_secs(20), "bundle from peers", || {
        node.bundle.version() == 2
    })
    .await;
    println!("bundle in the partitioned region: {:?}", started.elapsed());
    let caller = Caller::new(Some("key-kolanut"));
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let response = caller.chat(fleet.callers(index), "n", 4, false).await;
        if response.status == StatusCode::OK {
            break;
        }
        assert_eq!(response.execution(), "not-run", "{}", response.text());
        assert!(
            Instant::now() < end,
            "still refused after 10 s: {}",
            response.text()
        );
    }
    println!("first response: {:?}", started.elapsed());
}

/// Guards against an instance that misses many versions and then rejects the current one, because
/// the signers changed in one of the missed versions.
#[tokio::test(flavor = "multi_thread")]
async fn missed_signer_change_is_adopted() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    fleet.network.set_partitioned("kano", true);
    let new_signer = OperatorKey::generate().unwrap();
    let (old, new) = (fleet.signer.public_base64(), new_signer.public_base64());
    fleet.bundle_text = fleet.bundle_text.replace(&old, &new);
    fleet.accept(2).await.unwrap();
    fleet.signer = new_signer;
    for version in 3..=20 {
        fleet.accept(version).await.unwrap();
    }
    fleet.network.set_partitioned("kano", false);
    wait_until(
        Duration::from_secs(8),
        "last version at all instances",
        || versions(&fleet) == [20; 9],
    )
    .await;
}
