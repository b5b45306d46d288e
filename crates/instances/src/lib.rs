//! Links: TCP connections between instances, with mutual TLS or without TLS in a trusted network.
//!
//! A link carries length-delimited frames of Protocol Buffers messages. [`LinkPool`] calls other
//! instances. [`PeerServer`] accepts links and passes their messages to a [`PeerService`].

mod backend_load;
mod body;
mod bundle_content;
mod bundle_delta;
mod bundle_fetch;
mod capacity_grant;
mod capacity_request;
mod certificate_name;
mod certified_key_pem;
mod cold_server_record;
mod crash_record;
mod digest;
mod digest_entry;
mod drain_state;
mod envelope;
mod envelope_io;
mod forward;
mod forward_body;
mod forward_cancel;
mod forward_credit;
mod forward_data;
mod forward_end;
mod forward_event;
mod forward_head;
mod forward_refused;
mod forward_sink;
mod forward_stream;
mod header;
mod hello;
mod instance_entry;
mod instance_list_changes;
mod leaving_server_record;
mod link;
mod link_counters;
mod link_drained;
mod link_error;
mod link_pool;
mod link_security;
mod link_settings;
mod link_stream;
mod loan_grant;
mod loan_request;
mod local_instance;
mod metered_stream;
mod notice;
mod organisation_demand;
mod part_start_record;
mod partial_forward;
mod peer_address;
mod peer_connection;
mod peer_server;
mod peer_service;
mod permit_grant;
mod permit_request;
mod ping;
mod pong;
mod prompt_part;
mod quarantine_record;
mod region_status;
mod return_promise_record;
mod send_queue;
mod server_limit_record;
mod server_list_changes;
mod server_record;
mod server_use;
mod service_admissions;
mod service_load;
mod status;
mod stream_sender;
mod test_authority;
mod tls_identity;
mod traffic_counter;
mod unary_request;
mod view_request;
mod view_update;
mod wire_execution;
mod write_state;

pub use {
    backend_load::BackendLoad,
    body::Body,
    bundle_content::BundleContent,
    bundle_delta::BundleDelta,
    bundle_fetch::BundleFetch,
    capacity_grant::CapacityGrant,
    capacity_request::CapacityRequest,
    certificate_name::instance_uri,
    certified_key_pem::CertifiedKeyPem,
    cold_server_record::ColdServerRecord,
    crash_record::CrashRecord,
    digest::Digest,
    digest_entry::DigestEntry,
    envelope::Envelope,
    forward::Forward,
    forward_body::ForwardBody,
    forward_cancel::ForwardCancel,
    forward_credit::ForwardCredit,
    forward_data::ForwardData,
    forward_end::ForwardEnd,
    forward_event::ForwardEvent,
    forward_head::ForwardHead,
    forward_refused::ForwardRefused,
    forward_sink::ForwardSink,
    forward_stream::ForwardStream,
    header::Header,
    hello::Hello,
    instance_entry::InstanceEntry,
    instance_list_changes::InstanceListChanges,
    leaving_server_record::LeavingServerRecord,
    link_counters::LinkCounters,
    link_drained::LinkDrained,
    link_error::LinkError,
    link_pool::LinkPool,
    link_security::LinkSecurity,
    link_settings::{
        LinkSettings, MAX_BODY_CHUNK_BYTES, MAX_CALLS_PER_LINK, MAX_DATA_CHUNK_BYTES,
        MAX_FORWARDED_BODY_BYTES, MAX_FRAME_BYTES, MAX_PARTIAL_BODIES_BYTES, STREAM_WINDOW_BYTES,
    },
    loan_grant::LoanGrant,
    loan_request::LoanRequest,
    local_instance::LocalInstance,
    notice::Notice,
    organisation_demand::OrganisationDemand,
    part_start_record::PartStartRecord,
    peer_address::PeerAddress,
    peer_server::PeerServer,
    peer_service::PeerService,
    permit_grant::PermitGrant,
    permit_request::PermitRequest,
    ping::Ping,
    pong::Pong,
    prompt_part::PromptPart,
    quarantine_record::QuarantineRecord,
    region_status::RegionStatus,
    return_promise_record::ReturnPromiseRecord,
    server_limit_record::ServerLimitRecord,
    server_list_changes::ServerListChanges,
    server_record::ServerRecord,
    server_use::ServerUse,
    service_admissions::ServiceAdmissions,
    service_load::ServiceLoad,
    status::Status,
    test_authority::{TestAuthority, generate_test_authority},
    tls_identity::TlsIdentity,
    traffic_counter::TrafficCounter,
    unary_request::UnaryRequest,
    view_request::ViewRequest,
    view_update::ViewUpdate,
    wire_execution::WireExecution,
};
