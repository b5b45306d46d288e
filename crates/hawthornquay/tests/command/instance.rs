//! Fake instance with a scripted operator interface.

use std::{
    io::{BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    thread,
};

use hawthornquay::{FleetMember, FleetReport};
use serde_json::json;

/// Behaviour of the instance for each request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Responds with a status and a body.
    Response(u16, String),
    /// Closes the connection in the middle of the body.
    TruncatedResponse,
    /// Keeps the connection open and sends nothing.
    NoResponse,
}

/// Starts an instance that replies to requests of `path`, and responds to others with status 404.
pub fn start_fake_instance(path: &'static str, reply: Reply) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept() {
            serve(&stream, path, &reply);
            if matches!(reply, Reply::NoResponse) {
                open.push(stream);
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
    // Reads all headers: closing the connection with unread data would reset it before the client
    // has the response.
    let _ = lines
        .take_while(|line| line.as_ref().is_ok_and(|line| !line.is_empty()))
        .count();
    let (status, length, body) = match reply {
        Reply::NoResponse => return,
        Reply::TruncatedResponse => (200, 100, "{"),
        Reply::Response(status, body) if request.starts_with(&format!("GET {path} ")) => {
            (*status, body.len(), body.as_str())
        }
        Reply::Response(..) => (404, 0, ""),
    };
    let head =
        format!("HTTP/1.1 {status} -\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    let _ = stream.write_all(format!("{head}{body}").as_bytes());
}

/// Returns a reply with the fleet report of an instance.
pub fn fleet_report(name: &str, version: u64) -> Reply {
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
    Reply::Response(200, json!(report).to_string())
}
