//! Notice that the sender of a forward no longer wants the answer.

/// Notice that the sender of a forward no longer wants the answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ForwardCancel {}
