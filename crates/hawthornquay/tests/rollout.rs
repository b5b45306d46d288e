//! Rollout of bundles over nine instances in three regions, with faults of store, links and peers.

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

const BOUND: Duration = Duration::from_secs(4);
const HEAD_KEY: &str = "bundle/head";
const KANO: [usize; 3] = [6, 7, 8];

/// Accepts a version and waits until all running instances have it in force.
async fn change(fleet: &mut Fleet, version: u64, what: &str) {
    let before = versions(fleet);
    fleet.accept(version).await.unwrap();
    let accepted = Instant::now();
    let mut highest = before;
    wait_until(
        BOUND,
        &format!("version {version} everywhere, {what}"),
        || {
            let now = versions(fleet);
            for (index, (was, is)) in highest.iter().zip(&now).enumerate() {
                assert!(is >= was, "instance {index} went from {was} to {is}");
            }
            highest = now;
            highest.iter().all(|held| *held == version)
        },
    )
    .await;
    println!("{what}: {:?}", accepted.elapsed());
}

fn versions(fleet: &Fleet) -> Vec<u64> {
    let running = fleet.daemons.iter().flatten();
    running
        .map(|daemon| daemon.node().bundle.version())
        .collect()
}

/// Waits until the platform has answered `count` more calls.
async fn platform_calls(fleet: &Fleet, count: u64) {
    let before = fleet.platform.counters().reads;
    wait_until(Duration::from_secs(10), "reads of the store", || {
        fleet.platform.counters().reads >= before + count
    })
    .await;
}

/// Guards against a change that one silent watch, lost answer, slow answer or stopped watcher
/// keeps from an instance for longer than the bound.
#[tokio::test(flavor = "multi_thread")]
async fn change_with_store_faults_is_in_force_within_the_bound() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    change(&mut fleet, 2, "no fault").await;
    let faults = [
        (
            "silent watches",
            PlatformFaults {
                hold_watches: true,
                ..PlatformFaults::default()
            },
        ),
        (
            "lost answers",
            PlatformFaults {
                lose_answers: 3,
                ..PlatformFaults::default()
            },
        ),
        (
            "answers after 500 ms",
            PlatformFaults {
                delay_ms: 500,
                ..PlatformFaults::default()
            },
        ),
    ];
    let mut version = 2;
    for (what, faults) in faults {
        // Watches that were open before the fault may report the first change.
        for _ in 0..2 {
            version += 1;
            fleet.platform.set_faults(faults);
            change(&mut fleet, version, what).await;
        }
        fleet.platform.set_faults(PlatformFaults::default());
    }
    fleet.stop_instance(6).await;
    change(&mut fleet, version + 1, "one watcher stopped").await;
}

/// Guards against a revoked key that still works on a connection opened before.
#[tokio::test(flavor = "multi_thread")]
async fn revocation_open_connection_is_refused_within_the_bound() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    let caller = Caller::new(Some("key-kolanut"));
    for instance in 0..9 {
        let answer = caller.chat(fleet.callers(instance), "n", 4, false).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
    let start = fleet.bundle_text.find("[key kolanut-1]").unwrap();
    let end = start
        + fleet.bundle_text[start..]
            .find("[key homebound-1]")
            .unwrap();
    fleet.bundle_text.replace_range(start..end, "");
    fleet.accept(2).await.unwrap();
    let end = Instant::now() + BOUND;
    for instance in 0..9 {
        loop {
            let answer = caller.chat(fleet.callers(instance), "n", 4, false).await;
            if answer.status == StatusCode::UNAUTHORIZED {
                assert_eq!(answer.execution(), "not-run");
                break;
            }
            assert!(Instant::now() < end, "instance {instance} accepts the key");
        }
    }
}

/// Guards against a cut-off domain that keeps an old bundle after the cut has healed, whether its
/// old connections come back or stay silent for good.
#[tokio::test(flavor = "multi_thread")]
async fn cut_domain_catches_up_within_the_bound() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    for (version, lose_open) in [(2, false), (3, true)] {
        fleet.network.set_partitioned("kano", true);
        fleet.accept(version).await.unwrap();
        wait_until(BOUND, "the change outside the cut", || {
            versions(&fleet)[..6].iter().all(|held| *held == version)
        })
        .await;
        // The instances have noticed the cut by then, so that the heal meets their retries.
        wait_until(Duration::from_secs(15), "suspicion of the others", || {
            KANO.into_iter().all(|index| {
                let members = fleet.node(index).members.lock();
                let state = members.state(&"lagos-1".into(), now());
                state == Some(MemberState::Suspect)
            })
        })
        .await;
        assert_eq!(versions(&fleet)[6..], [version - 1; 3]);
        if lose_open {
            fleet.network.stall_open_connections("kano");
        }
        fleet.network.set_partitioned("kano", false);
        let healed = Instant::now();
        wait_until(BOUND, "the change in the healed domain", || {
            versions(&fleet).iter().all(|held| *held == version)
        })
        .await;
        println!(
            "healed, connections lost {lose_open}: {:?}",
            healed.elapsed()
        );
    }
}

/// Guards against an instance that goes back to the older head of a store after its outage, or
/// starts from it although its peers hold a newer bundle.
#[tokio::test(flavor = "multi_thread")]
async fn old_head_of_the_store_is_not_taken() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    let old = fleet.store_client.get(HEAD_KEY).await.unwrap();
    change(&mut fleet, 2, "no fault").await;
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
    platform_calls(&fleet, 40).await;
    assert_eq!(versions(&fleet), [2; 9]);
    for instance in KANO {
        fleet.stop_instance(instance).await;
        fleet.start_instance(instance).await;
        let node = Arc::clone(fleet.daemons[instance].as_ref().unwrap().node());
        wait_until(Duration::from_secs(10), "a bundle", || {
            node.bundle.version() > 0
        })
        .await;
        assert_eq!(
            node.bundle.version(),
            2,
            "instance {instance} starts below its peers"
        );
    }
}

/// Peer that answers every fetch with one bundle and counts the fetches of each instance.
struct OfferingPeer {
    head: BundleHead,
    document: BundleDocument,
    fetches: Mutex<BTreeMap<String, usize>>,
}

impl PeerService for OfferingPeer {
    async fn notice(&self, _from: &InstanceId, _notice: Notice) {}

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

fn identity(settings: &DaemonSettings) -> TlsIdentity {
    let read = |path| std::fs::read(path).unwrap();
    TlsIdentity::from_pem(
        &read(&settings.tls.certificate),
        &read(&settings.tls.key),
        &read(&settings.tls.authority),
    )
    .unwrap()
}

/// Offers a bundle in the place of the stopped instance 8 until each other one has fetched it twice.
async fn offer(fleet: &Fleet, text: &str, signer: &OperatorKey, version: u64) {
    let document = BundleDocument::read("bundle", text).unwrap();
    assert_eq!(document.version(), version);
    let stored = fleet.store_client.get(HEAD_KEY).await.unwrap();
    let mut head: BundleHead = serde_json::from_slice(&stored.value).unwrap();
    head.version = version;
    head.digest = document.digest();
    head.signatures = vec![signer.sign("ada", version, &document.digest())];
    let settings = &fleet.settings[8];
    let id = InstanceId::new("kano-3", rand::random());
    let local = LocalInstance::new(id.clone(), identity(settings));
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
    let end = Instant::now() + Duration::from_secs(10);
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
        assert!(Instant::now() < end, "not each instance asked the peer");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    platform_calls(fleet, 40).await;
    pool.close();
    shutdown.cancel();
    serving.await.unwrap();
}

/// Guards against a bundle of a peer that is older than the one in force, is signed by a stranger,
/// or is signed by a signer that the bundle in force has dropped but the settings still name.
#[tokio::test(flavor = "multi_thread")]
async fn old_or_forged_offer_of_a_peer_is_not_taken() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    let first = fleet.bundle_text.clone();
    let next = OperatorKey::generate().unwrap();
    fleet.bundle_text = first.replace(&fleet.signer.public_base64(), &next.public_base64());
    change(&mut fleet, 2, "signer replaced").await;
    fleet.stop_instance(8).await;
    let forged = fleet
        .bundle_text
        .replacen("version = 2\n", "version = 9\n", 1);
    let stranger = OperatorKey::generate().unwrap();
    let offers = [
        ("old", first.as_str(), &fleet.signer, 1),
        ("stranger", &forged, &stranger, 9),
        ("dropped signer", &forged, &fleet.signer, 9),
    ];
    for (what, text, signer, version) in offers {
        offer(&fleet, text, signer, version).await;
        assert_eq!(versions(&fleet), [2; 8], "{what}");
    }
    // The same offer by the present signer is taken, so the others were refused for the signature.
    offer(&fleet, &forged, &next, 9).await;
    assert_eq!(versions(&fleet), [9; 8], "present signer");
}

/// Guards against a fresh instance that never serves because its domain is cut off from the store,
/// although its peers hold the bundle, the instance list and the slots.
#[tokio::test(flavor = "multi_thread")]
async fn fresh_instance_in_a_cut_domain_starts_from_its_peers() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    change(&mut fleet, 2, "before the cut").await;
    let holder = fleet
        .node(6)
        .limits
        .lock()
        .slot_holder(&"kolanut".into())
        .cloned();
    let holder = holder.expect("the slot is held").name;
    // The slots of the instance that ends stay idle, so it must not be the holder.
    let index = KANO
        .into_iter()
        .find(|&index| fleet.settings[index].instance.name != holder)
        .unwrap();
    fleet.network.set_partitioned("kano", true);
    fleet.abort_instance(index).await;
    fleet.start_instance(index).await;
    let node = Arc::clone(fleet.daemons[index].as_ref().unwrap().node());
    let started = Instant::now();
    wait_until(Duration::from_secs(20), "a bundle from peers", || {
        node.bundle.version() == 2
    })
    .await;
    println!("bundle in the cut domain: {:?}", started.elapsed());
    let caller = Caller::new(Some("key-kolanut"));
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = caller.chat(fleet.callers(index), "n", 4, false).await;
        if answer.status == StatusCode::OK {
            break;
        }
        assert_eq!(answer.execution(), "not-run", "{}", answer.text());
        assert!(Instant::now() < end, "refused: {}", answer.text());
    }
    println!("first answer: {:?}", started.elapsed());
}

/// Guards against an instance that missed many versions and cannot follow because the signers
/// changed in between.
#[tokio::test(flavor = "multi_thread")]
async fn missed_change_of_signers_is_followed() {
    let mut fleet = FleetBuilder::default().three_regions().start().await;
    fleet.network.set_partitioned("kano", true);
    let next = OperatorKey::generate().unwrap();
    let (old, new) = (fleet.signer.public_base64(), next.public_base64());
    fleet.bundle_text = fleet.bundle_text.replace(&old, &new);
    fleet.accept(2).await.unwrap();
    fleet.signer = next;
    for version in 3..=20 {
        fleet.accept(version).await.unwrap();
    }
    fleet.network.set_partitioned("kano", false);
    wait_until(
        Duration::from_secs(8),
        "the last version everywhere",
        || versions(&fleet) == [20; 9],
    )
    .await;
}
