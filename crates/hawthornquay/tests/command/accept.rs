//! Guards against an accept that misreports what is in force.

use std::{fs, net::SocketAddr, thread};

use hawthornquay_operators::{AUDIT_PREFIX, BundleHead, HEAD_KEY};
use hawthornquay_standins::{PlatformFaults, PlatformSettings};
use serde_json::Value;

use crate::{
    relay::{Loss, start_relay},
    store::{TestPlatform, unused_address},
    workplace::{Ran, Workplace},
};

fn accept(workplace: &Workplace, platform: SocketAddr, file: &str) -> Ran {
    workplace.run(&format!(
        "bundle accept --json --platform {platform} --who ada {file}"
    ))
}

fn head(platform: &TestPlatform) -> Option<BundleHead> {
    let value = platform.value(HEAD_KEY)?;
    Some(serde_json::from_slice(&value).unwrap())
}

/// Starts a platform with version 1 in force.
fn started(workplace: &Workplace) -> TestPlatform {
    let platform = TestPlatform::start();
    workplace.sign_version("first.ini", 1, "[bundle]", "[bundle]");
    let ran = accept(workplace, platform.address(), "first.ini");
    assert_eq!(ran.code, 0, "{ran:?}");
    platform
}

/// Guards against a success that is not in force, or a failure that hides what was changed.
#[test]
fn accept_reports_faults_of_the_platform() {
    let workplace = Workplace::new("accept-faults");
    let lost = |lose_answers| PlatformFaults {
        lose_answers,
        ..PlatformFaults::default()
    };
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    let slow = PlatformFaults {
        delay_ms: 3_000,
        ..PlatformFaults::default()
    };
    for (name, faults, code, message) in [
        ("none", PlatformFaults::default(), 0, ""),
        ("1 lost", lost(1), 0, ""),
        ("2 lost", lost(2), 0, ""),
        ("3 lost", lost(3), 0, ""),
        ("4 lost", lost(4), 0, ""),
        ("outage", outage, 3, "the bundle was not accepted"),
        ("slow", slow, 3, "the bundle was not accepted"),
    ] {
        let platform = started(&workplace);
        workplace.sign_version("next.ini", 2, "rate = 2400", "rate = 2500");
        platform.set_faults(faults);
        let ran = accept(&workplace, platform.address(), "next.ini");
        platform.set_faults(PlatformFaults::default());
        assert_eq!(ran.code, code, "{name}: {ran:?}");
        let version = if code == 0 { 2 } else { 1 };
        assert_eq!(head(&platform).unwrap().version, version, "{name}");
        assert_eq!(platform.keys(AUDIT_PREFIX).len(), version as usize);
        if code != 0 {
            assert_eq!(ran.json()["error"]["accepted"], false, "{name}");
            let said = ran.json()["error"]["message"].to_string();
            assert!(said.contains(message), "{said}");
        }
    }
}

/// Guards against a refusal by rate, or a closed port, that does not say that nothing changed.
#[test]
fn accept_unreachable_is_not_accepted() {
    let workplace = Workplace::new("accept-unreachable");
    workplace.sign_version("first.ini", 1, "[bundle]", "[bundle]");
    let limited = TestPlatform::with(PlatformSettings {
        writes_per_s: 0,
        ..PlatformSettings::default()
    });
    let no_reads = TestPlatform::with(PlatformSettings {
        reads_per_s: 0,
        ..PlatformSettings::default()
    });
    for (address, message) in [
        (limited.address(), "the rate of the store is exceeded"),
        (no_reads.address(), "the rate of the store is exceeded"),
        (unused_address(), "the store cannot be reached"),
    ] {
        let ran = accept(&workplace, address, "first.ini");
        assert_eq!(ran.code, 3, "{ran:?}");
        assert_eq!(ran.json()["error"]["accepted"], false);
        let said = ran.json()["error"]["message"].to_string();
        assert!(said.contains(message), "{said}");
    }
    assert!(head(&limited).is_none());
}

/// Guards against one lost answer of a read that ends an accept.
#[test]
fn accept_reads_again_after_a_lost_answer() {
    for cut_at in ["GET /kv/bundle/head", "GET /kv/bundle/content"] {
        let workplace = Workplace::new("accept-read");
        let platform = started(&workplace);
        workplace.sign_version("next.ini", 2, "rate = 2400", "rate = 2500");
        let relay = start_relay(platform.address(), cut_at, Loss::Once);
        let ran = accept(&workplace, relay, "next.ini");
        assert_eq!(ran.code, 0, "{cut_at}: {ran:?}");
    }
}

/// Guards against an unknown outcome that is reported as a failure, or cannot be resolved.
#[test]
fn accept_lost_head_is_unknown() {
    for (cut_at, accepted, message) in [
        ("PUT /kv/bundle/head", Value::Null, "it is unknown whether"),
        ("PUT /kv/audit/", true.into(), "version 2 is in force, but"),
    ] {
        let workplace = Workplace::new("accept-unknown");
        let platform = started(&workplace);
        workplace.sign_version("next.ini", 2, "rate = 2400", "rate = 2500");
        let relay = start_relay(platform.address(), cut_at, Loss::FromThenOn);
        let ran = accept(&workplace, relay, "next.ini");
        assert_eq!(ran.code, 3, "{cut_at}: {ran:?}");
        assert_eq!(ran.json()["error"]["accepted"], accepted, "{cut_at}");
        let said = ran.json()["error"]["message"].to_string();
        assert!(said.contains(message), "{said}");
        assert_eq!(head(&platform).unwrap().version, 2, "{cut_at}");

        let again = accept(&workplace, platform.address(), "next.ini");
        assert_eq!(again.code, 0, "{again:?}");
        assert_eq!(again.json()["was_in_force"], true);
        assert_eq!(platform.keys(AUDIT_PREFIX).len(), 2, "{cut_at}");
    }
}

/// Guards against two winners of a race, or a loser that does not learn what it lost to.
#[test]
fn accept_race_has_one_winner() {
    let workplace = Workplace::new("accept-race");
    let platform = started(&workplace);
    let address = platform.address();
    for version in 2..8 {
        let rates = ["rate = 2500", "rate = 2600"];
        let files = ["left.ini", "right.ini"];
        for (file, rate) in files.iter().zip(rates) {
            workplace.sign_version(file, version, "rate = 2400", rate);
        }
        let ran: Vec<Ran> = thread::scope(|scope| {
            let runs = files.map(|file| scope.spawn(|| accept(&workplace, address, file)));
            runs.map(|run| run.join().unwrap()).into()
        });
        let (winner, loser) = match ran.as_slice() {
            [left, right] if left.code == 0 => (left, right),
            [left, right] => (right, left),
            _ => unreachable!("two commands ran"),
        };
        assert_eq!((winner.code, loser.code), (0, 1), "{ran:?}");
        let error = &loser.json()["error"];
        assert_eq!(error["current"]["version"], version);
        assert_eq!(error["current"]["digest"], winner.json()["digest"]);
        let fields = error["current"]["changes"][0]["fields"].to_string();
        let won = if ran[0].code == 0 { rates[0] } else { rates[1] };
        assert!(fields.contains(won), "{fields}");
    }
    assert_eq!(platform.keys(AUDIT_PREFIX).len(), 7);
}

/// Guards against a lost race that shows an operator no difference in plain text.
#[test]
fn accept_lost_race_shows_the_difference() {
    let workplace = Workplace::new("accept-stale");
    let platform = started(&workplace);
    workplace.sign_version("stale.ini", 1, "rate = 2400", "rate = 2500");
    let ran = workplace.run(&format!(
        "bundle accept --platform {} --who ada stale.ini",
        platform.address()
    ));
    assert_eq!(ran.code, 1, "{ran:?}");
    assert!(ran.stderr.contains("version 1 with digest"), "{ran:?}");
    assert!(ran.stdout.contains("rate = 2400"), "{ran:?}");
}

/// Guards against bundles in force without the signatures that they need.
#[test]
fn accept_refuses_signatures_that_do_not_count() {
    let workplace = Workplace::new("accept-signatures");
    let platform = started(&workplace);
    workplace.sign_version("next.ini", 2, "rate = 2400", "rate = 2500");
    let signed = workplace.read("next.ini.signatures");
    let of_other = signed.replace("\"ada\"", "\"eve\"");
    let sign = "bundle sign --key signer-bola.key --signer ada next.ini";
    assert_eq!(workplace.run(sign).code, 0);
    let other_key = workplace.read("next.ini.signatures");
    let cut_short = signed.replace("\"signature\": \"", "\"signature\": \"AA");
    let renumbered = signed.replace("\"version\": 2", "\"version\": 3");
    for (text, code, message) in [
        (Some(of_other.as_str()), 1, "rejected: eve"),
        (Some(&other_key), 1, "rejected: ada"),
        (Some(&cut_short), 2, "the signature of `ada` is malformed"),
        (Some(&renumbered), 2, "another text"),
        (Some("{}"), 2, "is no file of signatures"),
        (None, 2, "does not exist"),
    ] {
        let path = workplace.path("next.ini.signatures");
        match text {
            Some(text) => fs::write(path, text).unwrap(),
            None => fs::remove_file(path).unwrap(),
        }
        let ran = accept(&workplace, platform.address(), "next.ini");
        assert_eq!(ran.code, code, "{message}: {ran:?}");
        let error = &ran.json()["error"];
        let said = error["message"].as_str().unwrap();
        assert!(said.contains(message), "{said}");
        assert!(said.contains("next.ini.signatures"), "{said}");
        assert!(error["remedy"].is_string(), "{said}");
        assert_eq!(head(&platform).unwrap().version, 1, "{message}");
    }
}

/// Guards against a version that skips one, which no instance could follow.
#[test]
fn accept_refuses_a_gap() {
    let workplace = Workplace::new("accept-gap");
    let platform = started(&workplace);
    workplace.sign_version("gap.ini", 3, "rate = 2400", "rate = 2500");
    let ran = accept(&workplace, platform.address(), "gap.ini");
    assert_eq!(ran.code, 1, "{ran:?}");
    let said = ran.json()["error"]["message"].to_string();
    assert!(said.contains("write `version = 2`"), "{said}");
}

/// Guards against a first bundle that vouches for itself although a trust was given.
#[test]
fn accept_first_bundle_meets_the_given_trust() {
    let workplace = Workplace::new("accept-first");
    let platform = TestPlatform::start();
    workplace.sign_version("first.ini", 1, "[bundle]", "[bundle]");
    let settings = workplace.read("lagos-a-1.ini");
    let strict = settings.replace("signatures_needed = 1", "signatures_needed = 2");
    fs::write(workplace.path("strict.ini"), strict).unwrap();
    for (trust, code) in [("strict.ini", 1), ("first.ini", 2), ("lagos-a-1.ini", 0)] {
        let ran = workplace.run(&format!(
            "bundle accept --platform {} --who ada --first-trust {trust} first.ini",
            platform.address()
        ));
        assert_eq!(ran.code, code, "{trust}: {ran:?}");
        assert_eq!(head(&platform).is_some(), code == 0, "{trust}");
    }
}

/// Guards against malformed values in the store that are taken for an outage or replaced.
#[test]
fn accept_refuses_malformed_values() {
    for (key, message) in [(HEAD_KEY, "bundle/head"), ("", "version 1 is")] {
        let workplace = Workplace::new("accept-malformed");
        let platform = started(&workplace);
        let content = platform.keys("bundle/content/").remove(0);
        let key = if key.is_empty() { &content } else { key };
        platform.write(key, "[bundle]\nversion = x\n");
        workplace.sign_version("next.ini", 2, "rate = 2400", "rate = 2500");
        let ran = accept(&workplace, platform.address(), "next.ini");
        assert_eq!(ran.code, 1, "{key}: {ran:?}");
        let said = ran.json()["error"]["message"].to_string();
        assert!(said.contains(message), "{said}");
        assert!(said.contains("was not accepted"), "{said}");
        assert_eq!(platform.value(key).unwrap(), b"[bundle]\nversion = x\n");
    }
}
