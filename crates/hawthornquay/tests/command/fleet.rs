//! Guards against a fleet that is reported as agreeing although nobody knows.

use hawthornquay_decisions::InstanceState;
use hawthornquay_standins::PlatformFaults;
use serde_json::Value;

use crate::{
    instance::{Reply, report, start_instance},
    store::{TestPlatform, read_faults, unused_address},
    workplace::Workplace,
};

/// Guards against wrong exit codes for versions that differ or instances that do not answer.
#[test]
fn fleet_named_instances_are_compared() {
    let workplace = Workplace::new("fleet-named");
    let first = start_instance("/fleet", report("a-1", 7));
    let same = start_instance("/fleet", report("a-2", 7));
    let other = start_instance("/fleet", report("a-3", 8));
    for (instances, code, message) in [
        (vec![first], 0, "version 7 at all 1 that answered"),
        (vec![first, same], 0, "version 7 at all 2 that answered"),
        (
            vec![first, same, other],
            1,
            "versions differ: 7 at 2, 8 at 1",
        ),
    ] {
        let arguments: Vec<_> = instances.iter().map(ToString::to_string).collect();
        let ran = workplace.run(&format!("fleet {}", arguments.join(" ")));
        assert_eq!(ran.code, code, "{ran:?}");
        assert!(ran.stdout.contains(message), "{ran:?}");
        let row = format!("a-1       {first}  live   7        5          1/2");
        assert!(ran.stdout.contains(&row), "{}", ran.stdout);
    }
}

/// Guards against an instance without a usable answer that counts as agreeing or stops the rest.
#[test]
fn fleet_unusable_answers_are_reported() {
    let workplace = Workplace::new("fleet-silent");
    let good = start_instance("/fleet", report("a-1", 7));
    let refused = unused_address();
    let silent = start_instance("/fleet", Reply::Silence);
    let half = start_instance("/fleet", Reply::HalfAnswer);
    let failing = start_instance("/fleet", Reply::Answer(500, String::new()));
    let malformed = start_instance("/fleet", Reply::Answer(200, "{\"version\":7}".to_owned()));
    let endless = start_instance("/fleet", Reply::Answer(200, " ".repeat(8 << 20)));
    for (address, message) in [
        (refused, "the connection failed"),
        (silent, "nothing came within 2 s"),
        (half, "the connection failed"),
        (failing, "status 500"),
        (malformed, "the answer is malformed"),
        (endless, "the connection failed"),
    ] {
        let ran = workplace.run(&format!("fleet --json {address} {good}"));
        assert_eq!(ran.code, 1, "{message}: {ran:?}");
        let error = ran.json()["instances"][0]["error"].to_string();
        assert!(error.contains(message), "{error}");
        assert_eq!(ran.json()["without_answer"], 1, "{message}");
        assert_eq!(ran.json()["instances"][1]["report"]["bundle_version"], 7);
        let ran = workplace.run(&format!("fleet {address} {good}"));
        assert!(ran.stderr.contains(&address.to_string()), "{ran:?}");
    }
}

/// Guards against listed instances that are skipped, and against gone ones that count as silent.
#[test]
fn fleet_listed_instances_are_asked() {
    let workplace = Workplace::new("fleet-listed");
    let platform = TestPlatform::start();
    let command = format!("fleet --json --platform {}", platform.address());
    let ran = workplace.run(&command);
    assert_eq!(ran.code, 1, "an empty list shows nothing: {ran:?}");

    let first = start_instance("/fleet", report("a-1", 7));
    let leaving = start_instance("/fleet", report("a-2", 7));
    platform.list_instance("a-1", first, InstanceState::Live);
    platform.list_instance("a-2", leaving, InstanceState::Leaving);
    platform.list_instance("a-3", unused_address(), InstanceState::Gone);
    let ran = workplace.run(&command);
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(ran.json()["instances"][1]["listed"], "leaving");
    assert_eq!(ran.json()["instances"][2]["state"], "gone");
    assert_eq!(ran.json()["instances"][2]["report"], Value::Null);

    platform.list_instance("a-4", first, InstanceState::Live);
    let ran = workplace.run(&command);
    assert_eq!(ran.code, 1, "{ran:?}");
    let error = ran.json()["instances"][3]["error"].to_string();
    assert!(error.contains("`a-1` answers there"), "{error}");
}

/// Guards against a platform without an answer that is taken for an empty fleet.
#[test]
fn fleet_unreachable_platform_has_its_code() {
    let workplace = Workplace::new("fleet-outage");
    let platform = TestPlatform::start();
    for (name, faults) in read_faults() {
        platform.set_faults(faults);
        let ran = workplace.run(&format!("fleet --json --platform {}", platform.address()));
        assert_eq!(ran.code, 3, "{name}: {ran:?}");
        platform.set_faults(PlatformFaults::default());
    }
    let limited = start_instance("/instances", Reply::Answer(429, String::new()));
    let malformed = start_instance("/instances", Reply::Answer(200, "{}".to_owned()));
    let half = start_instance("/instances", Reply::HalfAnswer);
    for (address, message) in [
        (unused_address(), "cannot be reached"),
        (limited, "the rate of the store is exceeded"),
        (malformed, "the answer of the platform was lost"),
        (half, "the answer of the platform was lost"),
    ] {
        let ran = workplace.run(&format!("fleet --json --platform {address}"));
        assert_eq!(ran.code, 3, "{ran:?}");
        let said = ran.json()["error"]["message"].to_string();
        assert!(said.contains(message), "{said}");
    }
}
