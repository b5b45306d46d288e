//! Guards against certificates that do not fit, keys that leak, and files that are replaced.

use std::{fs, net::Ipv4Addr, os::unix::fs::PermissionsExt, sync::Arc, time::Duration};

use hawthornquay_decisions::InstanceId;
use hawthornquay_instances::{
    BundleContent, BundleFetch, CapacityGrant, CapacityRequest, Forward, ForwardSink, LinkPool,
    LoanGrant, LoanRequest, LocalInstance, Notice, PeerAddress, PeerServer, PeerService,
    TlsIdentity,
};
use tokio_util::sync::CancellationToken;

use crate::workplace::Workplace;

/// Peer that answers each call with nothing.
struct EmptyPeer;

impl PeerService for EmptyPeer {
    async fn handle_notice(&self, _: &InstanceId, _: Notice) {}

    async fn fetch_bundle(&self, _: &InstanceId, _: BundleFetch) -> BundleContent {
        BundleContent::default()
    }

    async fn lend(&self, _: &InstanceId, _: LoanRequest) -> LoanGrant {
        LoanGrant::default()
    }

    async fn grant_capacity(&self, _: &InstanceId, _: CapacityRequest) -> CapacityGrant {
        CapacityGrant::default()
    }

    async fn forward(&self, _: &InstanceId, _: Forward, _: ForwardSink) {}
}

fn local(workplace: &Workplace, name: &str) -> LocalInstance {
    let read = |name: &str| fs::read(workplace.path("tls").join(name)).unwrap();
    let (certificate, key) = (format!("{name}.pem"), format!("{name}.key"));
    let tls = TlsIdentity::from_pem(&read(&certificate), &read(&key), &read("authority.pem"));
    LocalInstance::new(InstanceId::new(name, 1), tls.unwrap())
}

async fn link_works(from: LocalInstance, name: &str, to: LocalInstance) -> bool {
    let server = PeerServer::bind((Ipv4Addr::LOCALHOST, 0).into(), to, Arc::new(EmptyPeer));
    let server = server.await.unwrap();
    let peer = PeerAddress::new(name, server.local_addr());
    let served = tokio::spawn(server.serve(CancellationToken::new()));
    let limit = Duration::from_secs(2);
    let answer = LinkPool::new(from)
        .call(&peer, BundleFetch::default(), limit)
        .await;
    served.abort();
    answer.is_ok()
}

fn names(workplace: &Workplace) -> Vec<String> {
    let files = fs::read_dir(workplace.path("tls")).unwrap();
    let mut names: Vec<String> = files
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}

/// Guards against an instance that joins later and that the others refuse, or that refuses them.
#[tokio::test]
async fn tls_add_links_to_the_instances_before_it() {
    let workplace = Workplace::new("tls-add");
    let new = "tls new --out tls a-1=127.0.0.1";
    assert_eq!(workplace.run(new).code, 0);
    let ran = workplace.run("tls add --json --dir tls b-1=127.0.0.1 b-2=::1");
    assert_eq!(ran.code, 0, "{ran:?}");
    assert_eq!(ran.json()["instances"][1]["certificate"], "tls/b-2.pem");
    let metadata = fs::metadata(workplace.path("tls/b-1.key")).unwrap();
    assert_eq!(metadata.permissions().mode() & 0o777, 0o600);
    let instance = |name: &str| local(&workplace, name);
    assert!(link_works(instance("a-1"), "b-1", instance("b-1")).await);
    assert!(link_works(instance("b-1"), "a-1", instance("a-1")).await);

    // A certificate of another authority shows that the links check it.
    let other = Workplace::new("tls-add-other");
    assert_eq!(other.run("tls new --out tls c-1=127.0.0.1").code, 0);
    assert!(!link_works(instance("a-1"), "c-1", local(&other, "c-1")).await);
}

/// Guards against files that are replaced, and certificates that no instance would accept.
#[test]
fn tls_add_refuses_without_writing() {
    let workplace = Workplace::new("tls-add-refused");
    let other = Workplace::new("tls-add-refused-other");
    let new = "tls new --out tls a-1=127.0.0.1";
    assert_eq!((workplace.run(new).code, other.run(new).code), (0, 0));
    let before = names(&workplace);
    let add = |instances: &str, message: &str| {
        let ran = workplace.run(&format!("tls add --dir tls {instances}"));
        assert_eq!(ran.code, 2, "{instances}: {ran:?}");
        assert!(ran.stderr.contains(message), "{ran:?}");
    };
    add("b-1=127.0.0.1 a-1=127.0.0.1", "a-1.pem exists already");
    add("authority=127.0.0.1", "`authority` is taken");
    assert_eq!(names(&workplace), before);

    fs::write(
        workplace.path("tls/authority.key"),
        other.read("tls/authority.key"),
    )
    .unwrap();
    add("b-1=127.0.0.1", "not the one of the certificate");
    assert_eq!(names(&workplace), before);
    fs::remove_file(workplace.path("tls/authority.key")).unwrap();
    add("b-1=127.0.0.1", "authority.key does not exist");
    assert_eq!(names(&workplace).len(), before.len() - 1);
}

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
    let metadata = fs::metadata(workplace.path("tls/authority.key")).unwrap();
    assert_eq!(metadata.permissions().mode() & 0o777, 0o600, "authority");
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
    for existing in ["authority.pem", "authority.key", "a-1.pem", "a-2.key"] {
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
