//! Stand-ins (simulators for tests) of the servers around the gateway, and the load generator.
//!
//! [`Platform`] stands in for the platform (key-value store, instance list, client directory and
//! weight store), [`ModelEngine`] for a server that generates text, and [`PlainService`] for any
//! other HTTP backend server. All of them inject faults on request. [`run_load`] sends load to
//! instances and checks the answers.

mod active_request;
mod after_run;
mod cache_event;
mod cache_event_kind;
mod cache_event_log;
mod call_rate_limiter;
mod chat_message;
mod chat_request;
mod chat_response;
mod endpoint;
mod engine_counters;
mod engine_endpoint;
mod engine_faults;
mod engine_load;
mod engine_order;
mod engine_orders;
mod engine_settings;
mod engine_state;
mod error_response;
mod generated_text;
mod generation;
mod generation_step;
mod instance_addresses;
mod instance_list;
mod kv_entry;
mod kv_lease;
mod kv_store;
mod kv_write_error;
mod lagged_history;
mod latency_histograms;
mod latency_report;
mod load_chart;
mod load_client;
mod load_outcome;
mod load_plan;
mod load_request;
mod load_result;
mod load_run;
mod load_second;
mod load_stats;
mod load_summary;
mod model_engine;
mod order_kind;
mod organisation_key;
mod organisation_report;
mod pause;
mod plain_service;
mod platform;
mod platform_core;
mod platform_counters;
mod platform_endpoint;
mod platform_faults;
mod platform_settings;
mod platform_state;
mod prefix_cache;
mod program;
mod prompt;
mod put_request;
mod quantiles;
mod request_ids;
mod running_server;
mod service_endpoint;
mod service_faults;
mod service_run;
mod service_state;
mod size_range;
mod sse_parser;
mod standin_request;
mod store_endpoint;
mod usage;
mod usage_details;
mod watch_guard;
mod weight_stream;

pub use {
    after_run::AfterRun,
    cache_event::CacheEvent,
    cache_event_kind::CacheEventKind,
    chat_message::ChatMessage,
    chat_request::ChatRequest,
    engine_counters::EngineCounters,
    engine_faults::EngineFaults,
    engine_load::EngineLoad,
    engine_order::EngineOrder,
    engine_settings::EngineSettings,
    generated_text::{generated_text, generated_token},
    latency_report::LatencyReport,
    load_chart::render_load_chart,
    load_outcome::LoadOutcome,
    load_plan::LoadPlan,
    load_run::run_load,
    load_second::LoadSecond,
    load_summary::LoadSummary,
    model_engine::ModelEngine,
    order_kind::OrderKind,
    organisation_key::OrganisationKey,
    organisation_report::OrganisationReport,
    plain_service::PlainService,
    platform::Platform,
    platform_counters::PlatformCounters,
    platform_faults::PlatformFaults,
    platform_settings::PlatformSettings,
    program::print_address_and_wait,
    prompt::{BLOCK_TOKENS, count_prompt_tokens, kv_block, prompt_prefixes},
    quantiles::Quantiles,
    service_faults::ServiceFaults,
    size_range::SizeRange,
    usage::Usage,
    usage_details::UsageDetails,
};

use standin_request::StandinRequest;
