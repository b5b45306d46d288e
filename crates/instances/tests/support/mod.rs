//! Fixtures: pairs of connected instances.
#![allow(dead_code, missing_docs)]

pub mod raw_peer;
pub mod relay;
pub mod service;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hawthornquay_decisions::InstanceId;
use hawthornquay_instances::{
    LinkPool, LinkSettings, LoanRequest, LocalInstance, PeerAddress, PeerServer, TestAuthority,
    generate_test_authority,
};
use service::TestService;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Time limit that is exceeded only if the code under test is faulty.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

pub fn authority() -> TestAuthority {
    let ip = ANY_PORT.ip();
    generate_test_authority(&[("a", ip), ("b", ip)]).unwrap()
}

pub fn local(authority: &TestAuthority, name: &str, incarnation: u64) -> LocalInstance {
    claiming(authority, name, name, incarnation)
}

/// Builds an instance that has the certificate of `name` and claims to be `claimed`.
pub fn claiming(
    authority: &TestAuthority,
    name: &str,
    claimed: &str,
    incarnation: u64,
) -> LocalInstance {
    LocalInstance::new(
        InstanceId::new(claimed, incarnation),
        authority.identity(index_of(name)).unwrap(),
    )
}

/// Returns the index of an instance in [`authority`].
pub fn index_of(name: &str) -> usize {
    usize::from(name == "b")
}

pub struct TestServer {
    pub address: SocketAddr,
    pub local: LocalInstance,
    pub service: Arc<TestService>,
    pub shutdown: CancellationToken,
    pub task: JoinHandle<()>,
}

pub async fn serve(local: LocalInstance) -> TestServer {
    let service = Arc::new(TestService::default());
    let server = PeerServer::bind(ANY_PORT, local.clone(), service.clone())
        .await
        .unwrap();
    let shutdown = CancellationToken::new();
    TestServer {
        address: server.local_addr(),
        local,
        service,
        shutdown: shutdown.clone(),
        task: tokio::spawn(server.serve(shutdown)),
    }
}

/// Instance `a` as the client and instance `b` as the server.
pub struct Pair {
    pub authority: TestAuthority,
    pub client: LocalInstance,
    pub pool: LinkPool,
    pub server: TestServer,
}

impl Pair {
    pub async fn start() -> Self {
        Self::with_settings(LinkSettings::default()).await
    }

    pub async fn with_settings(settings: LinkSettings) -> Self {
        let authority = authority();
        let client = local(&authority, "a", 1).with_settings(settings);
        let server = serve(local(&authority, "b", 2).with_settings(settings)).await;
        Self {
            pool: LinkPool::new(client.clone()),
            authority,
            client,
            server,
        }
    }

    pub fn peer(&self) -> PeerAddress {
        PeerAddress::new("b", self.server.address)
    }
}

pub fn loan(organisation: &str, rate: u64) -> LoanRequest {
    LoanRequest {
        organisation: organisation.to_owned(),
        rate,
        ..LoanRequest::default()
    }
}
