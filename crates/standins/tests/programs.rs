//! Tests of the stand-in programs.

use std::{
    collections::BTreeSet,
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpStream},
    process::{Command, Stdio},
};

/// Guards against a program that does not print its address, or does not exit on a signal.
#[test]
fn programs_print_their_address_and_exit_on_a_signal() {
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

/// Guards against a port that is printed twice because it was released before the last was found.
#[test]
fn printed_ports_are_distinct() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hawthornquay-standin-ports"));
    let output = command.arg("20").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    let ports: BTreeSet<u16> = text.lines().map(|line| line.parse().unwrap()).collect();
    assert_eq!((ports.len(), text.lines().count()), (20, 20));
}
