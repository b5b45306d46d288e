//! HTTP interface of the key-value store.

use std::{sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use hawthornquay_http::{Body, json_response};
use http::{Method, Response, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep_until};

use crate::{
    StandinRequest,
    chat_response::aborted_response,
    error_response::{error_response, invalid_json_response, unknown_resource_response},
    kv_write_error::KvWriteError,
    platform_core::PlatformCore,
    platform_endpoint::{MAX_VALUE_BYTES, ok, outage_response, too_large_response},
    put_request::PutRequest,
    watch_guard::WatchGuard,
};

const MAX_WATCH_WAIT_MS: u64 = 60_000;

/// Handles the calls to the key-value store: counts them, limits their rate and responds.
#[derive(Debug)]
pub(crate) struct StoreEndpoint {
    core: Arc<PlatformCore>,
}

impl StoreEndpoint {
    pub(crate) fn new(core: &Arc<PlatformCore>) -> Self {
        Self {
            core: Arc::clone(core),
        }
    }

    pub(crate) async fn handle(&self, req: &StandinRequest, segments: &[&str]) -> Response<Body> {
        let is_write = req.method != Method::GET;
        if !self.admit_call(is_write) {
            let message = "the rate limit of the store is exceeded";
            return error_response(StatusCode::TOO_MANY_REQUESTS, "rate-exceeded", message);
        }
        let res = match (&req.method, segments) {
            (&Method::GET, ["kv", ..]) => self.get(key(req)),
            (&Method::PUT, ["kv", ..]) => self.put(key(req), req),
            (&Method::DELETE, ["kv", ..]) => self.delete(key(req), req.number("expect")),
            (&Method::GET, ["list"]) => self.list(&req.parameter("prefix").unwrap_or_default()),
            (&Method::GET, ["watch"]) => self.watch(req).await,
            (&Method::POST, ["leases"]) => self.grant_lease(req),
            (&Method::POST, ["leases", id, "renew"]) => self.renew_lease(id),
            (&Method::DELETE, ["leases", id]) => self.end_lease(id),
            _ => unknown_resource_response(),
        };
        if is_write && res.status().is_success() && self.consume_response_fault() {
            return aborted_response();
        }
        res
    }

    /// Takes the call from the rate limit of writes or reads and counts it; returns whether it is
    /// admitted.
    fn admit_call(&self, is_write: bool) -> bool {
        self.core.with_state(|state, now| {
            let counters = &mut state.counters;
            let (rate, accepted, refused) = if is_write {
                (
                    &mut state.write_rate,
                    &mut counters.writes,
                    &mut counters.refused_writes,
                )
            } else {
                (
                    &mut state.read_rate,
                    &mut counters.reads,
                    &mut counters.refused_reads,
                )
            };
            let allowed = rate.try_acquire(now);
            *if allowed { accepted } else { refused } += 1;
            allowed
        })
    }

    /// Returns whether an injected fault drops the response to the current write.
    fn consume_response_fault(&self) -> bool {
        self.core.with_state(|state, _| {
            let is_lost = state.faults.lose_answers > 0;
            if is_lost {
                state.faults.lose_answers -= 1;
                state.counters.lost_answers += 1;
            }
            is_lost
        })
    }

    fn get(&self, key: &str) -> Response<Body> {
        let entry = self
            .core
            .with_state(|state, _| state.store.get(key).map(|entry| entry.to_json(key)));
        entry.map_or_else(|| not_found("no such key"), |entry| ok(&entry))
    }

    fn put(&self, key: &str, req: &StandinRequest) -> Response<Body> {
        let put: PutRequest = match req.json() {
            Ok(put) => put,
            Err(err) => return invalid_json_response(&err),
        };
        let Ok(value) = STANDARD.decode(&put.value) else {
            return error_response(
                StatusCode::BAD_REQUEST,
                "bad-value",
                "the value is not base64",
            );
        };
        if value.len() > MAX_VALUE_BYTES {
            return too_large_response();
        }
        let written = self
            .core
            .with_state(|state, _| state.store.put(key, value.into(), put.expect, put.lease));
        match written {
            Ok(revision) => ok(&json!({"revision": revision})),
            Err(err) => write_error_response(err),
        }
    }

    fn delete(&self, key: &str, expect: Option<u64>) -> Response<Body> {
        match self
            .core
            .with_state(|state, _| state.store.delete(key, expect))
        {
            Ok(Some(revision)) => ok(&json!({"revision": revision})),
            Ok(None) => not_found("no such key"),
            Err(err) => write_error_response(err),
        }
    }

    fn list(&self, prefix: &str) -> Response<Body> {
        let (revision, entries) = self
            .core
            .with_state(|state, _| (state.store.revision(), state.store.list(prefix)));
        ok(&json!({"revision": revision, "entries": entries}))
    }

    async fn watch(&self, req: &StandinRequest) -> Response<Body> {
        let prefix = req.parameter("prefix").unwrap_or_default();
        let wait_ms = req
            .number("wait_ms")
            .unwrap_or_default()
            .min(MAX_WATCH_WAIT_MS);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let _waiting = WatchGuard::begin(&self.core);
        let mut changed = self.core.subscribe();
        let mut after = req.number("after").unwrap_or_default();
        let began_in = self.core.with_state(|state, _| state.era);
        loop {
            changed.mark_unchanged();
            let (faults, era, revision, entries) = self.core.with_state(|state, _| {
                let entries = state.store.changes(&prefix, after);
                (state.faults, state.era, state.store.revision(), entries)
            });
            if faults.outage {
                return outage_response();
            }
            if (era != began_in || after > revision) && !faults.hold_watches {
                return history_discarded_response();
            }
            let ready = !entries.is_empty() || Instant::now() >= end;
            if ready && !faults.hold_watches {
                return ok(&json!({"revision": revision, "entries": entries}));
            }
            if entries.is_empty() {
                after = after.max(revision);
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = sleep_until(end), if !faults.hold_watches => {}
            }
        }
    }

    fn grant_lease(&self, req: &StandinRequest) -> Response<Body> {
        let ttl_ms = req.json().map(|value: Value| value["ttl_ms"].as_u64());
        match ttl_ms {
            Ok(Some(ttl_ms)) if ttl_ms > 0 => {
                let id = self.core.grant_lease(Duration::from_millis(ttl_ms));
                ok(&json!({"lease": id}))
            }
            Ok(_) => error_response(
                StatusCode::BAD_REQUEST,
                "bad-ttl",
                "ttl_ms must be a positive integer",
            ),
            Err(err) => invalid_json_response(&err),
        }
    }

    fn renew_lease(&self, id: &str) -> Response<Body> {
        let id = id.parse().unwrap_or_default();
        match self
            .core
            .with_state(|state, now| state.store.renew_lease(now, id))
        {
            Some(ttl) => ok(&json!({"lease": id, "ttl_ms": ttl.as_millis() as u64})),
            None => not_found("the lease has ended"),
        }
    }

    fn end_lease(&self, id: &str) -> Response<Body> {
        let id = id.parse().unwrap_or_default();
        if self.core.with_state(|state, _| state.store.end_lease(id)) {
            ok(&json!({"lease": id}))
        } else {
            not_found("the lease has ended")
        }
    }
}

fn key(req: &StandinRequest) -> &str {
    req.path.strip_prefix("/kv/").unwrap_or_default()
}

fn history_discarded_response() -> Response<Body> {
    error_response(
        StatusCode::GONE,
        "history-discarded",
        "the store does not have the history after this revision; read all data again",
    )
}

fn not_found(message: &str) -> Response<Body> {
    error_response(StatusCode::NOT_FOUND, "not-found", message)
}

fn write_error_response(err: KvWriteError) -> Response<Body> {
    match err {
        KvWriteError::Conflict(current) => json_response(StatusCode::CONFLICT, &current),
        KvWriteError::LeaseEnded => not_found("the lease has ended"),
    }
}
