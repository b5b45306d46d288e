//! Guards against audit records that are hidden, or shown in an order that never was.

use hawthornquay_operators::{AuditAction, AuditRecord, BundleDigest};
use hawthornquay_standins::{PlatformFaults, PlatformSettings};
use serde_json::json;

use crate::{
    relay::{Loss, start_relay},
    store::{TestPlatform, read_faults, unused_address},
    workplace::Workplace,
};

fn record(version: u64, who: &str) -> String {
    let record = AuditRecord {
        who: who.to_owned(),
        action: AuditAction::BundleAccepted {
            version,
            digest: BundleDigest([7; 32]),
            changes: None,
        },
        when_ms: 1_796_365_804_250,
    };
    json!(record).to_string()
}

/// Guards against an order by text, in which revision 10 stands before revision 9.
#[test]
fn audit_follows_the_revisions() {
    let workplace = Workplace::new("audit-order");
    let platform = TestPlatform::start();
    let command = format!("audit --platform {}", platform.address());
    let ran = workplace.run(&command);
    assert_eq!(ran.code, 0, "{ran:?}");

    // Version 3 was recorded only after version 4 had replaced it.
    for (key, version) in [("audit/100", 4), ("audit/9", 1), ("audit/10", 2)] {
        platform.write(key, &record(version, "ada"));
    }
    platform.write("audit/version-3", &record(3, "bola"));
    let ran = workplace.run(&format!("{command} --json"));
    assert_eq!(ran.code, 0, "{ran:?}");
    let versions: Vec<_> = (0..4)
        .map(|index| ran.json()[index]["version"].clone())
        .collect();
    assert_eq!(versions, [1, 2, 3, 4]);
    assert_eq!(ran.json()[0]["when"], "2026-12-04T06:30:04.25Z");
    let ran = workplace.run(&command);
    assert!(
        ran.stdout
            .contains("2026-12-04T06:30:04.25Z  bola  bundle-accepted  3"),
        "{}",
        ran.stdout
    );
}

/// Guards against orders that are hidden, or shown apart from the bundles around them, and against
/// records of older versions that are refused.
#[test]
fn audit_shows_orders_among_bundles() {
    let workplace = Workplace::new("audit-orders");
    let platform = TestPlatform::start();
    let order = |model: &str| {
        json!({"who": "lagos-1#7", "what": "order-sent", "server": "engine-1",
            "kind": "load-model", "model": model, "fence": 9, "when_ms": 2})
    };
    platform.write("audit/9-10", &order("last").to_string());
    platform.write("audit/9-2", &order("second").to_string());
    let orderer = json!({"who": "lagos-1#7", "what": "orderer-changed", "domain": "lagos-a",
        "instance": "lagos-1", "fence": 9, "when_ms": 1});
    platform.write("audit/9-0", &orderer.to_string());
    let digest = "07".repeat(32);
    let accepted = json!({"who": "ada", "what": "bundle-accepted", "version": 2, "digest": digest,
        "changes": {"key": {"added": 1, "changed": 0, "removed": 2}}, "when_ms": 3});
    platform.write("audit/100", &accepted.to_string());
    // Written before the records held changes.
    let old = json!({"who": "ada", "what": "bundle-accepted", "version": 1, "digest": digest,
        "when_ms": 0});
    platform.write("audit/8", &old.to_string());

    let ran = workplace.run(&format!("audit --platform {}", platform.address()));
    assert_eq!(ran.code, 0, "{ran:?}");
    let rows: Vec<&str> = ran.stdout.lines().skip(1).collect();
    for (row, parts) in rows.iter().zip([
        ["8 ", "bundle-accepted", "1 "],
        [
            "9-0 ",
            "orderer-changed",
            "lagos-1 orders in lagos-a, fence 9",
        ],
        [
            "9-2 ",
            "order-sent",
            "load-model second at engine-1, fence 9",
        ],
        [
            "9-10 ",
            "order-sent",
            "load-model last at engine-1, fence 9",
        ],
        ["100 ", "bundle-accepted", "key +1 -2"],
    ]) {
        assert!(row.starts_with(parts[0]), "{row}");
        assert!(parts.iter().all(|part| row.contains(part)), "{row}");
    }
    assert_eq!(rows.len(), 5, "{}", ran.stdout);
    let ran = workplace.run(&format!("audit --json --platform {}", platform.address()));
    assert_eq!(ran.json()[2]["model"], "second");
    assert_eq!(ran.json()[4]["changes"]["key"]["removed"], 2);
}

/// Guards against one malformed record that hides the others, or passes unnoticed.
#[test]
fn audit_reports_malformed_records() {
    let workplace = Workplace::new("audit-malformed");
    let platform = TestPlatform::start();
    platform.write("audit/1", &record(1, "ada"));
    platform.write("audit/2", "no record");
    platform.write("audit/3", &record(u64::MAX, "\u{1b}[2Jeve"));
    platform.write(
        "audit/4",
        &record(3, "ada").replace("1796365804250", "18446744073709551615"),
    );
    platform.write("audit/5", &record(3, "ada").replace("who", "whom"));
    let unknown = record(3, "ada").replacen('{', "{\"why\":1,", 1);
    platform.write("audit/6", &unknown);
    let command = format!("audit --platform {}", platform.address());
    let ran = workplace.run(&command);
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(
        ran.stderr.contains("audit/6: the record is malformed"),
        "{ran:?}"
    );
    assert!(
        ran.stderr.contains("audit/2: the record is malformed"),
        "{ran:?}"
    );
    assert!(
        ran.stderr.contains("audit/5: the record is malformed"),
        "{ran:?}"
    );
    assert!(ran.stdout.contains("?[2Jeve"), "{ran:?}");
    assert!(ran.stdout.contains("18446744073709551615 ms"), "{ran:?}");
    let ran = workplace.run(&format!("{command} --json"));
    assert_eq!(ran.code, 1, "{ran:?}");
    assert_eq!(ran.json()[1]["key"], "audit/2");
    assert_eq!(ran.json()[3]["version"], 3);
}

/// Guards against a store without an answer that is taken for one without records.
#[test]
fn audit_unreachable_platform_has_its_code() {
    let workplace = Workplace::new("audit-outage");
    let platform = TestPlatform::start();
    let limited = TestPlatform::with(PlatformSettings {
        reads_per_s: 0,
        ..PlatformSettings::default()
    });
    for (name, faults) in read_faults() {
        platform.set_faults(faults);
        let ran = workplace.run(&format!("audit --platform {}", platform.address()));
        assert_eq!(ran.code, 3, "{name}: {ran:?}");
        platform.set_faults(PlatformFaults::default());
    }
    for (loss, code) in [(Loss::Once, 0), (Loss::FromThenOn, 3)] {
        let relay = start_relay(platform.address(), "GET /list", loss);
        let ran = workplace.run(&format!("audit --platform {relay}"));
        assert_eq!(ran.code, code, "{loss:?}: {ran:?}");
    }
    for (address, message) in [
        (limited.address(), "the rate of the store is exceeded"),
        (unused_address(), "cannot be reached"),
    ] {
        let ran = workplace.run(&format!("audit --json --platform {address}"));
        assert_eq!(ran.code, 3, "{ran:?}");
        let said = ran.json()["error"]["message"].to_string();
        assert!(said.contains(message), "{said}");
    }
}
