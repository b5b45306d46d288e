//! Tests of the stand-in for a plain service.

mod common;

use std::time::Duration;

use common::{any_port, call, eventually, get, send};
use hawthornquay_standins::{AfterRun, PlainService, ServiceFaults};
use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::time::timeout;

/// Time without a response after which a service counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Guards against run counts that do not show that a request ran twice.
#[tokio::test]
async fn runs_are_counted_by_request_id() {
    let service = PlainService::start(any_port(), "bookings").await.unwrap();
    for (id, runs) in [("a", 1), ("b", 1), ("a", 2)] {
        let headers = [("x-request-id", id), ("authorization", "Bearer secret")];
        let body = r#"{"nonce":"n7"}"#;
        let (status, value) = call(service.address(), "POST", "/book/truck", &headers, body).await;
        assert_eq!(status, StatusCode::OK);
        assert_eq!(
            value,
            json!({"request_id": id, "nonce": "n7", "runs": runs})
        );
    }
    assert_eq!(
        get(service.address(), "/runs").await,
        json!({"a": 2, "b": 1})
    );
    assert_eq!(service.keys_seen(), 3);
}

/// Guards against an injected fault that prevents the run instead of affecting only the response,
/// and against a refused request that is counted as a run.
#[tokio::test]
async fn faults_affect_the_response_after_the_run() {
    let service = PlainService::start(any_port(), "bookings").await.unwrap();
    let cases = [
        (AfterRun::Answer, false, "answered", 1),
        (AfterRun::Fail, false, "failed", 1),
        (AfterRun::Break, false, "broken", 1),
        (AfterRun::Silent, false, "silent", 1),
        (AfterRun::Answer, true, "refused", 0),
    ];
    for (after_run, leaving, expected, runs) in cases {
        service.set_faults(ServiceFaults {
            after_run,
            leaving,
            delay_ms: 0,
        });
        let headers = [("x-request-id", expected)];
        let exchange = async {
            let res = send(service.address(), "POST", "/book", &headers, "{}").await?;
            let status = res.status();
            Ok::<_, Box<dyn std::error::Error>>((status, res.into_body().collect().await))
        };
        let seen = match timeout(SILENCE_TIMEOUT, exchange).await {
            Err(_) => "silent",
            Ok(Err(_) | Ok((_, Err(_)))) => "broken",
            Ok(Ok((StatusCode::OK, _))) => "answered",
            Ok(Ok((StatusCode::SERVICE_UNAVAILABLE, _))) => "refused",
            Ok(Ok(_)) => "failed",
        };
        assert_eq!(seen, expected);
        assert_eq!(
            service.runs().get(expected).copied().unwrap_or(0),
            runs,
            "{expected}"
        );
    }
    eventually("no request is running", async || {
        get(service.address(), "/load").await["running"] == 0
    })
    .await;
}

/// Guards against a delay before the run: a request whose client left would then not be counted.
#[tokio::test]
async fn delay_takes_place_after_the_run() {
    let service = PlainService::start(any_port(), "bookings").await.unwrap();
    let faults = json!({"delay_ms": 3_600_000}).to_string();
    call(service.address(), "POST", "/admin/faults", &[], faults).await;
    let address = service.address();
    let headers = [("x-request-id", "slow")];
    let waiting = tokio::spawn(async move { send(address, "POST", "/", &headers, "").await });
    eventually("the request was run", async || {
        service.runs().get("slow") == Some(&1)
    })
    .await;
    waiting.abort();
    eventually(
        "the request ended after the client disconnected",
        async || get(address, "/load").await["running"] == 0,
    )
    .await;
}
