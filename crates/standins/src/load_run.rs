//! Run of the load generator.

use std::{sync::Arc, time::Duration};

use indicatif::ProgressBar;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{
    LoadPlan, LoadSummary, instance_addresses::InstanceAddresses, load_client::LoadClient,
    load_request::LoadRequest, load_stats::LoadStats,
};

/// Sends requests according to `plan` and waits until all of them have ended.
///
/// The load is open-loop: requests are sent at the times of a Poisson process, whether or not
/// earlier ones have been answered. A progress bar is shown if standard error is a terminal.
pub async fn run_load(plan: &LoadPlan) -> LoadSummary {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let run = Arc::new(LoadRun {
        addresses: InstanceAddresses::new(plan),
        client: LoadClient::new(plan.timeout),
        stats: Mutex::new(LoadStats::new(plan)),
        direct: plan.direct,
        started_at: Instant::now(),
    });
    let permits = Arc::new(Semaphore::new(plan.max_in_flight));
    let bar = ProgressBar::new(plan.duration.as_millis() as u64);
    let mut tasks = JoinSet::new();
    let mut arrival = run.started_at;
    for number in 0_u64.. {
        arrival += sample_arrival_gap(plan.requests_per_s, &mut rng);
        if arrival > run.started_at + plan.duration {
            break;
        }
        sleep_until(arrival).await;
        bar.set_position(run.started_at.elapsed().as_millis() as u64);
        while tasks.try_join_next().is_some() {}
        let request = LoadRequest::random(plan, &mut rng);
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            run.stats.lock().count_unsent();
            continue;
        };
        let run = Arc::clone(&run);
        tasks.spawn(async move {
            run.send(number, request).await;
            drop(permit);
        });
    }
    tasks.join_all().await;
    bar.finish_and_clear();
    run.stats.lock().summary()
}

struct LoadRun {
    addresses: InstanceAddresses,
    client: LoadClient,
    stats: Mutex<LoadStats>,
    direct: Option<std::net::SocketAddr>,
    started_at: Instant,
}

impl LoadRun {
    async fn send(&self, number: u64, request: LoadRequest) {
        let addresses = self.addresses.choose(&self.client, &request).await;
        let Some(direct) = self.direct else {
            let result = self.client.send(&addresses, &request).await;
            self.stats
                .lock()
                .record(self.started_at.elapsed(), &request, &result);
            return;
        };
        let keyless = LoadRequest {
            key: None,
            ..request.clone()
        };
        // The order alternates, because the second request may benefit from a cache that the first
        // one filled.
        let (result, direct) = if number.is_multiple_of(2) {
            let result = self.client.send(&addresses, &request).await;
            (result, self.client.send(&[direct], &keyless).await)
        } else {
            let direct = self.client.send(&[direct], &keyless).await;
            (self.client.send(&addresses, &request).await, direct)
        };
        let mut stats = self.stats.lock();
        stats.record(self.started_at.elapsed(), &request, &result);
        stats.record_direct(&result, &direct);
    }
}

/// Samples the time between two arrivals of a Poisson process.
fn sample_arrival_gap(arrivals_per_s: f64, rng: &mut impl Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / arrivals_per_s)
}
