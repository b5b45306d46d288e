//! Check of a request's tokens against the burst.

use hawthornquay_decisions::{Organisation, Refusal, RefusalCode};

/// Refuses a request that needs more tokens than the organisation's burst.
///
/// No time to wait can admit it, so the refusal has no `Retry-After`, and nothing is borrowed for
/// it from other instances.
///
/// # Errors
///
/// Returns the refusal; `remedy` says what lowers the tokens needed.
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
