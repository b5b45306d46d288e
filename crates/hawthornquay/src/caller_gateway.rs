//! Handler of callers' requests.

use std::{collections::BTreeSet, sync::Arc};

use futures_util::future::{BoxFuture, FutureExt};
use hawthornquay_callers::{
    CallerService, InstanceListEntry, InstanceListResponse, IssuedKeyResponse, ModelListResponse,
    RequestHead, RequestOutcome,
};
use hawthornquay_decisions::{
    BackendKind, CALLER_LIST_TTL, Execution, ISSUED_KEY_LIFETIME, Refusal, RefusalCode, RequestId,
};
use hawthornquay_http::Body;
use http::Response;

use crate::{
    Admission, Decision, Node, clock, model_request::complete, service_request::call_service,
    serving_instance::ServingInstance,
};

/// Serves the requests of callers, using the state of the instance.
pub struct CallerGateway(pub Arc<Node>);

/// Response to a caller, or the refusal of its request.
type Answer = Result<Response<Body>, Refusal>;

impl CallerGateway {
    /// Records a refusal in the log entry and the metrics; returns `answer` unchanged.
    fn record_refusal(&self, id: &RequestId, answer: Answer) -> Answer {
        let Err(refusal) = &answer else { return answer };
        let node = &self.0;
        node.requests
            .record(id, Decision::Refused { code: refusal.code });
        node.requests.set_execution(id, refusal.execution);
        node.requests.close(id, refusal.code.http_status());
        let within_limits = matches!(
            refusal.code,
            RefusalCode::NoCapacity
                | RefusalCode::ClaimStoreUnreachable
                | RefusalCode::NotReady
                | RefusalCode::PeerUnreachable
        );
        node.metrics.count_refusal(refusal.code, within_limits);
        answer
    }
}

impl CallerService for CallerGateway {
    fn next_request_id(&self) -> RequestId {
        self.0.next_request_id()
    }

    fn complete(&self, head: RequestHead, body: Body) -> BoxFuture<'_, Answer> {
        async move {
            let id = head.id.clone();
            let answer = complete(&self.0, head, body).await;
            self.record_refusal(&id, answer)
        }
        .boxed()
    }

    fn call_service(&self, head: RequestHead, body: Body) -> BoxFuture<'_, Answer> {
        async move {
            let id = head.id.clone();
            let answer = call_service(&self.0, head, body).await;
            self.record_refusal(&id, answer)
        }
        .boxed()
    }

    fn models(&self, head: &RequestHead) -> Result<ModelListResponse, Refusal> {
        let admission = Admission::by_key(&self.0, &head.id, head.key.as_ref())?;
        let mut models = BTreeSet::new();
        for server in admission.bundle.bundle().backends.values() {
            if let BackendKind::ModelEngine { models: served } = &server.kind {
                models.extend(served.iter().map(ToString::to_string));
            }
        }
        Ok(ModelListResponse::new(models))
    }

    fn instances(&self, head: &RequestHead) -> Result<InstanceListResponse, Refusal> {
        let bundle = self.0.bundle.required()?;
        let admission = match &head.key {
            Some(_) => Admission::by_key(&self.0, &head.id, head.key.as_ref()),
            None => return Ok(caller_list_answer(&self.0, None)),
        };
        drop(bundle);
        match admission {
            // A caller in a region that its residency excludes still gets the list of allowed
            // instances.
            Err(refusal) if refusal.code != RefusalCode::ResidencyRefused => Err(refusal),
            _ => Ok(caller_list_answer(&self.0, head.key.as_ref())),
        }
    }

    fn outcome(&self, head: &RequestHead, id: &RequestId) -> Result<RequestOutcome, Refusal> {
        let admission = Admission::by_key(&self.0, &head.id, head.key.as_ref())?;
        self.0
            .requests
            .outcome(id, Some(&admission.organisation.id))
            .ok_or_else(|| unknown_request(&self.0, id))
    }

    fn issue_idempotency_key(&self, head: &RequestHead) -> Result<IssuedKeyResponse, Refusal> {
        let _drain = self.0.drain.enter()?;
        let admission = Admission::by_key(&self.0, &head.id, head.key.as_ref())?;
        let mut keys = self.0.issued_keys.lock();
        let key = keys.issue(&admission.organisation.id, rand::random(), clock::now())?;
        Ok(IssuedKeyResponse {
            idempotency_key: key.to_string(),
            instance: self.0.id.name.to_string(),
            lifetime_s: ISSUED_KEY_LIFETIME.as_secs(),
        })
    }
}

/// Returns the list of the instances that the organisation of `key` may use.
///
/// Without a known key, the list is not restricted by residency.
pub(crate) fn caller_list_answer(
    node: &Node,
    key: Option<&hawthornquay_callers::CallerKey>,
) -> InstanceListResponse {
    let instances = node
        .caller_list_for(key)
        .into_iter()
        .map(|entry| InstanceListEntry {
            name: entry.name,
            region: entry.region,
            domain: entry.domain,
            address: entry.address,
        })
        .collect();
    let ttl_ms = u64::try_from(CALLER_LIST_TTL.as_millis()).unwrap_or(u64::MAX);
    InstanceListResponse { ttl_ms, instances }
}

fn unknown_request(node: &Node, id: &RequestId) -> Refusal {
    let explanation = match node.serving_instance_of(id) {
        ServingInstance::Running(address) => format!("ask {address}, which served it"),
        ServingInstance::Ended => "the instance that served it has ended".to_owned(),
        ServingInstance::Unlisted => {
            "the instance that served it is not in this instance's list of instances; \
             ask again later"
                .to_owned()
        }
    };
    Refusal {
        code: RefusalCode::RequestUnknown,
        execution: Execution::Unknown,
        message: format!("this instance has no record of request {id}: {explanation}"),
        retry_after: None,
    }
}
