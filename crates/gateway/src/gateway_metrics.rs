//! Metrics of a gateway in the Prometheus text format.

use std::time::Duration;

use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bucket bounds of the latency histograms, in seconds: fractions and multiples of the usual
/// latency targets.
const SECONDS_BUCKETS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 6.0, 12.0,
];

/// Metrics of one gateway. No label names an organisation, since metrics may be exported outside
/// the home regions of the organisation.
pub struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    attempts: IntCounterVec,
    store_calls: IntCounterVec,
    loans: IntCounterVec,
    permits: IntCounterVec,
    return_promises: IntCounterVec,
    directory_answers: IntCounterVec,
    connection_ends: IntCounterVec,
    status_connection_ends: IntCounterVec,
    client_memory: IntGauge,
    client_memory_limit: IntGauge,
    first_part: Histogram,
    duration: Histogram,
    configuration_version: IntGauge,
    store_era: IntGauge,
    registration_missing: Gauge,
    backend_servers: IntGauge,
    ramping_servers: IntGauge,
    passed_over: IntCounter,
    pace_questions: IntCounter,
    slower_paces: IntCounter,
    stream_concerns: IntCounterVec,
    server_pauses: IntCounter,
    backend_crashes: IntCounter,
    quarantined_parts: IntGauge,
    part_trials: IntCounter,
}

impl GatewayMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("hawthornquay".to_owned()), None)?;
        Ok(Self {
            requests: counters(
                &registry,
                "requests_total",
                "Requests by outcome",
                "outcome",
            )?,
            attempts: counters(
                &registry,
                "attempts_total",
                "Attempts to run a request by outcome",
                "outcome",
            )?,
            store_calls: counters(
                &registry,
                "store_calls_total",
                "Calls to the platform's store by outcome",
                "outcome",
            )?,
            loans: counters(
                &registry,
                "loans_total",
                "Requests to the pools of organisations' rates by outcome",
                "outcome",
            )?,
            permits: counters(
                &registry,
                "permits_total",
                "Permits for requests to limited backend servers by decision",
                "decision",
            )?,
            return_promises: counters(
                &registry,
                "return_promises_total",
                "Capacity promised to refused requests for their return by event",
                "event",
            )?,
            directory_answers: counters(
                &registry,
                "directory_answers_total",
                "Answers of the directory by the distance of the instances named",
                "proximity",
            )?,
            connection_ends: labelled_counters(
                &registry,
                "caller_connections_ended_total",
                "Ended connections of callers by reason and by the state of the last request",
                &["reason", "request"],
            )?,
            status_connection_ends: counters(
                &registry,
                "status_connections_ended_total",
                "Connections to servers not for callers that ended because memory or connections ran short",
                "server",
            )?,
            client_memory: gauge(
                &registry,
                "client_memory_bytes",
                "Memory charged for connections, requests and buffered responses",
            )?,
            client_memory_limit: gauge(
                &registry,
                "client_memory_limit_bytes",
                "Largest memory for connections, requests and buffered responses",
            )?,
            first_part: histogram(
                &registry,
                "first_part_seconds",
                "Time to the first part of an answer",
            )?,
            duration: histogram(&registry, "request_seconds", "Time to the end of an answer")?,
            configuration_version: gauge(
                &registry,
                "configuration_version",
                "Version of the configuration in force",
            )?,
            store_era: gauge(
                &registry,
                "store_era",
                "Era of the store's data in use; rises each time the store comes back from an older copy",
            )?,
            registration_missing: seconds_gauge(
                &registry,
                "registration_missing_seconds",
                "Time for which the instance has known that it is not registered",
            )?,
            backend_servers: gauge(
                &registry,
                "backend_servers",
                "Backend servers in the list in use",
            )?,
            ramping_servers: gauge(
                &registry,
                "ramping_servers",
                "Backend servers in a ramp after a start or a recovery",
            )?,
            passed_over: counter(
                &registry,
                "ramp_passed_over_total",
                "Placements of requests that passed over a backend server in a ramp",
            )?,
            pace_questions: counter(
                &registry,
                "pace_questions_total",
                "Questions to backend servers for their pace before a long stream",
            )?,
            slower_paces: counter(
                &registry,
                "pace_placements_total",
                "Requests that were placed again because the answer was a slower pace than expected",
            )?,
            stream_concerns: labelled_counters(
                &registry,
                "stream_concerns_total",
                "Requests forwarded or refused because of the expected course of their streams",
                &["action", "reason"],
            )?,
            server_pauses: counter(
                &registry,
                "backend_pauses_total",
                "Pauses that backend servers asked this instance for",
            )?,
            backend_crashes: counter(
                &registry,
                "backend_crashes_total",
                "Crashes of backend servers with requests that they had not begun to answer",
            )?,
            quarantined_parts: gauge(
                &registry,
                "quarantined_parts",
                "Prompt parts whose requests are refused because they crash backend servers",
            )?,
            part_trials: counter(
                &registry,
                "quarantined_part_trials_total",
                "Requests tried to tell a quarantined prompt part from others in the same crashes",
            )?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }

    /// Counts a request by its outcome and records its duration.
    pub fn count_request(&self, outcome: &str, took: Duration) {
        self.requests.with_label_values(&[outcome]).inc();
        self.duration.observe(took.as_secs_f64());
    }

    /// Counts an attempt by its outcome.
    pub fn count_attempt(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Counts a request to the store by its outcome.
    pub fn count_store_call(&self, outcome: &str) {
        self.store_calls.with_label_values(&[outcome]).inc();
    }

    /// Counts a loan request to a token pool by its outcome.
    pub fn count_loan(&self, outcome: &str) {
        self.loans.with_label_values(&[outcome]).inc();
    }

    /// Counts a permit for a request to a limited backend server by the decision.
    pub fn count_permit(&self, decision: &str) {
        self.permits.with_label_values(&[decision]).inc();
    }

    /// Counts promises of capacity to refused requests by the event.
    pub fn count_promises(&self, event: &str, count: usize) {
        let counter = self.return_promises.with_label_values(&[event]);
        counter.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
    }

    /// Counts an answer of the directory by the distance of the instances that it names.
    pub fn count_directory_answer(&self, proximity: &str) {
        self.directory_answers.with_label_values(&[proximity]).inc();
    }

    /// Counts the end of a connection of a caller; `request` says whether a request was unanswered,
    /// its head partly read, or bytes not read at all.
    pub fn count_connection_end(&self, reason: &str, request: &str) {
        self.connection_ends
            .with_label_values(&[reason, request])
            .inc();
    }

    /// Counts a connection to a server not for callers that ended because resources ran short.
    pub fn count_status_connection_end(&self, server: &str) {
        self.status_connection_ends
            .with_label_values(&[server])
            .inc();
    }

    /// Sets the memory charged for clients, and its limit.
    pub fn set_client_memory(&self, used: usize, limit: usize) {
        for (metric, bytes) in [
            (&self.client_memory, used),
            (&self.client_memory_limit, limit),
        ] {
            metric.set(i64::try_from(bytes).unwrap_or(i64::MAX));
        }
    }

    /// Records the time to the start of a response.
    pub fn observe_first_part(&self, took: Duration) {
        self.first_part.observe(took.as_secs_f64());
    }

    /// Sets the version of the configuration in force.
    pub fn set_configuration_version(&self, version: u64) {
        self.configuration_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the era of the store's data in use.
    pub fn set_store_era(&self, era: u64) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Sets the time for which the instance has not been registered.
    pub fn set_registration_missing(&self, time: Duration) {
        self.registration_missing.set(time.as_secs_f64());
    }

    /// Sets the number of backend servers in the list.
    pub fn set_backend_servers(&self, servers: usize) {
        self.backend_servers
            .set(i64::try_from(servers).unwrap_or(i64::MAX));
    }

    /// Sets the number of backend servers in a ramp.
    pub fn set_ramping_servers(&self, servers: usize) {
        self.ramping_servers
            .set(i64::try_from(servers).unwrap_or(i64::MAX));
    }

    /// Counts placements that passed over a backend server in a ramp.
    pub fn count_passed_over(&self, placements: u64) {
        self.passed_over.inc_by(placements);
    }

    /// Counts a question to a backend server for its pace.
    pub fn count_pace_question(&self) {
        self.pace_questions.inc();
    }

    /// Counts a request that is placed again because its server has stated a slower pace.
    pub fn count_slower_pace(&self) {
        self.slower_paces.inc();
    }

    /// Counts a request that is forwarded or refused because its stream would not end in time or be
    /// slow.
    pub fn count_stream_concern(&self, action: &str, reason: &str) {
        self.stream_concerns
            .with_label_values(&[action, reason])
            .inc();
    }

    /// Counts a pause that a backend server has asked this instance for.
    pub fn count_server_pause(&self) {
        self.server_pauses.inc();
    }

    /// Counts a crash of a backend server that had not begun to answer a request.
    pub fn count_backend_crash(&self) {
        self.backend_crashes.inc();
    }

    /// Counts a request that is tried although a part of its prompt is quarantined.
    pub fn count_part_trial(&self) {
        self.part_trials.inc();
    }

    /// Sets the number of quarantined prompt parts.
    pub fn set_quarantined_parts(&self, parts: usize) {
        self.quarantined_parts
            .set(i64::try_from(parts).unwrap_or(i64::MAX));
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let metric = IntCounter::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> Result<IntCounterVec, prometheus::Error> {
    labelled_counters(registry, name, help, &[label])
}

fn labelled_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
    let metric = Histogram::with_opts(opts)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn seconds_gauge(registry: &Registry, name: &str, help: &str) -> Result<Gauge, prometheus::Error> {
    let metric = Gauge::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let metric = IntGauge::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
