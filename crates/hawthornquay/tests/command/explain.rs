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
