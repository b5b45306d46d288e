//! Load of requests that are shorter than elsewhere: the wait for a slot must be predicted from
//! the requests that an engine really runs.

mod common;

use std::time::Duration;

use common::{RequestContext, TARGET_LATENCY, at, listing, server, work};
use hawthornquay_decisions::{BackendName, InstanceName};
use hawthornquay_traffic::{BackendEntry, ReportedLoad, ServerPick, ServerTable, ServerUsage};

const SLOTS: u32 = 12;

/// Returns the pick at an engine with `running` requests, after 200 requests that each occupied a
/// slot for `slot_ms`.
fn pick_after(slot_ms: u64, running: u32) -> ServerPick {
    let context = RequestContext {
        region_instances: vec![InstanceName::new("i1"), InstanceName::new("i2")],
        ..RequestContext::default()
    };
    let entry = BackendEntry {
        slots: SLOTS,
        ..server("s1", "home-a")
    };
    let id = BackendName::new("s1");
    let mut table = ServerTable::default();
    table.apply_listing(at(0), at(0), &listing(1, &[entry]));
    table.configure(&context.configuration);
    for _ in 0..200 {
        table.record_end(&id, Some(Duration::from_millis(slot_ms)));
    }
    let usage = ServerUsage {
        id,
        requests: running,
        pending_tokens: 0,
    };
    table.apply_peer_usage(at(0), 1, &[usage]);
    let work = work(1, 90, 290);
    table.pick(at(0), &context.request(&work)).unwrap()
}

/// Guards against refusing requests that would be in time: with 12 slots and requests of 250 ms, a
/// slot becomes free every 21 ms, so that 20 waiting requests take 0.4 s and not 2.5 s.
#[test]
fn pick_behind_short_requests_expects_short_wait() {
    let pick = pick_after(250, 32);
    let wait = pick.expected_latency;
    assert!(wait > Duration::from_millis(350), "{wait:?}");
    assert!(wait < Duration::from_millis(600), "{wait:?}");
}

/// Guards against admitting requests behind long ones that they have to wait for.
#[test]
fn pick_behind_long_requests_expects_long_wait() {
    let pick = pick_after(3_000, 32);
    assert!(pick.expected_latency > Duration::from_secs(4), "{pick:?}");
}

/// Guards against requests to engines whose queues are full: they are rejected, and use up the
/// retry budget of the service.
#[test]
fn pick_leaves_out_engine_that_rejects_at_its_level() {
    let context = RequestContext {
        region_instances: vec![InstanceName::new("i1"), InstanceName::new("i2")],
        ..RequestContext::default()
    };
    let entry = |id: &str| BackendEntry {
        slots: SLOTS,
        ..server(id, "home-a")
    };
    let mut table = ServerTable::default();
    let entries = [entry("s1"), entry("s2")];
    table.apply_listing(at(0), at(0), &listing(1, &entries));
    table.configure(&context.configuration);
    let full = ReportedLoad {
        running: SLOTS,
        waiting: 36,
        slots: SLOTS,
        pace: None,
    };
    let s1 = BackendName::new("s1");
    table.record_load_report(at(0), &s1, full);
    table.record_admission(&s1, false);
    let usage = |id: &str, requests| ServerUsage {
        id: BackendName::new(id),
        requests,
        pending_tokens: 0,
    };
    let work = work(1, 90, 290);
    let mut pick = |s1, s2| {
        table.apply_peer_usage(at(1_000), 1, &[usage("s1", s1), usage("s2", s2)]);
        table.pick(at(1_000), &context.request(&work)).unwrap()
    };
    assert_eq!(pick(47, 60).id.as_str(), "s1", "one place is left");
    assert_eq!(pick(48, 47).id.as_str(), "s2", "the other has a place");
    let full = pick(50, 49).expected_latency;
    assert!(full >= TARGET_LATENCY, "no engine has a place: {full:?}");
}
