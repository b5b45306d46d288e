//! Orders to model engines through a running fleet.

mod support;

use std::time::Duration;

use hawthornquay_standins::EngineSettings;
use http::StatusCode;
use support::{Caller, FleetBuilder};
use tokio::time::Instant;

/// Guards against an engine that is named for a model in the bundle and never told to load it.
#[tokio::test(flavor = "multi_thread")]
async fn run_orders_missing_model_is_loaded() {
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
            assert!(Instant::now() < end, "no order within 20 s");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    let caller = Caller::new(Some("key-kolanut"));
    let answer = caller.chat(fleet.callers(0), "loaded", 4, false).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
}
