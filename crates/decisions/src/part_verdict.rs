//! Decision on a request by the parts of its prompt.

use std::time::Duration;

use crate::PartId;

/// Decision on a request by the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// No part is quarantined.
    Accepted,
    /// Parts are quarantined, and the request would tell each of them from another one that explains the
    /// same crashes. One request at a time is sent to one server.
    Trial {
        /// Quarantined part.
        part: PartId,
        /// Time until a request may be tried; zero if one may be now.
        possible_in: Duration,
    },
    /// A part is quarantined, and requests with it are refused.
    Refused {
        /// Quarantined part.
        part: PartId,
        /// Time until its quarantine ends.
        ends_in: Duration,
    },
}
