//! Decisions of the gateway, without input, output or a clock.
//!
//! Time, random numbers and messages are arguments, so that tests can drive the decisions through
//! any order of failures.

mod name;

mod backend_kind;
mod backend_name;
mod backend_server;
mod bundle;
mod collections;
mod domain_name;
mod execution;
mod failure_domain;
mod incarnation;
mod instance_id;
mod instance_name;
mod instance_record;
mod instance_state;
mod key_digest;
mod key_grant;
mod key_requirement;
mod load_entry;
mod load_estimate;
mod load_key;
mod load_outcome;
mod load_report;
mod load_state;
mod load_ticket;
mod load_view;
mod model_name;
mod monotonic_time;
mod order_kind;
mod order_lease;
mod order_list;
mod order_plan;
mod order_record;
mod order_request;
mod order_state;
mod order_step;
mod organisation;
mod organisation_id;
mod prefix_cache;
mod prefix_event;
mod prefix_event_kind;
mod prefix_events;
mod prefix_hash;
mod prefix_map;
mod priority;
mod queue_entry;
mod queue_fair;
mod queue_lane;
mod refusal;
mod refusal_code;
mod region_name;
mod request_id;
mod residency;
mod retry_budget;
mod retry_decision;
mod retry_state;
mod route_target;
mod routing_candidate;
mod routing_decision;
mod routing_grant;
mod routing_grantor;
mod routing_grants;
mod routing_hop;
mod routing_place;
mod routing_poller;
mod routing_request;
mod routing_router;
mod routing_snapshot;
mod routing_weights;
mod service_name;
mod service_route;
mod signer;

pub use {
    backend_kind::BackendKind,
    backend_name::BackendName,
    backend_server::BackendServer,
    bundle::Bundle,
    collections::{Map, Set},
    domain_name::DomainName,
    execution::Execution,
    failure_domain::FailureDomain,
    incarnation::Incarnation,
    instance_id::InstanceId,
    instance_name::InstanceName,
    instance_record::InstanceRecord,
    instance_state::InstanceState,
    key_digest::KeyDigest,
    key_grant::KeyGrant,
    key_requirement::KeyRequirement,
    load_estimate::LoadEstimate,
    load_key::LoadKey,
    load_outcome::LoadOutcome,
    load_report::LoadReport,
    load_state::LoadState,
    load_ticket::LoadTicket,
    load_view::LoadView,
    model_name::ModelName,
    monotonic_time::MonotonicTime,
    order_kind::OrderKind,
    order_lease::OrderLease,
    order_list::OrderList,
    order_plan::OrderPlan,
    order_record::OrderRecord,
    order_request::OrderRequest,
    order_state::OrderState,
    order_step::OrderStep,
    organisation::Organisation,
    organisation_id::OrganisationId,
    prefix_event::PrefixEvent,
    prefix_event_kind::PrefixEventKind,
    prefix_events::PrefixEvents,
    prefix_hash::PrefixHash,
    prefix_map::PrefixMap,
    priority::Priority,
    queue_entry::QueueEntry,
    queue_fair::FairQueue,
    refusal::Refusal,
    refusal_code::RefusalCode,
    region_name::RegionName,
    request_id::RequestId,
    residency::Residency,
    retry_budget::RetryBudget,
    retry_decision::RetryDecision,
    retry_state::RetryState,
    route_target::RouteTarget,
    routing_decision::RoutingDecision,
    routing_grant::RoutingGrant,
    routing_grantor::RoutingGrantor,
    routing_grants::RoutingGrants,
    routing_hop::RoutingHop,
    routing_place::RoutingPlace,
    routing_poller::polling_instance,
    routing_request::RoutingRequest,
    routing_router::decide_route,
    routing_snapshot::RoutingSnapshot,
    routing_weights::RoutingWeights,
    service_name::ServiceName,
    service_route::ServiceRoute,
    signer::Signer,
};
