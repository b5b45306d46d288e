//! Scripted operators' interface of one instance.

use std::{
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
};

use hawthornquay::{FleetMember, FleetReport};
use serde_json::json;

/// What the instance does with each call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Answers with a status and a body.
    Answer(u16, String),
    /// Closes the connection in the middle of the body.
    HalfAnswer,
    /// Keeps the connection open without an answer.
    Silence,
}

/// Starts an instance that answers calls of `path`, and 404 to others.
pub fn start_instance(path: &'static str, reply: Reply) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept() {
            serve(&stream, path, &reply);
            if matches!(reply, Reply::Silence) {
                held.push(stream);
            }
        }
    });
    address
}

fn serve(mut stream: &TcpStream, path: &str, reply: &Reply) {
    let mut lines = BufReader::new(stream).lines();
    let Some(Ok(request)) = lines.next() else {
        return;
    };
    // The client would see a reset in place of the answer if its headers were left unread.
    let _ = lines
        .take_while(|line| line.as_ref().is_ok_and(|line| !line.is_empty()))
        .count();
    let (status, length, body) = match reply {
        Reply::Silence => return,
        Reply::HalfAnswer => (200, 100, "{"),
        Reply::Answer(status, body) if request.starts_with(&format!("GET {path} ")) => {
            (*status, body.len(), body.as_str())
        }
        Reply::Answer(..) => (404, 0, ""),
    };
    let head =
        format!("HTTP/1.1 {status} -\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    let _ = stream.write_all(format!("{head}{body}").as_bytes());
}

/// Returns the fleet view of an instance.
pub fn report(name: &str, version: u64) -> Reply {
    let member = |name: &str, state: &str| FleetMember {
        name: name.into(),
        region: "lagos".into(),
        domain: "lagos-a".into(),
        state: state.to_owned(),
        bundle_version: version,
    };
    let report = FleetReport {
        instance: name.into(),
        bundle_version: version,
        requests_in_flight: 5,
        control_bytes: 10,
        leaving: false,
        members: vec![member("b-1", "live"), member("b-2", "suspect")],
    };
    Reply::Answer(200, json!(report).to_string())
}
