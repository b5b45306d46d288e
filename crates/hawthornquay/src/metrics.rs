//! Metrics in the Prometheus text format.

use std::time::Duration;

use hawthornquay_decisions::{Map, OrganisationId, RefusalCode};
use parking_lot::Mutex;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the buckets of the duration histograms, in seconds.
const DURATION_BUCKETS_SECONDS: [f64; 12] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.9, 5.0, 20.0, 60.0,
];

/// Share of the newest request in an organisation's moving average of the first-token time.
const FIRST_TOKEN_SMOOTHING_FACTOR: f64 = 0.1;

/// Failure to register or encode metrics.
#[derive(Debug, thiserror::Error)]
#[error("metrics cannot be set up: {0}")]
pub struct MetricsError(#[from] prometheus::Error);

/// Metrics of one instance.
///
/// No label contains an organisation, because metrics may be collected in regions that its
/// residency excludes.
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    first_token: Histogram,
    duration: Histogram,
    cross_region_requests: IntCounter,
    cross_region_bytes: IntCounter,
    refused_within_limits: IntCounter,
    tokens: IntCounter,
    unread_answers: IntCounter,
    pressure_ends: IntCounter,
    client_memory: IntGauge,
    worst_mean_first_token: Gauge,
    in_flight: IntGauge,
    bundle_version: IntGauge,
    mean_first_token_by_organisation: Mutex<Map<OrganisationId, f64>>,
}

impl Metrics {
    /// Returns metrics with all values at zero.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric is registered twice.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new_custom(Some("hawthornquay".to_owned()), None)?;
        let requests = IntCounterVec::new(
            Opts::new(
                "requests_total",
                "Requests by outcome: `ok` or the refusal's code",
            ),
            &["outcome"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        Ok(Self {
            requests,
            first_token: histogram(&registry, "first_token_seconds", "Time to the first token")?,
            duration: histogram(
                &registry,
                "request_seconds",
                "Time to the end of the answer",
            )?,
            cross_region_requests: counter(
                &registry,
                "sent_away_total",
                "Requests sent to another region",
            )?,
            cross_region_bytes: counter(
                &registry,
                "sent_away_bytes_total",
                "Cost: bytes of requests and answers that crossed between regions",
            )?,
            refused_within_limits: counter(
                &registry,
                "refused_inside_rate_total",
                "Requests refused for a reason other than the organisation's own use",
            )?,
            tokens: counter(&registry, "tokens_total", "Tokens settled")?,
            unread_answers: counter(
                &registry,
                "unread_answers_ended_total",
                "Answers ended because they were not read while requests waited",
            )?,
            pressure_ends: counter(
                &registry,
                "connections_ended_under_pressure_total",
                "Connections ended because memory or connections ran short",
            )?,
            client_memory: int_gauge(
                &registry,
                "client_memory_bytes",
                "Memory charged to connections and requests",
            )?,
            worst_mean_first_token: gauge(
                &registry,
                "worst_organisation_first_token_seconds",
                "Mean time to the first token of the worst-served organisation",
            )?,
            in_flight: int_gauge(&registry, "requests_in_flight", "Requests in flight")?,
            bundle_version: int_gauge(
                &registry,
                "bundle_version",
                "Version of the bundle in force",
            )?,
            mean_first_token_by_organisation: Mutex::default(),
            registry,
        })
    }

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, MetricsError> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }

    /// Counts a request that a backend server answered.
    pub fn count_answer(&self) {
        self.requests.with_label_values(&["ok"]).inc();
    }

    /// Counts a refusal; `within_limits` is whether it has another reason than the organisation's
    /// use.
    pub fn count_refusal(&self, code: RefusalCode, within_limits: bool) {
        self.requests.with_label_values(&[code.as_str()]).inc();
        if within_limits {
            self.refused_within_limits.inc();
        }
    }

    /// Records the time to the first token of an organisation's request.
    pub fn observe_first_token(&self, organisation: &OrganisationId, time: Duration) {
        let seconds = time.as_secs_f64();
        self.first_token.observe(seconds);
        let mut means = self.mean_first_token_by_organisation.lock();
        let mean = means.entry(organisation.clone()).or_insert(seconds);
        *mean += FIRST_TOKEN_SMOOTHING_FACTOR * (seconds - *mean);
        let worst = means.values().copied().fold(0.0, f64::max);
        self.worst_mean_first_token.set(worst);
    }

    /// Records the time to the end of an answer and the tokens charged for it.
    pub fn observe_answer(&self, time: Duration, tokens: u64) {
        self.duration.observe(time.as_secs_f64());
        self.tokens.inc_by(tokens);
    }

    /// Counts a request sent to another region.
    pub fn count_cross_region_request(&self) {
        self.cross_region_requests.inc();
    }

    /// Counts bytes of requests and answers that were sent between regions.
    pub fn count_cross_region_bytes(&self, bytes: u64) {
        self.cross_region_bytes.inc_by(bytes);
    }

    /// Counts an answer that was ended because it was not read while requests waited.
    pub fn count_unread_answer(&self) {
        self.unread_answers.inc();
    }

    /// Counts a connection that was ended because memory or connections ran short.
    pub fn count_pressure_end(&self) {
        self.pressure_ends.inc();
    }

    /// Sets the memory charged to connections and requests.
    pub fn set_client_memory(&self, bytes: usize) {
        self.client_memory
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Sets the number of requests in flight.
    pub fn set_in_flight(&self, requests: usize) {
        self.in_flight
            .set(i64::try_from(requests).unwrap_or(i64::MAX));
    }

    /// Sets the version of the bundle in force.
    pub fn set_bundle_version(&self, version: u64) {
        self.bundle_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram, MetricsError> {
    let opts = HistogramOpts::new(name, help).buckets(DURATION_BUCKETS_SECONDS.to_vec());
    let metric = Histogram::with_opts(opts)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
    let metric = IntCounter::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<Gauge, MetricsError> {
    let metric = Gauge::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn int_gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
    let metric = IntGauge::new(name, help)?;
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
