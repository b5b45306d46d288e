//! Stand-in for a plain service, as a separate program.

use std::net::SocketAddr;

use bpaf::Bpaf;
use hawthornquay_standins::{AfterRun, PlainService, ServiceFaults, print_address_and_wait};
use miette::IntoDiagnostic;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Runs a stand-in for a plain service
struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".parse().expect("address is valid")))]
    listen: SocketAddr,
    /// Name of the service in load reports
    #[bpaf(argument("NAME"), fallback("service".to_owned()))]
    name: String,
    /// Delay between the run and the response, in milliseconds
    #[bpaf(argument("MS"), fallback(0))]
    delay_ms: u64,
    /// Respond with status 500 after each run
    fail_after_run: bool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> miette::Result<()> {
    let options = options().run();
    let service = PlainService::start(options.listen, &options.name)
        .await
        .into_diagnostic()?;
    let after_run = if options.fail_after_run {
        AfterRun::Fail
    } else {
        AfterRun::Answer
    };
    service.set_faults(ServiceFaults {
        delay_ms: options.delay_ms,
        after_run,
        leaving: false,
    });
    print_address_and_wait(service.address())
        .await
        .into_diagnostic()?;
    service.stop().await;
    Ok(())
}
