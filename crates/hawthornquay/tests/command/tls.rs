//! Guards against certificates that do not fit, keys that leak, and files that are replaced.

use std::{fs, os::unix::fs::PermissionsExt};

use hawthornquay_instances::TlsIdentity;

use crate::workplace::Workplace;

/// Guards against files that a daemon cannot use, and keys that others can read.
#[test]
fn tls_new_files_fit_each_other() {
    let workplace = Workplace::new("tls-new");
    let ran = workplace.run("tls new --json --out tls a-1=127.0.0.1 a-2=::1");
    assert_eq!(ran.code, 0, "{}", ran.stderr);
    assert_eq!(ran.json()["authority"], "tls/authority.pem");
    assert_eq!(ran.json()["instances"][1]["key"], "tls/a-2.key");
    let read = |name: &str| fs::read(workplace.path(name)).unwrap();
    let authority = read("tls/authority.pem");
    for name in ["a-1", "a-2"] {
        let certificate = read(&format!("tls/{name}.pem"));
        let key = read(&format!("tls/{name}.key"));
        assert!(TlsIdentity::from_pem(&certificate, &key, &authority).is_ok());
        let metadata = fs::metadata(workplace.path(&format!("tls/{name}.key"))).unwrap();
        assert_eq!(metadata.permissions().mode() & 0o777, 0o600, "{name}");
    }
    let crossed = TlsIdentity::from_pem(&read("tls/a-1.pem"), &read("tls/a-2.key"), &authority);
    assert!(crossed.is_err());
}

/// Guards against a second run that replaces keys in use, or leaves half of its own files.
#[test]
fn tls_new_replaces_no_file() {
    for existing in ["authority.pem", "a-1.pem", "a-2.key"] {
        let workplace = Workplace::new("tls-existing");
        fs::create_dir(workplace.path("tls")).unwrap();
        fs::write(workplace.path("tls").join(existing), "kept").unwrap();
        let ran = workplace.run("tls new --out tls a-1=127.0.0.1 a-2=127.0.0.2");
        assert_eq!(ran.code, 2, "{existing}");
        assert!(ran.stderr.contains(existing), "{}", ran.stderr);
        assert_eq!(workplace.read(&format!("tls/{existing}")), "kept");
        let files = fs::read_dir(workplace.path("tls")).unwrap().count();
        assert_eq!(files, 1, "{existing}");
    }
}

/// Guards against names that leave the directory or collide, and addresses that are none.
#[test]
fn tls_new_refuses_bad_instances() {
    let workplace = Workplace::new("tls-names");
    for (instances, message) in [
        ("a-1", "write NAME=IP"),
        ("a-1=localhost", "`localhost` is no IP address"),
        ("../a=127.0.0.1", "`../a` is no name"),
        ("=127.0.0.1", "`` is no name"),
        ("authority=127.0.0.1", "`authority` is taken"),
        ("a=127.0.0.1 a=127.0.0.2", "`a` is taken"),
    ] {
        let ran = workplace.run(&format!("tls new --out tls {instances}"));
        assert_eq!(ran.code, 2, "{instances}");
        assert!(ran.stderr.contains(message), "{}", ran.stderr);
        assert!(!workplace.path("tls").exists(), "{instances}");
    }
}
