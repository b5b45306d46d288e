//! TCP relay between the command and the platform that fails at a chosen request.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Time that the platform has to execute the last forwarded request before the connections close.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(200);

/// Responses that the relay loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Only the response to the first matching request.
    Once,
    /// The response to the first matching request, which still takes effect, and all later
    /// requests.
    FromThenOn,
}

/// Starts a relay to `platform` that loses responses once a request contains `fail_at`.
pub fn start_relay(platform: SocketAddr, fail_at: &'static str, loss: Loss) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let matched = Arc::new(AtomicBool::new(false));
    thread::spawn(move || {
        while let Ok((client, _)) = listener.accept() {
            if loss == Loss::FromThenOn && matched.load(Ordering::SeqCst) {
                continue;
            }
            let matched = Arc::clone(&matched);
            thread::spawn(move || relay(&client, platform, fail_at, &matched));
        }
    });
    address
}

fn relay(mut client: &TcpStream, platform: SocketAddr, fail_at: &str, matched: &AtomicBool) {
    let mut upstream = TcpStream::connect(platform).unwrap();
    let streams = (upstream.try_clone().unwrap(), client.try_clone().unwrap());
    let mut requests = vec![0; 64 * 1024];
    let drop_responses = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| copy_responses(streams, &drop_responses));
        while let Ok(count @ 1..) = client.read(&mut requests) {
            let text = String::from_utf8_lossy(&requests[..count]);
            let last = text.contains(fail_at) && !matched.swap(true, Ordering::SeqCst);
            drop_responses.store(last, Ordering::SeqCst);
            if upstream.write_all(&requests[..count]).is_err() {
                break;
            }
            if last {
                thread::sleep(LAST_REQUEST_TIME);
                break;
            }
        }
        let _ = client.shutdown(Shutdown::Both);
        let _ = upstream.shutdown(Shutdown::Both);
    });
}

fn copy_responses((mut upstream, mut client): (TcpStream, TcpStream), drop_responses: &AtomicBool) {
    let mut responses = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = upstream.read(&mut responses) {
        if drop_responses.load(Ordering::SeqCst) || client.write_all(&responses[..count]).is_err() {
            break;
        }
    }
}
