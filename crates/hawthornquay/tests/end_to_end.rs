//! End-to-end requests through instances, platform and backend servers, over TCP.

mod support;

use std::time::Duration;

use http::StatusCode;
use serde_json::Value;
use support::{Caller, FleetBuilder, wait_until};
use tokio::time::Instant;

/// Guards against a response that belongs to another request: buffered or streamed, local or
/// forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn chat_response_belongs_to_its_request() {
    let fleet = FleetBuilder::default().start().await;
    let caller = Caller::new(Some("key-kolanut"));
    for instance in 0..3 {
        for stream in [false, true] {
            let nonce = format!("n{instance}{stream}");
            let response = caller
                .chat(fleet.callers(instance), &nonce, 8, stream)
                .await;
            assert_eq!(response.status, StatusCode::OK, "{}", response.text());
            assert!(response.text().contains(&nonce), "{}", response.text());
        }
    }
}

/// Guards against a service call that does not reach a server in another failure domain, or runs
/// twice.
#[tokio::test(flavor = "multi_thread")]
async fn service_call_from_each_domain_runs_once() {
    let fleet = FleetBuilder::default().start().await;
    let caller = Caller::new(Some("key-kolanut"));
    for instance in 0..3 {
        let key = format!("payment-{instance}");
        let response = caller.book(fleet.callers(instance), Some(&key), "a").await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        let again = caller
            .book(fleet.callers((instance + 1) % 3), Some(&key), "a")
            .await;
        assert_eq!(again.code(), "already-claimed");
        assert_eq!(again.execution(), "ran");
        let runs = fleet.service.runs();
        assert_eq!(runs.get(&response.request_id()), Some(&1));
        assert_eq!(runs.get(&again.request_id()), None);
    }
}

/// Guards against admitting unknown keys, or keys of organisations whose residency excludes the
/// region.
#[tokio::test(flavor = "multi_thread")]
async fn admission_wrong_key_or_region_is_refused() {
    let fleet = FleetBuilder::default().start().await;
    let unknown = Caller::new(Some("key-unknown"))
        .chat(fleet.callers(0), "n", 4, false)
        .await;
    assert_eq!(
        (unknown.status, unknown.execution().as_str()),
        (StatusCode::UNAUTHORIZED, "not-run")
    );
    let caller = Caller::new(Some("key-homebound"));
    let refused = caller.chat(fleet.callers(2), "n", 4, false).await;
    assert_eq!(refused.code(), "residency-refused");
    assert!(
        refused.text().contains(&fleet.callers(0).to_string()),
        "{}",
        refused.text()
    );
    let allowed = caller.chat(fleet.callers(0), "n", 4, false).await;
    assert_eq!(allowed.status, StatusCode::OK, "{}", allowed.text());
}

/// Guards against the outcome of a request that is missing, or is shown to another organisation.
#[tokio::test(flavor = "multi_thread")]
async fn outcome_is_shown_only_to_its_organisation() {
    let fleet = FleetBuilder::default().start().await;
    let caller = Caller::new(Some("key-kolanut"));
    let response = caller.chat(fleet.callers(0), "n", 4, false).await;
    let path = format!("/v1/requests/{}", response.request_id());
    let node = fleet.node(0);
    wait_until(Duration::from_secs(5), "end of the request", || {
        node.drain.in_flight() == 0
    })
    .await;
    let outcome = caller.get(fleet.callers(0), &path).await.json();
    assert_eq!(outcome["execution"], Value::from("ran"));
    assert_eq!(outcome["finished"], Value::from(true));
    let other = Caller::new(Some("key-homebound"))
        .get(fleet.callers(0), &path)
        .await;
    assert_eq!(other.code(), "request-unknown");
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        let elsewhere = caller.get(fleet.callers(1), &path).await;
        let text = elsewhere.text();
        if text.contains(&fleet.callers(0).to_string()) {
            return;
        }
        // Before it has read the instance list, an instance must not report that another has ended.
        assert!(!text.contains("has ended"), "{text}");
        assert!(Instant::now() < end, "{text}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an instance list with instances outside the residency of the organisation.
#[tokio::test(flavor = "multi_thread")]
async fn instance_list_respects_residency() {
    let fleet = FleetBuilder::default().start().await;
    let all = Caller::new(Some("key-kolanut"))
        .get(fleet.callers(0), "/v1/instances")
        .await
        .json();
    assert_eq!(all["instances"].as_array().map(Vec::len), Some(3));
    let homebound = Caller::new(Some("key-homebound"))
        .get(fleet.callers(2), "/v1/instances")
        .await
        .json();
    let names: Vec<&str> = homebound["instances"]
        .as_array()
        .unwrap()
        .iter()
        .map(|entry| entry["region"].as_str().unwrap())
        .collect();
    assert_eq!(names, ["lagos", "lagos"]);
}

/// Guards against entries of the client directory that lack instances.
#[tokio::test(flavor = "multi_thread")]
async fn directory_entry_of_each_region_lists_all_instances() {
    let fleet = FleetBuilder::default().start().await;
    let end = Instant::now() + Duration::from_secs(15);
    for region in ["lagos", "kano"] {
        wait_for_complete_entry(&fleet, region, end).await;
    }
}

/// Guards against a directory entry that stays incomplete for a minute: at the start, a second
/// instance that has not seen the first one overwrites the first one's entry.
#[tokio::test(flavor = "multi_thread")]
async fn directory_entry_overwritten_by_another_instance_is_restored() {
    let fleet = FleetBuilder::default().start().await;
    let end = Instant::now() + Duration::from_secs(15);
    wait_for_complete_entry(&fleet, "lagos", end).await;
    let client = &fleet.store_client;
    let name = "hawthornquay-lagos";
    let mut entry: Value =
        serde_json::from_slice(&client.read_directory(name).await.unwrap()).unwrap();
    entry["instances"].as_array_mut().unwrap().remove(0);
    client
        .write_directory(name, entry.to_string().into())
        .await
        .unwrap();
    let end = Instant::now() + Duration::from_secs(15);
    wait_for_complete_entry(&fleet, "lagos", end).await;
}

async fn wait_for_complete_entry(fleet: &support::Fleet, region: &str, end: Instant) {
    let name = format!("hawthornquay-{region}");
    loop {
        let entry = fleet
            .store_client
            .read_directory(&name)
            .await
            .unwrap_or_default();
        let list: Value = serde_json::from_slice(&entry).unwrap_or_default();
        if list["instances"]
            .as_array()
            .is_some_and(|entries| entries.len() == 3)
        {
            return;
        }
        assert!(
            Instant::now() < end,
            "no complete directory entry of {region} within 15 s"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
