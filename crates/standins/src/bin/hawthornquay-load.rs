//! Load generator.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::Bpaf;
use hawthornquay_standins::{
    LoadPlan, LoadSummary, OrganisationKey, Quantiles, SizeRange, render_load_chart, run_load,
};
use miette::{IntoDiagnostic, WrapErr, miette};

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
/// Sends open-loop load to instances and checks the answers
///
/// Exits with status 1 if any answer was wrong, and with status 2 on invalid input.
struct Options {
    /// Address of an instance; can be repeated
    #[bpaf(argument("ADDRESS"), some("at least one --instance is required"))]
    instance: Vec<SocketAddr>,
    /// Fetch the address list of each organisation from the instances
    discover: bool,
    /// Backend server that each request is also sent to directly, for a paired comparison
    #[bpaf(argument("ADDRESS"))]
    direct: Option<SocketAddr>,
    /// File with lines of the form: NAME KEY [WEIGHT], one per organisation
    #[bpaf(argument("FILE"))]
    keys: Option<PathBuf>,
    /// Mean arrival rate, in requests per second
    #[bpaf(argument("N"), fallback(20.0), guard(|rate| *rate > 0.0, "must be positive"))]
    requests_per_s: f64,
    /// Time during which new requests are sent, in seconds
    #[bpaf(argument("S"), fallback(10))]
    duration_s: u64,
    /// Maximum number of requests in flight
    #[bpaf(argument("N"), fallback(256))]
    concurrency: usize,
    /// Share of requests whose answer is streamed, from 0 to 1
    #[bpaf(
        argument("SHARE"),
        fallback(0.5),
        guard(is_share, "must be from 0 to 1")
    )]
    streamed: f64,
    /// Share of requests with priority batch, from 0 to 1
    #[bpaf(
        argument("SHARE"),
        fallback(0.0),
        guard(is_share, "must be from 0 to 1")
    )]
    batch: f64,
    /// Number of prompt tokens, or a range
    #[bpaf(argument("N-M"), fallback(SizeRange(64..=512)))]
    prompt_tokens: SizeRange,
    /// Number of generated tokens, or a range
    #[bpaf(argument("N-M"), fallback(SizeRange(8..=64)))]
    output_tokens: SizeRange,
    /// Name of the model
    #[bpaf(argument("MODEL"), fallback("ledger-7b".to_owned()))]
    model: String,
    /// Timeout of a request, in milliseconds
    #[bpaf(argument("MS"), fallback(60_000))]
    timeout_ms: u64,
    /// Seed of the random number generator
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Write the report as JSON to this file
    #[bpaf(argument("FILE"))]
    report: Option<PathBuf>,
    /// Write an SVG chart of latency and refusals to this file
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
}

fn is_share(share: &f64) -> bool {
    (0.0..=1.0).contains(share)
}

const EXIT_BAD_INPUT: u8 = 2;
const HELP_WIDTH_COLUMNS: usize = 100;

#[tokio::main]
async fn main() -> ExitCode {
    let options = match options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH_COLUMNS);
            let is_help = failure.exit_code() == 0;
            return ExitCode::from(if is_help { 0 } else { EXIT_BAD_INPUT });
        }
    };
    match run(options).await {
        Ok(wrong_answers) => ExitCode::from(u8::from(wrong_answers > 0)),
        Err(err) => {
            eprintln!("{err:?}");
            ExitCode::from(EXIT_BAD_INPUT)
        }
    }
}

/// Sends the load and writes the reports; returns the number of wrong answers.
async fn run(options: Options) -> miette::Result<u64> {
    let plan = LoadPlan {
        instances: options.instance,
        discover: options.discover,
        direct: options.direct,
        organisations: read_keys(options.keys)?,
        requests_per_s: options.requests_per_s,
        duration: Duration::from_secs(options.duration_s),
        max_in_flight: options.concurrency,
        streamed_share: options.streamed,
        batch_share: options.batch,
        prompt_tokens: options.prompt_tokens,
        output_tokens: options.output_tokens,
        model: options.model,
        timeout: Duration::from_millis(options.timeout_ms),
        seed: options.seed,
    };
    let summary = run_load(&plan).await;
    print_summary(&summary, plan.direct.is_some());
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

fn print_summary(summary: &LoadSummary, has_direct: bool) {
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
    if has_direct {
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
