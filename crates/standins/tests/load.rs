//! Tests of the load generator.

mod common;

use std::{net::SocketAddr, process::Command, time::Duration};

use common::{any_port, get};
use hawthornquay_standins::{
    EngineFaults, EngineSettings, LoadPlan, LoadSummary, ModelEngine, OrganisationKey, SizeRange,
    render_load_chart, run_load,
};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Reads one counter of a summary.
type Count = fn(&LoadSummary) -> u64;

async fn engine() -> ModelEngine {
    let settings = EngineSettings {
        decode_ms: 0,
        slots: 64,
        ..EngineSettings::default()
    };
    ModelEngine::start(any_port(), settings).await.unwrap()
}

fn plan(address: SocketAddr) -> LoadPlan {
    LoadPlan {
        instances: vec![address],
        requests_per_s: 100.0,
        duration: Duration::from_millis(300),
        output_tokens: SizeRange(4..=8),
        timeout: Duration::from_millis(500),
        ..LoadPlan::default()
    }
}

/// Responds to every request with status 200 and `body`, in which `NONCE` is replaced by the nonce
/// of the request.
async fn fixed_response_server(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut buf = Vec::new();
                let nonce = loop {
                    if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
                        return;
                    }
                    let text = String::from_utf8_lossy(&buf).into_owned();
                    if text.starts_with("GET") && text.ends_with("\r\n\r\n") {
                        break String::new();
                    }
                    if let Some((_, rest)) = text.split_once("nonce=")
                        && text.ends_with('}')
                    {
                        break rest[..16].to_owned();
                    }
                };
                let body = body.replace("NONCE", &nonce);
                let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n".to_owned();
                let _ = stream.write_all((head + &body).as_bytes()).await;
            });
        }
    });
    address
}

/// Guards against correct answers that are counted as wrong or missing in the report.
#[tokio::test]
async fn correct_answers_are_counted() {
    let engine = engine().await;
    let organisations =
        OrganisationKey::parse_file("# mix\nkolanut key-1 3\n\nyard key-2\n").unwrap();
    let summary = run_load(&LoadPlan {
        organisations,
        ..plan(engine.address())
    })
    .await;
    assert!(summary.sent > 10, "{summary:?}");
    assert_eq!((summary.right, summary.wrong), (summary.sent, 0));
    assert_eq!(summary.times.total_ms.count, summary.sent);
    assert!(summary.times.first_token_ms.count > 0);
    assert!(summary.times.between_tokens_ms.count >= 3 * summary.times.first_token_ms.count);
    let sent = |name: &str| summary.organisations[name].sent;
    assert_eq!(sent("kolanut") + sent("yard"), summary.sent);
    assert!(sent("kolanut") > sent("yard"));
    assert_eq!(engine.counters().keys_seen, summary.sent);
    let svg = render_load_chart(&summary).unwrap();
    assert!(
        svg.starts_with("<svg") && svg.contains("refusals a second"),
        "{svg}"
    );
}

/// Guards against outcomes that are counted as another kind, in particular wrong answers that are
/// counted as correct.
#[tokio::test]
async fn each_outcome_is_counted_separately() {
    let none = EngineFaults::default();
    let cases: [(&str, EngineFaults, f64, Count); 7] = [
        (
            "streamed, wrong nonce",
            EngineFaults {
                wrong_nonce: true,
                ..none
            },
            1.0,
            |s| s.wrong,
        ),
        (
            "not streamed, wrong nonce",
            EngineFaults {
                wrong_nonce: true,
                ..none
            },
            0.0,
            |s| s.wrong,
        ),
        (
            "streamed, aborted",
            EngineFaults {
                break_after_tokens: Some(2),
                ..none
            },
            1.0,
            |s| s.broken,
        ),
        (
            "not streamed, aborted",
            EngineFaults {
                break_after_tokens: Some(2),
                ..none
            },
            0.0,
            |s| s.broken,
        ),
        (
            "silent",
            EngineFaults {
                silent_after_tokens: Some(2),
                ..none
            },
            1.0,
            |s| s.timed_out,
        ),
        (
            "refused",
            EngineFaults {
                leaving: true,
                ..none
            },
            0.5,
            |s| s.refusals.get("503 leaving unstated").copied().unwrap_or(0),
        ),
        ("correct", none, 0.5, |s| s.right),
    ];
    for (name, faults, streamed_share, count) in cases {
        let engine = engine().await;
        engine.set_faults(faults);
        let summary = run_load(&LoadPlan {
            streamed_share,
            ..plan(engine.address())
        })
        .await;
        assert!(summary.sent > 0, "{name}");
        assert_eq!(count(&summary), summary.sent, "{name}: {summary:?}");
    }
    let closed = TcpListener::bind(any_port())
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let summary = run_load(&plan(closed)).await;
    assert_eq!(summary.unreachable, summary.sent);
}

/// Guards against truncated or altered answers, and answers with a wrong usage, that are counted as
/// correct.
#[tokio::test]
async fn incomplete_answers_are_counted_as_wrong() {
    let cases = [
        (0.0, "not JSON"),
        (
            0.0,
            r#"{"choices":[{"message":{"content":"nonce=NONCE t1"}}]}"#,
        ),
        (
            0.0,
            r#"{"choices":[{"message":{"content":"nonce=NONCE t1 t2 t3"}}],
                "usage":{"completion_tokens":5}}"#,
        ),
        (
            1.0,
            "data: {\"choices\":[{\"delta\":{\"content\":\"nonce=NONCE\"}}]}\n\n",
        ),
        (
            1.0,
            "data: {\"choices\":[{\"delta\":{\"content\":\"nonce=NONCE\"}}]}\n\ndata: [DONE]\n\n",
        ),
        (1.0, ""),
        (
            0.0,
            r#"{"choices":[{"message":{"content":"nonce=NONCE t1 t3 t3"}}],
                "usage":{"completion_tokens":4}}"#,
        ),
        (
            1.0,
            "data: {\"choices\":[{\"delta\":{\"content\":\"nonce=NONCE t1 t2 t3\"}}],\
             \"usage\":{\"completion_tokens\":4}}\n\n",
        ),
    ];
    for (streamed_share, body) in cases {
        let address = fixed_response_server(body).await;
        let output_tokens = SizeRange(4..=4);
        let summary = run_load(&LoadPlan {
            streamed_share,
            output_tokens,
            ..plan(address)
        })
        .await;
        assert!(summary.sent > 0);
        assert_eq!(summary.wrong, summary.sent, "{body}: {summary:?}");
    }
    let complete = r#"{"choices":[{"message":{"content":"nonce=NONCE t1 t2 t3"}}],
        "usage":{"completion_tokens":4}}"#;
    let address = fixed_response_server(complete).await;
    let output_tokens = SizeRange(4..=4);
    let summary = run_load(&LoadPlan {
        streamed_share: 0.0,
        output_tokens,
        ..plan(address)
    })
    .await;
    assert_eq!(summary.right, summary.sent, "{summary:?}");
}

/// Guards against a load generator that waits for answers before it sends further requests, which
/// would reduce the load when the servers are overloaded.
#[tokio::test]
async fn arrivals_do_not_wait_for_answers() {
    let engine = engine().await;
    let faults = EngineFaults {
        silent_after_tokens: Some(0),
        ..EngineFaults::default()
    };
    engine.set_faults(faults);
    let summary = run_load(&LoadPlan {
        max_in_flight: 3,
        ..plan(engine.address())
    })
    .await;
    assert_eq!(summary.timed_out, 3);
    assert!(summary.over_concurrency > 5, "{summary:?}");
}

/// Guards against a comparison that omits requests, or sends API keys to the backend server.
#[tokio::test]
async fn every_request_is_compared_with_a_direct_one() {
    let (instance, direct) = (engine().await, engine().await);
    let organisations = OrganisationKey::parse_file("kolanut key-1").unwrap();
    let plan = LoadPlan {
        direct: Some(direct.address()),
        organisations,
        ..plan(instance.address())
    };
    let summary = run_load(&plan).await;
    assert_eq!(summary.right, summary.sent);
    assert_eq!(summary.added_total_ms.count, summary.sent);
    assert_eq!(summary.direct_times.total_ms.count, summary.sent);
    assert_eq!(instance.counters().completed, direct.counters().completed);
    assert_eq!(
        (instance.counters().keys_seen, direct.counters().keys_seen),
        (summary.sent, 0)
    );

    direct.set_faults(EngineFaults {
        wrong_nonce: true,
        ..EngineFaults::default()
    });
    let summary = run_load(&plan).await;
    assert_eq!(
        summary.wrong, summary.sent,
        "wrong direct answers are counted"
    );
}

/// Guards against a load generator that ignores the discovered list, or fails if an instance of the
/// list is unreachable.
#[tokio::test]
async fn requests_go_to_reachable_discovered_instances() {
    let engine = engine().await;
    let closed = TcpListener::bind(any_port())
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let list = format!(
        r#"{{"ttl_ms":60000,"instances":[{{"address":"{closed}"}},{{"address":"{}"}}]}}"#,
        engine.address()
    );
    let seed = fixed_response_server(list.leak()).await;
    let summary = run_load(&LoadPlan {
        discover: true,
        ..plan(seed)
    })
    .await;
    // Requests sent while the first list is fetched go to the seed and get its fixed response.
    assert!(summary.right > summary.sent / 2, "{summary:?}");
    assert_eq!(engine.counters().completed, summary.right);
}

/// Guards against exit status 0 despite wrong answers, and against missing report files.
#[tokio::test]
async fn program_exits_with_1_on_wrong_answers() {
    let engine = engine().await;
    let dir = std::env::temp_dir().join(format!("hawthornquay-load-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (report, svg) = (dir.join("report.json"), dir.join("load.svg"));
    let address = engine.address().to_string();
    for (wrong_nonce, code) in [(false, 0), (true, 1)] {
        engine.set_faults(EngineFaults {
            wrong_nonce,
            ..EngineFaults::default()
        });
        let mut command = Command::new(env!("CARGO_BIN_EXE_hawthornquay-load"));
        command.args([
            "--instance",
            &address,
            "--duration-s",
            "1",
            "--output-tokens",
            "4",
        ]);
        command.arg("--report").arg(&report).arg("--svg").arg(&svg);
        let output = tokio::task::spawn_blocking(move || command.output()).await;
        let output = output.unwrap().unwrap();
        assert_eq!(output.status.code(), Some(code), "{output:?}");
        let text = std::fs::read_to_string(&report).unwrap();
        let value: Value = serde_json::from_str(&text).unwrap();
        let counted = if wrong_nonce { "wrong" } else { "right" };
        assert_eq!(value[counted], value["sent"], "{text}");
        assert!(std::fs::read_to_string(&svg).unwrap().starts_with("<svg"));
    }
    std::fs::remove_dir_all(dir).unwrap();
    assert!(get(engine.address(), "/load").await["slots"] == 64);
}

/// Guards against an exit status for invalid input that equals the one for wrong answers.
#[test]
fn program_exits_with_2_on_invalid_input() {
    let cases: [&[&str]; 4] = [
        &[],
        &["--instance", "nowhere"],
        &["--instance", "127.0.0.1:1", "--keys", "/absent/keys"],
        &["--instance", "127.0.0.1:1", "--output-tokens", "8-4"],
    ];
    for args in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_hawthornquay-load"))
            .args(args)
            .output();
        let output = output.unwrap();
        assert_eq!(output.status.code(), Some(2), "{args:?}: {output:?}");
        assert!(!output.stderr.is_empty(), "{args:?}");
    }
}
