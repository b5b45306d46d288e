//! Tests of links whose receiving instance stops.

mod support;

use std::time::Duration;

use hawthornquay_decisions::Execution;
use hawthornquay_instances::{Body, Envelope, Forward, LinkError, PeerAddress, Ping};
use support::{
    Pair, TEST_TIMEOUT,
    raw_peer::RawPeer,
    relay::{Fault, Relay},
    service::forward,
};
use tokio::time::{Instant, sleep, timeout};

/// Size of a response that one flow-control window allows, and that the receive buffer of a socket
/// does not.
const RESPONSE_BYTES: usize = 240 << 10;

/// Number of responses that do not fit into the buffers of the sockets and the queue of a link.
const RESPONSES: u64 = 24;

fn held(len: usize) -> Forward {
    let mut request = forward("/held", b"");
    request.body = vec![1; len].into();
    request
}

/// Reads until the link ends; returns the number of complete responses.
async fn read_responses(raw: &mut RawPeer) -> u64 {
    let mut complete = 0;
    while let Ok(Some(envelope)) = timeout(TEST_TIMEOUT, raw.try_receive()).await {
        complete += u64::from(matches!(envelope.body, Some(Body::ForwardEnd(_))));
    }
    complete
}

/// Guards against `Unknown` for a request that crosses the end of a drained link. The drained
/// instance has not read it, so its caller may get it run elsewhere even if it may run only once.
#[tokio::test]
async fn drain_request_that_crosses_the_end_is_not_run() {
    let pair = Pair::start().await;
    let relay = Relay::start(pair.server.address).await;
    let peer = PeerAddress::new("b", relay.address);
    let first = pair
        .pool
        .forward(&peer, forward("/echo", b""), TEST_TIMEOUT);
    let mut first = first.await.unwrap();
    while let Some(event) = first.next().await {
        event.unwrap();
    }
    relay.fault_open(Fault::Stall);
    let crossing = forward("/held", b"x");
    let crossing = pair.pool.forward(&peer, crossing, TEST_TIMEOUT).await;
    let mut crossing = crossing.unwrap();
    sleep(Duration::from_millis(100)).await;
    pair.server.shutdown.cancel();
    sleep(Duration::from_millis(200)).await;
    relay.fault_open(Fault::None);
    let event = timeout(TEST_TIMEOUT, crossing.next()).await.unwrap();
    let error = event.unwrap().unwrap_err();
    assert!(matches!(error, LinkError::LinkEnded { .. }), "{error}");
    assert_eq!(pair.server.service.arrived.available_permits(), 0);
    assert_eq!(error.execution(), Execution::NotRun);
}

/// Guards against a drained instance that declares a request as not run although it has begun to
/// run it and not answered.
#[tokio::test]
async fn drain_abandoned_request_is_unknown() {
    let pair = Pair::start().await;
    let mut raw = RawPeer::connect(pair.server.address, &pair.authority).await;
    let request = Body::Forward(forward("/abandon", b""));
    raw.send(Envelope::of_call(2, 1, request)).await;
    pair.server.service.wait_for_arrival().await;
    pair.server.shutdown.cancel();
    let Some(Body::ForwardRefused(refused)) = raw.receive_call().await.body else {
        panic!("no refusal");
    };
    assert_eq!(refused.confirmed_execution(), Execution::Unknown);
    assert_eq!(raw.try_receive().await, None);
}

/// Guards against the loss of a last response whose link is closed while data of the other side
/// lies unread: the connection is reset, and what is still on its way is discarded.
#[tokio::test(flavor = "multi_thread")]
async fn drain_unread_data_leaves_last_response() {
    let pair = Pair::start().await;
    let mut raw = RawPeer::connect(pair.server.address, &pair.authority).await;
    let request = Body::Forward(held(RESPONSE_BYTES));
    raw.send(Envelope::of_call(2, 1, request)).await;
    pair.server.service.wait_for_arrival().await;
    pair.server.shutdown.cancel();
    pair.server.service.release.add_permits(1);
    let until = Instant::now() + Duration::from_millis(500);
    while Instant::now() < until {
        // Fails once the connection has been reset.
        let _ = raw.try_send(Envelope::one_way(Body::Ping(Ping {}))).await;
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(read_responses(&mut raw).await, 1);
    timeout(TEST_TIMEOUT, pair.server.task)
        .await
        .expect("server ends after the last response")
        .unwrap();
}

/// Guards against the loss of the last responses of a link whose path takes longer for them than
/// the receive time-out, although the other side is alive.
#[tokio::test(flavor = "multi_thread")]
async fn drain_slow_path_gets_last_responses() {
    let pair = Pair::start().await;
    let mut raw = RawPeer::connect(pair.server.address, &pair.authority).await;
    for sequence in 1..=RESPONSES {
        let request = Body::Forward(held(RESPONSE_BYTES));
        raw.send(Envelope::of_call(2, sequence, request)).await;
        pair.server.service.wait_for_arrival().await;
    }
    pair.server.shutdown.cancel();
    pair.server.service.release.add_permits(RESPONSES as usize);
    let total = RESPONSES as usize * RESPONSE_BYTES;
    let (mut received, mut complete) = (0, 0);
    // What remains fits into the buffers and the queue, so that all requests have ended.
    while received < total - (3 << 20) {
        match raw.receive().await.body {
            Some(Body::ForwardData(part)) => received += part.data.len(),
            Some(Body::ForwardEnd(_)) => complete += 1,
            _ => {}
        }
    }
    for _ in 0..5 {
        sleep(Duration::from_millis(500)).await;
        // Fails once the connection has been reset.
        let _ = raw.try_send(Envelope::one_way(Body::Ping(Ping {}))).await;
    }
    complete += read_responses(&mut raw).await;
    assert_eq!(complete, RESPONSES);
}

/// Guards against a drained link whose peer neither reads nor closes it, and that holds up the stop.
#[tokio::test(flavor = "multi_thread")]
async fn drain_ends_without_close_of_peer() {
    let pair = Pair::start().await;
    let mut raw = RawPeer::connect(pair.server.address, &pair.authority).await;
    pair.server.shutdown.cancel();
    let since = Instant::now();
    while !pair.server.task.is_finished() {
        assert!(
            since.elapsed() < Duration::from_secs(8),
            "the server still runs"
        );
        let _ = raw.try_send(Envelope::one_way(Body::Ping(Ping {}))).await;
        sleep(Duration::from_millis(20)).await;
    }
}
