//! Gateway of routed services: forwarding, retries and recovery over the edges of a platform.
//!
//! A platform supplies its store as a [`ControlPlane`] and its headers as a [`Dialect`].
//! [`run_gateway`] runs the process.

mod attempt;
mod attempt_failure;
mod call;
mod caller_handler;
mod control_error;
mod control_plane;
mod daemon;
mod dialect;
mod event_reader;
mod exchange;
mod exchange_placement;
mod exchange_refusals;
mod gateway;
mod gateway_error;
mod gateway_logs;
mod gateway_metrics;
mod hop_headers;
mod limit_loans;
mod line_budget;
mod link_settings;
mod member_report;
mod peer_attempt;
mod peer_gateway;
mod server_attempt;
mod status_notices;
mod tasks;
mod view_notices;
mod views;
mod whole_answer;
mod wire_views;

pub use {
    attempt_failure::{AttemptCause, AttemptFailure},
    call::{Call, allowed_regions},
    caller_handler::CallerHandler,
    control_error::ControlError,
    control_plane::{ControlPlane, InstanceListing, OperatorOrders, OrderChanges, Registration},
    daemon::{StatusRouters, run_gateway},
    dialect::{AnswerFacts, BackendTerms, BadHead, CallerHead, Dialect},
    event_reader::{Event, EventReader},
    gateway::Gateway,
    gateway_error::GatewayError,
    gateway_logs::GatewayLogs,
    gateway_metrics::GatewayMetrics,
    hop_headers::strip_hop_headers,
    line_budget::LineBudget,
    member_report::MemberReport,
    whole_answer::WholeAnswer,
};

use exchange::{Exchange, Started};
