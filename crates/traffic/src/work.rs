//! Token counts and prompt parts of a request.

use hawthornquay_decisions::PartId;

/// Part of a prompt that several requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifier of the part's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Work that a request causes at a model engine, as declared by its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the response in tokens.
    pub output_tokens: u64,
    /// Parts of the prompt in order; the last part is unique to this request.
    pub parts: Vec<PromptPart>,
}

impl Work {
    /// Returns a hash of the shared prefix, which is all parts but the last.
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

    /// Returns the identifiers of the parts of the shared prefix.
    pub fn shared_part_ids(&self) -> Vec<PartId> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared]
            .iter()
            .map(|part| PartId(part.id))
            .collect()
    }

    /// Returns the length of the shared prefix in tokens.
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.parts.len().saturating_sub(1);
        self.parts[..shared]
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum()
    }
}
