//! Bundles and decision tables of growing size.

use std::{
    fmt::Write,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use hawthornquay_decisions::{
    BackendKind, DomainSlots, FairQueue, GossipSettings, Incarnation, InstanceId, InstanceRecord,
    InstanceState, LimitTable, LoadKey, LoadReport, LoadView, MemberTable, MonotonicTime,
    OrganisationId, PrefixEvent, PrefixEventKind, PrefixEvents, PrefixHash, PrefixMap, Priority,
    QueueEntry, Residency, RouteTarget, RoutingGrants, RoutingHop, RoutingLocation, RoutingRequest,
    RoutingSnapshot, SlotIndex, SlotRecord, SlotSnapshot, decide_route,
};
use hawthornquay_instances::{Body, Envelope, LoanGrant, LoanRequest};
use hawthornquay_operators::{BundleDocument, BundleHead, OperatorKey, StoredDifference, Trust};
use hawthornquay_store::ListedInstances;
use prost::Message;
use serde_json::json;

use super::{
    bytes_of, figure,
    limit_types::{END_US, Run, Scenario, Scheme, Size},
    time_of,
};

const DOMAINS: usize = 10;
const REGIONS: usize = 3;
const MODELS: usize = 30;
const WORKERS: usize = 760;
const ORGANISATIONS: [usize; 3] = [275, 550, 1_100];

/// Returns the list entry of an instance.
pub fn record(index: usize, domains: usize, regions: usize) -> InstanceRecord {
    let domain = index % domains;
    let address = |port: usize| SocketAddr::from(([10, 0, 0, 1], (port + index) as u16));
    InstanceRecord {
        name: format!("entry-{index:03}").into(),
        region: format!("region-{}", domain % regions).into(),
        domain: format!("domain-{domain}").into(),
        callers: address(1_000),
        peers: address(11_000),
        operators: address(21_000),
        state: InstanceState::Live,
        state_age_ms: 86_400_000,
    }
}

fn bundle_text(version: u64, rate: u64, sizes: (usize, usize), key: &OperatorKey) -> String {
    let mut text = format!(
        "[bundle]\nversion = {version}\nsignatures_needed = 1\n\
         key_salt = 00112233445566778899aabbccddeeff\nsigner.ada = {}\n",
        key.public_base64()
    );
    for region in 0..REGIONS {
        let _ = writeln!(text, "[region region-{region}]");
    }
    for domain in 0..DOMAINS {
        let region = domain % REGIONS;
        let _ = writeln!(
            text,
            "[domain domain-{domain}]\nregion = region-{region}\nlimit_weight = 1"
        );
    }
    for organisation in 0..sizes.0 {
        let rate = if organisation == 0 { rate } else { 1_000 };
        let _ = writeln!(
            text,
            "[organisation org-{organisation}]\nrate = {rate}\nburst = 10000\nresidency = any"
        );
        for key in 0..2 {
            let digest = format!("{:064x}", organisation * 2 + key + 1);
            let _ = writeln!(
                text,
                "[key org-{organisation}-{key}]\norganisation = org-{organisation}\ndigest = {digest}"
            );
        }
    }
    for worker in 0..sizes.1 {
        let (domain, model) = (worker % DOMAINS, worker % MODELS);
        let (high, low) = (worker / 250, worker % 250 + 1);
        let _ = writeln!(
            text,
            "[backend engine-{worker}]\nkind = model-engine\naddress = 10.1.{high}.{low}:9001\n\
             domain = domain-{domain}\nmodels = model-{model}\nfencing = yes"
        );
    }
    text
}

fn document(version: u64, rate: u64, sizes: (usize, usize), key: &OperatorKey) -> BundleDocument {
    BundleDocument::read("bundle.ini", &bundle_text(version, rate, sizes, key)).unwrap()
}

/// Prints the costs of bundles.
pub fn bundle() {
    let key = OperatorKey::generate().unwrap();
    for count in ORGANISATIONS {
        let resident = bytes_of(|| document(7, 1_000, (count, WORKERS), &key));
        figure("bundle.resident_bytes", count, resident);
    }
    for count in ORGANISATIONS {
        let sizes = (count, WORKERS);
        let old = document(7, 1_000, sizes, &key);
        let new = document(8, 1_001, sizes, &key);
        let head = BundleHead {
            version: 8,
            digest: new.digest(),
            previous: Some(old.digest()),
            parts: 1,
            signatures: vec![key.sign("ada", 8, &new.digest())],
        };
        let stored = StoredDifference {
            head: head.clone(),
            difference: new.difference_from(&old).to_string(),
        };
        let trust = Trust::of_predecessor(old.bundle());
        figure("bundle.bytes", count, new.canonical().len() as f64);
        let difference = serde_json::to_vec(&stored).unwrap().len();
        figure("bundle.difference_bytes", count, difference as f64);
        let read = time_of(10, || BundleDocument::read("bundle", new.text()).unwrap());
        figure("bundle.read_us", count, read);
        figure(
            "bundle.difference_us",
            count,
            time_of(50, || new.difference_from(&old)),
        );
        let apply = time_of(10, || stored.verify_and_apply(&old).unwrap());
        figure("bundle.verify_and_apply_us", count, apply);
        figure(
            "bundle.signature_us",
            count,
            time_of(500, || trust.verify_head(&head).unwrap()),
        );
    }
}

/// Prints the costs of the member table and of the platform's list.
pub fn members() {
    for count in [50, 150, 350] {
        let records: Vec<_> = (0..count).map(|n| record(n, DOMAINS, REGIONS)).collect();
        let now = MonotonicTime::from_millis(1_000);
        let build = || {
            // Decoded, as a daemon's own records share no text with others.
            let text = serde_json::to_string(&records).unwrap();
            let decoded: Vec<InstanceRecord> = serde_json::from_str(&text).unwrap();
            let settings = GossipSettings::default();
            let mut table = MemberTable::new(decoded[0].clone(), Incarnation(1), settings);
            table.apply_instance_list(now, &decoded);
            (table, decoded)
        };
        figure("members.resident_bytes", count, bytes_of(build));
        let text = json!({"lag_ms": 200, "instances": records}).to_string();
        figure("members.list_bytes", count, text.len() as f64);
        let (mut table, _) = build();
        let apply = time_of(200, || {
            let listed: ListedInstances = serde_json::from_str(&text).unwrap();
            table.apply_instance_list(now, &listed.instances);
        });
        figure("members.list_us", count, apply);
    }
}

/// Prints the costs of the limit table of an instance that holds two of 64 slots.
pub fn limits() {
    let key = OperatorKey::generate().unwrap();
    for count in ORGANISATIONS {
        let (old, new) = (
            document(1, 1_000, (count, 10), &key),
            document(2, 1_001, (count, 10), &key),
        );
        let snapshot = slots(350);
        let now = MonotonicTime::from_millis(1_000);
        let own = InstanceId::new("entry-000", 1);
        let build = || {
            let mut table = LimitTable::new(own.clone(), "domain-0".into());
            table.adopt_bundle(old.bundle(), now);
            table.adopt_slots(snapshot.clone(), now);
            table
        };
        figure("limits.resident_bytes", count, bytes_of(build));
        let mut table = build();
        let renew = time_of(500, || table.renew_loans(now));
        figure("limits.renew_loans_us", count, renew);
        let organisations: Vec<OrganisationId> = (0..count)
            .map(|n| OrganisationId::from(format!("org-{n}")))
            .filter(|id| table.holds_slot(id))
            .collect();
        let mut millis = 10_000_000;
        let mut turn = 0;
        let reserve = time_of(20_000, || {
            millis += 10;
            turn += 1;
            let now = MonotonicTime::from_millis(millis);
            let id = &organisations[turn % organisations.len()];
            let reservation = table.reserve(id, 1, now);
            reservation.map(|reservation| table.settle(reservation, 1, now))
        });
        figure("limits.reserve_and_settle_us", count, reserve);
        let clone = time_of(100, || table.clone());
        let adopt = time_of(100, || {
            let mut next = table.clone();
            next.adopt_bundle(new.bundle(), MonotonicTime::from_millis(millis));
        });
        figure("limits.adopt_bundle_us", count, (adopt - clone).max(0.0));
    }
    let entry = &slots(350).domains["domain-0"];
    let bytes = serde_json::to_vec(entry).unwrap().len();
    figure("limits.slot_entry_bytes", 64, bytes as f64);
}

fn slots(instances: usize) -> SlotSnapshot {
    let holders = instances / DOMAINS;
    let mut snapshot = SlotSnapshot {
        revision: 1,
        ..SlotSnapshot::default()
    };
    for domain in 0..DOMAINS {
        let mut entry = DomainSlots::default();
        for slot in SlotIndex::all() {
            let index = usize::from(slot.0) % holders * DOMAINS + domain;
            // Incarnations are random numbers of 64 bits.
            let incarnation = if index == 0 {
                1
            } else {
                u64::MAX / (index as u64 + 1)
            };
            let holder = InstanceId::new(&format!("entry-{index:03}"), incarnation);
            let address = Some((Ipv4Addr::LOCALHOST, 7_000).into());
            let record = SlotRecord {
                holder,
                split: 1,
                address,
            };
            entry.slots.insert(slot, record);
        }
        snapshot
            .domains
            .insert(format!("domain-{domain}").as_str().into(), entry);
    }
    snapshot
}

/// Prints the messages of loans, from the model of `limits_measurement`.
pub fn loans() {
    for instances in [88, 175, 350] {
        let part = instances as f64 / 350.0;
        let size = Size {
            instances,
            domains: DOMAINS,
            organisations: (1_100.0 * part) as usize,
            requests_per_s: 4_400.0 * part,
        };
        let run = Run::new(size, Scheme::Loans, Scenario::Skewed).run();
        let seconds = END_US as f64 / 1e6;
        let messages: u64 = run.instances.iter().map(|entry| entry.messages).sum();
        let mean = messages as f64 / seconds / instances as f64;
        figure("loans.messages_per_s", instances, mean);
        let figures = &run.counters;
        let percent = |part: u64, all: u64| 100.0 * part as f64 / all.max(1) as f64;
        let wrongly = percent(figures.wrongly_refused, figures.requests);
        figure("loans.refused_inside_rate_percent", instances, wrongly);
        let steady = percent(
            figures.wrongly_refused_of_steady,
            figures.requests_of_steady,
        );
        figure("loans.refused_of_steady_percent", instances, steady);
        let waited = percent(figures.waited, figures.requests);
        figure("loans.waited_percent", instances, waited);
    }
    let request = Body::LoanRequest(LoanRequest {
        organisation: "org-1000".to_owned(),
        domain: "domain-0".to_owned(),
        sequence: 1_000_000,
        rate: 100_000,
        capacity: 1_000_000_000_000,
        level: 330_000_000_000,
        duration_ms: 3_000,
    });
    let grant = Body::LoanGrant(LoanGrant {
        sequence: 1_000_000,
        rate: 100_000,
        capacity: 1_000_000_000_000,
        level: 330_000_000_000,
        retry_after_ms: 0,
    });
    let len = |body| Envelope::of_call(u64::MAX / 3, 1_000_000, body).encoded_len() + 4 + 22;
    let mean = (len(request) + len(grant)) as f64 / 2.0;
    figure("loans.message_bytes", 350, mean);
}

/// Prints the costs of routing.
pub fn routing() {
    let key = OperatorKey::generate().unwrap();
    for workers in [190, 380, 760] {
        let document = document(1, 1_000, (10, workers), &key);
        let bundle = document.bundle();
        let now = MonotonicTime::from_millis(1_000);
        let view = || {
            let mut view = LoadView::default();
            for (name, server) in &bundle.backends {
                assert!(matches!(server.kind, BackendKind::ModelEngine { .. }));
                let key = LoadKey::Backend(name.as_str().into());
                view.record_report(key, report(name.as_str()), Duration::from_millis(500), now);
            }
            view
        };
        figure("routing.view_bytes", workers, bytes_of(view));
        let prefixes = || {
            let mut map = PrefixMap::default();
            for (index, name) in bundle.backends.keys().enumerate() {
                map.apply(name, &stored(index as u64));
            }
            map
        };
        figure("routing.prefix_map_bytes", workers, bytes_of(prefixes));
        let (view, prefixes, grants) = (view(), prefixes(), RoutingGrants::default());
        let place = RoutingLocation {
            region: "region-0".into(),
            domain: "domain-0".into(),
        };
        let state = RoutingSnapshot {
            bundle,
            view: &view,
            prefixes: &prefixes,
            grants: &grants,
            location: &place,
            queue_wait: Duration::ZERO,
            now: MonotonicTime::from_millis(1_100),
        };
        let target = RouteTarget::Model("model-0".into());
        let hashes: Vec<_> = (0..16).map(PrefixHash).collect();
        let req = RoutingRequest {
            target: &target,
            residency: &Residency::Any,
            priority: Priority::Interactive,
            prompt_tokens: 1_024,
            prefixes: &hashes,
            hop: RoutingHop::Caller,
            tried: &[],
            deadline_left: None,
        };
        let mut random = 0;
        let decide = time_of(5_000, || {
            random += 7;
            decide_route(&state, &req, random)
        });
        figure("routing.decision_us", workers, decide);
    }
    for waiting in [1_000, 4_000, 16_000] {
        let build = || {
            let mut queue = FairQueue::new(Duration::from_secs(30));
            for index in 0..waiting {
                let entry = QueueEntry {
                    organisation: format!("org-{}", index % 1_100).into(),
                    priority: Priority::Interactive,
                    cost: 330,
                    waiting_since: MonotonicTime::from_millis(1_000),
                    item: index,
                };
                queue.push(entry, 1.0).unwrap();
            }
            queue
        };
        figure("queue.resident_bytes", waiting, bytes_of(build));
        let mut queue = build();
        let now = MonotonicTime::from_millis(1_001);
        figure(
            "queue.pop_us",
            waiting,
            time_of(500, || queue.pop(now, |_| true).unwrap()),
        );
    }
}

fn stored(engine: u64) -> PrefixEvents {
    let event = |sequence| PrefixEvent {
        sequence,
        kind: PrefixEventKind::Stored,
        prefix: PrefixHash(engine << 32 | sequence),
    };
    PrefixEvents {
        events: (1..=1_024).map(event).collect(),
        next: 1_024,
    }
}

fn report(name: &str) -> LoadReport {
    let value = json!({"name": name, "running": 96, "waiting": 4, "slots": 128, "kv_used": 1_000,
        "kv_capacity": 100_000, "prefill_tokens_per_s": 20_000.0, "decode_ms": 20.0,
        "sequence": 100});
    serde_json::from_value(value).unwrap()
}
