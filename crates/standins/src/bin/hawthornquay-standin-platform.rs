//! Stand-in for the platform, as a separate program.

use std::{net::SocketAddr, time::Duration};

use bpaf::Bpaf;
use hawthornquay_standins::{Platform, PlatformSettings, print_address_and_wait};
use miette::IntoDiagnostic;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Runs a stand-in for the platform
struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".parse().expect("address is valid")))]
    listen: SocketAddr,
    /// Rate limit of writes to the store, per second
    #[bpaf(argument("N"), fallback(400))]
    writes_per_s: u32,
    /// Rate limit of reads of the store, per second
    #[bpaf(argument("N"), fallback(2000))]
    reads_per_s: u32,
    /// Age of the instance list, in milliseconds
    #[bpaf(argument("MS"), fallback(200))]
    list_lag_ms: u64,
    /// Size of the objects of the weight store, in bytes
    #[bpaf(argument("N"), fallback(1024 * 1024))]
    weight_bytes: usize,
    /// Throughput of the weight store, in bytes per second
    #[bpaf(argument("N"), fallback(64 * 1024 * 1024))]
    weight_bytes_per_s: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> miette::Result<()> {
    let options = options().run();
    let settings = PlatformSettings {
        writes_per_s: options.writes_per_s,
        reads_per_s: options.reads_per_s,
        list_lag: Duration::from_millis(options.list_lag_ms),
        weight_bytes: options.weight_bytes,
        weight_bytes_per_s: options.weight_bytes_per_s,
    };
    let platform = Platform::start(options.listen, settings)
        .await
        .into_diagnostic()?;
    print_address_and_wait(platform.address())
        .await
        .into_diagnostic()?;
    platform.stop().await;
    Ok(())
}
