//! Checks that a bundle needs the number of valid signatures that its predecessor states.

mod common;

use common::{bundle_text, document, key};
use hawthornquay_operators::{
    BundleDigest, BundleDocument, BundleHead, LoadError, OperatorKey, SignatureError, Trust,
    caller_key_digest, generate_caller_key,
};

fn trust(needed: u32) -> Trust {
    let predecessor = BundleDocument::read("bundle.ini", &bundle_text(7, needed)).unwrap();
    Trust::of_predecessor(predecessor.bundle())
}

/// Guards against refusing a valid signature.
#[test]
fn signature_of_a_trusted_signer_is_valid() {
    let new = document(8);
    let signature = key(0).sign("ada", 8, &new.digest());
    assert_eq!(trust(1).verify(8, &new.digest(), &[signature]), Ok(()));
}

/// Guards against counting two signatures by the same operator as two signers.
#[test]
fn signature_given_twice_counts_once() {
    let digest = document(8).digest();
    let one = key(0).sign("ada", 8, &digest);
    let other = key(1).sign("bola", 8, &digest);
    let error = trust(2)
        .verify(8, &digest, &[one.clone(), one.clone()])
        .unwrap_err();
    assert!(matches!(
        error,
        SignatureError::TooFew {
            valid: 1,
            needed: 2,
            ..
        }
    ));
    assert_eq!(trust(2).verify(8, &digest, &[one, other]), Ok(()));
}

/// Guards against accepting a signature for another version or digest, or by another signer or key.
#[test]
fn signature_with_mismatch_is_rejected() {
    let digest = document(8).digest();
    let unknown = OperatorKey::generate().unwrap();
    let cases = [
        key(0).sign("ada", 9, &digest),
        key(0).sign("ada", 8, &BundleDigest([0; 32])),
        key(0).sign("bola", 8, &digest),
        key(0).sign("eve", 8, &digest),
        unknown.sign("ada", 8, &digest),
    ];
    for signature in cases {
        let error = trust(1)
            .verify(8, &digest, std::slice::from_ref(&signature))
            .unwrap_err();
        let SignatureError::TooFew { rejected, .. } = error else {
            panic!("{error}")
        };
        assert_eq!(rejected, [signature.signer]);
    }
}

/// Guards against an empty trust that accepts bundles without signatures.
#[test]
fn empty_trust_accepts_no_bundle() {
    let trust = Trust::of_predecessor(&hawthornquay_decisions::Bundle::default());
    assert!(trust.verify(8, &document(8).digest(), &[]).is_err());
}

/// Guards against a head that changes when it is encoded as JSON and decoded.
#[test]
fn bundle_head_json_round_trip_is_lossless() {
    let new = document(8);
    let head = BundleHead {
        version: 8,
        digest: new.digest(),
        previous: Some(document(7).digest()),
        parts: 1,
        signatures: vec![key(0).sign("ada", 8, &new.digest())],
    };
    let json = serde_json::to_string(&head).unwrap();
    assert!(json.contains(&new.digest().to_string()));
    assert_eq!(serde_json::from_str::<BundleHead>(&json).unwrap(), head);
}

/// Guards against accepting content of another instance without valid signatures or under a head
/// with another digest.
#[test]
fn content_without_signatures_or_with_wrong_digest_is_refused() {
    let new = document(8);
    let mut head = BundleHead {
        version: 8,
        digest: new.digest(),
        previous: None,
        parts: 1,
        signatures: vec![key(1).sign("bola", 8, &new.digest())],
    };
    let version = |head: &BundleHead, text: &str| {
        head.verify_content(text, &trust(1))
            .map(|document| document.version())
    };
    assert_eq!(version(&head, new.canonical()), Ok(8));
    assert_eq!(
        version(&head, document(7).canonical()),
        Err(LoadError::Mismatch { version: 8 })
    );
    head.signatures.clear();
    assert!(matches!(
        version(&head, new.canonical()),
        Err(LoadError::Signatures(_))
    ));
}

/// Guards against a digest that is not HMAC-SHA256, with test case 2 of RFC 4231, and against equal
/// generated keys.
#[test]
fn caller_key_digest_is_hmac_sha256() {
    let digest = caller_key_digest(b"Jefe", "what do ya want for nothing?");
    assert_eq!(
        hawthornquay_operators::key_digest_text(&digest),
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843"
    );
    assert_ne!(
        generate_caller_key().unwrap(),
        generate_caller_key().unwrap()
    );
}
