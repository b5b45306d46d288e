//! Gateway that routes requests of callers to backend servers, limits them, retries them and
//! continues interrupted streams.
//!
//! A platform is integrated by two traits: [`ControlPlane`] reads the platform's key-value store,
//! and [`HeaderMapping`] translates its HTTP headers. [`run_gateway`] runs the process.

mod admitted_request;
mod attempt;
mod attempt_failure;
mod background_tasks;
mod buffered_response;
mod caller_directory;
mod caller_handler;
mod cold_checks;
mod configuration_document;
mod connection_ends;
mod control_error;
mod control_plane;
mod daemon;
mod event_reader;
mod exchange;
mod exchange_placement;
mod exchange_quarantine;
mod exchange_refusals;
mod exchange_silence;
mod exchange_stop;
mod exchange_streams;
mod exchange_timeouts;
mod gateway;
mod gateway_error;
mod gateway_logs;
mod gateway_metrics;
mod header_mapping;
mod hop_headers;
mod instance_report;
mod limit_loans;
mod link_settings;
mod log_rate_limiter;
mod peer_attempt;
mod peer_handler;
mod quarantine;
mod quarantine_notices;
mod ramp_reports;
mod response_memory;
mod response_start;
mod return_notices;
mod returning_requests;
mod running_requests;
mod server_attempt;
mod server_pauses;
mod server_permits;
mod server_probes;
mod silence_limit;
mod status_notices;
mod stop;
mod stream_progress;
mod view_notices;
mod view_updates;
mod wire_views;

pub use {
    admitted_request::{AdmittedRequest, allowed_regions},
    attempt_failure::{AttemptCause, AttemptFailure},
    buffered_response::BufferedResponse,
    caller_handler::CallerHandler,
    control_error::ControlError,
    control_plane::{
        ControlPlane, InstanceListing, OperatorState, OperatorStateChanges, Registration,
    },
    daemon::{StatusRouters, run_gateway},
    event_reader::{Event, EventReader},
    gateway::Gateway,
    gateway_error::GatewayError,
    gateway_logs::GatewayLogs,
    gateway_metrics::GatewayMetrics,
    header_mapping::{
        BackendRequestMetadata, BackendResponseMetadata, CallerRequestHead, HeaderMapping,
        HealthReport, InvalidRequestHead,
    },
    hop_headers::strip_hop_headers,
    instance_report::InstanceReport,
    log_rate_limiter::LogRateLimiter,
    quarantine_notices::{quarantine_update, with_quarantine_update},
    return_notices::{promise_report, with_promise_report},
    server_probes::RunState,
};

use exchange::Exchange;
use response_start::ResponseStart;
