//! Daemon of an entry instance and the command-line program for operators.

mod active_bundle;
mod admission;
mod answer_failure;
mod attempt_failure;
mod backend_attempt;
mod bundle_table;
mod burst_check;
mod caller_gateway;
mod chat_body;
mod claim;
mod claim_journal;
mod claim_key;
mod claim_leases;
use hawthornquay_clock as clock;
mod command_accept;
mod command_audit;
mod command_authority;
mod command_bundle;
mod command_error;
mod command_exit;
mod command_explain;
mod command_files;
mod command_fleet;
mod command_instance;
mod command_instance_address;
mod command_key;
mod command_options;
mod command_output;
mod command_platform;
mod command_request_id;
mod command_run;
mod command_runtime;
mod command_signature_file;
mod command_table;
mod command_tls;
mod daemon;
mod daemon_exit;
mod daemon_logs;
mod decision;
mod directory_task;
mod dispatch;
mod drain;
mod fleet_report;
mod gossip;
mod limit_guard;
mod limit_task;
mod load_guard;
mod load_task;
mod metered_answer;
mod metrics;
mod model_request;
mod node;
mod node_peers;
mod operator_router;
mod order_audit;
mod order_task;
mod outbound_request;
mod part_logs;
mod peer_attempt;
mod peer_capacity;
mod peer_gateway;
mod peer_loans;
mod platform_store;
mod request_body;
mod request_log;
mod request_queue;
mod rollout_install;
mod rollout_peers;
mod rollout_task;
mod route_choice;
mod routed_answer;
mod routing_state;
mod running_request;
mod service_request;
mod serving_instance;
mod start_hint;
mod store_recovery;
mod stream_end;
mod token_use;
mod unread_answers;

pub use {
    active_bundle::ActiveBundle,
    admission::Admission,
    answer_failure::AnswerFailure,
    attempt_failure::AttemptFailure,
    bundle_table::BundleTable,
    caller_gateway::CallerGateway,
    chat_body::ChatBody,
    claim::Claim,
    claim_journal::ClaimJournal,
    claim_key::ClaimKey,
    claim_leases::ClaimLeases,
    command_authority::AuthorityError,
    command_error::CommandError,
    command_exit::CommandExit,
    command_instance::InstanceError,
    command_instance_address::{InstanceAddress, InvalidInstanceAddress},
    command_options::{
        BundleCommand, BundleSource, CommandOptions, ExplainTarget, FleetTarget, KeyCommand,
        NewKey, TlsCommand, command_options,
    },
    command_output::CommandOutput,
    command_request_id::ParsedRequestId,
    command_run::run_command,
    command_signature_file::SignatureFile,
    daemon::{Daemon, DaemonError},
    daemon_exit::{DaemonExit, read_settings},
    daemon_logs::start_logs,
    decision::Decision,
    drain::{Drain, DrainGuard},
    fleet_report::{FleetMember, FleetReport},
    limit_guard::LimitGuard,
    load_guard::LoadGuard,
    metered_answer::{AnswerContext, Settlement, metered_response},
    metrics::{Metrics, MetricsError},
    node::Node,
    operator_router::operator_router,
    order_audit::OrderAudit,
    outbound_request::OutboundRequest,
    part_logs::PartLogs,
    peer_gateway::PeerGateway,
    platform_store::PlatformStore,
    request_log::RequestLog,
    request_queue::RequestQueue,
    routed_answer::{AnswerStream, RoutedAnswer},
    routing_state::RoutingState,
    running_request::RunningRequest,
    token_use::TokenUse,
    unread_answers::UnreadAnswers,
};
