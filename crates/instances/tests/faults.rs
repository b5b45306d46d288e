//! Faults of links between two instances.

mod support;

use std::time::Duration;

use hawthornquay_decisions::{Execution, Incarnation};
use hawthornquay_instances::{
    Body, Envelope, ForwardEvent, LinkError, LinkPool, LinkSettings, LoanGrant, PeerAddress,
    STREAM_WINDOW_BYTES,
};
use support::{
    ANY_PORT, Pair, TEST_TIMEOUT, authority, claiming, loan, local,
    raw_peer::RawPeer,
    relay::{Fault, Relay},
    serve,
    service::{FLOOD_BYTES, forward, piece},
};
use tokio::{net::TcpListener, time::Instant};

/// Silence limit of the page, with room for a busy machine.
const SILENCE_BOUND: Duration = Duration::from_millis(2_500);

fn grant(rate: u64) -> Body {
    Body::LoanGrant(LoanGrant {
        rate,
        ..LoanGrant::default()
    })
}

/// Guards against calls that wait for ever on a link that is silent or cut, against such calls
/// being reported as not run, and against a pool that keeps using the link.
#[tokio::test]
async fn link_each_fault_ends_calls_as_unknown_and_is_replaced() {
    for fault in [
        Fault::DropToServer,
        Fault::DropToClient,
        Fault::HalfOpen,
        Fault::Hold,
        Fault::Cut,
    ] {
        let pair = Pair::start().await;
        let relay = Relay::start(pair.server.address).await;
        let peer = PeerAddress::new("b", relay.address);
        let held = pair.pool.call(&peer, loan("held", 1), TEST_TIMEOUT);
        let broken = async {
            pair.server.service.wait_for_arrival().await;
            relay.fault_open(fault);
            Instant::now()
        };
        let (outcome, since) = tokio::join!(held, broken);
        let error = outcome.unwrap_err();
        assert!(
            matches!(error, LinkError::Lost { .. }),
            "{fault:?}: {error}"
        );
        assert_eq!(error.execution(), Execution::Unknown, "{fault:?}");
        assert!(
            since.elapsed() < SILENCE_BOUND,
            "{fault:?}: {:?}",
            since.elapsed()
        );
        let next = pair.pool.call(&peer, loan("o", 2), TEST_TIMEOUT).await;
        assert_eq!(next.unwrap().rate, 2, "{fault:?}");
        assert_eq!(relay.accepted(), 2, "{fault:?}");
    }
}

/// Guards against `NotRun` for a call that was written, and `Unknown` for one that was not.
#[tokio::test]
async fn call_deadline_tells_whether_it_was_written() {
    let pair = Pair::start().await;
    let soon = Duration::from_millis(50);
    let error = pair.pool.call(&pair.peer(), loan("held", 1), soon).await;
    assert_eq!(error.unwrap_err().execution(), Execution::Unknown);
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let unresponsive = PeerAddress::new("b", listener.local_addr().unwrap());
    let pool = LinkPool::new(pair.client.clone());
    let error = pool.call(&unresponsive, loan("o", 1), soon).await;
    assert_eq!(error.unwrap_err().execution(), Execution::NotRun);
}

/// Guards against a call that reaches another process than the one it was meant for.
#[tokio::test]
async fn connect_wrong_identity_is_not_run() {
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

/// Guards against a holder of any certificate of the authority that calls, or answers, under the
/// name of another instance.
#[tokio::test]
async fn link_with_a_name_that_is_not_certified_is_refused_by_both_sides() {
    let pair = Pair::start().await;
    let false_caller = LinkPool::new(claiming(&pair.authority, "a", "b", 7));
    let refused = false_caller
        .call(&pair.peer(), loan("o", 1), TEST_TIMEOUT)
        .await;
    assert_eq!(refused.unwrap_err().execution(), Execution::NotRun);
    let errors = pair.server.service.refused.lock().unwrap().clone();
    let expected = "the peer claims to be instance b, but its certificate names a";
    assert_eq!(errors, [expected]);
    assert_eq!(pair.server.service.arrived.available_permits(), 0);

    let false_server = serve(claiming(&pair.authority, "a", "b", 8)).await;
    let peer = PeerAddress::new("b", false_server.address);
    let error = pair.pool.call(&peer, loan("o", 1), TEST_TIMEOUT).await;
    let error = error.unwrap_err();
    assert_eq!(error.execution(), Execution::NotRun);
    let LinkError::CertificateNameMismatch { claimed, certified } = &error else {
        panic!("{error}");
    };
    assert_eq!((claimed.as_str(), certified.len()), ("b", 1), "{error}");
    assert_eq!(false_server.service.arrived.available_permits(), 0);
}

/// Guards against calls that go to the former process after another took over the address.
#[tokio::test]
async fn peer_replaced_at_the_address_gets_new_calls() {
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

/// Guards against a reply that is taken by another call: replies in the wrong order, for a former
/// incarnation, and for a call that is not outstanding.
#[tokio::test]
async fn replies_only_match_their_own_call() {
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

/// Guards against a frame that makes the receiver reserve unbounded memory.
#[tokio::test]
async fn frame_oversized_ends_the_link() {
    let pair = Pair::start().await;
    let mut raw = RawPeer::connect(pair.server.address, &pair.authority).await;
    let length = (64_u32 << 20).to_be_bytes();
    raw.send_bytes(length.to_vec().into()).await.unwrap();
    let ended = tokio::time::timeout(Duration::from_millis(1_000), raw.try_receive()).await;
    assert!(matches!(ended, Ok(None)), "{ended:?}");
    // Other links are not concerned.
    pair.pool
        .call(&pair.peer(), loan("o", 1), TEST_TIMEOUT)
        .await
        .unwrap();
}

/// Guards against a slow reader that stops the other streams and calls of its link, or whose
/// answer is buffered without bound.
#[tokio::test]
async fn reader_slow_holds_back_only_its_own_stream() {
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

/// Guards against a peer that ignores the window and fills the memory of the receiver.
#[tokio::test]
async fn stream_above_window_is_ended() {
    let authority = authority();
    let pool = LinkPool::new(local(&authority, "a", 1));
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let peer = PeerAddress::new("b", listener.local_addr().unwrap());
    let server = async {
        let mut raw = RawPeer::accept(&listener, &authority, "b").await;
        let mut loan_call = None;
        // Control messages overtake forwards, so the order is open.
        for call in [raw.receive_call().await, raw.receive_call().await] {
            if matches!(call.body, Some(Body::LoanRequest(_))) {
                loan_call = Some(call);
                continue;
            }
            for _ in 0..2 {
                let body = Body::ForwardData(piece(STREAM_WINDOW_BYTES));
                raw.send(Envelope::of_call(1, call.sequence, body)).await;
            }
        }
        // This reply follows the pieces, so the caller reads nothing before both have arrived.
        let sequence = loan_call.unwrap().sequence;
        raw.send(Envelope::of_call(1, sequence, grant(1))).await;
        raw
    };
    let caller = async {
        let request = forward("/x", b"");
        let mut stream = pool.forward(&peer, request, TEST_TIMEOUT).await.unwrap();
        pool.call(&peer, loan("o", 1), TEST_TIMEOUT).await.unwrap();
        stream.next().await.unwrap().unwrap();
        stream.next().await.unwrap().unwrap_err()
    };
    let (_raw, error) = tokio::join!(server, caller);
    assert!(matches!(error, LinkError::Protocol { .. }), "{error}");
}

/// Guards against streams that all wait for a segment which only one of them has lost.
#[tokio::test]
async fn forward_stalled_lane_delays_no_other_stream() {
    let settings = LinkSettings {
        forwarding_links: 2,
        ..LinkSettings::default()
    };
    let pair = Pair::with_settings(settings).await;
    let relay = Relay::start(pair.server.address).await;
    let peer = PeerAddress::new("b", relay.address);
    let open = |route| pair.pool.forward(&peer, forward(route, b"x"), TEST_TIMEOUT);
    let _long = open("/until-cancelled").await.unwrap();
    // The second request finds no lane free and has a further one opened.
    let _long_too = open("/until-cancelled").await.unwrap();
    let end = Instant::now() + TEST_TIMEOUT;
    while pair.client.counters().links_opened() < 2 {
        assert!(Instant::now() < end, "no second lane");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    relay.fault_one(0, Fault::Hold);
    let mut stream = open("/echo").await.unwrap();
    let head = tokio::time::timeout(Duration::from_secs(1), stream.next()).await;
    let head = head.expect("the stream waits for the stalled lane");
    assert!(matches!(head, Some(Ok(ForwardEvent::Head(_)))), "{head:?}");
    assert_eq!(pair.client.counters().links_opened(), 2);
}

/// Guards against links that stay open, with their heartbeats, when nobody uses them.
#[tokio::test]
async fn link_idle_is_closed() {
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
