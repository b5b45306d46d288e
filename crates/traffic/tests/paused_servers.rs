//! Backend servers that take no requests from this instance for a time.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{RequestContext, at, listing, server, state_warm, table_of_warm, work};
use hawthornquay_decisions::{BackendName, DomainName, ServiceName};
use hawthornquay_traffic::{
    BackendEntry, RampOutcome, ServerFailure, ServerPick, ServerTable, pause_retry_after,
};

const PAUSE: Duration = Duration::from_secs(4);

fn id(name: &str) -> BackendName {
    BackendName::new(name)
}

fn pick(table: &mut ServerTable, ms: u64) -> Option<ServerPick> {
    table.pick(
        at(ms),
        &RequestContext::default().request(&work(1, 100, 100)),
    )
}

fn is_home(domain: &DomainName) -> bool {
    domain.as_str().starts_with("home")
}

fn remaining(table: &ServerTable, ms: u64) -> Option<Duration> {
    table.pause_remaining(at(ms), &ServiceName::new("llm"), is_home)
}

/// Returns a table with one server, which wants no requests for [`PAUSE`] from 0 ms on.
fn paused_table() -> ServerTable {
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    assert!(table.record_pause(at(0), &id("s1"), PAUSE));
    table
}

/// Guards against requests to a server that has asked for a pause, and against a pause without end.
#[test]
fn record_pause_not_picked_until_end() {
    let mut table = paused_table();
    assert!(pick(&mut table, 0).is_none());
    assert!(pick(&mut table, 3_999).is_none());
    assert!(pick(&mut table, 4_000).is_some());
}

/// Guards against a request that was placed before the pause and is sent in it.
#[test]
fn record_pause_after_choice_not_sent() {
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    let chosen = pick(&mut table, 0).unwrap();
    assert!(table.may_send(at(0), &chosen));
    table.record_pause(at(0), &id("s1"), PAUSE);
    assert!(!table.may_send(at(300), &chosen));
}

/// Guards against a later statement that shortens the pause.
#[test]
fn record_pause_shorter_keeps_longer() {
    let mut table = paused_table();
    assert!(!table.record_pause(at(100), &id("s1"), Duration::from_secs(1)));
    assert_eq!(remaining(&table, 1_500), Some(Duration::from_millis(2_500)));
    assert!(!table.record_pause(at(3_000), &id("s1"), PAUSE));
    assert!(pick(&mut table, 6_900).is_none());
}

/// Guards against times that mean no pause or that no time can be reckoned with.
#[test]
fn record_pause_extreme_times_bounded() {
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    assert!(!table.record_pause(at(0), &id("s1"), Duration::ZERO));
    assert!(pick(&mut table, 0).is_some());
    assert!(table.record_pause(at(0), &id("s1"), Duration::MAX));
    assert!(pick(&mut table, 3_600_000).is_none());
    assert!(remaining(&table, 0).unwrap() <= Duration::from_secs(86_400));
}

/// Guards against a response that comes in the pause, to a request sent before, and ends it.
#[test]
fn record_pause_earlier_answer_keeps_pause() {
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    let chosen = pick(&mut table, 0).unwrap();
    table.record_sent(at(0), &chosen, None);
    table.record_pause(at(50), &id("s1"), PAUSE);
    let outcome = RampOutcome::FirstChunk(Duration::from_millis(80));
    table.record_ramp_outcome(at(80), at(0), &chosen, outcome);
    table.record_success(at(80), &id("s1"));
    assert!(pick(&mut table, 100).is_none());
}

/// Guards against all waiting requests at once for a server that has just ended its pause.
#[test]
fn pause_end_few_requests_until_answer() {
    let mut entry = server("s1", "home-a");
    entry.slots = 24;
    let mut table = table_of_warm(&[entry]);
    table.record_pause(at(0), &id("s1"), PAUSE);
    let mut sent = Vec::new();
    while let Some(chosen) = pick(&mut table, 4_000) {
        table.record_sent(at(4_000), &chosen, None);
        sent.push(chosen);
        assert!(sent.len() <= 3, "an eighth of the slots");
    }
    assert_eq!(sent.len(), 3);
    let outcome = RampOutcome::FirstChunk(Duration::from_millis(10));
    table.record_first_byte(&sent[0], Some(Duration::from_millis(10)));
    table.record_ramp_outcome(at(4_010), at(4_000), &sent[0], outcome);
    assert!(pick(&mut table, 4_020).is_some());
}

/// Guards against a pause that is forgotten with the server's entry, which goes and comes back while the
/// same process runs.
#[test]
fn pause_entry_back_still_paused() {
    let mut table = paused_table();
    table.apply_listing(at(500), at(500), &listing(2, &[]));
    table.apply_listing(at(1_500), at(1_500), &listing(3, &[server("s1", "home-a")]));
    assert!(pick(&mut table, 3_900).is_none());
    // Another process answered at its address for a moment.
    table.remove_replaced(at(1_600), &id("s1"));
    table.apply_listing(at(1_700), at(1_700), &listing(4, &[server("s1", "home-a")]));
    assert!(pick(&mut table, 3_900).is_none());
    assert!(pick(&mut table, 10_000).is_some());
}

/// Guards against a pause that is stated while the server's entry is gone and is lost.
#[test]
fn pause_stated_without_entry_kept() {
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    table.apply_listing(at(500), at(500), &listing(2, &[]));
    assert!(table.record_pause(at(600), &id("s1"), PAUSE));
    table.apply_listing(at(900), at(900), &listing(3, &[server("s1", "home-a")]));
    assert!(pick(&mut table, 4_500).is_none());
    assert!(!table.record_pause(at(900), &id("unknown"), PAUSE));
}

/// Guards against a pause that outlasts the process that asked for it.
#[test]
fn pause_restarted_server_picked() {
    let mut table = paused_table();
    let restarted = BackendEntry {
        started_ms: 2,
        ..server("s1", "home-a")
    };
    table.apply_listing(
        at(500),
        at(500),
        &listing(2, std::slice::from_ref(&restarted)),
    );
    state_warm(&mut table, &restarted, at(600));
    assert!(!table.is_paused(at(700), &id("s1")));
    assert!(pick(&mut table, 3_900).is_some());
}

/// Guards against questions to a paused server whether it is cold.
#[test]
fn pause_failed_connection_not_asked() {
    let mut table = paused_table();
    let configuration = RequestContext::default().configuration;
    table.record_failure(
        at(100),
        &id("s1"),
        ServerFailure::Interrupted,
        &configuration,
    );
    assert!(table.servers_to_ask(at(100), true, is_home).is_empty());
    assert_eq!(table.servers_to_ask(at(4_000), true, is_home).len(), 1);
}

/// Guards against a region that counts as full for all others because the instance that reports for it is the
/// one whose requests a server does not take.
#[test]
fn pause_server_still_reported() {
    let table = paused_table();
    assert_eq!(table.service_reports(at(100), is_home).len(), 1);
}

/// Guards against a time that is stated to callers although a server takes requests before.
#[test]
fn pause_remaining_only_if_all_paused() {
    let mut table = table_of_warm(&[server("s1", "home-a"), server("s2", "home-a")]);
    assert_eq!(remaining(&table, 0), None);
    table.record_pause(at(0), &id("s1"), PAUSE);
    assert_eq!(remaining(&table, 0), None);
    table.record_pause(at(0), &id("s2"), Duration::from_secs(2));
    assert_eq!(remaining(&table, 500), Some(Duration::from_millis(1_500)));
    assert_eq!(remaining(&table, 2_500), None);
}

/// Guards against returns before the pause ends, and against all of them in the second in which it does.
#[test]
fn pause_retry_after_spread_after_end() {
    for pause in [PAUSE, Duration::from_secs(60)] {
        let delays: Vec<Duration> = (0..1_000)
            .map(|number| pause_retry_after(pause, &format!("r{number}")))
            .collect();
        assert!(delays.iter().all(|delay| *delay >= pause));
        let tenths: BTreeSet<u128> = delays
            .iter()
            .map(|delay| (*delay - pause).as_millis() / 200)
            .collect();
        assert!(tenths.len() >= 10, "{tenths:?}");
    }
}
