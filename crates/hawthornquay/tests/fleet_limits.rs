//! Limits of one organisation over nine instances in three regions.

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

/// Returns the tokens that all engines have used; each request has the same prompt.
fn used(fleet: &Fleet, prompt_tokens: u64) -> u64 {
    fleet
        .engines
        .iter()
        .map(|engine| engine.counters())
        .map(|counters| counters.generated_tokens + counters.started * prompt_tokens)
        .sum()
}

async fn prompt_tokens(fleet: &Fleet) -> u64 {
    let caller = Caller::new(Some("key-kolanut"));
    let end = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = caller
            .chat(fleet.callers(0), "n", OUTPUT_TOKENS, false)
            .await;
        if answer.status == StatusCode::OK {
            return answer.json()["usage"]["prompt_tokens"].as_u64().unwrap();
        }
        assert!(Instant::now() < end, "{}", answer.text());
    }
}

/// Samples of the tokens used, each with the time since the start in seconds.
type Samples = Vec<(f64, u64)>;

async fn sample(fleet: &Fleet, prompt: u64, began: Instant, time: Duration, samples: &mut Samples) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        samples.push((began.elapsed().as_secs_f64(), used(fleet, prompt)));
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns the largest excess over `burst + rate * (t + delay)` among all intervals.
///
/// `delay` is the longest time from the admission of a request to its last use.
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

/// Guards against tokens admitted beyond the rate and burst while a process is replaced or paused,
/// a region is cut off, or the rate is lowered.
#[tokio::test(flavor = "multi_thread")]
async fn pressed_organisation_stays_within_its_limit_through_failures() {
    const RATE: u64 = 3_000;
    const LOWER: u64 = 900;
    let mut fleet = FleetBuilder::default()
        .three_regions()
        .engine(engine())
        .limit(RATE, RATE)
        .processes(DAEMON)
        .start()
        .await;
    let prompt = prompt_tokens(&fleet).await;
    let pressing = Arc::new(AtomicBool::new(true));
    let longest_us = Arc::new(AtomicU64::new(0));
    let mut callers = JoinSet::new();
    for caller in 0..36 {
        let to = fleet.callers(caller % 9);
        let (pressing, longest_us) = (Arc::clone(&pressing), Arc::clone(&longest_us));
        callers.spawn(async move {
            let caller = Caller::new(Some("key-kolanut"));
            while pressing.load(Ordering::Relaxed) {
                let sent = Instant::now();
                let body = support::chat_body("n", OUTPUT_TOKENS, false);
                let path = "/v1/chat/completions";
                let Ok(res) = caller.send(to, http::Method::POST, path, &[], body).await else {
                    sleep(SAMPLE_INTERVAL).await;
                    continue;
                };
                if res.status() == StatusCode::OK {
                    let took = sent.elapsed().as_micros() as u64;
                    longest_us.fetch_max(took, Ordering::Relaxed);
                }
            }
        });
    }
    let began = Instant::now();
    let mut samples = Samples::new();
    let mut watch = async |fleet: &Fleet, seconds: u64| {
        let time = Duration::from_secs(seconds);
        sample(fleet, prompt, began, time, &mut samples).await;
    };
    watch(&fleet, 2).await;
    // An instance is killed and replaced.
    drop(fleet.processes[1].take());
    fleet.list_instance(1, InstanceState::Gone);
    watch(&fleet, 5).await;
    fleet.list_instance(1, InstanceState::Live);
    fleet.start_process(DAEMON.as_ref(), 1).await;
    watch(&fleet, 2).await;
    // An instance is paused for longer than a loan.
    fleet.processes[3].as_ref().unwrap().signal(Signal::STOP);
    watch(&fleet, 4).await;
    fleet.processes[3].as_ref().unwrap().signal(Signal::CONT);
    watch(&fleet, 2).await;
    fleet.network.set_partitioned("kano", true);
    watch(&fleet, 4).await;
    fleet.network.set_partitioned("kano", false);
    watch(&fleet, 3).await;
    fleet.bundle_text = fleet.bundle_text.replace(
        &format!("rate = {RATE}\nburst = {RATE}"),
        &format!("rate = {LOWER}\nburst = {LOWER}"),
    );
    fleet.accept(2).await.unwrap();
    // Bound of the rollout, after which the lower rate is in force.
    watch(&fleet, 4).await;
    let lowered = samples.len();
    let mut watch = async |fleet: &Fleet, seconds: u64| {
        let time = Duration::from_secs(seconds);
        sample(fleet, prompt, began, time, &mut samples).await;
    };
    watch(&fleet, 5).await;
    pressing.store(false, Ordering::Relaxed);
    callers.join_all().await;
    // A paused process delays its own answers; the delay of all others is far lower.
    let delay = Duration::from_micros(longest_us.load(Ordering::Relaxed)).as_secs_f64();
    let delay = delay.min(0.5);
    let higher = worst_excess(&samples[..lowered], RATE as f64, RATE as f64, delay);
    let lower = worst_excess(&samples[lowered..], LOWER as f64, LOWER as f64, delay);
    let share =
        (samples[lowered - 1].1 - samples[0].1) as f64 / (RATE as f64 * samples[lowered - 1].0);
    println!("delay {delay:.3} s, worst excess {higher:.0} and {lower:.0}, used share {share:.2}");
    assert!(higher <= 0.0, "{higher} tokens over the limit");
    assert!(lower <= 0.0, "{lower} tokens over the lowered limit");
    assert!(share > 0.4, "the organisation got {share} of its rate");
}

/// Guards against refusals of requests that are within the organisation's rate.
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
    let gap = Duration::from_secs(SECONDS) / u32::try_from(count).unwrap();
    let began = Instant::now();
    let caller = Caller::new(Some("key-kolanut"));
    let mut calls = JoinSet::new();
    for number in 0..count {
        let due = began + gap * u32::try_from(number).unwrap();
        let (caller, to) = (caller.clone(), fleet.callers((number % 9) as usize));
        calls.spawn(async move {
            tokio::time::sleep_until(due).await;
            caller.chat(to, "n", OUTPUT_TOKENS, false).await
        });
    }
    let answers = calls.join_all().await;
    let refused = answers
        .iter()
        .filter(|answer| answer.status != StatusCode::OK)
        .count();
    let share = refused as f64 / answers.len() as f64;
    println!(
        "refused {refused} of {} ({:.2} %)",
        answers.len(),
        100.0 * share
    );
    assert!(share <= 0.02, "refused {share}");
}
