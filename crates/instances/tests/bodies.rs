//! Bodies of forwarded requests that are sent in several frames.
#![allow(missing_docs)]

mod support;

use std::time::Duration;

use bytes::Bytes;
use hawthornquay_decisions::Execution;
use hawthornquay_instances::{
    Body, Envelope, Forward, ForwardBody, ForwardCancel, ForwardEvent, ForwardStream, Header,
    LinkPool, MAX_BODY_CHUNK_BYTES, MAX_FORWARDED_BODY_BYTES, MAX_FRAME_BYTES,
    MAX_PARTIAL_BODIES_BYTES, PeerAddress,
};
use support::{ANY_PORT, Pair, TEST_TIMEOUT, raw_peer::RawPeer, service::forward};
use tokio::{net::TcpListener, time::timeout};

/// `max-body-bytes` of the platform.
const USUAL_LIMIT: usize = 4 << 20;

fn request(path: &str, len: usize) -> Forward {
    let body: Vec<u8> = (0..len).map(|at| (at / 7 + at / 65_536) as u8).collect();
    Forward {
        body: body.into(),
        ..forward(path, b"")
    }
}

/// Reads a response; `Err` holds the code of a refusal.
async fn read(mut stream: ForwardStream) -> Result<Vec<u8>, (String, Execution)> {
    let mut body = Vec::new();
    loop {
        match timeout(TEST_TIMEOUT, stream.next()).await.unwrap() {
            Some(Ok(ForwardEvent::Data(data))) => body.extend_from_slice(&data),
            Some(Ok(ForwardEvent::Refused(refused))) => {
                return Err((refused.code.clone(), refused.confirmed_execution()));
            }
            Some(event) => drop(event.unwrap()),
            None => return Ok(body),
        }
    }
}

async fn call(pair: &Pair, request: Forward) -> Result<Vec<u8>, (String, Execution)> {
    let stream = pair
        .pool
        .forward(&pair.peer(), request, TEST_TIMEOUT)
        .await
        .unwrap();
    read(stream).await
}

/// Guards against bodies that arrive cut, or not at all, at a limit of a frame or of a request, and
/// against heads that leave no room for their body.
#[tokio::test(flavor = "multi_thread")]
async fn body_around_each_limit_arrives_whole() {
    let pair = Pair::start().await;
    let limits = [MAX_BODY_CHUNK_BYTES, USUAL_LIMIT, MAX_FRAME_BYTES];
    let around = limits
        .iter()
        .flat_map(|limit| [limit - 1, *limit, limit + 1]);
    let largest = [MAX_FORWARDED_BODY_BYTES - 1, MAX_FORWARDED_BODY_BYTES];
    for len in around.chain(largest) {
        for head in [0, 16 << 10, 1 << 20] {
            if len > USUAL_LIMIT + 1 && head > 0 {
                continue;
            }
            let mut request = request("/echo", len);
            request.headers = vec![Header {
                name: "x-head".to_owned(),
                value: vec![b'h'; head].into(),
            }];
            let expected = request.body.clone();
            let received = call(&pair, request).await.unwrap();
            assert!(received == expected, "{len} bytes, head of {head}");
        }
    }
    assert_eq!(pair.client.counters().links_timed_out(), 0);
    assert_eq!(pair.server.local.counters().messages_dropped(), 0);
}

/// Guards against large bodies that keep small requests on the same link waiting.
#[tokio::test(flavor = "multi_thread")]
async fn small_request_passes_large_bodies() {
    let pair = Pair::start().await;
    let peer = pair.peer();
    assert_eq!(
        call(&pair, forward("/echo", b"open")).await.unwrap(),
        b"open"
    );
    let mut held = Vec::new();
    for _ in 0..12 {
        let request = request("/held", USUAL_LIMIT);
        held.push(
            pair.pool
                .forward(&peer, request, TEST_TIMEOUT)
                .await
                .unwrap(),
        );
    }
    let small = timeout(
        Duration::from_secs(2),
        call(&pair, forward("/echo", b"small")),
    );
    assert_eq!(small.await.unwrap().unwrap(), b"small");
    for _ in &held {
        timeout(TEST_TIMEOUT, pair.server.service.wait_for_arrival())
            .await
            .unwrap();
    }
    pair.server.service.release.add_permits(held.len());
    for stream in held {
        assert_eq!(read(stream).await.unwrap().len(), USUAL_LIMIT);
    }
}

/// Guards against bodies for other instances that use up the memory of the receiver, and against
/// memory that is not returned when a request ends.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_above_memory_bound_are_refused_alone() {
    let pair = Pair::start().await;
    let peer = pair.peer();
    let fitting = MAX_PARTIAL_BODIES_BYTES / USUAL_LIMIT;
    for _ in 0..2 {
        let mut held = Vec::new();
        for _ in 0..fitting {
            let request = request("/held", USUAL_LIMIT);
            held.push(
                pair.pool
                    .forward(&peer, request, TEST_TIMEOUT)
                    .await
                    .unwrap(),
            );
        }
        let refused = call(&pair, request("/echo", USUAL_LIMIT)).await;
        assert_eq!(refused, Err(("link-busy".to_owned(), Execution::NotRun)));
        let small = call(&pair, request("/echo", MAX_BODY_CHUNK_BYTES)).await;
        assert_eq!(small.unwrap().len(), MAX_BODY_CHUNK_BYTES);
        pair.server.service.release.add_permits(held.len());
        for stream in held {
            assert_eq!(read(stream).await.unwrap().len(), USUAL_LIMIT);
        }
        // The server returns the memory shortly after the end of the response.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(pair.client.counters().links_opened(), 1);
}

/// Guards against a request that runs with part of its body, and against memory that is lost with
/// a body that never ends: the sender cancels it, or sends more than it declared.
#[tokio::test(flavor = "multi_thread")]
async fn incomplete_body_never_runs() {
    let pair = Pair::start().await;
    let mut raw = RawPeer::connect(pair.server.address, &pair.authority).await;
    let declared = MAX_FORWARDED_BODY_BYTES as u64;
    let part = |len: usize| {
        Body::ForwardBody(ForwardBody {
            data: Bytes::from(vec![0; len]),
        })
    };
    for sequence in 1..5 {
        let mut request = forward("/abandon", b"");
        request.body_bytes = declared;
        raw.send(Envelope::of_call(2, sequence, Body::Forward(request)))
            .await;
        raw.send(Envelope::of_call(2, sequence, part(1_000))).await;
        let cancel = Body::ForwardCancel(ForwardCancel {});
        raw.send(Envelope::of_call(2, sequence, cancel)).await;
        raw.send(Envelope::of_call(2, sequence, part(1_000))).await;
    }
    let mut request = forward("/abandon", b"");
    request.body_bytes = 1_000;
    raw.send(Envelope::of_call(2, 9, Body::Forward(request)))
        .await;
    raw.send(Envelope::of_call(2, 9, part(1_001))).await;
    let reply = raw.receive_call().await;
    let Some(Body::ForwardRefused(refused)) = reply.body else {
        panic!("{reply:?}");
    };
    assert_eq!(refused.confirmed_execution(), Execution::NotRun);
    assert_eq!(pair.server.service.arrived.available_permits(), 0);
    // Parts of an earlier body are dropped, and the link stays open.
    assert_eq!(pair.server.local.counters().messages_dropped(), 4);
}

/// Guards against a body in several frames that is sent to an instance of an older version, which
/// would run the request without it.
#[tokio::test]
async fn older_receiver_gets_body_in_one_frame() {
    let pair = Pair::start().await;
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = LinkPool::new(pair.client.clone());
    let peer = PeerAddress::new("b", address);
    let sent = request("/echo", 1 << 20);
    let expected = sent.body.clone();
    let (stream, received) = tokio::join!(pool.forward(&peer, sent, TEST_TIMEOUT), async {
        let mut raw = RawPeer::accept(&listener, &pair.authority, "b").await;
        raw.receive_call().await
    });
    stream.unwrap();
    let Some(Body::Forward(received)) = received.body else {
        panic!("{received:?}");
    };
    assert_eq!((received.body_bytes, received.body), (0, expected));
}

/// Guards against a stop of the receiver that drops a request whose body is still arriving.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_completes_request_with_partial_body() {
    let pair = Pair::start().await;
    let mut raw = RawPeer::connect(pair.server.address, &pair.authority).await;
    let mut request = forward("/echo", b"");
    request.body_bytes = 8;
    raw.send(Envelope::of_call(2, 1, Body::Forward(request)))
        .await;
    let part = |data: &'static [u8]| {
        let data = Bytes::from_static(data);
        Envelope::of_call(2, 1, Body::ForwardBody(ForwardBody { data }))
    };
    raw.send(part(b"half")).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    pair.server.shutdown.cancel();
    tokio::time::sleep(Duration::from_millis(100)).await;
    raw.send(part(b"rest")).await;
    assert!(matches!(
        raw.receive_call().await.body,
        Some(Body::ForwardHead(_))
    ));
    let Some(Body::ForwardData(data)) = raw.receive_call().await.body else {
        panic!("no data");
    };
    assert_eq!(data.data, &b"halfrest"[..]);
}
