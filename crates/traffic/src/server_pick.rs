//! Backend server chosen for a request.

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::BackendName;

use crate::StreamPrediction;

/// Backend server chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPick {
    /// Identifier of the server.
    pub id: BackendName,
    /// Address of the server.
    pub address: SocketAddr,
    /// Predicted time to the first byte.
    pub expected_latency: Duration,
    /// Predicted time to the first byte without the correction factor of the server's latency
    /// model, in milliseconds.
    pub uncorrected_ms: f64,
    /// Predicted course of the stream after its first event, if the response is a stream whose length
    /// and rate can be predicted.
    pub stream: Option<StreamPrediction>,
    /// Whether more urgent streams with a much shorter latency target use the service.
    pub gives_way: bool,
    /// Prompt tokens that the server has to prefill until the first byte, those of earlier requests
    /// included.
    pub prefill_tokens: u64,
    /// Pace of the server on which the prediction is based; `None` if the service's servers do not
    /// state it.
    pub pace: Option<f64>,
    /// Whether the server is to be asked for its pace first, because the response is a long stream and
    /// the last statement of the server is too old or missing.
    pub is_pace_unknown: bool,
    /// Estimated number of requests at the server.
    pub requests: u32,
    /// Whether the server counts as cold, that is, warming up.
    pub is_cold: bool,
    /// Whether the server takes a limited number of requests, so that the request needs a permit.
    pub is_limited: bool,
    /// Prompt tokens that the server has to prefill because they are not in its cache.
    pub uncached_tokens: u64,
    /// Address of a server that probably has the shared prefix in its cache, to copy it from.
    pub copy_from: Option<SocketAddr>,
}
