//! Cancellation of a forwarded request.

/// Cancellation of a forwarded request by its sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardCancel {}
