//! Stand-in for a model engine, as a separate program.

use std::{net::SocketAddr, time::Duration};

use bpaf::Bpaf;
use hawthornquay_standins::{EngineSettings, ModelEngine, print_address_and_wait};
use miette::IntoDiagnostic;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Runs a stand-in for a model engine
struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDRESS"), fallback("127.0.0.1:0".parse().expect("address is valid")))]
    listen: SocketAddr,
    /// Name of the engine in load reports
    #[bpaf(argument("NAME"), fallback("engine".to_owned()))]
    name: String,
    /// Name of a loaded model; can be repeated, default ledger-7b
    #[bpaf(argument("MODEL"))]
    model: Vec<String>,
    /// Maximum number of requests that run concurrently
    #[bpaf(argument("N"), fallback(8))]
    slots: usize,
    /// Maximum number of requests that wait for a slot
    #[bpaf(argument("N"), fallback(1024))]
    queue_limit: usize,
    /// Prefill throughput, in tokens per second
    #[bpaf(argument("N"), fallback(20_000))]
    prefill_tokens_per_s: u64,
    /// Time between two tokens of an answer, in milliseconds
    #[bpaf(argument("MS"), fallback(5))]
    decode_ms: u64,
    /// Capacity of the prefix cache, in tokens
    #[bpaf(argument("N"), fallback(65_536))]
    kv_capacity: u64,
    /// Delay of cache events, in milliseconds
    #[bpaf(argument("MS"), fallback(50))]
    event_delay_ms: u64,
    /// Lose every N-th cache event; 0 disables losses
    #[bpaf(argument("N"), fallback(0))]
    event_gap_every: u64,
    /// Age of load reports, in milliseconds
    #[bpaf(argument("MS"), fallback(100))]
    load_lag_ms: u64,
    /// Ignore the fencing numbers of orders
    no_fencing: bool,
    /// Time until an order takes effect, in milliseconds
    #[bpaf(argument("MS"), fallback(100))]
    order_delay_ms: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> miette::Result<()> {
    let options = options().run();
    let mut settings = EngineSettings {
        name: options.name,
        slots: options.slots,
        queue_limit: options.queue_limit,
        prefill_tokens_per_s: options.prefill_tokens_per_s,
        decode_ms: options.decode_ms,
        kv_capacity: options.kv_capacity,
        event_delay: Duration::from_millis(options.event_delay_ms),
        event_gap_every: options.event_gap_every,
        load_lag: Duration::from_millis(options.load_lag_ms),
        checks_fencing: !options.no_fencing,
        order_delay: Duration::from_millis(options.order_delay_ms),
        ..EngineSettings::default()
    };
    if !options.model.is_empty() {
        settings.models = options.model;
    }
    let engine = ModelEngine::start(options.listen, settings)
        .await
        .into_diagnostic()?;
    print_address_and_wait(engine.address())
        .await
        .into_diagnostic()?;
    engine.stop().await;
    Ok(())
}
