//! Request of the load generator.

use rand::Rng;

use crate::{ChatMessage, ChatRequest, LoadPlan};

const BYTES_PER_TOKEN: usize = 4;

/// Chat request with a unique nonce.
#[derive(Clone, Debug)]
pub(crate) struct LoadRequest {
    pub(crate) nonce: String,
    /// Index of the organisation in the plan.
    pub(crate) organisation: Option<usize>,
    pub(crate) key: Option<String>,
    pub(crate) is_batch: bool,
    pub(crate) chat: ChatRequest,
}

impl LoadRequest {
    pub(crate) fn random(plan: &LoadPlan, rng: &mut impl Rng) -> Self {
        let organisation = sample_organisation(plan, rng);
        let nonce = format!("{:016x}", rng.random::<u64>());
        let suffix = format!(" nonce={nonce}");
        let prompt_bytes = plan.prompt_tokens.sample(rng) as usize * BYTES_PER_TOKEN;
        // The filler contains the organisation, so that organisations share no cached prefixes.
        let filler = format!(
            "ledger of organisation {} ",
            organisation.unwrap_or_default()
        );
        let filler = filler
            .chars()
            .cycle()
            .take(prompt_bytes.saturating_sub(suffix.len()));
        let message = ChatMessage {
            role: "user".to_owned(),
            content: filler.chain(suffix.chars()).collect(),
        };
        Self {
            nonce,
            organisation,
            key: organisation.map(|index| plan.organisations[index].key.clone()),
            is_batch: rng.random_bool(plan.batch_share),
            chat: ChatRequest {
                model: plan.model.clone(),
                messages: vec![message],
                max_tokens: plan.output_tokens.sample(rng),
                stream: rng.random_bool(plan.streamed_share),
            },
        }
    }
}

fn sample_organisation(plan: &LoadPlan, rng: &mut impl Rng) -> Option<usize> {
    let total: u32 = plan.organisations.iter().map(|entry| entry.weight).sum();
    let mut remaining = rng.random_range(0..total.max(1));
    plan.organisations.iter().position(|entry| {
        let found = remaining < entry.weight;
        remaining = remaining.saturating_sub(entry.weight);
        found
    })
}
