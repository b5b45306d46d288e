//! Guards against commands that do not fit the daemon that they are for.

use std::fs;

use hawthornquay::Daemon;
use hawthornquay_decisions::InstanceState;
use hawthornquay_operators::{DaemonSettings, LogSettings, Logs};
use tokio::runtime::Runtime;

use crate::{
    store::{TestPlatform, unused_address},
    workplace::Workplace,
};

/// Guards against certificates, bundles or answers that only the tests' own fakes understand.
#[test]
fn daemon_answers_the_command() {
    let workplace = Workplace::new("daemon");
    let platform = TestPlatform::start();
    let address = platform.address();
    assert_eq!(
        workplace.run("tls new --out tls lagos-a-1=127.0.0.1").code,
        0
    );
    workplace.sign_version("first.ini", 1, "[bundle]", "[bundle]");
    let accept = format!("bundle accept --platform {address} --who ada first.ini");
    assert_eq!(workplace.run(&accept).code, 0);

    let mut settings = workplace.read("lagos-a-1.ini");
    let operators = unused_address();
    let tls = workplace.path("tls");
    for (from, to) in [
        ("127.0.0.1:7110", unused_address().to_string()),
        ("127.0.0.1:7111", unused_address().to_string()),
        ("127.0.0.1:7112", operators.to_string()),
        ("127.0.0.1:7100", address.to_string()),
        ("tls/", format!("{}/", tls.display())),
    ] {
        assert!(settings.contains(from));
        settings = settings.replace(from, &to);
    }
    fs::write(workplace.path("settings.ini"), &settings).unwrap();
    let settings = DaemonSettings::read("settings.ini", &settings).unwrap();
    platform.list_instance("lagos-a-1", operators, InstanceState::Live);

    let runtime = Runtime::new().unwrap();
    let logs = Logs::new(&LogSettings::default(), Box::new(std::io::sink()));
    let daemon = runtime.block_on(Daemon::start(settings, logs)).unwrap();
    let fleet = workplace.run(&format!("fleet --json --platform {address}"));
    assert_eq!(fleet.code, 0, "{fleet:?}");
    assert_eq!(fleet.json()["instances"][0]["name"], "lagos-a-1");

    let id = "lagos-a-1-00000000000000ff-1";
    let ran = workplace.run(&format!("explain --json --platform {address} {id}"));
    assert_eq!(ran.code, 1, "{ran:?}");
    let said = ran.json()["error"]["message"].to_string();
    assert!(said.contains("does not know request"), "{said}");
    runtime.block_on(daemon.stop());
}
