//! Tests of lost answers against scripted servers and the stand-in.

mod common;

use std::sync::Arc;

use common::{Reply, answer, any_port, client, outcome, read_request, scripted};
use hawthornquay_standins::{Platform, PlatformFaults, PlatformSettings};
use hawthornquay_store::Revision;
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

/// Guards against answers that are taken for success or for certain refusals when they are not.
#[tokio::test]
async fn odd_answers_are_lost() {
    let cases = [
        (Reply::Answer(200, r#"{"revision":1}"#.to_owned()), "ok"),
        (Reply::Answer(200, "{".to_owned()), "lost, malformed"),
        (Reply::Answer(409, "{".to_owned()), "lost, malformed"),
        (Reply::Answer(409, "null".to_owned()), "conflict, absent"),
        (Reply::Answer(500, "{}".to_owned()), "lost, status"),
        (Reply::Answer(502, "{}".to_owned()), "lost, status"),
        (Reply::Close, "lost, broken"),
        (Reply::Silence, "lost, timeout"),
    ];
    for (reply, expected) in cases {
        let client = client(scripted(vec![reply.clone()]).await);
        let written = client.create("k", TOKEN, None).await;
        assert_eq!(outcome(&written), expected, "{reply:?}");
    }
}

/// Guards against a resolved write that is reported wrongly, in each order of events.
#[tokio::test]
async fn write_with_token_resolves() {
    let ok = |revision: u64| Reply::Answer(200, format!(r#"{{"revision":{revision}}}"#));
    let read = |value: &str, revision| Reply::Answer(200, entry(value, revision));
    let conflict = |value: &str, revision| Reply::Answer(409, entry(value, revision));
    let absent = || Reply::Answer(404, "{}".to_owned());
    let (lost, silent) = (Reply::Close, Reply::Silence);
    let outage = || Reply::Answer(503, "{}".to_owned());
    // Name, revision expected, replies, outcome, revision written.
    let cases = [
        ("answered", 0, vec![ok(1)], "ok", 1),
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
            vec![lost.clone(), read("token", 5)],
            "ok",
            5,
        ),
        (
            "silent, took effect",
            4,
            vec![silent, read("token", 5)],
            "ok",
            5,
        ),
        (
            "created again",
            0,
            vec![lost.clone(), absent(), ok(6)],
            "ok",
            6,
        ),
        (
            "written again",
            4,
            vec![lost.clone(), read("other", 4), ok(6)],
            "ok",
            6,
        ),
        (
            "took effect late",
            4,
            vec![lost.clone(), read("other", 4), conflict("token", 6)],
            "ok",
            6,
        ),
        (
            "replaced",
            4,
            vec![lost.clone(), read("other", 6)],
            "lost, superseded",
            0,
        ),
        (
            "deleted",
            4,
            vec![lost.clone(), absent()],
            "lost, superseded",
            0,
        ),
        (
            "replaced late",
            4,
            vec![lost.clone(), read("other", 4), conflict("other", 7)],
            "lost, superseded",
            0,
        ),
        (
            "outage at read-back",
            0,
            vec![lost.clone(), outage()],
            "lost, broken",
            0,
        ),
        (
            "outage at the second write",
            0,
            vec![lost, absent(), outage()],
            "lost, broken",
            0,
        ),
    ];
    for (name, expect, replies, expected, revision) in cases {
        let client = client(scripted(replies).await);
        let written = client
            .compare_and_swap_verified("k", TOKEN, Revision(expect), None)
            .await;
        assert_eq!(outcome(&written), expected, "{name}");
        assert_eq!(written.unwrap_or_default(), Revision(revision), "{name}");
    }
}

/// Guards against a write that is done twice, or reported as unknown although the platform loses
/// several answers in a row.
#[tokio::test]
async fn write_with_token_against_platform() {
    let platform = Platform::start(any_port(), PlatformSettings::default())
        .await
        .unwrap();
    let client = client(platform.address());
    for lost in 0..4 {
        platform.set_faults(PlatformFaults {
            lose_answers: lost,
            ..PlatformFaults::default()
        });
        let key = format!("claim/{lost}");
        let before = platform.counters().revision;
        let written = client
            .compare_and_swap_verified(&key, TOKEN, Revision(0), None)
            .await
            .unwrap();
        assert_eq!(written, Revision(before + 1));
        assert_eq!(platform.counters().revision, before + 1, "written once");
        let second = client
            .compare_and_swap_verified(&key, b"another", Revision(0), None)
            .await;
        assert_eq!(outcome(&second), "conflict, present");
    }
}

/// Guards against a pool whose other connections went silent together with one: each further call
/// would wait for its time limit.
#[tokio::test]
async fn silent_connections_are_replaced() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let both_asked = Arc::new(Barrier::new(2));
    tokio::spawn(async move {
        for number in 0.. {
            let (mut stream, _) = listener.accept().await.unwrap();
            let both_asked = Arc::clone(&both_asked);
            tokio::spawn(async move {
                while read_request(&mut stream).await {
                    if number < 2 {
                        both_asked.wait().await;
                    }
                    answer(&mut stream, 200, &entry("token", 1), "keep-alive").await;
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
    assert_eq!(outcome(&client.get("k").await), "lost, timeout");
    for _ in 0..3 {
        assert_eq!(outcome(&client.get("k").await), "ok");
    }
}
