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

/// Starts a relay to `platform` that loses every answer from the first request for `cut_at` on.
///
/// That request still takes effect; later ones do not reach the platform.
pub fn start_relay(platform: SocketAddr, cut_at: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let cut = Arc::new(AtomicBool::new(false));
    thread::spawn(move || {
        while let Ok((client, _)) = listener.accept() {
            let cut = Arc::clone(&cut);
            thread::spawn(move || relay(&client, platform, cut_at, &cut));
        }
    });
    address
}

fn relay(mut client: &TcpStream, platform: SocketAddr, cut_at: &str, cut: &AtomicBool) {
    let mut upstream = TcpStream::connect(platform).unwrap();
    let answers = (upstream.try_clone().unwrap(), client.try_clone().unwrap());
    let mut requests = vec![0; 64 * 1024];
    thread::scope(|scope| {
        scope.spawn(|| copy_answers(answers, cut));
        while let Ok(count @ 1..) = client.read(&mut requests) {
            if cut.load(Ordering::SeqCst) {
                break;
            }
            let last = String::from_utf8_lossy(&requests[..count]).contains(cut_at);
            if last {
                cut.store(true, Ordering::SeqCst);
            }
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
