//! Costs predicted for a deployment of the target size, from the medians of the measured figures.

use std::collections::BTreeMap;

const INSTANCES: f64 = 350.0;
const BACKEND_SERVERS: f64 = 760.0;
const DOMAINS: f64 = 10.0;
/// Watchers of the fleet: two instances in each of three regions.
const WATCHERS: f64 = 6.0;
const REQUESTS_PER_S: f64 = 4_400.0;
const TOKENS_PER_S: f64 = 1_100_000.0;
const ORGANISATIONS: f64 = 1_100.0;
const BUNDLE_CHANGES_PER_DAY: f64 = 960.0;
const DAY_S: f64 = 86_400.0;
const STORE_WRITES_PER_S: f64 = 400.0;
const IDLE_CONNECTIONS: f64 = 10_000.0;

/// Seconds between two reads of the platform's instance list by an instance that is not a watcher:
/// a fifth of a second for each member.
const LIST_INTERVAL_S: f64 = INSTANCES / 5.0;
/// Seconds between two reads of the instance list by a watcher.
const WATCHER_LIST_INTERVAL_S: f64 = LIST_INTERVAL_S / 5.0;
/// Mean time between a change of the slots and the next watch call of an instance, in seconds.
const REWATCH_DELAY_S: f64 = 0.5;
/// Bundle contents that the store retains.
const RETAINED_CONTENTS: f64 = 2.0;
/// Longest time for which the store holds a watch call open, in seconds.
const MAX_WATCH_WAIT_S: f64 = 20.0;
/// Polls of each backend server per second.
const POLLS_PER_S: f64 = 2.0;
/// Mean number of partners to which an instance sends a digest or a difference.
const GOSSIP_PARTNERS: f64 = 3.2;
/// Runs of the loan renewal per second.
const RENEWALS_PER_S: f64 = 5.0;
/// Store writes of `bundle accept`: content, difference, head and audit record.
const ACCEPT_WRITES: f64 = 4.0;
/// Size of base64 text as a multiple of the encoded bytes.
const BASE64_EXPANSION: f64 = 4.0 / 3.0;

/// Returns the slope of the least-squares line through `points`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

/// Returns the name and value of each prediction.
pub fn predictions(medians: &BTreeMap<String, f64>) -> Vec<(&'static str, f64)> {
    let median = |name: &str| medians[name];
    let slope_of = |name: &str, sizes: &[u32]| {
        let point = |size: &u32| (f64::from(*size), medians[&format!("{name}.{size}")]);
        slope(&sizes.iter().map(point).collect::<Vec<_>>())
    };
    let changes_per_s = BUNDLE_CHANGES_PER_DAY / DAY_S;
    let links =
        median("gossip.digest_bytes_per_s.350") + median("gossip.heartbeat_bytes_per_s.350");
    let loans = median("loans.messages_per_s.350") * median("loans.message_bytes.350");
    let list = median("members.list_bytes.350") / LIST_INTERVAL_S;
    let poll = median("polls.load_bytes.1") + median("polls.cache_events_bytes.1");
    let polls = BACKEND_SERVERS / INSTANCES * POLLS_PER_S * poll;
    let differences = changes_per_s * GOSSIP_PARTNERS * median("bundle.difference_bytes.1100");
    let slots = changes_per_s * DOMAINS * median("limits.slot_entry_bytes.64") * BASE64_EXPANSION;
    let idle_us = median("daemons.idle_processor_us_per_s.16")
        + median("gossip.processor_us_per_s.350")
        + median("members.list_us.350") / LIST_INTERVAL_S
        + changes_per_s * median("bundle.verify_and_apply_us.1100")
        + changes_per_s * median("limits.adopt_bundle_us.1100")
        + RENEWALS_PER_S * median("limits.renew_loans_us.1100");
    let connection = slope_of("connections.resident_bytes", &[250, 500, 1_000, 2_000]);
    let resident = median("daemon.resident_bytes.1100")
        + median("bundle.resident_bytes.1100")
        + median("members.resident_bytes.350")
        + median("routing.view_bytes.760")
        + median("routing.prefix_map_bytes.760") / INSTANCES
        + median("queue.resident_bytes.16000");
    let tokens = TOKENS_PER_S / REQUESTS_PER_S;
    let token_us = slope_of("request.processor_us_with_tokens", &[16, 64, 256]);
    let request_us = median("request.processor_us_at_rate.200") + (tokens - 16.0) * token_us;
    let start_writes_per_domain = (median("daemons.start_writes.16") - ACCEPT_WRITES) / 2.0;
    // The fleets of the `daemons` section have two failure domains.
    let change_watches = slope_of("change.rate_watches", &[4, 8, 16]) / 2.0;
    vec![
        ("links_bytes_per_s", links),
        ("loan_bytes_per_s", loans),
        ("list_bytes_per_s", list),
        ("poll_bytes_per_s", polls),
        ("difference_bytes_per_s", differences),
        ("slot_bytes_per_s", slots),
        (
            "control_bytes_per_s",
            links + loans + list + polls + differences + slots,
        ),
        (
            "full_bundle_bytes_per_s",
            changes_per_s * median("bundle.bytes.1100"),
        ),
        (
            "content_bytes_kept",
            RETAINED_CONTENTS * median("bundle.bytes.1100"),
        ),
        ("idle_core_percent", idle_us / 1e4),
        ("token_us", token_us),
        (
            "request_core_percent",
            REQUESTS_PER_S / INSTANCES * request_us / 1e4,
        ),
        ("connection_bytes", connection),
        ("resident_mb_without_connections", resident / 1e6),
        (
            "resident_mb",
            (resident + IDLE_CONNECTIONS * connection) / 1e6,
        ),
        ("head_reads_per_s", median("gossip.head_reads_per_s.350")),
        (
            "idle_watch_calls_per_s",
            (INSTANCES + WATCHERS) / MAX_WATCH_WAIT_S,
        ),
        (
            "list_reads_per_s",
            INSTANCES / LIST_INTERVAL_S + WATCHERS / WATCHER_LIST_INTERVAL_S,
        ),
        ("change_writes", ACCEPT_WRITES + DOMAINS),
        ("change_watch_calls", change_watches * DOMAINS * INSTANCES),
        ("change_watch_calls_per_s", INSTANCES / REWATCH_DELAY_S),
        ("change_watches_per_instance_and_domain", change_watches),
        (
            "start_writes_of_all",
            start_writes_per_domain / 64.0 * (INSTANCES / DOMAINS).powi(2) * DOMAINS,
        ),
        (
            "claims_per_s",
            STORE_WRITES_PER_S / median("claims.writes_each.80"),
        ),
        (
            "claims_percent",
            100.0 * STORE_WRITES_PER_S / median("claims.writes_each.80") / REQUESTS_PER_S,
        ),
        (
            "domain_share_tokens_per_s",
            TOKENS_PER_S / ORGANISATIONS / DOMAINS,
        ),
        ("tokens_per_request", tokens),
    ]
}
