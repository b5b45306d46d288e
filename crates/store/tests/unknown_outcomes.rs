//! Tests of calls with unknown outcome against scripted servers and the stand-in platform.

mod common;

use std::sync::Arc;

use common::{Reply, any_port, client, outcome, read_request, respond, start_scripted_server};
use hawthornquay_standins::{Platform, PlatformFaults, PlatformSettings};
use hawthornquay_store::StoreRevision;
use tokio::{net::TcpListener, sync::Barrier};

const TOKEN: &[u8] = b"token";

fn entry(value: &str, revision: u64) -> String {
    // "token" and "other" in base64.
    let value = if value == "token" {
        "dG9rZW4="
    } else {
        "b3RoZXI="
    };
    format!(r#"{{"key":"k","value":"{value}","revision":{revision}}}"#)
}

/// Guards against invalid responses being taken for a success, or for a rejection without effect.
#[tokio::test]
async fn invalid_response_is_an_unknown_outcome() {
    let cases = [
        (Reply::Respond(200, r#"{"revision":1}"#.to_owned()), "ok"),
        (Reply::Respond(200, "{".to_owned()), "unknown, malformed"),
        (Reply::Respond(409, "{".to_owned()), "unknown, malformed"),
        (Reply::Respond(409, "null".to_owned()), "conflict, absent"),
        (Reply::Respond(500, "{}".to_owned()), "unknown, status"),
        (Reply::Respond(502, "{}".to_owned()), "unknown, status"),
        (Reply::Close, "unknown, connection lost"),
        (Reply::Stall, "unknown, timeout"),
    ];
    for (reply, expected) in cases {
        let client = client(start_scripted_server(vec![reply.clone()]).await);
        let written = client.create("k", TOKEN, None).await;
        assert_eq!(outcome(&written), expected, "{reply:?}");
    }
}

/// Guards against a wrong result of a verified write, for each order in which the write and the
/// writes of others can take effect.
#[tokio::test]
async fn verified_write_resolves_unknown_outcome() {
    let ok = |revision: u64| Reply::Respond(200, format!(r#"{{"revision":{revision}}}"#));
    let read = |value: &str, revision| Reply::Respond(200, entry(value, revision));
    let conflict = |value: &str, revision| Reply::Respond(409, entry(value, revision));
    let absent = || Reply::Respond(404, "{}".to_owned());
    let (closed, stalled) = (Reply::Close, Reply::Stall);
    let outage = || Reply::Respond(503, "{}".to_owned());
    // Name, expected revision, replies, outcome, written revision.
    let cases = [
        ("response received", 0, vec![ok(1)], "ok", 1),
        (
            "conflict",
            0,
            vec![conflict("other", 1)],
            "conflict, present",
            0,
        ),
        ("outage", 0, vec![outage()], "outage", 0),
        (
            "took effect",
            0,
            vec![closed.clone(), read("token", 5)],
            "ok",
            5,
        ),
        (
            "timed out, took effect",
            4,
            vec![stalled, read("token", 5)],
            "ok",
            5,
        ),
        (
            "created again",
            0,
            vec![closed.clone(), absent(), ok(6)],
            "ok",
            6,
        ),
        (
            "written again",
            4,
            vec![closed.clone(), read("other", 4), ok(6)],
            "ok",
            6,
        ),
        (
            "took effect late",
            4,
            vec![closed.clone(), read("other", 4), conflict("token", 6)],
            "ok",
            6,
        ),
        (
            "replaced",
            4,
            vec![closed.clone(), read("other", 6)],
            "unknown, different value",
            0,
        ),
        (
            "deleted",
            4,
            vec![closed.clone(), absent()],
            "unknown, different value",
            0,
        ),
        (
            "replaced late",
            4,
            vec![closed.clone(), read("other", 4), conflict("other", 7)],
            "unknown, different value",
            0,
        ),
        (
            "outage during read-back",
            0,
            vec![closed.clone(), outage()],
            "unknown, connection lost",
            0,
        ),
        (
            "outage during the second write",
            0,
            vec![closed, absent(), outage()],
            "unknown, connection lost",
            0,
        ),
    ];
    for (name, expect, replies, expected, revision) in cases {
        let client = client(start_scripted_server(replies).await);
        let written = client
            .compare_and_swap_verified("k", TOKEN, common::revision(expect), None)
            .await;
        assert_eq!(outcome(&written), expected, "{name}");
        assert_eq!(
            written.unwrap_or_default(),
            common::revision(revision),
            "{name}"
        );
    }
}

/// Guards against a verified write that takes effect twice, or that remains unknown because the
/// platform drops several responses in a row.
#[tokio::test]
async fn verified_write_takes_effect_once_despite_lost_responses() {
    let platform = Platform::start(any_port(), PlatformSettings::default())
        .await
        .unwrap();
    let client = client(platform.address());
    for lost_responses in 0..4 {
        platform.set_faults(PlatformFaults {
            lose_answers: lost_responses,
            ..PlatformFaults::default()
        });
        let key = format!("claim/{lost_responses}");
        let before = platform.counters().revision;
        let written = client
            .compare_and_swap_verified(&key, TOKEN, StoreRevision::ABSENT, None)
            .await
            .unwrap();
        assert_eq!(written, common::revision(before + 1));
        assert_eq!(
            platform.counters().revision,
            before + 1,
            "the key is written once"
        );
        let second = client
            .compare_and_swap_verified(&key, b"another", StoreRevision::ABSENT, None)
            .await;
        assert_eq!(outcome(&second), "conflict, present");
    }
}

/// Guards against reuse of pooled connections after one of them has timed out: a network fault can
/// stall all of them at once, and each further call would then time out.
#[tokio::test]
async fn stalled_connections_are_replaced_after_one_timeout() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let both_received = Arc::new(Barrier::new(2));
    tokio::spawn(async move {
        for number in 0.. {
            let (mut stream, _) = listener.accept().await.unwrap();
            let both_received = Arc::clone(&both_received);
            tokio::spawn(async move {
                while read_request(&mut stream).await {
                    if number < 2 {
                        both_received.wait().await;
                    }
                    respond(&mut stream, 200, &entry("token", 1), "keep-alive").await;
                    if number < 2 {
                        std::future::pending::<()>().await;
                    }
                }
            });
        }
    });
    let client = client(address);
    let (first, second) = tokio::join!(client.get("k"), client.get("k"));
    assert_eq!((outcome(&first), outcome(&second)), ("ok", "ok"));
    assert_eq!(outcome(&client.get("k").await), "unknown, timeout");
    for _ in 0..3 {
        assert_eq!(outcome(&client.get("k").await), "ok");
    }
}
