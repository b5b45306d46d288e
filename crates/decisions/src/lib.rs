//! Decision logic of the gateway, without I/O and without clock reads.
//!
//! Time, random numbers and received messages are arguments, so that tests can reproduce any
//! sequence of failures.

mod name;

mod answer_stage;
mod backend_kind;
mod backend_name;
mod backend_server;
mod bundle;
mod bundle_id;
mod caller_list;
mod claim_action;
mod claim_attempt;
mod claim_event;
mod claim_record;
mod claim_state;
mod collections;
mod crash_evidence;
mod crash_log;
mod crash_record;
mod domain_name;
mod domain_slots;
mod era_recovery;
mod evidence_scope;
mod execution;
mod failure_domain;
mod former_quarantine;
mod gossip_entry;
mod gossip_load;
mod gossip_partners;
mod gossip_settings;
mod idempotency_key_requirement;
mod incarnation;
mod instance_id;
mod instance_name;
mod instance_record;
mod instance_state;
mod issued_key;
mod issued_key_table;
mod key_digest;
mod key_grant;
mod limit_bucket;
mod limit_demand;
mod limit_organisation;
mod limit_refunds;
mod limit_reservation;
mod limit_share;
mod limit_slice;
mod limit_table;
mod limit_table_loans;
mod limit_table_slots;
mod load_entry;
mod load_estimate;
mod load_key;
mod load_outcome;
mod load_report;
mod load_state;
mod load_ticket;
mod load_view;
mod loan_call;
mod loan_grant;
mod loan_request;
mod loan_step;
mod loan_terms;
mod member_entry;
mod member_state;
mod member_table;
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
mod part_id;
mod part_quarantine;
mod part_start;
mod part_verdict;
mod prefix_cache;
mod prefix_event;
mod prefix_event_kind;
mod prefix_events;
mod prefix_hash;
mod prefix_map;
mod priority;
mod quarantine_change;
mod quarantine_choice;
mod quarantine_entry;
mod quarantine_table;
mod quarantine_update;
mod quarantined_part;
mod queue_class;
mod queue_entry;
mod queue_fair;
mod refusal;
mod refusal_code;
mod region_name;
mod request_id;
mod residency;
mod retry_budget;
mod retry_decision;
mod retry_state;
mod rollout;
mod rollout_offer;
mod rollout_peer_answer;
mod rollout_start_step;
mod rollout_step;
mod rollout_store_answer;
mod route_target;
mod routing_candidate;
mod routing_decision;
mod routing_grant;
mod routing_grantor;
mod routing_grants;
mod routing_hop;
mod routing_location;
mod routing_poller;
mod routing_request;
mod routing_router;
mod routing_snapshot;
mod routing_weights;
mod service_name;
mod service_route;
mod signer;
mod slot_handover;
mod slot_index;
mod slot_record;
mod slot_release;
mod slot_rules;
mod slot_snapshot;
mod stage_logs;
mod start_log;
mod start_record;
mod store_revision;
mod suspect;

pub use {
    answer_stage::AnswerStage,
    backend_kind::BackendKind,
    backend_name::BackendName,
    backend_server::BackendServer,
    bundle::Bundle,
    bundle_id::BundleId,
    caller_list::{CALLER_LIST_TTL, CallerListEntry, caller_list},
    claim_action::ClaimAction,
    claim_attempt::ClaimAttempt,
    claim_event::ClaimEvent,
    claim_record::ClaimRecord,
    claim_state::ClaimState,
    collections::{Map, Set},
    crash_evidence::{CrashEvidence, SuspectedPart},
    domain_name::DomainName,
    domain_slots::DomainSlots,
    era_recovery::{ERA_CHECK_INTERVAL_MS, EraCheckStep, EraRecovery},
    evidence_scope::EvidenceScope,
    execution::Execution,
    failure_domain::FailureDomain,
    gossip_entry::GossipEntry,
    gossip_load::GossipLoad,
    gossip_partners::GossipPartners,
    gossip_settings::GossipSettings,
    idempotency_key_requirement::IdempotencyKeyRequirement,
    incarnation::Incarnation,
    instance_id::InstanceId,
    instance_name::InstanceName,
    instance_record::InstanceRecord,
    instance_state::InstanceState,
    issued_key::IssuedKey,
    issued_key_table::{
        ISSUED_KEY_LIFETIME, IssuedKeyTable, MAX_ISSUED_KEYS, MAX_ISSUED_KEYS_PER_ORGANISATION,
    },
    key_digest::KeyDigest,
    key_grant::KeyGrant,
    limit_bucket::LimitBucket,
    limit_reservation::LimitReservation,
    limit_share::LimitShare,
    limit_table::LimitTable,
    load_estimate::LoadEstimate,
    load_key::LoadKey,
    load_outcome::LoadOutcome,
    load_report::LoadReport,
    load_state::LoadState,
    load_ticket::LoadTicket,
    load_view::LoadView,
    loan_call::LoanCall,
    loan_grant::LoanGrant,
    loan_request::LoanRequest,
    loan_step::LoanStep,
    loan_terms::LoanTerms,
    member_entry::MemberEntry,
    member_state::MemberState,
    member_table::MemberTable,
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
    part_id::PartId,
    part_quarantine::PartQuarantine,
    part_start::PartStart,
    part_verdict::PartVerdict,
    prefix_event::PrefixEvent,
    prefix_event_kind::PrefixEventKind,
    prefix_events::PrefixEvents,
    prefix_hash::PrefixHash,
    prefix_map::PrefixMap,
    priority::Priority,
    quarantine_change::QuarantineChange,
    quarantine_update::QuarantineUpdate,
    quarantined_part::QuarantinedPart,
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
    rollout::Rollout,
    rollout_offer::RolloutOffer,
    rollout_peer_answer::RolloutPeerAnswer,
    rollout_start_step::RolloutStartStep,
    rollout_step::RolloutStep,
    rollout_store_answer::RolloutStoreAnswer,
    route_target::RouteTarget,
    routing_decision::RoutingDecision,
    routing_grant::RoutingGrant,
    routing_grantor::RoutingGrantor,
    routing_grants::RoutingGrants,
    routing_hop::RoutingHop,
    routing_location::RoutingLocation,
    routing_poller::polling_instance,
    routing_request::RoutingRequest,
    routing_router::decide_route,
    routing_snapshot::RoutingSnapshot,
    routing_weights::RoutingWeights,
    service_name::ServiceName,
    service_route::ServiceRoute,
    signer::Signer,
    slot_index::SlotIndex,
    slot_record::SlotRecord,
    slot_release::SlotRelease,
    slot_rules::SlotRules,
    slot_snapshot::SlotSnapshot,
    store_revision::StoreRevision,
};
