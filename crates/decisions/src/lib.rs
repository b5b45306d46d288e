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
mod rollout;
mod rollout_member;
mod rollout_offer;
mod rollout_peer_answer;
mod rollout_start;
mod rollout_step;
mod rollout_store_answer;
mod rollout_version;
mod rollout_watchers;
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
    rollout::Rollout,
    rollout_member::RolloutMember,
    rollout_offer::RolloutOffer,
    rollout_peer_answer::RolloutPeerAnswer,
    rollout_start::RolloutStart,
    rollout_step::RolloutStep,
    rollout_store_answer::RolloutStoreAnswer,
    rollout_version::RolloutVersion,
    rollout_watchers::{rollout_peers_to_notify, rollout_watchers},
    route_target::RouteTarget,
    routing_weights::RoutingWeights,
    service_name::ServiceName,
    service_route::ServiceRoute,
    signer::Signer,
};
