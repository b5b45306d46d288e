//! Guards against a command with wrong exit codes, or messages that an operator cannot act on.

use std::fs;

use hawthornquay_operators::{BundleDocument, Trust, caller_key_digest, key_digest_text};

use crate::workplace::Workplace;

/// Guards against bad usage that scripts take for a refusal.
#[test]
fn command_bad_usage_has_its_code() {
    let workplace = Workplace::new("usage");
    for arguments in [
        "bundle",
        "bundle check",
        "key new",
        "bundle diff bundle.ini",
        "fly",
    ] {
        let ran = workplace.run(arguments);
        assert_eq!(ran.code, 2, "{arguments}");
        assert!(!ran.stderr.is_empty(), "{arguments}");
    }
    assert_eq!(workplace.run("--help").code, 0);
    let ran = workplace.run("bundle show absent.ini");
    assert_eq!(ran.code, 2);
    assert!(
        ran.stderr.contains("cannot read absent.ini"),
        "{}",
        ran.stderr
    );
}

/// Guards against faults without file, line and remedy.
#[test]
fn command_check_reports_file_line_and_remedy() {
    let workplace = Workplace::new("check");
    let ran = workplace.run("bundle check bundle.ini");
    assert_eq!(ran.code, 0, "{}", ran.stderr);
    workplace.change("bad.ini", "rate = 2400", "rate = 0");
    let line = 1 + workplace
        .read("bad.ini")
        .lines()
        .position(|line| line == "rate = 0")
        .unwrap();
    let ran = workplace.run("bundle check bundle.ini bad.ini");
    assert_eq!(ran.code, 2);
    assert!(
        ran.stderr.contains(&format!("bad.ini:{line}")),
        "{}",
        ran.stderr
    );
    assert!(
        ran.stderr
            .contains("write `rate` as a whole number of at least 1"),
        "{}",
        ran.stderr
    );
    let ran = workplace.run("bundle check --json bundle.ini bad.ini");
    assert_eq!(ran.code, 2);
    assert_eq!(ran.json()[0]["version"], 1);
    assert_eq!(ran.json()[1]["error"]["faults"][0]["line"], line);
}

/// Guards against a difference that is hidden by its exit code, or shown where there is none.
#[test]
fn command_diff_tells_whether_bundles_differ() {
    let workplace = Workplace::new("diff");
    workplace.change("same.ini", "[bundle]", "; a comment\n[bundle]");
    workplace.change("next.ini", "version = 1", "version = 2");
    let ran = workplace.run("bundle diff bundle.ini same.ini");
    assert_eq!((ran.code, ran.stdout.as_str()), (0, ""));
    let ran = workplace.run("bundle diff bundle.ini next.ini");
    assert_eq!(ran.code, 1);
    assert!(ran.stdout.contains("~ [bundle]"), "{}", ran.stdout);
    let ran = workplace.run("bundle diff --json bundle.ini next.ini");
    assert_eq!(ran.json()["changes"][0]["section"], "bundle");
}

/// Guards against signatures that the accept refuses, or that survive a change of the bundle.
#[test]
fn command_sign_collects_valid_signatures() {
    let workplace = Workplace::new("sign");
    workplace.change(
        "strict.ini",
        "signatures_needed = 1",
        "signatures_needed = 2",
    );
    workplace.change("next.ini", "version = 1", "version = 2");
    let sign = |signer: &str, key: &str| {
        workplace.run(&format!(
            "bundle sign --json --key signer-{key}.key --signer {signer} \
             --predecessor strict.ini next.ini"
        ))
    };
    assert_eq!(sign("ada", "ada").json()["missing"], 1);
    assert_eq!(sign("ada", "ada").json()["signatures"], 1);
    assert_eq!(sign("bola", "bola").json()["missing"], 0);
    for (signer, key, message) in [
        ("eve", "ada", "no signer `eve`"),
        ("ada", "bola", "not the one"),
    ] {
        let ran = sign(signer, key);
        assert_eq!(ran.code, 1, "{signer}");
        assert!(
            ran.json()["error"]["message"]
                .as_str()
                .unwrap()
                .contains(message)
        );
    }
    let file: hawthornquay::SignatureFile =
        serde_json::from_str(&workplace.read("next.ini.signatures")).unwrap();
    let predecessor = BundleDocument::read("b", &workplace.read("strict.ini")).unwrap();
    let trust = Trust::of_predecessor(predecessor.bundle());
    assert_eq!(
        trust.verify(file.version, &file.digest, &file.signatures),
        Ok(())
    );
    assert_eq!(
        workplace.run("bundle show --json next.ini").json()["signed_by"][1],
        "bola"
    );

    workplace.change("next.ini", "version = 1", "version = 3");
    assert_eq!(sign("ada", "ada").json()["signatures"], 1);
}

/// Guards against a drawn key that does not authenticate, or leaks into the bundle.
#[test]
fn command_key_new_fits_the_bundle() {
    let workplace = Workplace::new("key");
    let arguments = "key new --bundle bundle.ini --organisation lagos-depot --name depot-2";
    let ran = workplace.run(arguments);
    assert_eq!(ran.code, 0, "{}", ran.stderr);
    let key = ran.stderr.trim().rsplit(' ').next().unwrap();
    assert!(!ran.stdout.contains(key));
    let text = format!("{}\n{}", workplace.read("bundle.ini"), ran.stdout);
    let document = BundleDocument::read("b", &text).unwrap();
    let digest = caller_key_digest(&document.bundle().key_salt, key);
    assert!(ran.stdout.contains(&key_digest_text(&digest)));
    let found = document.bundle().organisation_of(&digest).unwrap();
    assert_eq!(found.id.as_str(), "lagos-depot");

    let ran = workplace.run("key new --bundle bundle.ini --organisation nobody --name x");
    assert_eq!(ran.code, 2);
    assert!(
        ran.stderr.contains("use one of: abuja-clerks"),
        "{}",
        ran.stderr
    );
    let ran = workplace
        .run("key new --bundle bundle.ini --organisation lagos-depot --name lagos-depot-1");
    assert!(ran.stderr.contains("already has a key"), "{}", ran.stderr);
}

/// Guards against a signing key that others can read, or that replaces an older one.
#[test]
fn command_key_new_keeps_signing_keys() {
    use std::os::unix::fs::PermissionsExt;

    let workplace = Workplace::new("signer");
    let ran = workplace.run("key new --signer chi --out chi.key");
    assert_eq!(ran.code, 0, "{}", ran.stderr);
    assert!(ran.stdout.contains("signer.chi = "));
    let first = workplace.read("chi.key");
    let mode = fs::metadata(workplace.path("chi.key"))
        .unwrap()
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(workplace.run("key new --signer chi --out chi.key").code, 2);
    assert_eq!(workplace.read("chi.key"), first);
}

/// Guards against help that leaves out a command, the order of work or the exit codes.
#[test]
fn command_help_leads_to_every_command() {
    let workplace = Workplace::new("help");
    let help = workplace.run("--help").stdout;
    for text in [
        "Exit codes: 0 done; 1",
        "--text > next.ini",
        "bundle accept --platform",
    ] {
        assert!(help.contains(text), "{help}");
    }
    for (command, subcommands) in [
        (
            "bundle",
            ["check", "diff", "sign", "accept", "show"].as_slice(),
        ),
        ("key", &["new"]),
        ("tls", &["new"]),
        ("fleet", &[]),
        ("explain", &[]),
        ("audit", &[]),
    ] {
        assert!(help.contains(&format!("    {command} ")), "{help}");
        let ran = workplace.run(&format!("{command} --help"));
        assert_eq!(ran.code, 0, "{command}");
        for subcommand in subcommands {
            assert!(
                ran.stdout.contains(&format!("    {subcommand} ")),
                "{command}"
            );
            let ran = workplace.run(&format!("{command} {subcommand} --help"));
            assert_eq!(ran.code, 0, "{command} {subcommand}");
            assert!(ran.stdout.contains("--json"), "{command} {subcommand}");
        }
    }
}
