//! Limits that backend servers state, and the permits of single instances.

mod common;

use std::time::Duration;

use common::{RequestContext, at, listing, server, table_of_warm, work};
use hawthornquay_decisions::{BackendName, DomainName, InstanceName, ServiceName};
use hawthornquay_traffic::{
    BackendEntry, LimitStatement, PermitDecision, ServerLimit, ServerTable, granting_instances,
};

fn id() -> BackendName {
    BackendName::new("s1")
}

fn stated(table: &ServerTable, ms: u64) -> Option<f64> {
    table.limit(at(ms), &id()).unwrap().per_s
}

/// Returns the limit as another instance reports it, stated at `ms`.
fn reported(per_s: Option<f64>, ms: u64) -> ServerLimit {
    ServerLimit {
        id: id(),
        started_ms: 1,
        per_s,
        stated_at: at(ms),
        is_spent: false,
    }
}

/// Returns a table of the only instance of a region, which knows the limit since `ms`.
fn limited_table(ms: u64, per_s: f64) -> ServerTable {
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    assert!(table.record_limit(at(ms), at(ms), &id(), LimitStatement::PerSecond(per_s)));
    table
}

/// Guards against a limit that stays in force once the server no longer states it.
#[test]
fn record_limit_later_answer_without_ends_limit() {
    let mut table = limited_table(1_000, 8.3);
    assert_eq!(stated(&table, 1_000), Some(8.3));
    assert!(table.record_limit(at(1_030), at(1_010), &id(), LimitStatement::Unlimited));
    assert_eq!(stated(&table, 1_030), None);
    assert!(!table.record_limit(at(1_050), at(1_040), &id(), LimitStatement::Unlimited));
}

/// Guards against an answer on its way that ends a limit that the server has stated meanwhile.
#[test]
fn record_limit_late_answer_without_keeps_limit() {
    let mut table = limited_table(1_000, 8.3);
    assert!(!table.record_limit(at(1_400), at(900), &id(), LimitStatement::Unlimited));
    assert_eq!(stated(&table, 1_400), Some(8.3));
}

/// Guards against an answer on its way, sent before the server stated its limit to another instance,
/// after which the report of that instance is taken for an older one.
#[test]
fn apply_limit_after_late_answer_without_counts() {
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    table.record_limit(at(1_100), at(900), &id(), LimitStatement::Unlimited);
    table.apply_limit(at(1_200), &reported(Some(8.3), 1_000));
    assert_eq!(stated(&table, 1_200), Some(8.3));
}

/// Guards against a garbled header that ends a limit.
#[test]
fn record_limit_malformed_keeps_limit() {
    let mut table = limited_table(1_000, 8.3);
    assert!(!table.record_limit(at(1_400), at(1_300), &id(), LimitStatement::Unstated));
    assert_eq!(stated(&table, 1_400), Some(8.3));
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    assert!(!table.record_limit(at(1_400), at(1_300), &id(), LimitStatement::Unstated));
    assert_eq!(stated(&table, 1_400), None);
}

/// Guards against a failure when an answer arrives of a server that has been removed.
#[test]
fn record_limit_unknown_server_is_ignored() {
    let mut table = table_of_warm(&[]);
    assert!(!table.record_limit(at(10), at(5), &id(), LimitStatement::PerSecond(1.0)));
    assert_eq!(table.limit(at(10), &id()), None);
    assert!(table.limits_to_report(at(10)).is_empty());
    let (name, listed) = (InstanceName::new("i1"), [InstanceName::new("i1")]);
    let decision = table.grant_permit(at(10), (&id(), 1), &name, &listed);
    assert!(matches!(decision, PermitDecision::Denied(_)));
}

/// Guards against the limit of a former process that is kept for the new one.
#[test]
fn apply_listing_new_process_has_no_limit() {
    let mut table = limited_table(1_000, 8.3);
    let mut restarted = server("s1", "home-a");
    restarted.started_ms = 2;
    table.apply_listing(at(2_000), at(2_000), &listing(2, &[restarted]));
    assert_eq!(stated(&table, 2_000), None);
    assert!(table.limits_to_report(at(2_000)).is_empty());
    table.apply_limit(at(2_100), &reported(Some(8.3), 2_050));
    assert_eq!(stated(&table, 2_100), None);
}

/// Guards against a new entry of the same process that removes its limit.
#[test]
fn apply_listing_same_process_keeps_limit() {
    let mut table = limited_table(1_000, 8.3);
    let mut entry = server("s1", "home-a");
    entry.slots = 50;
    table.apply_listing(at(2_000), at(2_000), &listing(2, &[entry]));
    assert_eq!(stated(&table, 2_000), Some(8.3));
}

/// Guards against an instance that learns of a limit only from its own answers, and against an old
/// report that ends or changes it.
#[test]
fn apply_limit_newest_statement_counts() {
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    table.apply_limit(at(1_000), &reported(Some(8.3), 990));
    assert_eq!(stated(&table, 1_000), Some(8.3));
    table.apply_limit(at(1_100), &reported(None, 900));
    table.apply_limit(at(1_100), &reported(Some(20.0), 980));
    assert_eq!(stated(&table, 1_100), Some(8.3));
    table.apply_limit(at(1_200), &reported(Some(4.0), 1_150));
    assert_eq!(stated(&table, 1_200), Some(4.0));
    table.apply_limit(at(1_300), &reported(None, 1_250));
    assert_eq!(stated(&table, 1_300), None);
    let unknown = ServerLimit {
        id: BackendName::new("s2"),
        ..reported(Some(1.0), 1_350)
    };
    table.apply_limit(at(1_400), &unknown);
    assert_eq!(table.limit(at(1_400), &BackendName::new("s2")), None);
}

/// Guards against changes that the other instances are not told of, and against reports without end.
#[test]
fn limits_to_report_changes_are_reported_for_a_second() {
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    assert!(table.limits_to_report(at(900)).is_empty());
    table.record_limit(at(1_000), at(990), &id(), LimitStatement::PerSecond(8.0));
    let found = table.limits_to_report(at(1_900));
    assert_eq!(found, [reported(Some(8.0), 1_000)]);
    table.record_limit(at(1_950), at(1_940), &id(), LimitStatement::PerSecond(8.1));
    assert!(table.limits_to_report(at(2_100)).is_empty());
    table.record_limit(at(3_000), at(2_990), &id(), LimitStatement::PerSecond(4.0));
    assert_eq!(
        table.limits_to_report(at(3_100)),
        [reported(Some(4.0), 3_000)]
    );
    table.record_limit(at(5_000), at(4_990), &id(), LimitStatement::Unlimited);
    assert_eq!(table.limits_to_report(at(5_100)), [reported(None, 4_990)]);
    assert!(table.limits_to_report(at(6_100)).is_empty());
}

/// Guards against any instance that grants requests to itself, and against a delay that is longer than
/// the time until the next request may be sent.
#[test]
fn grant_permit_by_rank() {
    let names: Vec<InstanceName> = (0..6)
        .map(|n| InstanceName::new(&format!("i{n}")))
        .collect();
    let ranked = granting_instances(&id(), &names);
    assert_eq!(ranked.len(), 2);
    for name in &names {
        let mut table = limited_table(1_000, 8.0);
        let first = table.grant_permit(at(1_000), (&id(), 1), name, &names);
        let PermitDecision::Denied(after) = first else {
            panic!("{first:?}");
        };
        let later = table.grant_permit(at(1_000) + after, (&id(), 1), name, &names);
        match ranked.iter().position(|one| *one == name) {
            Some(rank) => {
                assert!(
                    after <= Duration::from_millis([125, 500][rank]),
                    "{after:?}"
                );
                assert_eq!(later, PermitDecision::Granted, "{name}");
            }
            None => assert!(matches!(later, PermitDecision::Denied(_)), "{name}"),
        }
    }
}

/// Guards against a granting instance that knows no limit and denies the request.
#[test]
fn grant_permit_without_limit_is_unlimited() {
    let names = [InstanceName::new("i1")];
    let mut table = table_of_warm(&[server("s1", "home-a")]);
    let decision = table.grant_permit(at(10), (&id(), 1), &names[0], &names);
    assert_eq!(decision, PermitDecision::Unlimited);
}

/// Guards against requests that ask again before the time that a denial states.
#[test]
fn pick_after_denial_leaves_server_out() {
    let work = work(1, 100, 100);
    let context = RequestContext {
        region_instances: vec![InstanceName::new("i1"), InstanceName::new("i2")],
        ..RequestContext::default()
    };
    let mut table = limited_table(1_000, 8.3);
    let pick = table.pick(at(1_000), &context.request(&work)).unwrap();
    assert!(pick.is_limited);
    table.record_denial(at(1_000), &id(), Duration::from_millis(120));
    assert!(table.pick(at(1_119), &context.request(&work)).is_none());
    assert!(table.pick(at(1_120), &context.request(&work)).is_some());

    table.record_denial(at(2_000), &id(), Duration::from_millis(500));
    table.record_limit(at(2_100), at(2_050), &id(), LimitStatement::Unlimited);
    let pick = table.pick(at(2_100), &context.request(&work)).unwrap();
    assert!(!pick.is_limited);
}

/// Guards against a request that asks other instances without end. An instance that grants the
/// requests itself needs to ask no other.
#[test]
fn pick_may_not_ask_leaves_out_servers_of_other_granting_instances() {
    let names: Vec<InstanceName> = (0..5)
        .map(|n| InstanceName::new(&format!("i{n}")))
        .collect();
    let work = work(1, 100, 100);
    let first = granting_instances(&id(), &names)[0];
    for name in &names {
        let mut context = RequestContext {
            instance: name.clone(),
            region_instances: names.clone(),
            ..RequestContext::default()
        };
        let mut table = limited_table(1_000, 8.3);
        assert!(table.pick(at(1_100), &context.request(&work)).is_some());
        context.may_ask_permits = false;
        let pick = table.pick(at(1_200), &context.request(&work));
        assert_eq!(pick.is_some(), name == first, "{name}");
        let mut table = table_of_warm(&[server("s1", "home-a")]);
        let pick = table.pick(at(1_200), &context.request(&work));
        assert!(pick.is_some(), "{name} without a limit");
    }
}

/// Guards against a limited server that keeps requests from the other servers of the service.
#[test]
fn pick_denied_server_others_are_picked() {
    let work = work(1, 100, 100);
    let context = RequestContext::default();
    let mut table = table_of_warm(&[server("s1", "home-a"), server("s2", "home-a")]);
    table.record_limit(at(1_000), at(1_000), &id(), LimitStatement::PerSecond(1.0));
    table.record_denial(at(1_000), &id(), Duration::from_secs(1));
    for ms in (1_000..2_000).step_by(100) {
        let pick = table.pick(at(ms), &context.request(&work)).unwrap();
        assert_eq!(pick.id, BackendName::new("s2"));
    }
}

/// Guards against other regions that send requests to a region whose servers take none.
#[test]
fn service_reports_servers_without_rest_are_left_out() {
    let is_local = |domain: &DomainName| domain.as_str().starts_with("home");
    let servers = |table: &ServerTable, ms: u64| {
        let reports = table.service_reports(at(ms), is_local);
        reports
            .get(&ServiceName::new("llm"))
            .map_or(0, |report| report.servers)
    };
    let entries = [server("s1", "home-a"), server("s2", "home-a")];
    let names = [InstanceName::new("i1")];

    // The instance grants the requests itself.
    let mut table = table_of_warm(&entries);
    assert_eq!(servers(&table, 900), 2);
    table.record_limit(at(1_000), at(1_000), &id(), LimitStatement::PerSecond(2.0));
    assert_eq!(servers(&table, 1_000), 2);
    table.grant_permit(at(1_000), (&id(), 1), &names[0], &names);
    assert_eq!(servers(&table, 1_400), 1);
    assert!(table.limits_to_report(at(2_400)).is_empty());
    assert_eq!(servers(&table, 1_600), 2);
    let decision = table.grant_permit(at(1_600), (&id(), 1), &names[0], &names);
    assert_eq!(decision, PermitDecision::Granted);
    assert_eq!(servers(&table, 1_700), 1);

    // Another instance denied a permit.
    let mut table = table_of_warm(&entries);
    table.record_limit(at(1_000), at(1_000), &id(), LimitStatement::PerSecond(2.0));
    table.record_denial(at(1_000), &id(), Duration::from_millis(300));
    assert_eq!(servers(&table, 1_200), 1);
    assert_eq!(servers(&table, 1_300), 2);

    // Another instance reported that nothing is left.
    let spent = ServerLimit {
        is_spent: true,
        ..reported(Some(2.0), 1_900)
    };
    table.apply_limit(at(2_000), &spent);
    assert_eq!(servers(&table, 2_300), 1);
    assert_eq!(servers(&table, 2_800), 2);

    // The limit ends.
    table.apply_limit(
        at(3_000),
        &ServerLimit {
            stated_at: at(2_900),
            ..spent
        },
    );
    assert_eq!(servers(&table, 3_050), 1);
    table.record_limit(at(3_100), at(3_090), &id(), LimitStatement::Unlimited);
    assert_eq!(servers(&table, 3_100), 2);
}

/// Guards against a limit that is forgotten with the server's entry, which goes and comes back while the
/// same process runs: until its next answer, each instance sent it all requests without a permit.
#[test]
fn limit_entry_back_still_in_force() {
    let mut table = limited_table(1_000, 1.0);
    let entry = server("s1", "home-a");
    table.apply_listing(at(5_000), at(5_000), &listing(2, &[]));
    table.apply_listing(
        at(90_000),
        at(90_000),
        &listing(3, std::slice::from_ref(&entry)),
    );
    assert_eq!(stated(&table, 90_000), Some(1.0));
    // Another process answered at its address for a moment.
    table.remove_replaced(at(91_000), &id());
    table.apply_listing(
        at(92_000),
        at(92_000),
        &listing(4, std::slice::from_ref(&entry)),
    );
    assert_eq!(stated(&table, 92_000), Some(1.0));
    let restarted = BackendEntry {
        started_ms: 2,
        ..entry
    };
    table.apply_listing(at(93_000), at(93_000), &listing(5, &[restarted]));
    assert_eq!(stated(&table, 93_000), None);
}

/// Guards against a statement that is lost because it comes while the server's entry is away.
#[test]
fn limit_stated_without_entry_kept() {
    let mut table = limited_table(1_000, 8.0);
    let entry = server("s1", "home-a");
    table.apply_listing(at(2_000), at(2_000), &listing(2, &[]));
    table.record_limit(at(2_100), at(2_100), &id(), LimitStatement::PerSecond(2.0));
    table.apply_listing(
        at(3_000),
        at(3_000),
        &listing(3, std::slice::from_ref(&entry)),
    );
    assert_eq!(stated(&table, 3_000), Some(2.0));
    table.apply_listing(at(4_000), at(4_000), &listing(4, &[]));
    table.apply_limit(at(4_500), &reported(None, 4_400));
    table.apply_listing(at(5_000), at(5_000), &listing(5, &[entry]));
    assert_eq!(stated(&table, 5_000), None);
}
