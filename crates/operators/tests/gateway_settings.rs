//! Checks which values of the gateway's settings are accepted.
//!
//! The platform fills in its bounds as whole numbers or fractions, and leaves out those that are not
//! in force. A value that stops one instance stops the whole fleet.

use std::time::Duration;

use hawthornquay_operators::{GatewaySettings, MachineSettings};

const TEXT: &str = "[instance]
name = lagos-1
region = lagos
domain = lagos-a
callers = 127.0.0.1:7001
peers = 127.0.0.1:7002
[status]
readiness = 127.0.0.1:7003
directory = 127.0.0.1:7004
metrics = 127.0.0.1:7005
[places]
domain.lagos-a = lagos
[store]
address = 127.0.0.1:7000
registration_ms = 3500
[routing]
region_round_trip_ms = 116
send_away_margin_ms = 40
[retries]
ratio = 0.2
slack = 58
[limits]
slack_tokens = 1000
[stop]
grace_s = 8
[log]
format = json
level = info
";

fn read(from: &str, to: &str) -> Result<GatewaySettings, Vec<String>> {
    assert!(TEXT.contains(from), "{from}");
    GatewaySettings::read("s.ini", &TEXT.replace(from, to)).map_err(|faults| {
        let messages = faults.faults.iter().map(|fault| fault.message.clone());
        messages.collect()
    })
}

/// Guards against a fleet that does not start because a bound is a fraction, zero or not stated.
#[test]
fn read_bound_with_sound_meaning_is_accepted() {
    #[rustfmt::skip]
    let slacks = [
        ("slack = 58", 58), ("slack = 33.1578947368421", 33), ("slack = 0", 0), ("slack = 0.4", 0),
        ("slack =", 0), ("", 0), ("slack = 1e3", 1_000), ("slack = 1e12", u32::MAX),
    ];
    for (field, expected) in slacks {
        let settings = read("slack = 58", field).unwrap();
        assert_eq!(settings.retry_slack, expected, "{field}");
    }
    let ratios = [("ratio = 0", 0.0), ("ratio = 1", 1.0), ("ratio =", 0.0)];
    for (field, expected) in ratios {
        let settings = read("ratio = 0.2", field).unwrap();
        assert!(
            (settings.retry_ratio - expected).abs() < f64::EPSILON,
            "{field}"
        );
    }
    #[rustfmt::skip]
    let limits = [
        ("slack_tokens = 7368.42", 7_368), ("slack_tokens = 0", 0), ("slack_tokens =", 0), ("", 0),
    ];
    for (field, expected) in limits {
        let settings = read("slack_tokens = 1000", field).unwrap();
        assert_eq!(settings.limit_slack, expected, "{field}");
    }
    #[rustfmt::skip]
    let graces = [
        ("grace_s = 8", 8_000), ("grace_s = 2.5", 2_500), ("grace_s = 0", 0), ("grace_s =", 5_000),
    ];
    for (field, expected) in graces {
        let settings = read("grace_s = 8", field).unwrap();
        assert_eq!(
            settings.stop_grace,
            Duration::from_millis(expected),
            "{field}"
        );
    }
}

/// Guards against a start delay of instances that start again, and against links of unknown speed
/// that stop the start.
#[test]
fn read_instance_fields_not_stated_have_defaults() {
    let settings = read("peers", "peers").unwrap();
    assert!(!settings.first_start);
    assert_eq!(settings.link_mbps, 0);
    let stated = "domain = lagos-a\nfirst_start = yes\nlink_mbps = 20.5";
    let settings = read("domain = lagos-a", stated).unwrap();
    assert!(settings.first_start);
    assert_eq!(settings.link_mbps, 20);
    let faults = read("domain = lagos-a", "domain = lagos-a\nfirst_start = true").unwrap_err();
    assert!(faults[0].contains("first_start"), "{faults:?}");
}

/// Guards against a fleet that does not start because the platform leaves out a limit of the machine,
/// states it as a fraction, or states others, too.
#[test]
fn read_machine_any_stated_limits_is_accepted() {
    let default = MachineSettings::default();
    assert_eq!((default.memory_mb, default.descriptors), (256, None));
    #[rustfmt::skip]
    let cases = [
        ("", 256, None),
        ("[machine]\n", 256, None),
        ("[machine]\nmemory_mb =\ndescriptors =\n", 256, None),
        ("[machine]\nmemory_mb = 0\ndescriptors = 0.5\n", 256, None),
        ("[machine]\nmemory_mb = 120.9\ndescriptors = 3075.5\n", 120, Some(3_075)),
        ("[machine]\nmemory_mb = 512\nlink_mbps = 20\ncores = x\n", 512, None),
        ("[machine]\ndescriptors = 1e4\n", 256, Some(10_000)),
    ];
    for (section, memory_mb, descriptors) in cases {
        let machine = read("[log]\n", &format!("{section}[log]\n"))
            .unwrap()
            .machine;
        let expected = MachineSettings {
            memory_mb,
            descriptors,
        };
        assert_eq!(machine, expected, "{section}");
    }
    let faults = read("[log]\n", "[machine]\nmemory_mb = much\n[log]\n").unwrap_err();
    assert!(faults[0].contains("`memory_mb` is `much`"), "{faults:?}");
}

/// Guards against a bound without meaning that is taken for another value.
#[test]
fn read_bound_without_meaning_is_refused_by_name() {
    #[rustfmt::skip]
    let cases = [
        ("slack = 58", "slack = -1", "`slack` is `-1`, not a number of at least 0"),
        ("slack = 58", "slack = NaN", "`slack` is `NaN`, not a number of at least 0"),
        ("slack = 58", "slack = inf", "`slack` is `inf`, not a number of at least 0"),
        ("slack = 58", "slack = true", "`slack` is `true`, not a number of at least 0"),
        ("slack_tokens = 1000", "slack_tokens = -0.5", "`slack_tokens` is `-0.5`, not a number of at least 0"),
        ("grace_s = 8", "grace_s = 8 s", "`grace_s` is `8 s`, not a number of at least 0"),
        ("ratio = 0.2", "ratio = 1.5", "`ratio` is `1.5`, not a number from 0 to 1"),
    ];
    for (from, to, message) in cases {
        let faults = read(from, to).unwrap_err();
        assert!(faults.iter().any(|found| found == message), "{faults:?}");
    }
}
