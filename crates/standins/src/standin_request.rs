//! Request to a stand-in.

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;

/// Method, percent-decoded path, query, headers and complete body of a request.
pub(crate) struct StandinRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    query: String,
}

impl StandinRequest {
    pub(crate) fn new(method: Method, uri: &Uri, headers: HeaderMap, body: Bytes) -> Self {
        Self {
            method,
            path: percent_decode(uri.path()),
            headers,
            body,
            query: uri.query().unwrap_or_default().to_owned(),
        }
    }

    /// Returns the percent-decoded query parameter `name`.
    pub(crate) fn parameter(&self, name: &str) -> Option<String> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| percent_decode(value))
        })
    }

    /// Returns the query parameter `name` as a number; `None` if it is absent or not a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }

    /// Returns the header `name`; `None` if it is absent or not visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

fn percent_decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
