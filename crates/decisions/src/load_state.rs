//! Availability of a backend server or domain.

use crate::LoadEstimate;

/// State of a server or domain in the load view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadState {
    /// It accepts requests and has a recent or assumed report.
    Available(LoadEstimate),
    /// It failed recently; the backoff has not passed, or a request is probing it.
    BackingOff,
    /// It is shutting down and accepts no new requests.
    Leaving,
    /// It has no recent report.
    Unknown,
}
