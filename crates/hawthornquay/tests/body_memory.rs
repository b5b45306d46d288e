//! Memory limit for request bodies. This test has a file, and so a process, of its own: all
//! instances of a process share the limit.

mod support;

use std::{fs, time::Duration};

use http::StatusCode;
use support::{Caller, FleetBuilder, wait_until};
use tokio::{io::AsyncWriteExt, net::TcpStream};

const CHAT: &str = "/v1/chat/completions";
const AUTH: &str = "authorization: Bearer key-kolanut\r\n";

/// Connections that each send an incomplete large body.
const UNFINISHED_BODIES: usize = 200;

/// Bytes that each connection sends; their sum exceeds the limit for all bodies of the process.
const BYTES_PER_BODY: usize = 2_500_000;

/// Upper bound for the growth of resident memory, including the buffers of the process.
const MAX_MEMORY_GROWTH_BYTES: u64 = 128 << 20;

/// Guards against unbounded memory use by callers that never complete their request bodies.
#[tokio::test(flavor = "multi_thread")]
async fn memory_of_unfinished_bodies_is_bounded() {
    let fleet = FleetBuilder::default().start().await;
    let to = fleet.callers(0);
    let caller = Caller::new(Some("key-kolanut"));
    assert_eq!(caller.chat(to, "n", 2, false).await.status, StatusCode::OK);
    let before = resident_bytes();
    let body: &'static [u8] = vec![b' '; BYTES_PER_BODY].leak();
    let mut connections = Vec::new();
    for _ in 0..UNFINISHED_BODIES {
        connections.push(tokio::spawn(async move {
            let mut stream = TcpStream::connect(to).await.unwrap();
            let head =
                format!("POST {CHAT} HTTP/1.1\r\nhost: h\r\n{AUTH}content-length: 3000000\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            // The instance may refuse the request and close the connection meanwhile.
            let sent = stream.write_all(body).await;
            (stream, sent.is_ok())
        }));
    }
    let mut open = Vec::new();
    for connection in connections {
        open.push(connection.await.unwrap());
    }
    // The instance continues to read from the socket buffers until its memory no longer grows.
    let (mut previous_mib, mut unchanged) = (0, 0);
    wait_until(Duration::from_secs(10), "end of memory growth", || {
        let current_mib = resident_bytes() >> 20;
        unchanged = if current_mib == previous_mib {
            unchanged + 1
        } else {
            0
        };
        previous_mib = current_mib;
        unchanged >= 30
    })
    .await;
    let growth = resident_bytes().saturating_sub(before);
    eprintln!("{} MiB for unfinished bodies", growth >> 20);
    assert!(
        growth < MAX_MEMORY_GROWTH_BYTES,
        "resident memory grew by {growth} bytes"
    );
    drop(open);
    wait_until(
        Duration::from_secs(10),
        "end of the unfinished requests",
        || fleet.in_flight() == 0,
    )
    .await;
    let after = caller.chat(to, "n", 2, false).await;
    assert_eq!(after.status, StatusCode::OK, "{}", after.text());
}

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    let kib: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
    kib << 10
}
