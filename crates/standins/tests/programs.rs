//! Tests of the stand-in programs.

use std::{
    collections::BTreeSet,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpStream},
    process::{Command, Stdio},
};

/// Guards against programs whose address cannot be read, or that do not end on a signal.
#[test]
fn programs_announce_and_end() {
    let programs = [
        env!("CARGO_BIN_EXE_hawthornquay-standin-engine"),
        env!("CARGO_BIN_EXE_hawthornquay-standin-platform"),
        env!("CARGO_BIN_EXE_hawthornquay-standin-service"),
    ];
    for program in programs {
        for signal in ["-TERM", "-INT"] {
            let mut child = Command::new(program)
                .stdout(Stdio::piped())
                .spawn()
                .unwrap();
            let mut line = String::new();
            let stdout = child.stdout.take().unwrap();
            BufReader::new(stdout).read_line(&mut line).unwrap();
            let address = line.trim().strip_prefix("listening ").unwrap();
            TcpStream::connect(address.parse::<SocketAddr>().unwrap()).unwrap();
            let id = child.id().to_string();
            assert!(
                Command::new("kill")
                    .args([signal, &id])
                    .status()
                    .unwrap()
                    .success()
            );
            assert!(child.wait().unwrap().success(), "{program} {signal}");
        }
    }
}

/// Guards against ports that are printed twice.
#[test]
fn ports_are_distinct() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hawthornquay-standin-ports"));
    let output = command.arg("20").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let ports: BTreeSet<u16> = text.lines().map(|line| line.parse().unwrap()).collect();
    assert_eq!((ports.len(), text.lines().count()), (20, 20));
}
