//! Guards against an explanation of another request, or none without a reason.

use hawthornquay_callers::RequestOutcome;
use hawthornquay_decisions::{Execution, InstanceState, RequestId};
use serde_json::json;

use crate::{
    instance::{Reply, start_instance},
    store::{TestPlatform, read_faults, unused_address},
    workplace::Workplace,
};

const ID: &str = "lagos-a-1-00000000000000ff-12";
const PATH: &str = "/requests/lagos-a-1-00000000000000ff-12";

fn outcome(id: &str) -> Reply {
    let outcome = RequestOutcome {
        request_id: RequestId::new(id),
        execution: Execution::Ran,
        finished: true,
        status: Some(200),
        decisions: vec!["sent to engine-1".to_owned()],
    };
    Reply::Answer(200, json!(outcome).to_string())
}

/// Guards against a request that is looked for at another instance than its identifier names.
#[test]
fn explain_finds_the_instance_of_the_request() {
    let workplace = Workplace::new("explain");
    let platform = TestPlatform::start();
    let address = start_instance(PATH, outcome(ID));
    // Its name is the start of the other's.
    platform.list_instance("lagos-a", unused_address(), InstanceState::Live);
    platform.list_instance("lagos-a-1", address, InstanceState::Live);
    for target in [
        address.to_string(),
        format!("--platform {}", platform.address()),
    ] {
        let ran = workplace.run(&format!("explain {target} {ID}"));
        assert_eq!(ran.code, 0, "{ran:?}");
        assert_eq!(
            ran.stdout,
            format!("request {ID}: finished, ran, status 200\n  1. sent to engine-1\n")
        );
        let ran = workplace.run(&format!("explain --json {target} {ID}"));
        assert_eq!(ran.json()["decisions"][0], "sent to engine-1");
    }
}

/// Guards against an instance without a usable answer that passes for an unknown request.
#[test]
fn explain_reports_faults_of_the_instance() {
    let workplace = Workplace::new("explain-faults");
    let other = outcome("lagos-a-1-00000000000000ff-13");
    let forgotten = start_instance("/requests/other", outcome(ID));
    for (address, message) in [
        (forgotten, "does not know request"),
        (unused_address(), "the connection failed"),
        (
            start_instance(PATH, Reply::Silence),
            "nothing came within 2 s",
        ),
        (
            start_instance(PATH, Reply::HalfAnswer),
            "the connection failed",
        ),
        (
            start_instance(PATH, Reply::Answer(503, String::new())),
            "status 503",
        ),
        (
            start_instance(PATH, Reply::Answer(200, "[]".to_owned())),
            "malformed",
        ),
        (start_instance(PATH, other), "it answered for request"),
    ] {
        let ran = workplace.run(&format!("explain --json {address} {ID}"));
        assert_eq!(ran.code, 1, "{message}: {ran:?}");
        let said = ran.json()["error"]["message"].to_string();
        assert!(said.contains(message), "{said}");
    }
}

/// Guards against a missing instance that is taken for a platform without an answer.
#[test]
fn explain_reports_faults_of_the_platform() {
    let workplace = Workplace::new("explain-platform");
    let platform = TestPlatform::start();
    let command = format!("explain --json --platform {} {ID}", platform.address());
    let ran = workplace.run(&command);
    assert_eq!(ran.code, 1, "{ran:?}");
    let said = ran.json()["error"]["message"].to_string();
    assert!(said.contains("lists no instance `lagos-a-1`"), "{said}");
    for (name, faults) in read_faults() {
        platform.set_faults(faults);
        assert_eq!(workplace.run(&command).code, 3, "{name}");
    }
}

/// Guards against identifiers that reach into other paths of the interface.
#[test]
fn explain_refuses_malformed_identifiers() {
    let workplace = Workplace::new("explain-id");
    for id in [
        "12",
        "a-1-12",
        "-00000000000000ff-12",
        "a-00000000000000ff-",
        "a-00000000000000ff-x",
        "../fleet-00000000000000ff-12",
        "a?-00000000000000ff-12",
    ] {
        let ran = workplace.run(&format!("explain --json {} {id}", unused_address()));
        assert_eq!(ran.code, 2, "{id}: {ran:?}");
        let said = ran.json()["error"]["message"].to_string();
        assert!(said.contains("is no identifier of a request"), "{said}");
    }
}

/// Guards against logs whose story leaves out the other instance, or that pass for another request.
#[test]
fn explain_logs_of_two_instances_give_one_story() {
    let workplace = Workplace::new("explain-logs");
    let line = |ts: &str, fields: &str| {
        format!(
            "{{\"msg\":\"requests: request ended\",\"ts\":\"2026-12-04T10:00:{ts}Z\",{fields}}}\n"
        )
    };
    let near = line(
        "02.5",
        r#""id":"r1","outcome":"backend-failed","execution":"unknown","forwarded":false,"attempts":"front-2@far broken""#,
    );
    let far = line(
        "02.4",
        r#""id":"r1","outcome":"caller-left","execution":"unknown","forwarded":true,"attempts":"i-7~20ms/0""#,
    );
    std::fs::write(workplace.path("front-1.log"), &near).unwrap();
    let cut_off = format!("{far}{{\"msg\":\"cut off");
    std::fs::write(workplace.path("front-2.log"), cut_off).unwrap();
    let ran = workplace.run("explain --log front-1.log --log front-2.log r1");
    assert_eq!(ran.code, 0, "{ran:?}");
    let lines: Vec<&str> = ran.stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{ran:?}");
    assert!(lines[0].contains("front-2") && lines[0].contains("i-7~20ms/0"));
    assert!(
        lines[2].starts_with("cause: the answer was lost"),
        "{ran:?}"
    );
    let ran = workplace.run("explain --log front-1.log r2");
    assert_ne!(ran.code, 0);
    assert!(ran.stderr.contains("names request `r2`"), "{ran:?}");
}
