//! Check that a request's tokens fit into the organisation's burst.

use hawthornquay_decisions::{Organisation, Refusal, RefusalCode};

/// Refuses a request that needs more tokens than the organisation's burst.
///
/// Such a request can never be admitted, however long the caller waits. The refusal therefore has
/// no `Retry-After`, and no loan is requested from other instances.
///
/// # Errors
///
/// Returns a refusal if `tokens` exceeds the burst; `remedy` tells the caller how to lower them.
pub(crate) fn check_burst(
    organisation: &Organisation,
    tokens: u64,
    remedy: &str,
) -> Result<(), Refusal> {
    let burst = organisation.burst;
    if tokens <= burst {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalCode::LimitExceeded,
        &format!(
            "the request needs {tokens} tokens, but the organisation's burst is {burst}; \
             {remedy} or raise the burst"
        ),
    ))
}
