//! Load tool.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use hawthornquay_standins::{
    LoadPlan, LoadSummary, OrganisationKey, Quantiles, SizeRange, render_load_chart, run_load,
};
use miette::{IntoDiagnostic, WrapErr, miette};

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Sends open-loop load as callers do, and checks the answers
///
/// Exits with 1 if any answer was wrong and with 2 on bad input.
struct Options {
    /// Address of an instance; may be given several times
    #[bpaf(argument("ADDRESS"), some("needs an --instance"))]
    instance: Vec<SocketAddr>,
    /// Asks the instances for each organisation's list
    discover: bool,
    /// Backend server that gets each request as well, for a paired comparison
    #[bpaf(argument("ADDRESS"))]
    direct: Option<SocketAddr>,
    /// File with lines of the form: organisation key [weight]
    #[bpaf(argument("FILE"))]
    keys: Option<PathBuf>,
    /// Arrivals a second
    #[bpaf(argument("N"), fallback(20.0), guard(|rate| *rate > 0.0, "has to be positive"))]
    requests_per_s: f64,
    /// Time in which requests arrive, in seconds
    #[bpaf(argument("S"), fallback(10))]
    duration_s: u64,
    /// Most requests in flight
    #[bpaf(argument("N"), fallback(256))]
    concurrency: usize,
    /// Share of streamed requests, from 0 to 1
    #[bpaf(
        argument("SHARE"),
        fallback(0.5),
        guard(is_share, "has to be from 0 to 1")
    )]
    streamed: f64,
    /// Share of batch requests, from 0 to 1
    #[bpaf(
        argument("SHARE"),
        fallback(0.0),
        guard(is_share, "has to be from 0 to 1")
    )]
    batch: f64,
    /// Tokens of the prompts
    #[bpaf(argument("N-M"), fallback(SizeRange(64..=512)))]
    prompt_tokens: SizeRange,
    /// Tokens of the answers
    #[bpaf(argument("N-M"), fallback(SizeRange(8..=64)))]
    output_tokens: SizeRange,
    /// Model
    #[bpaf(argument("MODEL"), fallback("ledger-7b".to_owned()))]
    model: String,
    /// Longest time of a request, in milliseconds
    #[bpaf(argument("MS"), fallback(60_000))]
    timeout_ms: u64,
    /// Seed of the random numbers
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Writes the report as JSON to this file
    #[bpaf(argument("FILE"))]
    report: Option<PathBuf>,
    /// Writes a chart of latency and refusals to this file
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
}

fn is_share(share: &f64) -> bool {
    (0.0..=1.0).contains(share)
}

const EXIT_BAD_INPUT: u8 = 2;
const MESSAGE_WIDTH: usize = 100;

#[tokio::main]
async fn main() -> ExitCode {
    let options = match options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(MESSAGE_WIDTH);
            let helped = failure.exit_code() == 0;
            return ExitCode::from(if helped { 0 } else { EXIT_BAD_INPUT });
        }
    };
    match run(options).await {
        Ok(wrong) => ExitCode::from(u8::from(wrong > 0)),
        Err(err) => {
            eprintln!("{err:?}");
            ExitCode::from(EXIT_BAD_INPUT)
        }
    }
}

/// Runs the load and writes the reports; returns the number of wrong answers.
async fn run(options: Options) -> miette::Result<u64> {
    let plan = LoadPlan {
        instances: options.instance,
        discover: options.discover,
        direct: options.direct,
        organisations: read_keys(options.keys)?,
        requests_per_s: options.requests_per_s,
        duration: Duration::from_secs(options.duration_s),
        concurrency: options.concurrency,
        streamed: options.streamed,
        batch: options.batch,
        prompt_tokens: options.prompt_tokens,
        output_tokens: options.output_tokens,
        model: options.model,
        timeout: Duration::from_millis(options.timeout_ms),
        seed: options.seed,
    };
    let summary = run_load(&plan).await;
    print(&summary, plan.direct.is_some());
    if let Some(path) = options.report {
        let text = serde_json::to_string_pretty(&summary).into_diagnostic()?;
        write(&path, &text)?;
    }
    if let Some(path) = options.svg {
        write(
            &path,
            &render_load_chart(&summary).map_err(|err| miette!("{err}"))?,
        )?;
    }
    Ok(summary.wrong)
}

fn read_keys(path: Option<PathBuf>) -> miette::Result<Vec<OrganisationKey>> {
    let Some(path) = path else {
        return Ok(Vec::new());
    };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err(name.clone())?;
    OrganisationKey::parse_file(&text).map_err(|err| miette!("{name}: {err}"))
}

fn write(path: &PathBuf, text: &str) -> miette::Result<()> {
    std::fs::write(path, text)
        .into_diagnostic()
        .wrap_err_with(|| path.display().to_string())
}

fn print(summary: &LoadSummary, compared: bool) {
    println!(
        "sent {}, right {}, wrong {}, broken {}, timed out {}, unreachable {}, not sent {}",
        summary.sent,
        summary.right,
        summary.wrong,
        summary.broken,
        summary.timed_out,
        summary.unreachable,
        summary.over_concurrency,
    );
    for (code, count) in &summary.refusals {
        println!("refused {count}: {code}");
    }
    for example in &summary.wrong_examples {
        println!("wrong: {example}");
    }
    print_quantiles("first token", &summary.times.first_token_ms);
    print_quantiles("between tokens", &summary.times.between_tokens_ms);
    print_quantiles("total", &summary.times.total_ms);
    if compared {
        print_quantiles("direct, first token", &summary.direct_times.first_token_ms);
        print_quantiles("direct, total", &summary.direct_times.total_ms);
        print_quantiles("added to first token", &summary.added_first_token_ms);
        print_quantiles("added to total", &summary.added_total_ms);
    }
}

fn print_quantiles(name: &str, quantiles: &Quantiles) {
    println!(
        "{name}: p50 {:.3} ms, p95 {:.3} ms, p99 {:.3} ms, max {:.3} ms ({} values)",
        quantiles.p50, quantiles.p95, quantiles.p99, quantiles.max, quantiles.count,
    );
}
