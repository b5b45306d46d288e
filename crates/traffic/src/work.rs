//! Work that a request asks for.

/// Part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifier of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Work that a request asks for, as far as its caller declares it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Largest length of the answer in tokens.
    pub output_tokens: u64,
    /// Parts of the prompt in their order; the last belongs to this request alone.
    pub parts: Vec<PromptPart>,
}

impl Work {
    /// Returns the hash of the longest run of parts that other requests share.
    ///
    /// Returns `None` if the prompt has no shared part.
    pub fn shared_prefix_hash(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(1)?;
        if shared == 0 {
            return None;
        }
        let ids: Vec<[u8; 8]> = self.parts[..shared]
            .iter()
            .map(|part| part.id.to_le_bytes())
            .collect();
        Some(crate::stable_hash(&ids))
    }

    /// Returns the length of the shared parts in tokens.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared]
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum()
    }
}
