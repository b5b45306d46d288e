//! Handler of notices, loan requests and forwarded requests from other instances.

use std::sync::Arc;

use hawthornquay_decisions::{
    Execution, InstanceId, MonotonicTime, OrganisationId, Refusal, RefusalCode, RequestId,
};
use hawthornquay_instances::{
    BundleContent, BundleFetch, CapacityGrant, CapacityRequest, Forward, ForwardEnd, ForwardHead,
    ForwardRefused, ForwardSink, LinkError, LoanGrant, LoanRequest, Notice, PeerService,
    PermitGrant, PermitRequest,
};
use hawthornquay_traffic::{PromptPart, Work};
use http::{HeaderMap, Method, StatusCode};

use crate::{
    AdmittedRequest, BufferedResponse, ControlPlane, Exchange, Gateway, HeaderMapping,
    ResponseStart, allowed_regions,
    gateway::now,
    limit_loans,
    peer_attempt::{read_headers, wire_headers},
    status_notices, view_notices,
};

/// Handler of messages from other instances.
pub(crate) struct PeerHandler<C, H>(pub(crate) Arc<Gateway<C, H>>);

impl<C: ControlPlane, H: HeaderMapping> PeerService for PeerHandler<C, H> {
    fn handle_refused_link(&self, error: &LinkError) {
        slog::warn!(self.0.log.links, "link refused"; "error" => %error);
    }

    async fn handle_notice(&self, from: &InstanceId, notice: Notice) {
        match notice {
            Notice::Status(status) => status_notices::apply_status(&self.0, from, status).await,
            Notice::ViewRequest(request) => {
                view_notices::respond_to_view_request(&self.0, from, &request).await;
            }
            Notice::ViewUpdate(update) => view_notices::apply_update(&self.0, from, &update).await,
            // Only `hawthornquayd` instances, which distribute bundles, send these notices.
            Notice::Digest(_) | Notice::BundleDelta(_) => {}
        }
    }

    async fn fetch_bundle(&self, _: &InstanceId, _: BundleFetch) -> BundleContent {
        BundleContent::default()
    }

    async fn lend(&self, _: &InstanceId, request: LoanRequest) -> LoanGrant {
        limit_loans::lend(&self.0, &request)
    }

    async fn grant_capacity(&self, _: &InstanceId, _: CapacityRequest) -> CapacityGrant {
        CapacityGrant::default()
    }

    async fn grant_permit(&self, from: &InstanceId, request: PermitRequest) -> PermitGrant {
        self.0.answer_permit_request(from, &request)
    }

    async fn forward(&self, from: &InstanceId, request: Forward, sink: ForwardSink) {
        let admitted = match admit_forwarded(&self.0, now(), request) {
            Ok(admitted) => admitted,
            Err(refusal) => {
                slog::warn!(self.0.log.requests, "forwarded request refused";
                    "from" => %from, "outcome" => refusal.code.as_str(),
                    "reason" => &refusal.message);
                return refuse(sink, &refusal).await;
            }
        };
        let cancelled = sink.cancelled();
        let exchange = Exchange::new(self.0.clone(), admitted);
        // Dropping the exchange cancels the request at the backend server.
        let _ = cancelled.run_until_cancelled(relay(exchange, sink)).await;
    }
}

/// Decodes a forwarded request and checks it against the configuration of this instance.
fn admit_forwarded<C, H>(
    gateway: &Gateway<C, H>,
    arrived_at: MonotonicTime,
    request: Forward,
) -> Result<AdmittedRequest, Refusal> {
    let refusal = |code, message: &str| Refusal::not_run(code, message);
    if request.hop_count != 1 {
        return Err(refusal(
            RefusalCode::HopRefused,
            "the request was forwarded before",
        ));
    }
    if gateway.is_leaving() {
        return Err(refusal(
            RefusalCode::ShuttingDown,
            "the instance is stopping",
        ));
    }
    let configuration = gateway.operators.lock().configuration().cloned();
    let Some(configuration) = configuration else {
        return Err(refusal(RefusalCode::NotReady, "no configuration read yet"));
    };
    let Some(route) = configuration.routes.get(&request.route).cloned() else {
        return Err(refusal(RefusalCode::StaleBundle, "the route is not known"));
    };
    let organisation =
        (!request.organisation.is_empty()).then(|| OrganisationId::new(&request.organisation));
    let organisation_config = organisation
        .as_ref()
        .and_then(|id| configuration.organisations.get(id));
    if organisation.is_some() && organisation_config.is_none() {
        return Err(refusal(
            RefusalCode::StaleBundle,
            "the organisation is not known",
        ));
    }
    if organisation.is_none() && configuration.requires_organisation(&route) {
        return Err(refusal(
            RefusalCode::StaleBundle,
            "the route needs an organisation",
        ));
    }
    let home_regions = organisation_config.map_or(&[][..], |config| &config.home_regions);
    let allowed = allowed_regions(&gateway.regions, &route.home_regions, home_regions);
    if !allowed.contains(&gateway.settings.region) {
        return Err(refusal(
            RefusalCode::ResidencyRefused,
            "the request may not run in this region",
        ));
    }
    let Ok(method) = request.method.parse::<Method>() else {
        return Err(refusal(RefusalCode::BadRequest, "the method is malformed"));
    };
    let priority = organisation_config
        .and_then(|config| config.priority)
        .unwrap_or(route.priority);
    let work = Work {
        prompt_tokens: request.prompt_tokens,
        output_tokens: request.cost,
        parts: request
            .prompt_parts
            .iter()
            .map(|part| PromptPart {
                id: part.id,
                tokens: part.tokens,
            })
            .collect(),
    };
    gateway.check_quarantine(&work)?;
    let Some(charge) = gateway.memory.try_charge(request.body.len()) else {
        return Err(refusal(
            RefusalCode::NoCapacity,
            "the memory for request bodies is used up",
        ));
    };
    Ok(AdmittedRequest {
        id: RequestId::new(&request.request_id),
        organisation,
        service: request.service.as_str().into(),
        allowed,
        method,
        path: request.path,
        headers: read_headers(&request.headers),
        body: charge.hold_with(request.body),
        work,
        max_attempts: match request.attempts_left {
            0 => route.max_attempts,
            left => route.max_attempts.min(left),
        },
        priority,
        last_event: (request.last_event > 0).then_some(request.last_event),
        arrived_at,
        deadline: arrived_at + std::time::Duration::from_millis(request.deadline_ms),
        forwarded: true,
        has_returned: false,
        route,
        configuration,
    })
}

/// Runs a forwarded request and sends its response.
///
/// If `sink` is dropped before the end of the response, the link reports that to the sender.
async fn relay<C: ControlPlane, H: HeaderMapping>(mut exchange: Exchange<C, H>, sink: ForwardSink) {
    let started = exchange.start().await;
    let sent = match started {
        Ok(ResponseStart::Complete(response)) => send_complete(sink, response).await,
        Ok(ResponseStart::Stream {
            status,
            headers,
            first,
        }) => send_stream(exchange, sink, status, &headers, first).await,
        Err(refusal) => {
            if let Some(response) = exchange.take_error_response() {
                exchange.finish("error-answer");
                send_complete(sink, response).await
            } else {
                exchange.finish(refusal.code.as_str());
                refuse(sink, &refusal).await;
                Ok(())
            }
        }
    };
    // An error means that the link has closed, which the sender detects by itself.
    let _ = sent;
}

async fn send_complete(mut sink: ForwardSink, response: BufferedResponse) -> Result<(), LinkError> {
    sink.head(wire_head(response.status, &response.headers))
        .await?;
    sink.data(response.body).await?;
    sink.end(ForwardEnd::default()).await
}

async fn send_stream<C: ControlPlane, H: HeaderMapping>(
    mut exchange: Exchange<C, H>,
    mut sink: ForwardSink,
    status: StatusCode,
    headers: &HeaderMap,
    first: bytes::Bytes,
) -> Result<(), LinkError> {
    sink.head(wire_head(status, headers)).await?;
    sink.data(first).await?;
    while let Some(part) = exchange.next_events().await {
        let Ok(data) = part else {
            let refused = ForwardRefused::new(
                RefusalCode::BackendFailed.as_str(),
                "stream was truncated",
                Execution::Unknown,
            );
            return sink.refuse(refused).await;
        };
        sink.data(data).await?;
    }
    sink.end(ForwardEnd::default()).await
}

fn wire_head(status: StatusCode, headers: &HeaderMap) -> ForwardHead {
    ForwardHead {
        status: status.as_u16().into(),
        headers: wire_headers(headers),
        backend: String::new(),
    }
}

async fn refuse(sink: ForwardSink, refusal: &Refusal) {
    let mut refused =
        ForwardRefused::new(refusal.code.as_str(), &refusal.message, refusal.execution);
    refused.retry_after_ms = refusal.retry_after.map_or(0, |after| {
        u64::try_from(after.as_millis()).unwrap_or(u64::MAX)
    });
    // An error means that the link has closed, which the sender detects by itself.
    let _ = sink.refuse(refused).await;
}
