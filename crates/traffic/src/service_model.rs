//! What is known of the servers of a service together.

use crate::{PrefillRate, ServiceStreams, SlotTime, UrgentStreams};

/// Rates of the servers of a service, learned from the responses to this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceModel {
    /// Mean time in a slot at the engines.
    pub(crate) slot_time: SlotTime,
    /// Prefill rate of the engines.
    pub(crate) prefill_rate: PrefillRate,
    /// Streams of the engines.
    pub(crate) streams: ServiceStreams,
    /// Streams of each urgency.
    pub(crate) urgent_streams: UrgentStreams,
    /// Whether a server has stated its pace. Until then, the prefill rate is not learned, and streams
    /// do not count in the choice of a server.
    pub(crate) is_paced: bool,
}
