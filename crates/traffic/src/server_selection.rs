//! Choice of a backend server for a request.
//!
//! Requests that share parts of their prompt prefer the same engine of the region, as long as its
//! load allows. In a large region a request is compared over few engines, so that the one that looks
//! best does not get all requests until the next counts.

use std::net::SocketAddr;

use hawthornquay_decisions::{BackendName, InstanceName, Map, MonotonicTime, RegionName};

use crate::{
    PlacementRequest, ServerPick, ServerTable, ServiceConfig, cold_start_limiter::COLD_SENDERS,
    stable_hash,
};

/// Instances of a region up to which each request is compared over all engines. With more, many
/// requests go out on the same counts, and the engine that looks best would get them all.
const COMPARED_BY_ALL: usize = 6;

/// Engines that a request of a larger region is compared over, beside the preferred one: two
/// random choices. Of 2, 3, 4 and 8, the first kept most answers on time.
const SAMPLE: f64 = 2.0;

impl ServerTable {
    /// Chooses the backend server with the shortest expected time to an answer.
    ///
    /// Returns `None` if none may take the request.
    pub fn pick(&mut self, now: MonotonicTime, req: &PlacementRequest<'_>) -> Option<ServerPick> {
        let terms = req.configuration.service(req.service)?;
        let prefix = req.work.shared_prefix_hash();
        let home = prefix.and_then(|prefix| self.preferred(now, req, prefix));
        self.picks += 1;
        let share = self.sample_share(now, req, terms);
        let mut pick = self.best(now, req, terms, home.as_ref(), share);
        if pick.is_none() && share < 1.0 {
            pick = self.best(now, req, terms, home.as_ref(), 1.0);
        }
        let mut pick = pick?;
        if let Some(prefix) = prefix
            && terms.engine.is_some()
        {
            pick.copy_from = self.copy_source(now, req, prefix, &pick.id, home.as_ref());
        }
        Some(pick)
    }

    /// Returns the best of the preferred server and a sample of the others.
    fn best(
        &mut self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        terms: &ServiceConfig,
        home: Option<&BackendName>,
        share: f64,
    ) -> Option<ServerPick> {
        let prefix = req.work.shared_prefix_hash();
        let mut best: Option<(f64, ServerPick)> = None;
        for (id, server) in &mut self.servers {
            let preferred = home == Some(id);
            if !server.is_candidate(now, req, &self.evacuated)
                || !(preferred || is_sampled(id, req.instance, self.picks, share))
            {
                continue;
            }
            let (sender, senders) = cold_sender(id, req);
            if !server
                .cold
                .allows(now, terms.cold_requests_per_s, sender, senders)
            {
                continue;
            }
            let held = prefix.is_some_and(|prefix| server.prefixes.contains(now, prefix));
            let (score, pick) = server.assess(now, req, preferred || held);
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, pick));
            }
        }
        best.map(|(_, pick)| pick)
    }

    /// Returns the part of the candidates that a request is compared over, from 0 to 1.
    fn sample_share(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        terms: &ServiceConfig,
    ) -> f64 {
        if terms.engine.is_none() || req.region_instances.len() <= COMPARED_BY_ALL {
            return 1.0;
        }
        let candidates = self
            .servers
            .values()
            .filter(|server| server.is_candidate(now, req, &self.evacuated));
        SAMPLE / candidates.count().max(1) as f64
    }

    /// Returns where the shared parts may be copied from, if not from `chosen` itself: the server
    /// that the own region prefers for them, or else the one that the largest other region prefers.
    fn copy_source(
        &self,
        now: MonotonicTime,
        req: &PlacementRequest<'_>,
        prefix: u64,
        chosen: &BackendName,
        home: Option<&BackendName>,
    ) -> Option<SocketAddr> {
        let known = home.filter(|home| *home != chosen);
        if let Some(server) = known.and_then(|home| self.servers.get(home)) {
            return Some(server.entry.address);
        }
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
            let rank = affinity(id, prefix);
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

    /// Returns the server that all instances of the region prefer for a prefix.
    fn preferred(
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
            .max_by_key(|id| affinity(id, prefix))
            .cloned()
    }
}

/// Returns the rank of a server for a prefix; of the usable ones, the highest is preferred.
fn affinity(id: &BackendName, prefix: u64) -> u64 {
    stable_hash(&[id.as_str().as_bytes(), &prefix.to_le_bytes()])
}

/// Draws whether a server is in the sample of one choice, of which `share` are.
fn is_sampled(id: &BackendName, instance: &InstanceName, choice: u64, share: f64) -> bool {
    let choice = choice.to_le_bytes();
    let drawn = stable_hash(&[
        instance.as_str().as_bytes(),
        &choice,
        id.as_str().as_bytes(),
    ]);
    drawn as f64 / u64::MAX as f64 <= share
}

/// Returns whether this instance may send to a cold server, and how many instances may.
fn cold_sender(id: &BackendName, req: &PlacementRequest<'_>) -> (bool, usize) {
    let senders = req.region_instances.len().min(COLD_SENDERS);
    let rank = |name: &str| stable_hash(&[id.as_str(), name]);
    let own = rank(req.instance.as_str());
    let before = req
        .region_instances
        .iter()
        .filter(|name| **name != *req.instance && rank(name.as_str()) > own)
        .count();
    (before < COLD_SENDERS, senders.max(1))
}
