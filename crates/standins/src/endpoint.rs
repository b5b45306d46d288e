//! Request handler of a stand-in.

use std::{panic::AssertUnwindSafe, sync::Arc, time::Duration};

use futures_util::FutureExt;
use gotham::{
    router::{
        Router,
        builder::{DefineSingleRoute, DrawRoutes, build_simple_router},
    },
    state::{FromState, State},
};
use hawthornquay_http::{Body, ReadError, read_body};
use http::{HeaderMap, Method, Response, StatusCode, Uri};

use crate::{StandinRequest, error_response::error_response};

const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles every request to one stand-in.
pub(crate) trait Endpoint: Send + Sync + 'static {
    /// Maximum size of a request body, in bytes.
    const MAX_BODY_BYTES: usize;

    /// Returns the response to `req`; the future is dropped when the client disconnects.
    fn handle(self: Arc<Self>, req: StandinRequest) -> impl Future<Output = Response<Body>> + Send;
}

/// Returns a router that passes every request to `endpoint`.
pub(crate) fn endpoint_router<E: Endpoint>(endpoint: &Arc<E>) -> Router {
    build_simple_router(|route| {
        for path in ["/", "/*"] {
            let endpoint = AssertUnwindSafe(Arc::clone(endpoint));
            let methods = vec![Method::GET, Method::PUT, Method::POST, Method::DELETE];
            route.request(methods, path).to_new_handler(move || {
                let endpoint = Arc::clone(&endpoint);
                Ok(move |state: State| handle(endpoint, state).map(Ok).boxed())
            });
        }
    })
}

async fn handle<E: Endpoint>(endpoint: Arc<E>, mut state: State) -> (State, Response<Body>) {
    let body = Body::take_from(&mut state);
    let res = match read_body(body, E::MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => {
            let req = StandinRequest::new(
                Method::borrow_from(&state).clone(),
                Uri::borrow_from(&state),
                HeaderMap::borrow_from(&state).clone(),
                body,
            );
            endpoint.handle(req).await
        }
        Err(err @ ReadError::TooLarge { .. }) => {
            error_response(StatusCode::PAYLOAD_TOO_LARGE, "too-large", &err.to_string())
        }
        Err(err) => error_response(StatusCode::BAD_REQUEST, "bad-body", &err.to_string()),
    };
    (state, res)
}
