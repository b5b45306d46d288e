//! Decisions of the gateway, without input, output or a clock.
//!
//! Time, random numbers and messages are arguments, so that tests can drive the decisions through
//! any order of failures.

mod name;

mod backend_kind;
mod backend_name;
mod backend_server;
mod bundle;
mod caller_list;
mod collections;
mod domain_name;
mod execution;
mod failure_domain;
mod gossip_entry;
mod gossip_load;
mod gossip_partners;
mod gossip_settings;
mod incarnation;
mod instance_id;
mod instance_name;
mod instance_record;
mod instance_state;
mod key_digest;
mod key_grant;
mod key_requirement;
mod member_entry;
mod member_state;
mod member_table;
mod model_name;
mod monotonic_time;
mod organisation;
mod organisation_id;
mod priority;
mod refusal;
mod refusal_code;
mod region_name;
mod request_id;
mod residency;
mod route_target;
mod routing_weights;
mod service_name;
mod service_route;
mod signer;

pub use {
    backend_kind::BackendKind,
    backend_name::BackendName,
    backend_server::BackendServer,
    bundle::Bundle,
    caller_list::{CALLER_LIST_TTL, CallerListEntry, caller_list},
    collections::{Map, Set},
    domain_name::DomainName,
    execution::Execution,
    failure_domain::FailureDomain,
    gossip_entry::GossipEntry,
    gossip_load::GossipLoad,
    gossip_partners::GossipPartners,
    gossip_settings::GossipSettings,
    incarnation::Incarnation,
    instance_id::InstanceId,
    instance_name::InstanceName,
    instance_record::InstanceRecord,
    instance_state::InstanceState,
    key_digest::KeyDigest,
    key_grant::KeyGrant,
    key_requirement::KeyRequirement,
    member_entry::MemberEntry,
    member_state::MemberState,
    member_table::MemberTable,
    model_name::ModelName,
    monotonic_time::MonotonicTime,
    organisation::Organisation,
    organisation_id::OrganisationId,
    priority::Priority,
    refusal::Refusal,
    refusal_code::RefusalCode,
    region_name::RegionName,
    request_id::RequestId,
    residency::Residency,
    route_target::RouteTarget,
    routing_weights::RoutingWeights,
    service_name::ServiceName,
    service_route::ServiceRoute,
    signer::Signer,
};
