//! Whether a server can take work.

use crate::LoadEstimate;

/// State of a server or domain as the load view sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadState {
    /// It takes work.
    Available(LoadEstimate),
    /// It failed a short while ago.
    BackingOff,
    /// It is about to stop.
    Leaving,
    /// No recent report exists.
    Unknown,
}
