//! Runtime for commands that make network calls.

use tokio::runtime::Builder;

use crate::CommandError;

/// Runs a future to completion on the current thread.
///
/// # Errors
///
/// Returns an error if the runtime cannot be started.
pub(crate) fn block_on<F: Future>(calls: F) -> Result<F::Output, CommandError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::RuntimeStart)?;
    Ok(runtime.block_on(calls))
}
