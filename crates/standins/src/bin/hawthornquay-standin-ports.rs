//! Finds free loopback ports.

use std::net::TcpListener;

use bpaf::Bpaf;
use miette::IntoDiagnostic;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Prints free TCP ports of the loopback interface, one per line
struct Options {
    /// Number of ports
    #[bpaf(positional("N"))]
    count: usize,
}

fn main() -> miette::Result<()> {
    let count = options().run().count;
    // All listeners stay open until the last port is found, so that no port is returned twice.
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()
        .into_diagnostic()?;
    for listener in &listeners {
        println!("{}", listener.local_addr().into_diagnostic()?.port());
    }
    Ok(())
}
