//! Guards against a `Retry-After` for requests whose cost exceeds the burst: no wait admits them.

mod support;

use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use serde_json::Value;
use support::{Caller, FleetBuilder, wait_until};

/// Asserts a refusal without `Retry-After`, whose message contains `parts`.
fn assert_refused_without_retry(
    status: StatusCode,
    headers: &HeaderMap,
    body: &Value,
    parts: &[&str],
) {
    assert_eq!(status, StatusCode::TOO_MANY_REQUESTS, "{body}");
    assert_eq!(body["error"]["code"], "limit-exceeded");
    assert_eq!(body["error"]["execution"], "not-run");
    assert!(!headers.contains_key("retry-after"), "{headers:?}");
    let message = body["error"]["message"].to_string();
    for part in parts {
        assert!(message.contains(part), "`{part}` is not in: {message}");
    }
}

/// Guards against retries of a chat request that can never be admitted, and against a final refusal
/// of a request that costs exactly the burst.
#[tokio::test(flavor = "multi_thread")]
async fn chat_above_the_burst_is_refused_without_retry_after() {
    let fleet = FleetBuilder::default().limit(100_000, 1_000).start().await;
    let caller = Caller::new(Some("key-kolanut"));
    // The prompt of `Caller::chat` has 28 bytes and counts as 7 tokens.
    for instance in 0..3 {
        let response = caller.chat(fleet.callers(instance), "n", 994, false).await;
        let parts = [
            "1001 tokens",
            "burst is 1000",
            "lower `max_tokens` or raise the burst",
        ];
        assert_refused_without_retry(response.status, &response.headers, &response.json(), &parts);
    }
    let response = caller.chat(fleet.callers(0), "n", 993, false).await;
    let has_retry_after = response.headers.contains_key("retry-after");
    assert!(
        response.status == StatusCode::OK || has_retry_after,
        "{response:?}"
    );
}

/// Guards against claiming or running a call that costs more than the caller's burst. The bundle
/// has an open route whose cost exceeds the burst of other organisations than the one it names.
#[tokio::test(flavor = "multi_thread")]
async fn service_call_above_the_burst_is_refused_without_retry_after() {
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
    // The second call has the same idempotency key, so a claim left behind by the first call would
    // change its response.
    for _ in 0..2 {
        let response = call(&[("idempotency-key", "k")]).await;
        let parts = ["600 tokens", "burst is 500", "`cost` or raise the burst"];
        assert_refused_without_retry(response.status, &response.headers, &response.json(), &parts);
    }
    assert!(fleet.service.runs().is_empty());
}
