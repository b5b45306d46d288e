//! Stand-ins for the platform, model engines and plain services, and the load tool.

mod active_request;
mod after_run;
mod answer_text;
mod cache_event;
mod cache_event_kind;
mod cache_event_log;
mod chat_answer;
mod chat_message;
mod chat_request;
mod endpoint;
mod engine_counters;
mod engine_endpoint;
mod engine_faults;
mod engine_order;
mod engine_orders;
mod engine_settings;
mod engine_state;
mod generation;
mod generation_step;
mod load_history;
mod load_report;
mod model_engine;
mod order_kind;
mod plain_service;
mod prefix_cache;
mod program;
mod prompt;
mod refusal;
mod request_ids;
mod running_server;
mod service_endpoint;
mod service_faults;
mod service_run;
mod service_state;
mod standin_request;
mod usage;
mod usage_details;

pub use {
    after_run::AfterRun,
    answer_text::{answer_text, answer_token},
    cache_event::CacheEvent,
    cache_event_kind::CacheEventKind,
    chat_message::ChatMessage,
    chat_request::ChatRequest,
    engine_counters::EngineCounters,
    engine_faults::EngineFaults,
    engine_order::EngineOrder,
    engine_settings::EngineSettings,
    load_report::LoadReport,
    model_engine::ModelEngine,
    order_kind::OrderKind,
    plain_service::PlainService,
    program::announce_and_wait,
    prompt::{BLOCK_TOKENS, count_prompt_tokens, kv_block, prompt_prefixes},
    service_faults::ServiceFaults,
    usage::Usage,
    usage_details::UsageDetails,
};

use standin_request::StandinRequest;
