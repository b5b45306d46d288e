//! Common parts of the programs.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

use tokio::signal::unix::{SignalKind, signal};

/// Prints the `listening` line and waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the error of the system if the line cannot be written or the signals not be watched.
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
