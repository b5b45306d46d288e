//! Which failures of a call are evidence about the peer.
#![allow(missing_docs)]

mod support;

use std::io;

use hawthornquay_decisions::{Execution, InstanceId, InstanceName};
use hawthornquay_instances::{LinkError, LinkPool, MAX_FORWARDED_BODY_BYTES, PeerAddress};
use support::{ANY_PORT, Pair, TEST_TIMEOUT, service::forward};

fn connect(source: io::Error) -> LinkError {
    LinkError::Connect {
        name: InstanceName::from("b"),
        address: ANY_PORT,
        source,
    }
}

/// Guards against a failure of the sender or of one request that makes the callers of all other
/// requests avoid the peer.
#[test]
fn own_failure_does_not_concern_peer() {
    let (no_file_descriptor, no_port) = (24, io::ErrorKind::AddrNotAvailable);
    for error in [
        LinkError::TooLarge { len: 2, limit: 1 },
        LinkError::Cancelled,
        LinkError::Tls("invalid".to_owned()),
        connect(io::Error::from_raw_os_error(no_file_descriptor)),
        connect(no_port.into()),
    ] {
        assert!(!error.concerns_peer(), "{error}");
    }
}

/// Guards against failures of the peer that are overlooked.
#[test]
fn peer_failure_concerns_peer() {
    let name = InstanceName::from("b");
    for error in [
        connect(io::ErrorKind::ConnectionRefused.into()),
        connect(io::ErrorKind::TimedOut.into()),
        LinkError::WrongPeer {
            expected: "b".to_owned(),
            address: ANY_PORT,
            found: InstanceId::new("c", 1),
        },
        LinkError::LinkEnded {
            name: name.clone(),
            execution: Execution::Unknown,
        },
        LinkError::DeadlineExceeded {
            name: name.clone(),
            execution: Execution::NotRun,
        },
        LinkError::Protocol {
            name,
            reason: "unexpected",
        },
    ] {
        assert!(error.concerns_peer(), "{error}");
    }
}

/// Guards against the same in errors as the links return them.
#[tokio::test]
async fn errors_of_links_are_told_apart() {
    let pair = Pair::start().await;
    let mut request = forward("/echo", b"");
    request.body = vec![0; MAX_FORWARDED_BODY_BYTES + 1].into();
    let too_large = pair.pool.forward(&pair.peer(), request, TEST_TIMEOUT).await;
    assert!(!too_large.err().unwrap().concerns_peer());
    let pool = LinkPool::new(pair.client.clone());
    let closed = std::net::TcpListener::bind(ANY_PORT).unwrap();
    let peer = PeerAddress::new("b", closed.local_addr().unwrap());
    drop(closed);
    let refused = pool.forward(&peer, forward("/echo", b""), TEST_TIMEOUT);
    assert!(refused.await.err().unwrap().concerns_peer());
}
