//! Guards against a bundle that is shown as in force and is not.

use std::fs;

use hawthornquay_operators::{BundleDocument, HEAD_KEY};
use hawthornquay_standins::PlatformFaults;

use crate::{
    store::{TestPlatform, read_faults, unused_address},
    workplace::Workplace,
};

/// Guards against a text that operators cannot build the next version on.
#[test]
fn show_in_force_is_the_accepted_bundle() {
    let workplace = Workplace::new("show-in-force");
    let platform = TestPlatform::start();
    let address = platform.address();
    let ran = workplace.run(&format!("bundle show --json --platform {address}"));
    assert_eq!(ran.code, 1, "{ran:?}");
    let said = ran.json()["error"]["message"].to_string();
    assert!(said.contains("holds no bundle yet"), "{said}");

    workplace.sign_version("first.ini", 1, "[bundle]", "[bundle]");
    let accept = format!("bundle accept --platform {address} --who ada first.ini");
    assert_eq!(workplace.run(&accept).code, 0);
    let ran = workplace.run(&format!("bundle show --json --platform {address}"));
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(
        ran.json(),
        workplace.run("bundle show --json first.ini").json()
    );
    assert_eq!(ran.json()["signed_by"][0], "ada");

    let ran = workplace.run(&format!("bundle show --text --platform {address}"));
    fs::write(workplace.path("fetched.ini"), &ran.stdout).unwrap();
    let ran = workplace.run("bundle diff first.ini fetched.ini");
    assert_eq!(ran.code, 0, "{ran:?}");
    assert!(BundleDocument::read("b", &workplace.read("fetched.ini")).is_ok());
}

/// Guards against a malformed store that is taken for an outage, or the other way round.
#[test]
fn show_in_force_tells_faults_apart() {
    let workplace = Workplace::new("show-faults");
    let platform = TestPlatform::start();
    let show = format!("bundle show --json --platform {}", platform.address());
    workplace.sign_version("first.ini", 1, "[bundle]", "[bundle]");
    let accept = format!(
        "bundle accept --platform {} --who ada first.ini",
        platform.address()
    );
    assert_eq!(workplace.run(&accept).code, 0);
    for (name, faults) in read_faults() {
        platform.set_faults(faults);
        let ran = workplace.run(&show);
        platform.set_faults(PlatformFaults::default());
        assert_eq!(ran.code, 3, "{name}: {ran:?}");
    }
    let ran = workplace.run(&format!("bundle show --platform {}", unused_address()));
    assert_eq!(ran.code, 3, "{ran:?}");

    let content = platform.keys("bundle/content/").remove(0);
    let changed = workplace
        .read("first.ini")
        .replace("rate = 2400", "rate = 9999");
    for (key, value, message) in [
        (
            content.as_str(),
            changed.as_str(),
            "not the one that its head names",
        ),
        (&content, "[bundle]", "no valid bundle"),
        (HEAD_KEY, "{}", "`bundle/head` is malformed"),
    ] {
        platform.write(key, value);
        let ran = workplace.run(&show);
        assert_eq!(ran.code, 1, "{message}: {ran:?}");
        let said = ran.json()["error"]["message"].to_string();
        assert!(said.contains(message), "{said}");
    }
}
