//! Costs of bundles and of the decision tables at several sizes.

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
    RoutingSnapshot, SlotIndex, SlotRecord, SlotSnapshot, StoreRevision, decide_route,
};
use hawthornquay_instances::{Body, Envelope, LoanGrant, LoanRequest};
use hawthornquay_operators::{BundleDocument, BundleHead, OperatorKey, StoredDifference, Trust};
use hawthornquay_store::ListedInstances;
use prost::Message;
use serde_json::json;

use super::{
    cpu_us_per_call,
    limit_types::{END_US, Run, Scenario, Scheme, Size},
    print_figure, resident_bytes_per_value,
};

const DOMAINS: usize = 10;
const REGIONS: usize = 3;
const MODELS: usize = 30;
const SERVERS: usize = 760;
const ORGANISATIONS: [usize; 3] = [275, 550, 1_100];

/// Returns the record of an instance as the platform lists it.
pub fn instance_record(index: usize, domains: usize, regions: usize) -> InstanceRecord {
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
    for server in 0..sizes.1 {
        let (domain, model) = (server % DOMAINS, server % MODELS);
        let (high, low) = (server / 250, server % 250 + 1);
        let _ = writeln!(
            text,
            "[backend engine-{server}]\nkind = model-engine\naddress = 10.1.{high}.{low}:9001\n\
             domain = domain-{domain}\nmodels = model-{model}\nfencing = yes"
        );
    }
    text
}

fn bundle_document(
    version: u64,
    rate: u64,
    sizes: (usize, usize),
    key: &OperatorKey,
) -> BundleDocument {
    BundleDocument::read("bundle.ini", &bundle_text(version, rate, sizes, key)).unwrap()
}

/// Prints the memory, size and CPU time of bundles and of their differences.
pub fn bundle() {
    let key = OperatorKey::generate().unwrap();
    for count in ORGANISATIONS {
        let resident =
            resident_bytes_per_value(|| bundle_document(7, 1_000, (count, SERVERS), &key));
        print_figure("bundle.resident_bytes", count, resident);
    }
    for count in ORGANISATIONS {
        let sizes = (count, SERVERS);
        let old = bundle_document(7, 1_000, sizes, &key);
        let new = bundle_document(8, 1_001, sizes, &key);
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
        print_figure("bundle.bytes", count, new.canonical().len() as f64);
        let difference = serde_json::to_vec(&stored).unwrap().len();
        print_figure("bundle.difference_bytes", count, difference as f64);
        let read = cpu_us_per_call(10, || BundleDocument::read("bundle", new.text()).unwrap());
        print_figure("bundle.read_us", count, read);
        print_figure(
            "bundle.difference_us",
            count,
            cpu_us_per_call(50, || new.difference_from(&old)),
        );
        let apply = cpu_us_per_call(10, || stored.verify_and_apply(&old).unwrap());
        print_figure("bundle.verify_and_apply_us", count, apply);
        print_figure(
            "bundle.signature_us",
            count,
            cpu_us_per_call(500, || trust.verify_head(&head).unwrap()),
        );
    }
}

/// Prints the memory of the member table, and the size and CPU time of the instance list.
pub fn members() {
    for count in [50, 150, 350] {
        let records: Vec<_> = (0..count)
            .map(|n| instance_record(n, DOMAINS, REGIONS))
            .collect();
        let now = MonotonicTime::from_millis(1_000);
        let build = || {
            // Decoded from JSON, as in a daemon, so that no two records share a string.
            let text = serde_json::to_string(&records).unwrap();
            let decoded: Vec<InstanceRecord> = serde_json::from_str(&text).unwrap();
            let settings = GossipSettings::default();
            let mut table = MemberTable::new(decoded[0].clone(), Incarnation(1), settings);
            table.apply_instance_list(now, &decoded);
            (table, decoded)
        };
        print_figure(
            "members.resident_bytes",
            count,
            resident_bytes_per_value(build),
        );
        let text = json!({"lag_ms": 200, "instances": records}).to_string();
        print_figure("members.list_bytes", count, text.len() as f64);
        let (mut table, _) = build();
        let apply = cpu_us_per_call(200, || {
            let listed: ListedInstances = serde_json::from_str(&text).unwrap();
            table.apply_instance_list(now, &listed.instances);
        });
        print_figure("members.list_us", count, apply);
    }
}

/// Prints the memory and CPU time of the limit table of an instance that holds two of 64 slots.
pub fn limits() {
    let key = OperatorKey::generate().unwrap();
    for count in ORGANISATIONS {
        let (old, new) = (
            bundle_document(1, 1_000, (count, 10), &key),
            bundle_document(2, 1_001, (count, 10), &key),
        );
        let snapshot = slot_snapshot(350);
        let now = MonotonicTime::from_millis(1_000);
        let own = InstanceId::new("entry-000", 1);
        let build = || {
            let mut table = LimitTable::new(own.clone(), "domain-0".into());
            table.adopt_bundle(old.bundle(), now);
            table.adopt_slots(snapshot.clone(), now);
            table
        };
        print_figure(
            "limits.resident_bytes",
            count,
            resident_bytes_per_value(build),
        );
        let mut table = build();
        let renew = cpu_us_per_call(500, || table.renew_loans(now));
        print_figure("limits.renew_loans_us", count, renew);
        let organisations: Vec<OrganisationId> = (0..count)
            .map(|n| OrganisationId::from(format!("org-{n}")))
            .filter(|id| table.holds_slot(id))
            .collect();
        let mut millis = 10_000_000;
        let mut call = 0;
        let reserve = cpu_us_per_call(20_000, || {
            millis += 10;
            call += 1;
            let now = MonotonicTime::from_millis(millis);
            let id = &organisations[call % organisations.len()];
            let reservation = table.reserve(id, 1, now);
            reservation.map(|reservation| table.settle(reservation, 1, now))
        });
        print_figure("limits.reserve_and_settle_us", count, reserve);
        let clone = cpu_us_per_call(100, || table.clone());
        let adopt = cpu_us_per_call(100, || {
            let mut next = table.clone();
            next.adopt_bundle(new.bundle(), MonotonicTime::from_millis(millis));
        });
        print_figure("limits.adopt_bundle_us", count, (adopt - clone).max(0.0));
    }
    let entry = &slot_snapshot(350).domains["domain-0"];
    let bytes = serde_json::to_vec(entry).unwrap().len();
    print_figure("limits.slot_entry_bytes", 64, bytes as f64);
}

fn slot_snapshot(instances: usize) -> SlotSnapshot {
    let holders = instances / DOMAINS;
    let mut snapshot = SlotSnapshot {
        revision: StoreRevision {
            era: 0,
            revision: 1,
        },
        ..SlotSnapshot::default()
    };
    for domain in 0..DOMAINS {
        let mut entry = DomainSlots::default();
        for slot in SlotIndex::all() {
            let index = usize::from(slot.0) % holders * DOMAINS + domain;
            // Incarnations are random 64-bit numbers.
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

/// Prints the messages and outcomes of loans, from the simulation of `limits_measurement`.
pub fn loans() {
    for instances in [88, 175, 350] {
        let scale = instances as f64 / 350.0;
        let size = Size {
            instances,
            domains: DOMAINS,
            organisations: (1_100.0 * scale) as usize,
            requests_per_s: 4_400.0 * scale,
        };
        let run = Run::new(size, Scheme::Loans, Scenario::Skewed).run();
        let seconds = END_US as f64 / 1e6;
        let messages: u64 = run.instances.iter().map(|entry| entry.messages).sum();
        let mean = messages as f64 / seconds / instances as f64;
        print_figure("loans.messages_per_s", instances, mean);
        let counters = &run.counters;
        let percent = |part: u64, all: u64| 100.0 * part as f64 / all.max(1) as f64;
        let refused_inside_rate = percent(counters.wrongly_refused, counters.requests);
        print_figure(
            "loans.refused_inside_rate_percent",
            instances,
            refused_inside_rate,
        );
        let refused_of_steady = percent(
            counters.wrongly_refused_of_steady,
            counters.requests_of_steady,
        );
        print_figure(
            "loans.refused_of_steady_percent",
            instances,
            refused_of_steady,
        );
        let waited = percent(counters.waited, counters.requests);
        print_figure("loans.waited_percent", instances, waited);
    }
    let request = Body::LoanRequest(LoanRequest {
        organisation: "org-1000".to_owned(),
        domain: "domain-0".to_owned(),
        sequence: 1_000_000,
        rate: 100_000,
        capacity: 1_000_000_000_000,
        level: 330_000_000_000,
        duration_ms: 3_000,
        transfer: false,
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
    print_figure("loans.message_bytes", 350, mean);
}

/// Prints the memory and CPU time of routing and of the request queue.
pub fn routing() {
    let key = OperatorKey::generate().unwrap();
    for servers in [190, 380, 760] {
        let document = bundle_document(1, 1_000, (10, servers), &key);
        let bundle = document.bundle();
        let now = MonotonicTime::from_millis(1_000);
        let view = || {
            let mut view = LoadView::default();
            for (name, server) in &bundle.backends {
                assert!(matches!(server.kind, BackendKind::ModelEngine { .. }));
                let key = LoadKey::Backend(name.as_str().into());
                view.record_report(
                    key,
                    load_report(name.as_str()),
                    Duration::from_millis(500),
                    now,
                );
            }
            view
        };
        print_figure(
            "routing.view_bytes",
            servers,
            resident_bytes_per_value(view),
        );
        let prefixes = || {
            let mut map = PrefixMap::default();
            for (index, name) in bundle.backends.keys().enumerate() {
                map.apply(name, &stored_prefix_events(index as u64));
            }
            map
        };
        print_figure(
            "routing.prefix_map_bytes",
            servers,
            resident_bytes_per_value(prefixes),
        );
        let (view, prefixes, grants) = (view(), prefixes(), RoutingGrants::default());
        let location = RoutingLocation {
            region: "region-0".into(),
            domain: "domain-0".into(),
        };
        let state = RoutingSnapshot {
            bundle,
            view: &view,
            prefixes: &prefixes,
            grants: &grants,
            location: &location,
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
        let decide = cpu_us_per_call(5_000, || {
            random += 7;
            decide_route(&state, &req, random)
        });
        print_figure("routing.decision_us", servers, decide);
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
        print_figure(
            "queue.resident_bytes",
            waiting,
            resident_bytes_per_value(build),
        );
        let mut queue = build();
        let now = MonotonicTime::from_millis(1_001);
        print_figure(
            "queue.pop_us",
            waiting,
            cpu_us_per_call(500, || queue.pop(now, |_| true).unwrap()),
        );
    }
}

fn stored_prefix_events(engine: u64) -> PrefixEvents {
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

fn load_report(name: &str) -> LoadReport {
    let value = json!({"name": name, "running": 96, "waiting": 4, "slots": 128, "kv_used": 1_000,
        "kv_capacity": 100_000, "prefill_tokens_per_s": 20_000.0, "decode_ms": 20.0,
        "sequence": 100});
    serde_json::from_value(value).unwrap()
}
