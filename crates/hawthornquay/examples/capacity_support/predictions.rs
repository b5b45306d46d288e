//! Predictions at the size of the target, from the middle figures.

use std::collections::BTreeMap;

const INSTANCES: f64 = 350.0;
const WORKERS: f64 = 760.0;
const DOMAINS: f64 = 10.0;
const WATCHERS: f64 = 6.0;
const REQUESTS_PER_S: f64 = 4_400.0;
const TOKENS_PER_S: f64 = 1_100_000.0;
const ORGANISATIONS: f64 = 1_100.0;
const CHANGES_PER_DAY: f64 = 960.0;
const DAY_S: f64 = 86_400.0;
const STORE_WRITES_PER_S: f64 = 400.0;
const CONNECTIONS: f64 = 10_000.0;

/// Seconds between two reads of the platform's list by an instance that is not a watcher: a fifth of
/// a second for each member.
const LIST_INTERVAL_S: f64 = INSTANCES / 5.0;
/// Seconds between two reads by a watcher.
const WATCHER_LIST_INTERVAL_S: f64 = LIST_INTERVAL_S / 5.0;
/// Mean time between a change of the slots and the next watch in seconds.
const REWATCH_S: f64 = 0.5;
/// Contents of bundles that the store keeps.
const KEPT_CONTENTS: f64 = 2.0;
/// Longest wait of a watch in seconds.
const WATCH_WAIT_S: f64 = 20.0;
/// Polls of a backend server each second.
const POLLS_PER_S: f64 = 2.0;
/// Partners of each digest and difference.
const PARTNERS: f64 = 3.2;
/// Runs of the loan renewal each second.
const RENEWALS_PER_S: f64 = 5.0;
/// Writes of `bundle accept` itself: content, difference, head and audit record.
const ACCEPT_WRITES: f64 = 4.0;
const BASE64: f64 = 4.0 / 3.0;

/// Returns the slope of the least-squares line through `points`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let over: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let under: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    over / under
}

/// Returns the predictions by name.
pub fn predictions(middle: &BTreeMap<String, f64>) -> Vec<(&'static str, f64)> {
    let of = |name: &str| middle[name];
    let slope_of = |name: &str, sizes: &[u32]| {
        let point = |size: &u32| (f64::from(*size), middle[&format!("{name}.{size}")]);
        slope(&sizes.iter().map(point).collect::<Vec<_>>())
    };
    let changes_per_s = CHANGES_PER_DAY / DAY_S;
    let links = of("gossip.digest_bytes_per_s.350") + of("gossip.heartbeat_bytes_per_s.350");
    let loans = of("loans.messages_per_s.350") * of("loans.message_bytes.350");
    let list = of("members.list_bytes.350") / LIST_INTERVAL_S;
    let poll = of("polls.load_bytes.1") + of("polls.cache_events_bytes.1");
    let polls = WORKERS / INSTANCES * POLLS_PER_S * poll;
    let differences = changes_per_s * PARTNERS * of("bundle.difference_bytes.1100");
    let slots = changes_per_s * DOMAINS * of("limits.slot_entry_bytes.64") * BASE64;
    let idle_us = of("daemons.idle_processor_us_per_s.16")
        + of("gossip.processor_us_per_s.350")
        + of("members.list_us.350") / LIST_INTERVAL_S
        + changes_per_s * of("bundle.verify_and_apply_us.1100")
        + changes_per_s * of("limits.adopt_bundle_us.1100")
        + RENEWALS_PER_S * of("limits.renew_loans_us.1100");
    let connection = slope_of("connections.resident_bytes", &[250, 500, 1_000, 2_000]);
    let resident = of("daemon.resident_bytes.1100")
        + of("bundle.resident_bytes.1100")
        + of("members.resident_bytes.350")
        + of("routing.view_bytes.760")
        + of("routing.prefix_map_bytes.760") / INSTANCES
        + of("queue.resident_bytes.16000");
    let tokens = TOKENS_PER_S / REQUESTS_PER_S;
    let token_us = slope_of("request.processor_us_with_tokens", &[16, 64, 256]);
    let request_us = of("request.processor_us_at_rate.200") + (tokens - 16.0) * token_us;
    let started = (of("daemons.start_writes.16") - ACCEPT_WRITES) / 2.0;
    // The fleets of processes have two domains.
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
            changes_per_s * of("bundle.bytes.1100"),
        ),
        (
            "content_bytes_kept",
            KEPT_CONTENTS * of("bundle.bytes.1100"),
        ),
        ("idle_core_percent", idle_us / 1e4),
        ("token_us", token_us),
        (
            "request_core_percent",
            REQUESTS_PER_S / INSTANCES * request_us / 1e4,
        ),
        ("connection_bytes", connection),
        ("resident_mb_without_connections", resident / 1e6),
        ("resident_mb", (resident + CONNECTIONS * connection) / 1e6),
        ("head_reads_per_s", of("gossip.head_reads_per_s.350")),
        (
            "idle_watch_calls_per_s",
            (INSTANCES + WATCHERS) / WATCH_WAIT_S,
        ),
        (
            "list_reads_per_s",
            INSTANCES / LIST_INTERVAL_S + WATCHERS / WATCHER_LIST_INTERVAL_S,
        ),
        ("change_writes", ACCEPT_WRITES + DOMAINS),
        ("change_watch_calls", change_watches * DOMAINS * INSTANCES),
        ("change_watch_calls_per_s", INSTANCES / REWATCH_S),
        ("change_watches_per_instance_and_domain", change_watches),
        (
            "start_writes_of_all",
            started / 64.0 * (INSTANCES / DOMAINS).powi(2) * DOMAINS,
        ),
        (
            "claims_per_s",
            STORE_WRITES_PER_S / of("claims.writes_each.80"),
        ),
        (
            "claims_percent",
            100.0 * STORE_WRITES_PER_S / of("claims.writes_each.80") / REQUESTS_PER_S,
        ),
        (
            "domain_share_tokens_per_s",
            TOKENS_PER_S / ORGANISATIONS / DOMAINS,
        ),
        ("tokens_per_request", tokens),
    ]
}
