//! HTTP handler for requests of callers.

use std::{panic::AssertUnwindSafe, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use gotham::{
    handler::{Handler, HandlerFuture, NewHandler},
    state::{FromState, State},
};
use hawthornquay_callers::refusal_response;
use hawthornquay_decisions::{
    Execution, MonotonicTime, OrganisationId, Refusal, RefusalCode, RequestId,
};
use hawthornquay_http::{Body, ReadError, read_charged_body};
use hawthornquay_instances::MAX_FORWARDED_BODY_BYTES;
use hawthornquay_traffic::{Configuration, OrganisationConfig, ReturnKey, Route, Work};
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, request::Parts,
};
use http_body_util::{BodyExt, Full, StreamBody};

use crate::{
    AdmittedRequest, BufferedResponse, CallerRequestHead, ControlPlane, Exchange, Gateway,
    HeaderMapping, ResponseStart, allowed_regions,
    exchange_stop::stopping_refusal,
    gateway::now,
    limit_loans::{self, LoanOutcome},
    running_requests::RunningRequestGuard,
};

/// Longest time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// `Retry-After` of an instance that has no configuration yet, and of a route without a service.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` of a request for whose body there is no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handler of all requests on the address for callers.
pub struct CallerHandler<C, H>(AssertUnwindSafe<Arc<Gateway<C, H>>>);

impl<C, H> CallerHandler<C, H> {
    /// Builds the handler.
    pub const fn new(gateway: Arc<Gateway<C, H>>) -> Self {
        Self(AssertUnwindSafe(gateway))
    }
}

impl<C, H> Clone for CallerHandler<C, H> {
    fn clone(&self) -> Self {
        Self(AssertUnwindSafe(Arc::clone(&self.0)))
    }
}

impl<C: ControlPlane, H: HeaderMapping> NewHandler for CallerHandler<C, H> {
    type Instance = Self;

    fn new_handler(&self) -> anyhow::Result<Self> {
        Ok(self.clone())
    }
}

impl<C: ControlPlane, H: HeaderMapping> Handler for CallerHandler<C, H> {
    fn handle(self, mut state: State) -> Pin<Box<HandlerFuture>> {
        let gateway = Arc::clone(&self.0);
        Box::pin(async move {
            let arrived_at = now();
            let body = Body::take_from(&mut state);
            let parts = request_parts(&mut state);
            let chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
            let expects = parts.headers.contains_key(header::EXPECT);
            // hyper drops this future when the caller leaves.
            let running = gateway.in_flight.enter();
            let mut res = respond(&gateway, arrived_at, parts, body, running).await;
            // hyper drops a `Content-Length` that follows `Transfer-Encoding: chunked`. The bytes
            // after such a request may be smuggled, so its connection is not used any further.
            // Neither is that of a caller that may leave out the body after the response.
            if chunked || expects || gateway.is_leaving() {
                res.headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok((state, res))
        })
    }
}

fn request_parts(state: &mut State) -> Parts {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = Method::take_from(state);
    parts.uri = Uri::take_from(state);
    parts.headers = HeaderMap::take_from(state);
    parts
}

async fn respond<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    arrived_at: MonotonicTime,
    parts: Parts,
    body: Body,
    mut running: RunningRequestGuard,
) -> Response<Body> {
    let head = match gateway.header_mapping.read_caller_request(&parts) {
        Ok(head) => head,
        Err(error) => {
            let refusal = Refusal::not_run(RefusalCode::BadRequest, &error.to_string());
            return refuse(gateway, arrived_at, &RequestId::new(""), "-", &refusal);
        }
    };
    let id = head.id.clone();
    if !running.try_run(&gateway.memory, gateway.connections.callers()) {
        let message = "too many requests run for the memory or the descriptors of the instance";
        let refusal =
            Refusal::not_run(RefusalCode::NoCapacity, message).with_retry_after(MEMORY_RETRY_AFTER);
        return refuse(gateway, arrived_at, &id, parts.uri.path(), &refusal);
    }
    let admission = admit(gateway, arrived_at, &parts, head, body);
    let admitted = gateway.stop.run_until_end(admission).await;
    match admitted.unwrap_or_else(|| Err(stopping_refusal())) {
        Ok(request) => run(gateway, request, running).await,
        Err(refusal) => refuse(gateway, arrived_at, &id, parts.uri.path(), &refusal),
    }
}

/// Routes, authenticates and rate-limits a request and reads its body.
async fn admit<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    arrived_at: MonotonicTime,
    parts: &Parts,
    head: CallerRequestHead,
    body: Body,
) -> Result<AdmittedRequest, Refusal> {
    check_framing(&parts.headers)?;
    let configuration = gateway.operators.lock().configuration().cloned();
    let Some(configuration) = configuration else {
        return Err(Refusal::not_run(
            RefusalCode::NotReady,
            "the instance has not read the configuration yet",
        )
        .with_retry_after(NOT_READY_RETRY_AFTER));
    };
    let Some(route) = configuration
        .route_index
        .find(&head.host, parts.uri.path())
        .cloned()
    else {
        return Err(Refusal::not_run(
            RefusalCode::RouteUnknown,
            "no route found for the host and path",
        ));
    };
    let organisation = authenticate(&configuration, &route, head.key.as_deref())?;
    let Some(service) = route.service_for(head.id.as_str()).cloned() else {
        return Err(
            Refusal::not_run(RefusalCode::NoCapacity, "the route declares no service")
                .with_retry_after(NOT_READY_RETRY_AFTER),
        );
    };
    let time_limit = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    // A longer body could not be forwarded to another region.
    let limit = configuration
        .limits
        .max_body_bytes
        .min(MAX_FORWARDED_BODY_BYTES);
    let body = read_charged_body(body, limit, BODY_TIMEOUT.min(time_limit), &gateway.memory)
        .await
        .map_err(|error| body_read_refusal(&error))?;
    let organisation_config = organisation
        .as_ref()
        .and_then(|id| configuration.organisations.get(id))
        .cloned();
    let work = head.work.clone().unwrap_or_default();
    gateway.check_quarantine(&work)?;
    charge(
        gateway,
        organisation.as_ref(),
        organisation_config.as_deref(),
        &route,
        head.work.as_ref(),
    )
    .await?;
    let home_regions = organisation_config
        .as_deref()
        .map_or(&[][..], |config| &config.home_regions);
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let allowed = allowed_regions(&gateway.regions, &route.home_regions, home_regions);
    if allowed.len() < gateway.regions.len() {
        gateway.home_demand.lock().record(&head.host, &allowed);
    }
    let key = ReturnKey::new(organisation.as_ref(), &service, &work);
    Ok(AdmittedRequest {
        has_returned: gateway.redeem_promise(now(), key),
        id: head.id,
        allowed,
        priority: organisation_config
            .as_deref()
            .and_then(|config| config.priority)
            .unwrap_or(route.priority),
        organisation,
        max_attempts: route.max_attempts,
        route,
        service,
        configuration,
        method: parts.method.clone(),
        path: path.to_owned(),
        headers: head.headers,
        body,
        work,
        last_event: head.last_event,
        arrived_at,
        deadline: arrived_at + time_limit,
        forwarded: false,
    })
}

/// Refuses a request with more than one body length, since proxies may disagree on which counts.
fn check_framing(headers: &HeaderMap) -> Result<(), Refusal> {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    if lengths > 1 || (chunked && lengths > 0) {
        return Err(Refusal::not_run(
            RefusalCode::BadRequest,
            "the length of the body is stated more than once",
        ));
    }
    Ok(())
}

/// Returns the organisation of an API key; `None` if the route needs no key.
fn authenticate(
    configuration: &Configuration,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<OrganisationId>, Refusal> {
    if !configuration.requires_organisation(route) {
        return Ok(None);
    }
    let organisation = key.and_then(|key| configuration.keys.get(key));
    organisation.cloned().map(Some).ok_or_else(|| {
        Refusal::not_run(
            RefusalCode::KeyRejected,
            "the key is missing, unknown or withdrawn",
        )
    })
}

/// Charges a request to its organisation's rate: first to the share of this instance, then to the
/// token pools of the regions.
///
/// If no pool can be reached, a request that is larger than the share may overdraw it.
async fn charge<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    organisation: Option<&OrganisationId>,
    organisation_config: Option<&OrganisationConfig>,
    route: &Route,
    work: Option<&Work>,
) -> Result<(), Refusal> {
    let (Some(id), Some(organisation_config)) = (organisation, organisation_config) else {
        return Ok(());
    };
    let tokens = charged_tokens(organisation_config, work);
    let admitted = gateway.limits.lock().admit(now(), id, tokens);
    let Err(refusal) = admitted else {
        return Ok(());
    };
    let (pools, retry_after) =
        match limit_loans::borrow(gateway, id, tokens, route.target_latency).await {
            LoanOutcome::Granted => return Ok(()),
            LoanOutcome::Refused(after) => ("too low", after.min(refusal.retry_after)),
            LoanOutcome::Unreachable => {
                match gateway.limits.lock().admit_without_pool(now(), id, tokens) {
                    Ok(()) => return Ok(()),
                    Err(share_refusal) => ("unresponsive", share_refusal.retry_after),
                }
            }
        };
    let message = format!(
        "the organisation has used up its rate and burst: {tokens} tokens asked for, {:.3} of the \
         split rate for this instance, {} instances, pools {pools}",
        refusal.share, refusal.instances
    );
    Err(Refusal::not_run(RefusalCode::LimitExceeded, &message).with_retry_after(retry_after))
}

/// Returns the tokens that a request is charged; the organisation sets the amount for requests
/// that declare no tokens.
fn charged_tokens(organisation_config: &OrganisationConfig, work: Option<&Work>) -> u64 {
    work.map_or(organisation_config.default_request_tokens, |work| {
        work.prompt_tokens + work.output_tokens
    })
}

fn body_read_refusal(error: &ReadError) -> Refusal {
    let code = match error {
        ReadError::Interrupted(_) => RefusalCode::BadRequest,
        ReadError::MemoryExhausted => RefusalCode::NoCapacity,
        ReadError::Timeout => RefusalCode::BodyTimeout,
        ReadError::TooLarge { .. } => RefusalCode::BodyTooLarge,
    };
    let refusal = Refusal::not_run(code, &error.to_string());
    match code {
        RefusalCode::NoCapacity => refusal.with_retry_after(MEMORY_RETRY_AFTER),
        _ => refusal,
    }
}

/// Runs an admitted request and builds the response to the caller.
async fn run<C: ControlPlane, H: HeaderMapping>(
    gateway: &Arc<Gateway<C, H>>,
    request: AdmittedRequest,
    running: RunningRequestGuard,
) -> Response<Body> {
    let mut exchange = Exchange::new(gateway.clone(), request);
    let started = exchange.start().await;
    let arrived_at = exchange.request().arrived_at;
    gateway.metrics.observe_first_part(now().since(arrived_at));
    match started {
        Ok(ResponseStart::Complete(response)) => buffered_response(response),
        Ok(ResponseStart::Stream {
            status,
            headers,
            first,
        }) => stream_response(exchange, status, headers, first, running),
        Err(refusal) => {
            if let Some(response) = exchange.take_error_response() {
                exchange.finish("error-answer");
                return buffered_response(response);
            }
            exchange.finish(refusal.code.as_str());
            if exchange.execution() == Execution::NotRun {
                refund(gateway, exchange.request());
            }
            refusal_response_with_retry(gateway, &refusal, &exchange.request().id)
        }
    }
}

/// Returns the charged tokens of a request that was not run.
fn refund<C, H>(gateway: &Gateway<C, H>, request: &AdmittedRequest) {
    let Some(id) = &request.organisation else {
        return;
    };
    let Some(organisation_config) = request.configuration.organisations.get(id) else {
        return;
    };
    let declared = request.work != Work::default();
    let tokens = charged_tokens(organisation_config, declared.then_some(&request.work));
    gateway.limits.lock().refund(id, tokens);
}

fn buffered_response(response: BufferedResponse) -> Response<Body> {
    let body = Full::new(response.body).map_err(|never| match never {});
    let mut res = Response::new(Body::new(body));
    *res.status_mut() = response.status;
    *res.headers_mut() = response.headers;
    res
}

fn stream_response<C: ControlPlane, H: HeaderMapping>(
    exchange: Exchange<C, H>,
    status: StatusCode,
    headers: HeaderMap,
    first: Bytes,
    running: RunningRequestGuard,
) -> Response<Body> {
    let events = stream::unfold(
        (
            exchange,
            Some(first).filter(|first| !first.is_empty()),
            running,
        ),
        |(mut exchange, first, running)| async move {
            let data = match first {
                Some(first) => Ok(first),
                None => exchange.next_events().await?,
            };
            if data.is_err() {
                // hyper discards what it has not written yet when a body fails. It writes while
                // the body is pending.
                tokio::task::yield_now().await;
            }
            Some((
                data.map(hyper::body::Frame::data),
                (exchange, None, running),
            ))
        },
    );
    let mut res = Response::new(Body::new(StreamBody::new(events)));
    *res.status_mut() = status;
    *res.headers_mut() = headers;
    res
}

fn refusal_response_with_retry<C, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    refusal: &Refusal,
    id: &RequestId,
) -> Response<Body> {
    let mut res = refusal_response(refusal, id);
    if let Some(after) = refusal.retry_after {
        let value = gateway.header_mapping.retry_after(after);
        res.headers_mut().insert(header::RETRY_AFTER, value);
    }
    res
}

/// Refuses a request that was not admitted, and logs the refusal.
fn refuse<C, H: HeaderMapping>(
    gateway: &Gateway<C, H>,
    arrived_at: MonotonicTime,
    id: &RequestId,
    path: &str,
    refusal: &Refusal,
) -> Response<Body> {
    let time = now();
    gateway
        .metrics
        .count_request(refusal.code.as_str(), time.since(arrived_at));
    if let Some(suppressed) = gateway.log.request_log_limit.admit_line(time) {
        let operators = gateway.operators.lock();
        let (version, age) = (operators.version(), operators.age(time));
        drop(operators);
        slog::info!(gateway.log.requests, "request refused";
            "id" => id.as_str(),
            "outcome" => refusal.code.as_str(),
            "execution" => refusal.execution.as_str(),
            "reason" => &refusal.message,
            "path" => path,
            "configuration" => version,
            "configuration_age_ms" => age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
            "retry_after_ms" => refusal.retry_after.map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
            "suppressed" => suppressed,
        );
    }
    refusal_response_with_retry(gateway, refusal, id)
}
