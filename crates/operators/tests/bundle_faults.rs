//! Checks that each fault of a bundle is detected and reported with its line and a remedy.

mod common;

use common::{bundle_text, document, replaced};
use hawthornquay_decisions::{BackendKind, IdempotencyKeyRequirement, Residency};
use hawthornquay_operators::{BundleDocument, Faults};
use miette::Diagnostic;
use proptest::prelude::*;

fn faults(text: &str) -> Faults {
    BundleDocument::read("bundle.ini", text).expect_err("the text must have a fault")
}

/// Guards against faults that are accepted or reported at a wrong line.
#[test]
fn bundle_fault_is_reported_with_its_line() {
    let digest = format!("digest = {}", "ab".repeat(32));
    let ada = format!("signer.ada = {}", common::key(0).public_base64());
    let bola = format!("signer.bola = {}", common::key(1).public_base64());
    let same_key = format!("signer.bola = {}", common::key(0).public_base64());
    #[rustfmt::skip]
    let cases: &[(&str, &str, usize, &str)] = &[
        ("[routing]", "[rooting]", 35, "unknown section kind `rooting`"),
        ("[region kano]", "[region lagos]", 8, "[region lagos] is already defined on line 7"),
        ("[region kano]", "[region any]", 8, "a region cannot be named `any`"),
        ("[region kano]", "[region]", 8, "[region] is not a valid header"),
        ("[region kano]", "[region kano", 8, "`[region kano` is not a valid section header"),
        ("[region kano]", "[region kano]\nx = 1", 9, "[region kano] has no field `x`"),
        ("[routing]", "[routing fast]", 35, "[routing fast] is not a valid header"),
        ("[bundle]\n", "", 1, "the field `version` is before the first section"),
        ("version = 7", "version = 0", 2, "`version` is `0`, not a whole number above zero"),
        ("version = 7", "version 7", 2, "`version 7` is neither a section nor a field"),
        ("version = 7", "version = 7\nversion = 8", 3, "the field `version` is already defined on line 2"),
        ("signatures_needed = 1", "signatures_needed = 3", 3, "3 signatures are needed, but there are 2 signers"),
        ("signatures_needed = 1", "signatures_needed = 0", 3, "`signatures_needed` is `0`, not a whole number above zero"),
        ("000102030405060708090a0b0c0d0e0f", "0001", 4, "`key_salt` is not a valid salt"),
        (&ada, "signer.ada = abc", 5, "the key of signer `ada` is not a valid ed25519 public key"),
        (&bola, &same_key, 6, "the signers `ada` and `bola` have the same key"),
        ("region = lagos\n", "region = ibadan\n", 10, "there is no region `ibadan`"),
        ("limit_weight = 1", "limit_weight = 0", 11, "`limit_weight` is `0`, not a whole number above zero"),
        ("limit_weight = 1", "", 9, "[domain lagos-a] lacks the field `limit_weight`"),
        ("rate = 2000\n", "rate = 0\n", 13, "`rate` is `0`, not a whole number above zero"),
        ("rate = 2000\n", "rate = many\n", 13, "`rate` is `many`, not a whole number above zero"),
        ("rate = 2000\n", "rate = -5\n", 13, "`rate` is `-5`, not a whole number above zero"),
        ("rate = 2000\n", "speed = 2000\n", 13, "[organisation yard] has no field `speed`"),
        ("rate = 2000\n", "rate = 2000\\\n", 13, "the line contains a control character or a backslash"),
        ("burst = 20000", "burst = 0", 14, "`burst` is `0`, not a whole number above zero"),
        ("burst = 20000", "burst = 4", 19, "the route /v1/services/bookings costs 5 tokens, more than the burst of: yard"),
        ("residency = lagos, kano", "residency = kano", 15, "the residency of `yard` allows no domain"),
        ("residency = lagos, kano", "residency = lagos, mars", 15, "there is no region `mars`"),
        ("residency = lagos, kano", "residency = lagos, lagos", 15, "`residency` has an empty or repeated item"),
        ("residency = lagos, kano", "residency =", 15, "the field `residency` is empty"),
        ("organisation = yard", "organisation = barn", 17, "there is no organisation `barn`"),
        (&digest, "digest = abab", 18, "`digest` is not a valid key digest"),
        ("[route /v1/services/bookings]", "[route v1/x]", 19, "`v1/x` is not a valid route path"),
        ("[route /v1/services/bookings]", "[route /v1/models/x]", 19, "the gateway serves `/v1/models/x` itself"),
        ("service = bookings\nrepeatable", "service = parcels\nrepeatable", 20, "no backend server offers the service `parcels`"),
        ("repeatable = no", "repeatable = never", 21, "`repeatable` has the unknown value `never`"),
        ("idempotency_key = required", "idempotency_key = maybe", 22, "`idempotency_key` has the unknown value `maybe`"),
        ("cost = 5", "open = yes", 19, "the open route /v1/services/bookings names no organisation"),
        ("cost = 5", "organisation = yard ; x", 23, "the route /v1/services/bookings is not open, but names an organisation"),
        ("cost = 5", "cost = 0", 23, "`cost` is `0`, not a whole number above zero"),
        ("kind = model-engine", "kind = engine", 25, "unknown backend kind `engine`"),
        ("127.0.0.1:9001", "localhost:9001", 26, "`localhost:9001` is not a valid address"),
        ("127.0.0.1:9001", "127.0.0.1:0", 26, "`127.0.0.1:0` is not a valid server address"),
        ("127.0.0.1:9002", "127.0.0.1:9001", 32, "the backend servers `engine-1` and `bookings-1` have the same address"),
        ("domain = lagos-a\nmodels", "domain = lagos-b\nmodels", 27, "there is no domain `lagos-b`"),
        ("models = ledger-7b", "models = a,,b", 28, "`models` has an empty or repeated item"),
        ("fencing = yes", "service = x", 29, "[backend engine-1] has no field `service`"),
        ("path_cost_ms = 60", "path_cost_ms = 1s", 37, "`1s` is not a whole number"),
    ];
    for (from, to, line, message) in cases {
        let text = replaced(&bundle_text(7, 1), from, to);
        let found = faults(&text);
        assert!(
            found
                .faults
                .iter()
                .any(|fault| fault.line == *line && fault.message == *message),
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

/// Guards against validation that stops at the first fault.
#[test]
fn bundle_faults_are_all_reported() {
    let text = replaced(&bundle_text(7, 1), "rate = 2000\n", "rate = 0\n");
    let text = replaced(&text, "limit_weight = 1", "limit_weight = x");
    let text = replaced(&text, "organisation = yard", "organisation = barn");
    let lines: Vec<usize> = faults(&text)
        .faults
        .iter()
        .map(|fault| fault.line)
        .collect();
    assert_eq!(lines, [11, 13, 17]);
}

/// Guards against parsing a bundle without `[bundle]` as version zero without signers.
#[test]
fn bundle_without_bundle_section_is_refused() {
    let found = faults("[region lagos]\n");
    assert_eq!(found.faults[0].message, "the section [bundle] is missing");
}

/// Guards against a diagnostic without the file, the source line or the remedy.
#[test]
fn bundle_fault_contains_file_source_line_and_remedy() {
    let text = replaced(&bundle_text(7, 1), "rate = 2000\n", "rate = 0\n");
    let found = faults(&text);
    let fault = &found.faults[0];
    assert!(fault.to_string().starts_with("bundle.ini:13: "));
    assert!(fault.help().is_some());
    let label = fault.labels().unwrap().next().unwrap();
    let source = fault.source_code().unwrap();
    let contents = source.read_span(label.inner(), 0, 0).unwrap();
    assert_eq!(contents.data(), b"rate = 0");
    assert_eq!(contents.name(), Some("bundle.ini"));
}

/// Guards against two keys with the same digest, which would identify two organisations.
#[test]
fn bundle_repeated_digest_is_refused() {
    let text = format!(
        "{}[key yard-2]\norganisation = yard\ndigest = {}\n",
        bundle_text(7, 1),
        "ab".repeat(32)
    );
    let found = faults(&text);
    assert_eq!(
        found.faults[0].message,
        "the keys `yard-1` and `yard-2` have the same digest"
    );
}

/// Guards against fields that are parsed into the wrong field of the bundle.
#[test]
fn bundle_fields_are_parsed() {
    let document = document(7);
    let bundle = document.bundle();
    assert_eq!(
        (
            bundle.version,
            bundle.signatures_needed,
            bundle.signers.len()
        ),
        (7, 1, 2)
    );
    assert_eq!(bundle.key_salt.len(), 16);
    let organisation = &bundle.organisations["yard"];
    assert_eq!((organisation.rate, organisation.burst), (2000, 20_000));
    assert!(matches!(&organisation.residency, Residency::Regions(regions) if regions.len() == 2));
    let route = &bundle.routes[0];
    assert!(!route.repeatable && route.anonymous_organisation.is_none());
    assert_eq!(
        (route.idempotency_key, route.cost_tokens),
        (IdempotencyKeyRequirement::Required, 5)
    );
    assert!(bundle.backends["engine-1"].checks_fencing);
    assert!(matches!(
        &bundle.backends["bookings-1"].kind,
        BackendKind::PlainService { service } if service.as_str() == "bookings"
    ));
}

/// Guards against digests that depend on comments, the order of fields or white space.
#[test]
fn bundle_canonical_form_ignores_layout() {
    let text = bundle_text(7, 1);
    let (first, second) = text.split_once("[region kano]\n").unwrap();
    let moved = format!("; note\n{first}\n  # note\n{second}\n[region   kano] ; moved\n");
    let moved = moved.replace("rate = 2000\nburst = 20000", "burst=20000\nrate  =  2000");
    let moved = BundleDocument::read("moved.ini", &moved).unwrap();
    assert_eq!(moved.canonical(), document(7).canonical());
    assert_eq!(moved.digest(), document(7).digest());
    let again = BundleDocument::read("canonical.ini", moved.canonical()).unwrap();
    assert_eq!(again.canonical(), moved.canonical());
    assert_ne!(document(8).digest(), moved.digest());
}

/// Guards against panics on malformed files, and against accepting them.
#[test]
fn bundle_malformed_text_is_refused() {
    for text in [
        "",
        "[",
        "]",
        "=",
        "[]",
        "a=b",
        "[bundle]\n=\n",
        "[bundle]\\\n",
        "\u{0}",
        "[[x]]",
    ] {
        assert!(BundleDocument::read("x", text).is_err(), "{text:?}");
    }
}

proptest! {
    /// Guards against wrong line numbers if sections and fields are repeated. rust-ini returns no
    /// line numbers, so they are counted separately.
    #[test]
    fn bundle_line_numbers_are_exact(lines in prop::collection::vec(0usize..8, 0..40)) {
        let words = ["[region a]", "[region b]", "[ region  a ] ; x", "x = 1", "y=", "x = 2 # z", "; c", ""];
        let mut text = "[region c]\n".to_owned();
        let mut expected = Vec::new();
        for (word, line) in lines.into_iter().zip(2..) {
            text += &format!("{}\n", words[word]);
            if (3..6).contains(&word) {
                let name = if word == 4 { 'y' } else { 'x' };
                expected.push((line, format!("has no field `{name}`")));
            }
        }
        let found = faults(&text).faults;
        let fields: Vec<_> = found
            .iter()
            .filter_map(|fault| {
                let at = fault.message.find("has no field")?;
                Some((fault.line, fault.message[at..].to_owned()))
            })
            .collect();
        prop_assert_eq!(fields, expected);
    }

    /// Guards against text that causes a panic.
    #[test]
    fn bundle_any_text_gives_faults_or_a_bundle(text in "(\\PC|[\\[\\]=;#\\\\ \\n\\t]|bundle|\\[region a\\]\\n){0,60}") {
        if let Err(found) = BundleDocument::read("x", &text) {
            prop_assert!(!found.faults.is_empty());
        }
    }
}
