//! Tests of calls and forwarded requests between two instances over TCP.

mod support;

use std::time::Duration;

use hawthornquay_decisions::Execution;
use hawthornquay_instances::{
    BundleFetch, CapacityRequest, Digest, Forward, ForwardEvent, LinkError,
    MAX_FORWARDED_BODY_BYTES, MAX_FRAME_BYTES, Notice,
};
use support::{Pair, TEST_TIMEOUT, loan, service::forward};

/// Guards against a request type that is dispatched to the wrong method or gets the wrong reply.
#[tokio::test]
async fn call_of_each_type_gets_its_reply() {
    let pair = Pair::start().await;
    let grant = pair
        .pool
        .call(&pair.peer(), loan("o", 5), TEST_TIMEOUT)
        .await;
    assert_eq!(grant.unwrap().rate, 5);
    let fetch = BundleFetch {
        version: 9,
        part: 0,
    };
    let content = pair.pool.call(&pair.peer(), fetch, TEST_TIMEOUT).await;
    assert_eq!(content.unwrap().version, 9);
    let request = CapacityRequest {
        requests: 3,
        ..CapacityRequest::default()
    };
    let grant = pair.pool.call(&pair.peer(), request, TEST_TIMEOUT).await;
    assert_eq!(grant.unwrap().requests, 3);
    assert_eq!(pair.client.counters().links_opened(), 1);
}

/// Guards against a one-way message that is lost or attributed to the wrong sender.
#[tokio::test]
async fn digest_arrives_with_its_sender() {
    let pair = Pair::start().await;
    let digest = Notice::Digest(Digest::default());
    pair.pool.send(&pair.peer(), digest.clone()).await.unwrap();
    pair.server.service.noticed.notified().await;
    let notices = pair.server.service.notices.lock().await;
    assert_eq!(notices.len(), 1);
    assert_eq!(notices[0].0.to_string(), "a#0000000000000001");
    assert_eq!(notices[0].1, digest);
}

/// Guards against events of a response that are lost or reordered.
#[tokio::test]
async fn forward_response_arrives_in_order() {
    let pair = Pair::start().await;
    let request = forward("/echo", b"hello");
    let mut stream = pair
        .pool
        .forward(&pair.peer(), request, TEST_TIMEOUT)
        .await
        .unwrap();
    let head = stream.next().await.unwrap().unwrap();
    assert!(matches!(head, ForwardEvent::Head(head) if head.status == 200));
    let data = stream.next().await.unwrap().unwrap();
    assert_eq!(data, ForwardEvent::Data("hello".into()));
    let end = stream.next().await.unwrap().unwrap();
    assert!(matches!(end, ForwardEvent::End(_)));
    assert!(stream.next().await.is_none());
}

/// Guards against a refusal that loses the execution state reported by the receiver, and against
/// `NotRun` being reported for a receiver that ended without a response.
#[tokio::test]
async fn forward_refusal_keeps_execution() {
    let pair = Pair::start().await;
    for (route, expected) in [
        ("/refuse", Execution::NotRun),
        ("/abandon", Execution::Unknown),
    ] {
        let request = forward(route, b"");
        let mut stream = pair
            .pool
            .forward(&pair.peer(), request, TEST_TIMEOUT)
            .await
            .unwrap();
        let event = stream.next().await.unwrap().unwrap();
        let ForwardEvent::Refused(refused) = event else {
            panic!("{route}: {event:?}");
        };
        assert_eq!(refused.confirmed_execution(), expected, "{route}");
    }
}

/// Guards against work that continues at the receiver after the response stream was dropped.
#[tokio::test]
async fn forward_with_dropped_stream_is_cancelled() {
    let pair = Pair::start().await;
    let request = forward("/until-cancelled", b"");
    let stream = pair
        .pool
        .forward(&pair.peer(), request, TEST_TIMEOUT)
        .await
        .unwrap();
    pair.server.service.wait_for_arrival().await;
    drop(stream);
    let cancelled = pair.server.service.cancelled.acquire();
    let outcome = tokio::time::timeout(TEST_TIMEOUT, cancelled).await;
    assert!(
        outcome.is_ok(),
        "the request was not cancelled at the receiver"
    );
}

/// Guards against a request above a limit that ends the link and so fails all other calls: a body
/// that is too long, and a head that does not fit into one frame.
#[tokio::test]
async fn forward_above_limit_is_not_run() {
    let pair = Pair::start().await;
    let mut long_body = forward("/echo", b"");
    long_body.body = vec![0; MAX_FORWARDED_BODY_BYTES + 1].into();
    let mut long_head = forward("/echo", b"");
    long_head.request_id = "x".repeat(MAX_FRAME_BYTES);
    for request in [long_body, long_head] {
        refuse_too_large(&pair, request).await;
    }
    assert_eq!(pair.client.counters().links_opened(), 1);
    let mut stream = pair
        .pool
        .forward(&pair.peer(), forward("/echo", b"small"), TEST_TIMEOUT)
        .await
        .unwrap();
    assert!(matches!(
        stream.next().await,
        Some(Ok(ForwardEvent::Head(_)))
    ));
}

async fn refuse_too_large(pair: &Pair, request: Forward) {
    let outcome = pair.pool.forward(&pair.peer(), request, TEST_TIMEOUT).await;
    let error = outcome.err().unwrap();
    assert!(matches!(error, LinkError::TooLarge { .. }), "{error}");
    assert_eq!(error.execution(), Execution::NotRun);
}

/// Guards against a reply above the frame limit that ends the link and so fails all other calls.
#[tokio::test]
async fn call_with_reply_above_frame_limit_fails_alone() {
    let pair = Pair::start().await;
    let fetch = BundleFetch {
        version: 1,
        part: MAX_FRAME_BYTES as u32,
    };
    let short_timeout = Duration::from_millis(200);
    let error = pair
        .pool
        .call(&pair.peer(), fetch, short_timeout)
        .await
        .unwrap_err();
    assert!(
        matches!(error, LinkError::DeadlineExceeded { .. }),
        "{error}"
    );
    assert_eq!(error.execution(), Execution::Unknown);
    let grant = pair
        .pool
        .call(&pair.peer(), loan("o", 5), TEST_TIMEOUT)
        .await;
    assert_eq!(grant.unwrap().rate, 5);
    assert_eq!(pair.client.counters().links_opened(), 1);
}

/// Guards against a shutdown that interrupts calls in flight or accepts new forwarded requests.
#[tokio::test]
async fn shutdown_completes_calls_and_refuses_new_forwards() {
    let pair = Pair::start().await;
    let peer = pair.peer();
    let request = forward("/held", b"x");
    let mut held = pair
        .pool
        .forward(&peer, request, TEST_TIMEOUT)
        .await
        .unwrap();
    pair.server.service.wait_for_arrival().await;
    pair.server.shutdown.cancel();
    let late = forward("/echo", b"");
    let mut late = pair.pool.forward(&peer, late, TEST_TIMEOUT).await.unwrap();
    let event = late.next().await.unwrap().unwrap();
    let ForwardEvent::Refused(refused) = event else {
        panic!("{event:?}");
    };
    assert_eq!(refused.confirmed_execution(), Execution::NotRun);
    pair.server.service.release.add_permits(1);
    let mut last = None;
    while let Some(event) = held.next().await {
        last = Some(event.unwrap());
    }
    assert!(matches!(last, Some(ForwardEvent::End(_))), "{last:?}");
    tokio::time::timeout(TEST_TIMEOUT, pair.server.task)
        .await
        .expect("server ends after the last call")
        .unwrap();
}

/// Guards against bytes of forwarded requests being counted as control traffic.
#[tokio::test]
async fn counters_separate_control_and_forwarded_traffic() {
    let pair = Pair::start().await;
    let counters = pair.client.counters();
    let request = forward("/echo", b"0123456789");
    let mut stream = pair
        .pool
        .forward(&pair.peer(), request, TEST_TIMEOUT)
        .await
        .unwrap();
    while let Some(event) = stream.next().await {
        event.unwrap();
    }
    assert_eq!(counters.forwarded.messages_out(), 1);
    assert_eq!(counters.forwarded.messages_in(), 3);
    assert!(counters.forwarded.bytes_out() > 10);
    let forwarded = counters.forwarded.bytes_out();
    pair.pool
        .call(&pair.peer(), loan("o", 1), TEST_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(counters.forwarded.bytes_out(), forwarded);
    assert!(counters.control.messages_out() >= 2);
    assert!(counters.socket_bytes_out() > counters.control.bytes_out() + forwarded);
}
