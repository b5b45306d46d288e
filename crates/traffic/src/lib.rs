//! Decisions about requests to routed services, without input, output or a clock.
//!
//! A routed service is reached by host and path. Its routes, organisations and limits come from
//! the operators' configuration, its backend servers from the platform's list.

mod backend_entry;
mod caller_limits;
mod choice;
mod cold_gate;
mod configuration;
mod demand_history;
mod engine_terms;
mod execution_rule;
mod fleet_demand;
mod instance_list;
mod latency_model;
mod listed_server;
mod operator_view;
mod organisation_limits;
mod organisation_terms;
mod placement;
mod placement_request;
mod poll_turn;
mod prefix_memory;
mod region_board;
mod region_report;
mod return_time;
mod route;
mod route_lookup;
mod routed_instance;
mod server_choice;
mod server_health;
mod server_listing;
mod server_load;
mod server_pick;
mod server_table;
mod server_use_row;
mod service_report;
mod service_terms;
mod stable_hash;
mod token_bucket;
mod work;

pub use {
    backend_entry::BackendEntry,
    caller_limits::CallerLimits,
    choice::Choice,
    cold_gate::ColdGate,
    configuration::Configuration,
    demand_history::DemandHistory,
    engine_terms::EngineTerms,
    execution_rule::ExecutionRule,
    fleet_demand::FleetDemand,
    instance_list::InstanceList,
    latency_model::{LatencyModel, PREFILL_TOKENS_PER_MS},
    operator_view::OperatorView,
    organisation_limits::{LimitRefusal, OrganisationLimits},
    organisation_terms::OrganisationTerms,
    placement::{PlacementTerms, place},
    placement_request::PlacementRequest,
    poll_turn::{poll_interval, rank_in_region},
    prefix_memory::PrefixMemory,
    region_board::RegionBoard,
    region_report::RegionReport,
    return_time::return_after,
    route::Route,
    route_lookup::RouteLookup,
    routed_instance::RoutedInstance,
    server_health::{ServerFailure, ServerHealth},
    server_listing::ServerListing,
    server_load::{ReportedLoad, ServerLoad},
    server_pick::ServerPick,
    server_table::ServerTable,
    server_use_row::ServerUseRow,
    service_report::ServiceReport,
    service_terms::ServiceTerms,
    stable_hash::stable_hash,
    token_bucket::TokenBucket,
    work::{PromptPart, Work},
};
