//! Checks that each fault of the settings is detected and reported with its line and a remedy.

mod common;

use common::{replaced, settings_text};
use hawthornquay_operators::{DaemonSettings, LogComponent, LogFormat, MachineSettings};

/// Guards against faults that are accepted or reported at a wrong line.
#[test]
fn settings_fault_is_reported_with_its_line() {
    #[rustfmt::skip]
    let cases = [
        ("[tls]", "[ssl]", 10, "there is no section [ssl]"),
        ("[tls]", "[ssl]", 1, "the section [tls] is missing"),
        ("[log]", "[instance]", 17, "[instance] is already defined on line 1"),
        ("region = lagos\n", "", 1, "[instance] lacks the field `region`"),
        ("name = lagos-a-1", "name = lagos a", 2, "`name` is `lagos a`, which is no name"),
        ("127.0.0.1:7001", "somewhere:1", 5, "`somewhere:1` is not a valid address"),
        ("127.0.0.1:7001", "127.0.0.1:0", 5, "`callers` has port 0"),
        ("peers =", "pears =", 6, "[instance] has no field `pears`"),
        ("127.0.0.1:7000", "0.0.0.0:7000", 9, "`0.0.0.0:7000` is not a valid server address"),
        ("key = tls/lagos-a-1.key", "key =", 12, "the field `key` is empty"),
        ("signatures_needed = 1", "signatures_needed = 2", 15, "2 signatures are needed, but there are 1 signers"),
        ("format = json", "format = xml", 18, "unknown log format `xml`"),
        ("level = info", "level = loud", 19, "unknown log level `loud`"),
        ("level.limits", "level.limit", 20, "unknown log component `limit`"),
    ];
    for (from, to, line, message) in cases {
        let text = replaced(&settings_text(), from, to);
        let found = DaemonSettings::read("d.ini", &text).expect_err(to);
        assert!(
            found
                .faults
                .iter()
                .any(|fault| fault.line == line && fault.message == message),
            "{to}: expected {line}: {message}, found {:?}",
            found
                .faults
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
        );
        assert!(
            found.faults.iter().all(|fault| !fault.remedy.is_empty()),
            "{to}"
        );
    }
}

/// Guards against validation that stops at the first fault or the first section.
#[test]
fn settings_faults_are_all_reported() {
    let text = replaced(&settings_text(), "127.0.0.1:7001", "x");
    let text = replaced(&text, "key = tls/lagos-a-1.key\n", "");
    let text = replaced(&text, "level = info", "level = loud");
    let found = DaemonSettings::read("d.ini", &text).unwrap_err();
    assert_eq!(
        found
            .faults
            .iter()
            .map(|fault| fault.line)
            .collect::<Vec<_>>(),
        [5, 10, 18]
    );
}

/// Guards against settings with two listeners on the same address.
#[test]
fn settings_repeated_address_is_refused() {
    let text = replaced(&settings_text(), "127.0.0.1:7002", "127.0.0.1:7001");
    let found = DaemonSettings::read("d.ini", &text).unwrap_err();
    assert!(
        found.faults[0]
            .message
            .contains("which another field already has")
    );
}

/// Guards against fields that are parsed into the wrong field of the settings.
#[test]
fn settings_fields_are_parsed() {
    let settings = DaemonSettings::read("d.ini", &settings_text()).unwrap();
    assert_eq!(settings.instance.name.as_str(), "lagos-a-1");
    assert_eq!(settings.instance.operators.port(), 7003);
    assert_eq!(settings.platform.port(), 7000);
    assert_eq!(settings.trust.signers[0].name, "ada");
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(
        settings.log.level_of(LogComponent::Limits),
        slog::Level::Debug
    );
    assert_eq!(
        settings.log.level_of(LogComponent::Rollout),
        slog::Level::Info
    );
}

/// Guards against a machine section that a platform fills in and that prevents a start.
#[test]
fn settings_machine_is_optional_and_rounded_down() {
    let machine = |section: &str| {
        let text = settings_text() + section;
        DaemonSettings::read("d.ini", &text).unwrap().machine
    };
    assert_eq!(machine(""), MachineSettings::default());
    assert_eq!(machine("[machine]\n"), MachineSettings::default());
    for empty in [
        "memory_mb =\ndescriptors =\n",
        "memory_mb = 0.5\ndescriptors = 0\n",
    ] {
        assert_eq!(
            machine(&format!("[machine]\n{empty}")),
            MachineSettings::default()
        );
    }
    assert_eq!(
        machine("[machine]\nmemory_mb = 160.9\ndescriptors = 4100.5\ncores = 0.12\n"),
        MachineSettings {
            memory_mb: 160,
            descriptors: Some(4_100),
        }
    );
}

/// Guards against machine sizes that are no sizes.
#[test]
fn settings_machine_size_without_number_is_refused() {
    for value in ["-1", "inf", "NaN", "many"] {
        let text = settings_text() + &format!("[machine]\nmemory_mb = {value}\n");
        let found = DaemonSettings::read("d.ini", &text).unwrap_err();
        let expected = format!("`memory_mb` is `{value}`, not a number of at least 0");
        assert_eq!(found.faults[0].message, expected);
    }
}
