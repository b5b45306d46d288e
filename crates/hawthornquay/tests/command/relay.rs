//! Relay between the command and the platform that fails at a chosen request.

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

/// Longest time that the relay gives the platform to carry out the last request.
const LAST_REQUEST: Duration = Duration::from_millis(200);

/// Answers that a relay loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Only that of the first request that matches.
    Once,
    /// That of the first request that matches, which still takes effect, and all later requests.
    FromThenOn,
}

/// Starts a relay to `platform` that loses answers when a request contains `cut_at`.
pub fn start_relay(platform: SocketAddr, cut_at: &'static str, loss: Loss) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let matched = Arc::new(AtomicBool::new(false));
    thread::spawn(move || {
        while let Ok((client, _)) = listener.accept() {
            if loss == Loss::FromThenOn && matched.load(Ordering::SeqCst) {
                continue;
            }
            let matched = Arc::clone(&matched);
            thread::spawn(move || relay(&client, platform, cut_at, &matched));
        }
    });
    address
}

fn relay(mut client: &TcpStream, platform: SocketAddr, cut_at: &str, matched: &AtomicBool) {
    let mut upstream = TcpStream::connect(platform).unwrap();
    let answers = (upstream.try_clone().unwrap(), client.try_clone().unwrap());
    let mut requests = vec![0; 64 * 1024];
    let cut = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| copy_answers(answers, &cut));
        while let Ok(count @ 1..) = client.read(&mut requests) {
            let text = String::from_utf8_lossy(&requests[..count]);
            let last = text.contains(cut_at) && !matched.swap(true, Ordering::SeqCst);
            cut.store(last, Ordering::SeqCst);
            if upstream.write_all(&requests[..count]).is_err() {
                break;
            }
            if last {
                thread::sleep(LAST_REQUEST);
                break;
            }
        }
        let _ = client.shutdown(Shutdown::Both);
        let _ = upstream.shutdown(Shutdown::Both);
    });
}

fn copy_answers((mut upstream, mut client): (TcpStream, TcpStream), cut: &AtomicBool) {
    let mut answers = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = upstream.read(&mut answers) {
        if cut.load(Ordering::SeqCst) || client.write_all(&answers[..count]).is_err() {
            break;
        }
    }
}
