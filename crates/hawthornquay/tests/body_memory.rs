//! Memory of bodies; in a process of its own, because all instances of a process share the bound.

mod support;

use std::{fs, time::Duration};

use http::StatusCode;
use support::{Caller, FleetBuilder, wait_until};
use tokio::{io::AsyncWriteExt, net::TcpStream};

const CHAT: &str = "/v1/chat/completions";
const KEY: &str = "authorization: Bearer key-kolanut\r\n";

/// Connections that each leave a large body unfinished.
const UNFINISHED_BODIES: usize = 200;

/// Bytes that each of them sends; all together they exceed what the instance may hold.
const UNFINISHED_BYTES: usize = 2_500_000;

/// Most memory that the unfinished bodies may take, with the buffers of the process.
const MEMORY_GROWTH: u64 = 128 << 20;

/// Guards against callers that make the instance hold any amount of memory with bodies that they
/// never finish.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_take_bounded_memory() {
    let fleet = FleetBuilder::default().start().await;
    let to = fleet.callers(0);
    let caller = Caller::new(Some("key-kolanut"));
    assert_eq!(caller.chat(to, "n", 2, false).await.status, StatusCode::OK);
    let before = resident_bytes();
    let body: &'static [u8] = vec![b' '; UNFINISHED_BYTES].leak();
    let mut connections = Vec::new();
    for _ in 0..UNFINISHED_BODIES {
        connections.push(tokio::spawn(async move {
            let mut stream = TcpStream::connect(to).await.unwrap();
            let head =
                format!("POST {CHAT} HTTP/1.1\r\nhost: h\r\n{KEY}content-length: 3000000\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            // The instance may refuse and close meanwhile.
            let sent = stream.write_all(body).await;
            (stream, sent.is_ok())
        }));
    }
    let mut held = Vec::new();
    for connection in connections {
        held.push(connection.await.unwrap());
    }
    // What the sockets hold is read in until the memory no longer grows.
    let (mut seen, mut unchanged) = (0, 0);
    wait_until(Duration::from_secs(10), "end of all reads", || {
        let now = resident_bytes() >> 20;
        unchanged = if now == seen { unchanged + 1 } else { 0 };
        seen = now;
        unchanged >= 30
    })
    .await;
    let growth = resident_bytes().saturating_sub(before);
    eprintln!("{} MB for unfinished bodies", growth >> 20);
    assert!(growth < MEMORY_GROWTH, "{growth} bytes");
    drop(held);
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
