//! Rate limit of one organisation, enforced by nine instances in three regions.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use hawthornquay_decisions::InstanceState;
use hawthornquay_standins::EngineSettings;
use http::StatusCode;
use rustix::process::Signal;
use support::{Caller, Fleet, FleetBuilder};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const DAEMON: &str = env!("CARGO_BIN_EXE_hawthornquayd");
const OUTPUT_TOKENS: u64 = 40;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

fn engine() -> EngineSettings {
    EngineSettings {
        slots: 128,
        decode_ms: 2,
        prefill_tokens_per_s: 1_000_000,
        ..EngineSettings::default()
    }
}

/// Returns the prompt and output tokens that all engines have processed; each request has a prompt
/// of `prompt_tokens`.
fn used_tokens(fleet: &Fleet, prompt_tokens: u64) -> u64 {
    fleet
        .engines
        .iter()
        .map(|engine| engine.counters())
        .map(|counters| counters.generated_tokens + counters.started * prompt_tokens)
        .sum()
}

/// Returns the prompt tokens of a request of this test, as reported by a successful response.
async fn prompt_tokens(fleet: &Fleet) -> u64 {
    let caller = Caller::new(Some("key-kolanut"));
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let response = caller
            .chat(fleet.callers(0), "n", OUTPUT_TOKENS, false)
            .await;
        if response.status == StatusCode::OK {
            return response.json()["usage"]["prompt_tokens"].as_u64().unwrap();
        }
        assert!(Instant::now() < end, "{}", response.text());
    }
}

/// Samples of (seconds since the start, tokens used so far).
type Samples = Vec<(f64, u64)>;

/// Records a sample every [`SAMPLE_INTERVAL`] for `time`.
async fn sample(
    fleet: &Fleet,
    prompt: u64,
    started: Instant,
    time: Duration,
    samples: &mut Samples,
) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        samples.push((started.elapsed().as_secs_f64(), used_tokens(fleet, prompt)));
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns the largest excess over `burst + rate * (t + delay)` tokens among all intervals.
///
/// `delay` is the longest time in seconds from the admission of a request to its last token.
fn worst_excess(samples: &[(f64, u64)], rate: f64, burst: f64, delay: f64) -> f64 {
    let mut worst = f64::MIN;
    for (index, (from, before)) in samples.iter().enumerate() {
        for (to, after) in &samples[index + 1..] {
            let allowed = burst + rate * (to - from + delay);
            worst = worst.max((after - before) as f64 - allowed);
        }
    }
    worst
}

/// Guards against admitting more tokens than the rate and burst allow while a process is replaced
/// or paused, a region is partitioned, or the rate is lowered.
#[tokio::test(flavor = "multi_thread")]
async fn overloading_organisation_stays_within_its_limit_during_failures() {
    const RATE: u64 = 3_000;
    const LOWERED_RATE: u64 = 900;
    let mut fleet = FleetBuilder::default()
        .three_regions()
        .engine(engine())
        .limit(RATE, RATE)
        .processes(DAEMON)
        .start()
        .await;
    let prompt = prompt_tokens(&fleet).await;
    let sending = Arc::new(AtomicBool::new(true));
    let longest_us = Arc::new(AtomicU64::new(0));
    let mut callers = JoinSet::new();
    for caller in 0..36 {
        let to = fleet.callers(caller % 9);
        let (sending, longest_us) = (Arc::clone(&sending), Arc::clone(&longest_us));
        callers.spawn(async move {
            let caller = Caller::new(Some("key-kolanut"));
            while sending.load(Ordering::Relaxed) {
                let sent = Instant::now();
                let body = support::chat_body("n", OUTPUT_TOKENS, false);
                let path = "/v1/chat/completions";
                let Ok(res) = caller.send(to, http::Method::POST, path, &[], body).await else {
                    sleep(SAMPLE_INTERVAL).await;
                    continue;
                };
                if res.status() == StatusCode::OK {
                    let latency_us = sent.elapsed().as_micros() as u64;
                    longest_us.fetch_max(latency_us, Ordering::Relaxed);
                }
            }
        });
    }
    let started = Instant::now();
    let mut samples = Samples::new();
    let mut sample_for = async |fleet: &Fleet, seconds: u64| {
        let time = Duration::from_secs(seconds);
        sample(fleet, prompt, started, time, &mut samples).await;
    };
    sample_for(&fleet, 2).await;
    // An instance is killed and replaced.
    drop(fleet.processes[1].take());
    fleet.list_instance(1, InstanceState::Gone);
    sample_for(&fleet, 5).await;
    fleet.list_instance(1, InstanceState::Live);
    fleet.start_process(DAEMON.as_ref(), 1).await;
    sample_for(&fleet, 2).await;
    // An instance is paused for longer than a loan lasts.
    fleet.processes[3].as_ref().unwrap().signal(Signal::STOP);
    sample_for(&fleet, 4).await;
    fleet.processes[3].as_ref().unwrap().signal(Signal::CONT);
    sample_for(&fleet, 2).await;
    fleet.network.set_partitioned("kano", true);
    sample_for(&fleet, 4).await;
    fleet.network.set_partitioned("kano", false);
    sample_for(&fleet, 3).await;
    fleet.bundle_text = fleet.bundle_text.replace(
        &format!("rate = {RATE}\nburst = {RATE}"),
        &format!("rate = {LOWERED_RATE}\nburst = {LOWERED_RATE}"),
    );
    fleet.accept(2).await.unwrap();
    // Time limit of a rollout, after which the lowered rate is in force.
    sample_for(&fleet, 4).await;
    let lowered = samples.len();
    let mut sample_for = async |fleet: &Fleet, seconds: u64| {
        let time = Duration::from_secs(seconds);
        sample(fleet, prompt, started, time, &mut samples).await;
    };
    sample_for(&fleet, 5).await;
    sending.store(false, Ordering::Relaxed);
    callers.join_all().await;
    // The paused process delays its own responses; the delay of all other requests is far below the
    // bound of 0.5 s.
    let delay = Duration::from_micros(longest_us.load(Ordering::Relaxed)).as_secs_f64();
    let delay = delay.min(0.5);
    let excess = worst_excess(&samples[..lowered], RATE as f64, RATE as f64, delay);
    let lowered_excess = worst_excess(
        &samples[lowered..],
        LOWERED_RATE as f64,
        LOWERED_RATE as f64,
        delay,
    );
    let share =
        (samples[lowered - 1].1 - samples[0].1) as f64 / (RATE as f64 * samples[lowered - 1].0);
    println!(
        "delay {delay:.3} s, worst excess {excess:.0} and {lowered_excess:.0}, \
         used share {share:.2}"
    );
    assert!(excess <= 0.0, "{excess} tokens above the limit");
    assert!(
        lowered_excess <= 0.0,
        "{lowered_excess} tokens above the lowered limit"
    );
    assert!(
        share > 0.4,
        "the organisation used only {share} of its rate"
    );
}

/// Guards against refusing more than 2 % of the requests of an organisation below its rate.
#[tokio::test(flavor = "multi_thread")]
async fn load_below_the_rate_is_rarely_refused() {
    const RATE: u64 = 9_000;
    const SECONDS: u64 = 8;
    let fleet = FleetBuilder::default()
        .three_regions()
        .engine(engine())
        .limit(RATE, RATE)
        .start()
        .await;
    let tokens = prompt_tokens(&fleet).await + OUTPUT_TOKENS;
    let count = RATE * 8 / 10 * SECONDS / tokens;
    let interval = Duration::from_secs(SECONDS) / u32::try_from(count).unwrap();
    let started = Instant::now();
    let caller = Caller::new(Some("key-kolanut"));
    let mut calls = JoinSet::new();
    for number in 0..count {
        let due = started + interval * u32::try_from(number).unwrap();
        let (caller, to) = (caller.clone(), fleet.callers((number % 9) as usize));
        calls.spawn(async move {
            tokio::time::sleep_until(due).await;
            caller.chat(to, "n", OUTPUT_TOKENS, false).await
        });
    }
    let responses = calls.join_all().await;
    let refused = responses
        .iter()
        .filter(|response| response.status != StatusCode::OK)
        .count();
    let share = refused as f64 / responses.len() as f64;
    println!(
        "refused {refused} of {} ({:.2} %)",
        responses.len(),
        100.0 * share
    );
    assert!(share <= 0.02, "share of refused requests: {share}");
}
