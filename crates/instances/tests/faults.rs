//! Tests of link faults between two instances.

mod support;

use std::time::Duration;

use hawthornquay_decisions::{Execution, Incarnation};
use hawthornquay_instances::{
    Body, Envelope, ForwardEvent, ForwardHead, LinkError, LinkPool, LinkSettings, LoanGrant,
    Notice, PeerAddress, STREAM_WINDOW_BYTES, ViewUpdate,
};
use support::{
    ANY_PORT, Pair, TEST_TIMEOUT, authority, claiming, loan, local,
    raw_peer::RawPeer,
    relay::{Fault, Relay, SLOW_BYTES_PER_S},
    serve,
    service::{FLOOD_BYTES, data_chunk, forward},
};
use tokio::{net::TcpListener, time::Instant};

/// Maximum time until a faulty link is detected: the documented limit, with a margin for a busy
/// machine.
const MAX_DETECTION_TIME: Duration = Duration::from_millis(2_500);

fn grant(rate: u64) -> Body {
    Body::LoanGrant(LoanGrant {
        rate,
        ..LoanGrant::default()
    })
}

/// Guards against calls that never return on a link that is stalled or cut, against `NotRun` being
/// reported for them, and against a pool that keeps using the link.
#[tokio::test]
async fn link_fault_fails_calls_as_unknown_and_link_is_replaced() {
    for fault in [
        Fault::DropToServer,
        Fault::DropToClient,
        Fault::HalfOpen,
        Fault::Stall,
        Fault::Cut,
    ] {
        let pair = Pair::start().await;
        let relay = Relay::start(pair.server.address).await;
        let peer = PeerAddress::new("b", relay.address);
        let held = pair.pool.call(&peer, loan("held", 1), TEST_TIMEOUT);
        let break_link = async {
            pair.server.service.wait_for_arrival().await;
            relay.fault_open(fault);
            Instant::now()
        };
        let (outcome, since) = tokio::join!(held, break_link);
        let error = outcome.unwrap_err();
        assert!(
            matches!(error, LinkError::LinkEnded { .. }),
            "{fault:?}: {error}"
        );
        assert_eq!(error.execution(), Execution::Unknown, "{fault:?}");
        assert!(
            since.elapsed() < MAX_DETECTION_TIME,
            "{fault:?}: {:?}",
            since.elapsed()
        );
        let next = pair.pool.call(&peer, loan("o", 2), TEST_TIMEOUT).await;
        assert_eq!(next.unwrap().rate, 2, "{fault:?}");
        assert_eq!(relay.accepted(), 2, "{fault:?}");
    }
}

/// Guards against `NotRun` for a call that was written, and against `Unknown` for one that was not.
#[tokio::test]
async fn call_past_deadline_is_unknown_only_if_written() {
    let pair = Pair::start().await;
    let short_timeout = Duration::from_millis(50);
    let error = pair
        .pool
        .call(&pair.peer(), loan("held", 1), short_timeout)
        .await;
    assert_eq!(error.unwrap_err().execution(), Execution::Unknown);
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let unresponsive = PeerAddress::new("b", listener.local_addr().unwrap());
    let pool = LinkPool::new(pair.client.clone());
    let error = pool.call(&unresponsive, loan("o", 1), short_timeout).await;
    assert_eq!(error.unwrap_err().execution(), Execution::NotRun);
}

/// Guards against a call that reaches a process other than the intended one.
#[tokio::test]
async fn call_to_wrong_identity_is_not_run() {
    let pair = Pair::start().await;
    let other_authority = local(&authority(), "a", 1);
    let foreign_pool = LinkPool::new(other_authority);
    let mut other_name = pair.peer();
    other_name.name = "c".into();
    let mut other_incarnation = pair.peer();
    other_incarnation.incarnation = Some(Incarnation(99));
    for (case, pool, peer) in [
        ("wrong authority", &foreign_pool, pair.peer()),
        ("wrong name", &pair.pool, other_name),
        ("wrong incarnation", &pair.pool, other_incarnation),
    ] {
        let error = pool
            .call(&peer, loan("o", 1), TEST_TIMEOUT)
            .await
            .unwrap_err();
        assert_eq!(error.execution(), Execution::NotRun, "{case}: {error}");
        let expected = match case {
            "wrong authority" => matches!(error, LinkError::Connect { .. }),
            _ => matches!(error, LinkError::WrongPeer { .. }),
        };
        assert!(expected, "{case}: {error}");
    }
    assert_eq!(pair.server.service.arrived.available_permits(), 0);
}

/// Guards against impersonation: a process with a valid certificate for one instance that calls, or
/// accepts calls, under the name of another instance.
#[tokio::test]
async fn link_with_uncertified_name_is_refused_by_both_sides() {
    let pair = Pair::start().await;
    let impersonating_client = LinkPool::new(claiming(&pair.authority, "a", "b", 7));
    let refused = impersonating_client
        .call(&pair.peer(), loan("o", 1), TEST_TIMEOUT)
        .await;
    assert_eq!(refused.unwrap_err().execution(), Execution::NotRun);
    let errors = pair.server.service.refused.lock().unwrap().clone();
    let expected = "the peer claims to be instance b, but its certificate names a";
    assert_eq!(errors, [expected]);
    assert_eq!(pair.server.service.arrived.available_permits(), 0);

    let impersonating_server = serve(claiming(&pair.authority, "a", "b", 8)).await;
    let peer = PeerAddress::new("b", impersonating_server.address);
    let error = pair.pool.call(&peer, loan("o", 1), TEST_TIMEOUT).await;
    let error = error.unwrap_err();
    assert_eq!(error.execution(), Execution::NotRun);
    let LinkError::CertificateNameMismatch { claimed, certified } = &error else {
        panic!("{error}");
    };
    assert_eq!((claimed.as_str(), certified.len()), ("b", 1), "{error}");
    assert_eq!(impersonating_server.service.arrived.available_permits(), 0);
}

/// Guards against calls that are still sent to the old process after another process has taken over
/// its address.
#[tokio::test]
async fn replacement_process_at_address_gets_new_calls() {
    let pair = Pair::start().await;
    let relay = Relay::start(pair.server.address).await;
    let mut peer = PeerAddress::new("b", relay.address);
    pair.pool
        .call(&peer, loan("o", 1), TEST_TIMEOUT)
        .await
        .unwrap();
    let replacement = serve(local(&pair.authority, "b", 3)).await;
    relay.retarget(replacement.address);
    peer.incarnation = Some(Incarnation(3));
    let stream = pair
        .pool
        .forward(&peer, forward("/echo", b""), TEST_TIMEOUT)
        .await;
    assert_eq!(stream.unwrap().peer().incarnation, Incarnation(3));
}

/// Guards against a reply that is matched to the wrong call: replies out of order, replies for
/// another incarnation, and replies for a call that is not in flight.
#[tokio::test]
async fn reply_matches_only_its_own_call() {
    let authority = authority();
    let client = local(&authority, "a", 1);
    let counters = client.counters();
    let pool = LinkPool::new(client);
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let peer = PeerAddress::new("b", listener.local_addr().unwrap());
    let server = async {
        let mut raw = RawPeer::accept(&listener, &authority, "b").await;
        let mut calls = vec![raw.receive_call().await, raw.receive_call().await];
        calls.reverse();
        for call in &calls {
            raw.send(Envelope::of_call(77, call.sequence, grant(666)))
                .await;
        }
        raw.send(Envelope::of_call(1, 1_000, grant(666))).await;
        for call in calls {
            let Some(Body::LoanRequest(request)) = call.body else {
                panic!("{call:?}");
            };
            let reply = Envelope::of_call(call.incarnation, call.sequence, grant(request.rate));
            raw.send(reply).await;
        }
        raw
    };
    let (_raw, first, second) = tokio::join!(
        server,
        pool.call(&peer, loan("o", 1), TEST_TIMEOUT),
        pool.call(&peer, loan("o", 2), TEST_TIMEOUT),
    );
    assert_eq!((first.unwrap().rate, second.unwrap().rate), (1, 2));
    assert_eq!(counters.messages_dropped(), 3);
}

/// Guards against a frame whose length field makes the receiver allocate unbounded memory.
#[tokio::test]
async fn oversized_frame_ends_only_its_link() {
    let pair = Pair::start().await;
    let mut raw = RawPeer::connect(pair.server.address, &pair.authority).await;
    let length = (64_u32 << 20).to_be_bytes();
    raw.send_bytes(length.to_vec().into()).await.unwrap();
    let ended = tokio::time::timeout(Duration::from_millis(1_000), raw.try_receive()).await;
    assert!(matches!(ended, Ok(None)), "{ended:?}");
    // Other links are not affected.
    pair.pool
        .call(&pair.peer(), loan("o", 1), TEST_TIMEOUT)
        .await
        .unwrap();
}

/// Guards against a slow reader of one response that blocks the other responses and calls of its
/// link, or whose response is buffered without bound.
#[tokio::test]
async fn slow_reader_delays_only_its_own_response() {
    let pair = Pair::start().await;
    let peer = pair.peer();
    let flood = forward("/flood", b"");
    let mut slow = pair.pool.forward(&peer, flood, TEST_TIMEOUT).await.unwrap();
    slow.next().await.unwrap().unwrap();
    for _ in 0..20 {
        let echo = forward("/echo", b"quick");
        let mut quick = pair.pool.forward(&peer, echo, TEST_TIMEOUT).await.unwrap();
        quick.next().await.unwrap().unwrap();
        let data = quick.next().await.unwrap().unwrap();
        assert_eq!(data, ForwardEvent::Data("quick".into()));
        pair.pool
            .call(&peer, loan("o", 1), TEST_TIMEOUT)
            .await
            .unwrap();
    }
    let sent = &pair.server.service.flood_sent;
    let sent = sent.load(std::sync::atomic::Ordering::SeqCst);
    assert!(
        sent <= STREAM_WINDOW_BYTES,
        "{sent} bytes sent to a reader that reads none"
    );
    let mut received = 0;
    while let Some(event) = slow.next().await {
        if let ForwardEvent::Data(data) = event.unwrap() {
            received += data.len();
        }
    }
    assert_eq!(received, FLOOD_BYTES);
}

/// Guards against a peer that ignores the flow-control window and fills the memory of the receiver.
#[tokio::test]
async fn response_above_window_is_ended() {
    let authority = authority();
    let pool = LinkPool::new(local(&authority, "a", 1));
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let peer = PeerAddress::new("b", listener.local_addr().unwrap());
    let server = async {
        let mut raw = RawPeer::accept(&listener, &authority, "b").await;
        let first = raw.receive_call().await.sequence;
        let second = raw.receive_call().await.sequence;
        for _ in 0..2 {
            let body = Body::ForwardData(data_chunk(STREAM_WINDOW_BYTES));
            raw.send(Envelope::of_call(1, first, body)).await;
        }
        // This head is sent after both chunks. The client waits for it before it reads the stream,
        // so both chunks have arrived by then.
        let head = Body::ForwardHead(ForwardHead::default());
        raw.send(Envelope::of_call(1, second, head)).await;
        raw
    };
    let caller = async {
        let request = forward("/x", b"");
        let mut stream = pool.forward(&peer, request, TEST_TIMEOUT).await.unwrap();
        let request = forward("/y", b"");
        let mut other = pool.forward(&peer, request, TEST_TIMEOUT).await.unwrap();
        other.next().await.unwrap().unwrap();
        stream.next().await.unwrap().unwrap();
        stream.next().await.unwrap().unwrap_err()
    };
    let (_raw, error) = tokio::join!(server, caller);
    assert!(matches!(error, LinkError::Protocol { .. }), "{error}");
}

/// Guards against head-of-line blocking: with several links to an instance, a lost segment on one
/// of them must not delay a new response.
#[tokio::test]
async fn stalled_link_does_not_delay_response_on_other_link() {
    let settings = LinkSettings {
        forwarding_links: 2,
        ..LinkSettings::default()
    };
    let pair = Pair::with_settings(settings).await;
    let relay = Relay::start(pair.server.address).await;
    let peer = PeerAddress::new("b", relay.address);
    let open = |route| pair.pool.forward(&peer, forward(route, b"x"), TEST_TIMEOUT);
    let _first = open("/until-cancelled").await.unwrap();
    // The second request finds no idle link, so the pool opens another one.
    let _second = open("/until-cancelled").await.unwrap();
    let end = Instant::now() + TEST_TIMEOUT;
    while pair.client.counters().links_opened() < 2 {
        assert!(Instant::now() < end, "no second link was opened");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    relay.fault_one(0, Fault::Stall);
    let mut stream = open("/echo").await.unwrap();
    let head = tokio::time::timeout(Duration::from_secs(1), stream.next()).await;
    let head = head.expect("response arrives despite the stalled link");
    assert!(matches!(head, Some(Ok(ForwardEvent::Head(_)))), "{head:?}");
    assert_eq!(pair.client.counters().links_opened(), 2);
}

/// Guards against unused links that stay open and keep sending heartbeats.
#[tokio::test]
async fn idle_link_is_closed() {
    let settings = LinkSettings {
        heartbeat_interval: Duration::from_millis(20),
        idle_timeout: Duration::from_millis(60),
        ..LinkSettings::default()
    };
    let authority = authority();
    let client = local(&authority, "a", 1).with_settings(settings);
    let counters = client.counters();
    let pool = LinkPool::new(client);
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let peer = PeerAddress::new("b", listener.local_addr().unwrap());
    let server = async {
        let mut raw = RawPeer::accept(&listener, &authority, "b").await;
        let call = raw.receive_call().await;
        raw.send(Envelope::of_call(1, call.sequence, grant(1)))
            .await;
        while raw.try_receive().await.is_some() {}
    };
    let call = pool.call(&peer, loan("o", 1), TEST_TIMEOUT);
    let (ended, reply) = tokio::join!(tokio::time::timeout(TEST_TIMEOUT, server), call);
    reply.unwrap();
    assert!(ended.is_ok(), "the link stayed open");
    assert_eq!(counters.links_timed_out(), 0);
}

/// Guards against a forwarded request that is cut because a large notice, such as a configuration,
/// occupies the path to the peer for longer than the receive time-out: heartbeats wait behind it.
#[tokio::test]
async fn large_notice_on_slow_path_leaves_forwarded_request() {
    let pair = Pair::start().await;
    let relay = Relay::start(pair.server.address).await;
    let peer = PeerAddress::new("b", relay.address);
    let small = ViewUpdate::default();
    pair.pool
        .send(&peer, Notice::ViewUpdate(small))
        .await
        .unwrap();
    let mut stream = pair
        .pool
        .forward(&peer, forward("/held", b"body"), TEST_TIMEOUT)
        .await
        .unwrap();
    pair.server.service.wait_for_arrival().await;
    relay.fault_open(Fault::SlowToServer);
    let large = ViewUpdate {
        configuration: vec![b' '; 3 * SLOW_BYTES_PER_S].into(),
        ..ViewUpdate::default()
    };
    pair.pool
        .send(&peer, Notice::ViewUpdate(large))
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    pair.server.service.release.add_permits(1);
    let event = tokio::time::timeout(TEST_TIMEOUT, stream.next()).await;
    let event = event.unwrap();
    assert!(
        matches!(event, Some(Ok(ForwardEvent::Head(_)))),
        "{event:?}"
    );
}
