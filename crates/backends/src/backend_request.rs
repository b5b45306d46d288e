//! Request to a backend server.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hawthornquay_decisions::{Priority, RequestId};
use http::{HeaderMap, HeaderName, Method, Request, header};
use http_body_util::Full;

use crate::BackendError;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const PRIORITY: HeaderName = HeaderName::from_static("x-priority");

/// Caller's headers that are passed on to a backend server.
///
/// This is an allow list: a deny list would pass on any new header that carries the caller's key.
const ALLOWED_HEADERS: [HeaderName; 4] = [
    header::ACCEPT,
    header::ACCEPT_LANGUAGE,
    header::CONTENT_ENCODING,
    header::CONTENT_TYPE,
];

/// Request to a backend server; does not contain the caller's key.
#[derive(Clone, Debug)]
pub struct BackendRequest {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    request_id: Option<RequestId>,
    priority: Option<Priority>,
    pub(crate) head_timeout: Option<Duration>,
}

impl BackendRequest {
    /// Creates a request for `path`, which includes the query, without headers and body.
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            request_id: None,
            priority: None,
            head_timeout: None,
        }
    }

    /// Sets the body.
    pub fn body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    /// Adds the headers in `headers` that are on the allow list and ignores all others.
    pub fn caller_headers(mut self, headers: &HeaderMap) -> Self {
        for name in &ALLOWED_HEADERS {
            for value in headers.get_all(name) {
                self.headers.append(name.clone(), value.clone());
            }
        }
        self
    }

    /// Replaces the headers by `headers`, including `Host`, without applying the allow list.
    ///
    /// The calling code has to remove the caller's key and hop-by-hop headers first.
    pub fn headers(mut self, headers: HeaderMap) -> Self {
        self.headers = headers;
        self
    }

    /// Sets `X-Request-Id`.
    pub fn request_id(mut self, id: &RequestId) -> Self {
        self.request_id = Some(id.clone());
        self
    }

    /// Sets `X-Priority`.
    pub fn priority(mut self, priority: Priority) -> Self {
        self.priority = Some(priority);
        self
    }

    /// Overrides the client's `head_timeout` for this request, for example with the time left until
    /// the caller's deadline.
    pub fn head_timeout(mut self, timeout: Duration) -> Self {
        self.head_timeout = Some(timeout);
        self
    }

    pub(crate) fn into_http(
        self,
        address: SocketAddr,
    ) -> Result<Request<Full<Bytes>>, BackendError> {
        let mut req = Request::builder().method(self.method).uri(self.path);
        if !self.headers.contains_key(header::HOST) {
            req = req.header(header::HOST, address.to_string());
        }
        if let Some(id) = &self.request_id {
            req = req.header(REQUEST_ID, id.as_str());
        }
        if let Some(priority) = self.priority {
            let priority = match priority {
                Priority::Interactive => "interactive",
                Priority::Batch => "batch",
            };
            req = req.header(PRIORITY, priority);
        }
        let mut req = req.body(Full::new(self.body))?;
        req.headers_mut().extend(self.headers);
        Ok(req)
    }
}
