//! Routing, placement and rate-limit decisions, without I/O or a clock.
//!
//! Requests are matched to a route by host and path, and a route leads to one or more services. The
//! operators' configuration defines routes, services, organisations and limits; the platform's
//! store lists the backend servers.

mod admissions;
mod backend_entry;
mod caller_addresses;
mod caller_limits;
mod caller_proximity;
mod cold_servers;
mod cold_start_limiter;
mod configuration;
mod configuration_changes;
mod configuration_checks;
mod configuration_document;
mod contact;
mod demand_history;
mod departed_servers;
mod engine_config;
mod event_rate;
mod execution_semantics;
mod fleet_demand;
mod home_demand;
mod home_regions;
mod instance_changes;
mod instance_directory;
mod instance_list;
mod latency_model;
mod leaving_servers;
mod limited_servers;
mod listed_instance;
mod listed_server;
mod offload;
mod operator_view;
mod organisation_config;
mod organisation_limits;
mod overload_retry;
mod paused_servers;
mod placement;
mod placement_decision;
mod placement_request;
mod poll_interval;
mod prefill_rate;
mod promise_report;
mod ramping_servers;
mod recent_prefixes;
mod region_membership;
mod region_report;
mod region_table;
mod removal_log;
mod request_limit;
mod reserved_sums;
mod response_reports;
mod return_key;
mod return_promises;
mod route;
mod route_index;
mod server_changes;
mod server_health;
mod server_listing;
mod server_load;
mod server_pace;
mod server_pick;
mod server_ramp;
mod server_reports;
mod server_selection;
mod server_table;
mod server_usage;
mod service_config;
mod service_model;
mod service_report;
mod slot_time;
mod stable_hash;
mod stream_prediction;
mod token_bucket;
mod urgent_streams;
mod work;

use server_table::RECOVERY_GRACE;

pub use hawthornquay_decisions::StoreRevision;

pub use {
    admissions::Admissions,
    backend_entry::BackendEntry,
    caller_addresses::CallerAddresses,
    caller_limits::CallerLimits,
    caller_proximity::CallerProximity,
    cold_servers::{ColdServer, UnknownServer},
    cold_start_limiter::ColdStartLimiter,
    configuration::Configuration,
    configuration_changes::configuration_changes,
    configuration_checks::{
        ConfigurationFinding, FindingKind, check_configuration, check_successor,
    },
    configuration_document::{ConfigurationDocument, OrganisationEntry},
    demand_history::DemandHistory,
    engine_config::EngineConfig,
    event_rate::{EventRate, ServiceStreams},
    execution_semantics::ExecutionSemantics,
    fleet_demand::FleetDemand,
    home_demand::HomeDemand,
    home_regions::HomeRegions,
    instance_changes::InstanceChanges,
    instance_list::InstanceList,
    latency_model::{FirstByteWork, LatencyModel},
    leaving_servers::LeavingServer,
    limited_servers::{ServerLimit, granting_instances},
    listed_instance::ListedInstance,
    offload::Offload,
    operator_view::OperatorView,
    organisation_config::OrganisationConfig,
    organisation_limits::{LimitRefusal, OrganisationLimits},
    overload_retry::{overload_retry_after, pause_retry_after},
    placement::{PlacementOptions, place},
    placement_decision::{PlacementDecision, StreamConcern},
    placement_request::PlacementRequest,
    poll_interval::{instances_poll_interval, poll_interval},
    prefill_rate::{PREFILL_TOKENS_PER_MS, PrefillRate},
    promise_report::{PromiseReport, PromiseScope, ReportedPromise},
    ramping_servers::{RampEvent, RampEventKind},
    recent_prefixes::RecentPrefixes,
    region_membership::RegionMembership,
    region_report::RegionReport,
    region_table::RegionTable,
    request_limit::{GrantedPart, LimitStatement, PermitDecision},
    return_key::ReturnKey,
    return_promises::{
        MAX_PROMISES, MAX_REPORTED_PROMISES, PROMISE_GRACE, PROMISE_LEAD, ReturnPromises,
    },
    route::Route,
    route_index::RouteIndex,
    server_changes::ServerChanges,
    server_health::{ServerFailure, ServerHealth},
    server_listing::ServerListing,
    server_load::{ReportedLoad, ServerLoad},
    server_pace::ServerPace,
    server_pick::ServerPick,
    server_ramp::{RampCause, RampOutcome},
    server_table::ServerTable,
    server_usage::ServerUsage,
    service_config::ServiceConfig,
    service_report::ServiceReport,
    slot_time::SlotTime,
    stable_hash::stable_hash,
    stream_prediction::StreamPrediction,
    token_bucket::TokenBucket,
    urgent_streams::UrgentStreams,
    work::{PromptPart, Work},
};
