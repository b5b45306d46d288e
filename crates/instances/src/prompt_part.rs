//! Part of a prompt.

/// Part of a prompt that several requests may share.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PromptPart {
    /// Identifier of the content.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Length in tokens.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}
