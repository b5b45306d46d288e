//! Orders that a running fleet sends to model engines.

mod support;

use std::time::Duration;

use hawthornquay::OrderAudit;
use hawthornquay_decisions::OrderKind;
use hawthornquay_operators::{AuditAction, AuditRecord};
use hawthornquay_standins::{EngineFaults, EngineSettings, PlatformFaults};
use http::StatusCode;
use support::{Caller, Fleet, FleetBuilder};
use tokio::time::Instant;

/// Guards against an engine that never receives the order to load a model which the bundle assigns
/// to it.
#[tokio::test(flavor = "multi_thread")]
async fn missing_model_is_loaded() {
    let engine = EngineSettings {
        models: Vec::new(),
        ..EngineSettings::default()
    };
    let fleet = FleetBuilder::default().engine(engine).start().await;
    let observer = Caller::new(None);
    let end = Instant::now() + Duration::from_secs(20);
    for engine in &fleet.engines {
        while !observer
            .get(engine.address(), "/v1/models")
            .await
            .text()
            .contains("ledger-7b")
        {
            assert!(Instant::now() < end, "the model was not loaded within 20 s");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let caller = Caller::new(Some("key-kolanut"));
    let response = caller.chat(fleet.callers(0), "loaded", 4, false).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
}

/// Guards against a failed read of an engine's models that suppresses orders to it for a minute.
#[tokio::test(flavor = "multi_thread")]
async fn failed_read_of_models_is_retried() {
    let engine = EngineSettings {
        models: Vec::new(),
        ..EngineSettings::default()
    };
    let mut fleet = FleetBuilder::default().engine(engine).prepare().await;
    fleet.engines[0].set_faults(EngineFaults {
        hide_models: true,
        ..EngineFaults::default()
    });
    fleet.start_all(None).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.engines[0].set_faults(EngineFaults::default());
    let observer = Caller::new(None);
    let end = Instant::now() + Duration::from_secs(20);
    let address = fleet.engines[0].address();
    while !observer
        .get(address, "/v1/models")
        .await
        .text()
        .contains("ledger-7b")
    {
        assert!(Instant::now() < end, "the model was not loaded within 20 s");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the keys and audit records whose key is selected by `is_selected`.
async fn audit_records(
    fleet: &Fleet,
    is_selected: impl Fn(&str) -> bool,
) -> Vec<(String, AuditRecord)> {
    let listing = fleet.store_client.list("audit/").await.unwrap();
    let entries = listing.entries.into_iter();
    entries
        .filter(|entry| is_selected(&entry.key))
        .map(|entry| (entry.key, serde_json::from_slice(&entry.value).unwrap()))
        .collect()
}

/// Guards against orders, or changes of the ordering instance, without an audit record.
#[tokio::test(flavor = "multi_thread")]
async fn orders_are_recorded_in_the_audit_trail() {
    let engine = EngineSettings {
        models: Vec::new(),
        ..EngineSettings::default()
    };
    let fleet = FleetBuilder::default().engine(engine).start().await;
    let end = Instant::now() + Duration::from_secs(20);
    for (domain, orderer, engine) in [
        ("lagos-a", "lagos-1", "engine-1"),
        ("kano-a", "kano-1", "engine-2"),
    ] {
        let who = fleet.daemons.iter().flatten().map(|daemon| daemon.node());
        let who = who.map(|node| &node.id);
        let mut who = who.filter(|id| id.name.as_str() == orderer);
        let who = who.next().unwrap().to_string();
        let (fence, sent) = loop {
            let records = audit_records(&fleet, |key| key.contains('-')).await;
            let own = |record: &&(String, AuditRecord)| record.1.who == who;
            let changed =
                records
                    .iter()
                    .filter(own)
                    .find_map(|(key, record)| match &record.action {
                        AuditAction::OrdererChanged {
                            domain: of,
                            instance,
                            fence,
                        } if of.as_str() == domain && instance.as_str() == orderer => {
                            assert_eq!(*key, format!("audit/{fence}-0"));
                            Some(*fence)
                        }
                        _ => None,
                    });
            let sent = records.iter().filter(own).find(|(_, record)| {
                matches!(&record.action, AuditAction::OrderSent { server, .. }
                    if server.as_str() == engine)
            });
            if let (Some(fence), Some(sent)) = (changed, sent) {
                break (fence, sent.clone());
            }
            assert!(
                Instant::now() < end,
                "no records of {domain} within 20 s: {records:?}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        let expected = AuditAction::OrderSent {
            server: engine.into(),
            kind: OrderKind::LoadModel,
            model: "ledger-7b".to_owned(),
            fence,
        };
        assert_eq!(
            sent,
            (
                format!("audit/{fence}-1"),
                AuditRecord {
                    action: expected,
                    ..sent.1.clone()
                }
            )
        );
    }
}

/// Guards against audit records lost in an outage of the store, and against orders that wait for
/// the store.
#[tokio::test(flavor = "multi_thread")]
async fn order_audit_records_are_written_after_an_outage() {
    let fleet = FleetBuilder::default().start().await;
    let daemon = fleet.daemons[0].as_ref().unwrap();
    let audit = OrderAudit::start(daemon.node());
    let order = |model: &str| AuditAction::OrderSent {
        server: "engine-1".into(),
        kind: OrderKind::LoadModel,
        model: model.to_owned(),
        fence: 77_777,
    };
    fleet.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let started = Instant::now();
    audit.record(77_777, 0, order("first"));
    audit.record(77_777, 1, order("second"));
    assert!(started.elapsed() < Duration::from_millis(100));
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.platform.set_faults(PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    });
    let end = Instant::now() + Duration::from_secs(20);
    let records = loop {
        let records = audit_records(&fleet, |key| key.starts_with("audit/77777-")).await;
        if records.len() == 2 {
            break records;
        }
        assert!(Instant::now() < end, "no records within 20 s: {records:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    for (index, model) in ["first", "second"].iter().enumerate() {
        assert_eq!(records[index].0, format!("audit/77777-{index}"));
        assert_eq!(records[index].1.action, order(model));
        assert_eq!(records[index].1.who, daemon.node().id.to_string());
    }
}
