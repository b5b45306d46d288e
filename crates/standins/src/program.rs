//! Functions shared by the stand-in programs.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

use tokio::signal::unix::{SignalKind, signal};

/// Prints `listening <address>` to standard output and waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an I/O error if the line cannot be written or a signal handler cannot be installed.
pub async fn print_address_and_wait(address: SocketAddr) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut stdout = io::stdout();
    writeln!(stdout, "listening {address}")?;
    stdout.flush()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
