//! Selection of a backend server for a request.
//!
//! Requests with the same shared prefix prefer the same engine of the region, as long as its load
//! allows. In a large region, only a pseudo-random sample of the engines is considered for each
//! request, so that the engine with the lowest load does not get all requests until the next load
//! update. For the same reason, the servers of a plain service are chosen at random there.

use std::net::SocketAddr;

use hawthornquay_decisions::{BackendName, InstanceName, Map, MonotonicTime, RegionName};

use crate::{
    PlacementRequest, ServerPick, ServerTable, ServiceConfig, cold_start_limiter::MAX_COLD_SENDERS,
    limited_servers::grants_first, listed_server::ListedServer, placement::latest_admitted,
    ramping_servers::WindowUse, service_model::ServiceModel, stable_hash,
};

/// Maximum number of instances in a region for which all engines are considered for each request.
/// With more instances, many requests are sent between two load updates, and the engine with the
/// lowest load would get them all.
const MAX_INSTANCES_WITHOUT_SAMPLING: usize = 6;

/// Mean number of engines in a sample, in addition to the preferred one ("power of two choices").
/// With larger samples, fewer responses are in time.
const SAMPLE_SIZE: f64 = 2.0;

/// Share of the latency target from which the expected time of a stream counts as long.
const LONG_STREAM_TARGET_SHARE: f64 = 0.3;

/// Exponent of the usual pace of a server in its probability to be considered for a long stream.
const PACE_EXPONENT: i32 = 1;

/// Exponent of a plain server's share of successful requests in the probability of its choice.
const FAILURE_EXPONENT: i32 = 4;

impl ServerTable {
    /// Returns the backend server with the best score for a request.
    ///
    /// Returns `None` if no server may run the request.
    ///
    /// A server in a ramp whose window is full is passed over, unless no other one would run the
    /// request in time: no request is refused because of a window.
    pub fn pick(&mut self, now: MonotonicTime, req: &PlacementRequest<'_>) -> Option<ServerPick> {
        let mut windows = WindowUse::Applied;
        let pick = self.pick_within(now, req, &mut windows);
        if windows == WindowUse::Applied {
            return pick;
        }
        let is_in_time = |pick: &ServerPick| pick.expected_latency <= latest_admitted(req);
        if pick.as_ref().is_some_and(is_in_time) {
            self.record_passed_over();
            return pick;
        }
        self.pick_within(now, req, &mut WindowUse::Ignored)
    }

    fn pick_within(
        &mut self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        windows: &mut WindowUse,
    ) -> Option<ServerPick> {
        let config = req.configuration.service(req.service)?;
        let prefix = req.work.shared_prefix_hash();
        let preferred = prefix.and_then(|prefix| self.preferred_server(now, req, prefix));
        self.picks += 1;
        if req.target_event_gap.is_some()
            && let Some(model) = self.models.get_mut(req.service)
        {
            let target = req.target_latency;
            model.urgent_streams.record(now, req.route_priority, target);
        }
        let sampling = self.sampling(now, req, config);
        // The queue of a plain server changes faster than the counts.
        let full_level = config
            .engine
            .and_then(|_| self.full_levels.get(req.service).copied());
        let preferred_id = preferred.as_ref();
        let sample = (&sampling, full_level);
        let mut pick = self.best(now, req, config, preferred_id, sample, windows);
        if pick.is_none() && sampling.probability < 1.0 {
            let sample = (&Sampling::ALL, full_level);
            pick = self.best(now, req, config, preferred_id, sample, windows);
        }
        if pick.is_none() && full_level.is_some() {
            // All engines are at the level at which they reject, so the request would not be in
            // time.
            let sample = (&Sampling::ALL, None);
            pick = self.best(now, req, config, preferred_id, sample, windows);
            if let Some(pick) = &mut pick {
                pick.expected_latency = pick.expected_latency.max(req.target_latency);
            }
        }
        let mut pick = pick?;
        if let Some(prefix) = prefix
            && config.engine.is_some()
        {
            pick.copy_from = self.copy_source(now, req, prefix, &pick.id, preferred.as_ref());
        }
        Some(pick)
    }

    /// Returns a pseudo-random number above 0 and up to 1, which changes with each pick.
    pub(crate) fn draw(&self, instance: &InstanceName) -> f64 {
        unit_hash(&[instance.as_str().as_bytes(), &self.picks.to_le_bytes()])
    }

    /// Returns the best of the preferred server and a sample of the others. Servers with `full_level`
    /// requests are left out.
    fn best(
        &mut self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        config: &ServiceConfig,
        preferred: Option<&BackendName>,
        (sampling, full_level): (&Sampling, Option<u32>),
        windows: &mut WindowUse,
    ) -> Option<ServerPick> {
        let prefix = req.work.shared_prefix_hash();
        let model = self.model(req.service);
        let at_random =
            config.engine.is_none() && req.region_instances.len() > MAX_INSTANCES_WITHOUT_SAMPLING;
        let mut best: Option<(f64, ServerPick)> = None;
        for (id, server) in &mut self.servers {
            let is_preferred = preferred == Some(id);
            if !server.is_candidate(now, req, &self.evacuated)
                || !(is_preferred
                    || is_sampled(id, req.instance, self.picks, sampling.of(now, server)))
            {
                continue;
            }
            if full_level.is_some_and(|level| server.load.requests(now) >= level) {
                continue;
            }
            if server.cold.is_cold(now) {
                let (sender, senders) = cold_sender(id, req);
                let rate = config.cold_requests_per_s;
                if !server.cold.allows(now, rate, sender, senders) {
                    continue;
                }
            }
            if server.limit.per_s().is_some() {
                let grants =
                    req.may_grant_permits && grants_first(id, req.instance, req.region_instances);
                if !(grants || req.may_ask_permits) || !server.limit.may_ask(now, grants) {
                    continue;
                }
            }
            if *windows != WindowUse::Ignored
                && server.has_full_window(now, req, config, &mut self.ramps)
            {
                *windows = WindowUse::HasPassedOver;
                continue;
            }
            let cached = prefix.is_some_and(|prefix| server.prefixes.contains(now, prefix));
            let (score, pick) = server.score(now, req, is_preferred || cached, &model);
            let score = if at_random {
                random_score(now, server, req.instance, self.picks)
            } else {
                score
            };
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                best = Some((score, pick));
            }
        }
        best.map(|(_, pick)| pick)
    }

    /// Returns how the candidates for a request are sampled.
    fn sampling(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        config: &ServiceConfig,
    ) -> Sampling {
        if config.engine.is_none() || req.region_instances.len() <= MAX_INSTANCES_WITHOUT_SAMPLING {
            return Sampling::ALL;
        }
        let exponent = match is_long_stream(req, &self.model(req.service)) {
            true => PACE_EXPONENT,
            false => 0,
        };
        let weights: f64 = self
            .servers
            .values()
            .filter(|server| server.is_candidate(now, req, &self.evacuated))
            .map(|server| server.pace_weight(now, exponent))
            .sum();
        Sampling {
            probability: SAMPLE_SIZE / weights.max(f64::MIN_POSITIVE),
            exponent,
        }
    }

    /// Returns the address of the server from which `chosen` may copy the shared prefix.
    ///
    /// This is the server that the local region prefers for the prefix or, if that is `chosen`
    /// itself, the server preferred by the other region with the most servers.
    fn copy_source(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        prefix: u64,
        chosen: &BackendName,
        preferred: Option<&BackendName>,
    ) -> Option<SocketAddr> {
        let local = preferred.filter(|id| *id != chosen);
        if let Some(server) = local.and_then(|id| self.servers.get(id)) {
            return Some(server.entry.address);
        }
        // Number of usable servers per region, with the rank and address of the preferred one.
        let mut regions: Map<&RegionName, (usize, u64, SocketAddr)> = Map::default();
        for (id, server) in &self.servers {
            let domain = &server.entry.domain;
            let usable = server.entry.service == *req.service
                && server.is_usable(now)
                && !server.cold.is_cold(now)
                && !self.evacuated.contains(domain)
                && !(req.is_local)(domain);
            let region = req.domain_regions.get(domain);
            let Some(region) = region.filter(|name| usable && req.storage_regions.contains(name))
            else {
                continue;
            };
            let rank = prefix_rank(id, prefix);
            let best = regions
                .entry(region)
                .or_insert((0, rank, server.entry.address));
            best.0 += 1;
            if rank > best.1 {
                (best.1, best.2) = (rank, server.entry.address);
            }
        }
        let largest = regions
            .into_iter()
            .max_by_key(|(name, best)| (best.0, *name))?;
        Some(largest.1.2)
    }

    /// Returns the server that all instances of the region prefer for a prefix, by rendezvous
    /// hashing.
    fn preferred_server(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        prefix: u64,
    ) -> Option<BackendName> {
        self.servers
            .iter()
            .filter(|(_, server)| {
                server.is_candidate(now, req, &self.evacuated) && !server.cold.is_cold(now)
            })
            .map(|(id, _)| id)
            .max_by_key(|id| prefix_rank(id, prefix))
            .cloned()
    }
}

/// How the candidates for a request are sampled.
struct Sampling {
    /// Probability of a server of the usual pace 1 to be considered; 1 or more means that all are.
    probability: f64,
    /// Exponent of the usual pace of a server in its probability.
    exponent: i32,
}

impl Sampling {
    const ALL: Self = Self {
        probability: f64::INFINITY,
        exponent: 0,
    };

    /// Returns the probability of a server to be considered.
    fn of(&self, now: MonotonicTime, server: &ListedServer) -> f64 {
        self.probability * server.pace_weight(now, self.exponent)
    }
}

/// Returns whether the answer to a request is a stream whose expected time is long compared with its
/// latency target, at servers that state their pace.
///
/// Such a stream is that of many steps at the engine's pace, and a slow server is late with some of
/// them. A short response suffers little.
pub(crate) fn is_long_stream(req: &PlacementRequest<'_>, model: &ServiceModel) -> bool {
    let streams = &model.streams;
    let events = streams.expected_events(req.work.output_tokens);
    let (Some(events), Some(interval_ms), true) =
        (events, streams.interval_ms(1.0), model.is_paced)
    else {
        return false;
    };
    let target_ms = req.target_latency.as_secs_f64() * 1_000.0;
    events * interval_ms > LONG_STREAM_TARGET_SHARE * target_ms
}

/// Returns the rank of a server for a prefix; the candidate with the highest rank is preferred.
fn prefix_rank(id: &BackendName, prefix: u64) -> u64 {
    stable_hash(&[id.as_str().as_bytes(), &prefix.to_le_bytes()])
}

/// Returns whether a server is in the sample for the pick number `pick`, with the given
/// probability.
fn is_sampled(id: &BackendName, instance: &InstanceName, pick: u64, probability: f64) -> bool {
    let pick = pick.to_le_bytes();
    let parts = [instance.as_str().as_bytes(), &pick, id.as_str().as_bytes()];
    unit_hash(&parts) <= probability
}

/// Returns a pseudo-random score for the pick number `pick`. A server has the lowest score with a
/// probability proportional to its slots and its speed, and much less if it fails.
fn random_score(
    now: MonotonicTime,
    server: &ListedServer,
    instance: &InstanceName,
    pick: u64,
) -> f64 {
    let id = server.entry.id.as_str().as_bytes();
    let success_ratio = 1.0 - server.health.failure_ratio(now);
    let slots = f64::from(server.entry.slots.max(1));
    let weight = slots * success_ratio.powi(FAILURE_EXPONENT) / server.pace.expected(now);
    -unit_hash(&[instance.as_str().as_bytes(), &pick.to_le_bytes(), id]).ln() / weight
}

/// Returns a hash of `parts` that is evenly distributed above 0 and up to 1.
fn unit_hash(parts: &[&[u8]]) -> f64 {
    (stable_hash(parts) as f64 + 1.0) / (u64::MAX as f64 + 1.0)
}

/// Returns whether this instance may send to a cold server, and the number of instances that may.
fn cold_sender(id: &BackendName, req: &PlacementRequest<'_>) -> (bool, usize) {
    let senders = req.region_instances.len().min(MAX_COLD_SENDERS);
    let rank = |name: &str| stable_hash(&[id.as_str(), name]);
    let own_rank = rank(req.instance.as_str());
    let higher_ranked = req
        .region_instances
        .iter()
        .filter(|name| **name != *req.instance && rank(name.as_str()) > own_rank)
        .count();
    let is_sender = req.is_region_settled && higher_ranked < MAX_COLD_SENDERS;
    (is_sender, senders.max(1))
}
