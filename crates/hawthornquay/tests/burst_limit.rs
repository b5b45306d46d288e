//! Guards against requests over the burst that are told to wait, although no wait admits them.

mod support;

use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use serde_json::Value;
use support::{Caller, FleetBuilder, wait_until};

fn assert_refused(status: StatusCode, headers: &HeaderMap, body: &Value, parts: &[&str]) {
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS, "{body}");
    assert_eq!(body["error"]["code"], "limit-exceeded");
    assert_eq!(body["error"]["execution"], "not-run");
    assert!(!headers.contains_key("retry-after"), "{headers:?}");
    let message = body["error"]["message"].to_string();
    for part in parts {
        assert!(message.contains(part), "{part}: {message}");
    }
}

/// Guards against a caller who tries a request again that can never be admitted, and against a
/// refusal of one that needs the burst exactly.
#[tokio::test(flavor = "multi_thread")]
async fn complete_over_the_burst_is_refused_for_good() {
    let fleet = FleetBuilder::default().limit(100_000, 1_000).start().await;
    let caller = Caller::new(Some("key-kolanut"));
    // The prompt of the test's caller has 28 bytes, so it counts as 7 tokens.
    for instance in 0..3 {
        let answer = caller.chat(fleet.callers(instance), "n", 994, false).await;
        let parts = [
            "1001 tokens",
            "burst is 1000",
            "lower `max_tokens` or raise the burst",
        ];
        assert_refused(answer.status, &answer.headers, &answer.json(), &parts);
    }
    let answer = caller.chat(fleet.callers(0), "n", 993, false).await;
    let retry = answer.headers.contains_key("retry-after");
    assert!(answer.status == StatusCode::OK || retry, "{answer:?}");
}

/// Guards against a claim or run of a call that costs more than the caller's burst. A bundle may
/// have an open route that only the organisation which it names can pay for.
#[tokio::test(flavor = "multi_thread")]
async fn call_service_over_the_burst_is_refused_for_good() {
    let mut fleet = FleetBuilder::default().limit(100_000, 1_000).start().await;
    for (from, to) in [
        (
            "burst = 1000\nresidency = lagos\n",
            "burst = 500\nresidency = lagos\n",
        ),
        (
            "open = yes\norganisation = kolanut\n",
            "open = yes\norganisation = kolanut\ncost = 600\n",
        ),
    ] {
        assert!(fleet.bundle_text.contains(from), "{from}");
        fleet.bundle_text = fleet.bundle_text.replace(from, to);
    }
    fleet.accept(2).await.unwrap();
    wait_until(Duration::from_secs(10), "bundle 2", || {
        fleet.node(0).bundle.version() == 2
    })
    .await;
    let caller = Caller::new(Some("key-homebound"));
    let call = |headers| {
        let path = "/v1/services/open";
        caller.call(fleet.callers(0), Method::POST, path, headers, "{}")
    };
    // The second call has the same key: a claim that the first left behind would show.
    for _ in 0..2 {
        let answer = call(&[("idempotency-key", "k")]).await;
        let parts = ["600 tokens", "burst is 500", "`cost` or raise the burst"];
        assert_refused(answer.status, &answer.headers, &answer.json(), &parts);
    }
    assert!(fleet.service.runs().is_empty());
}
