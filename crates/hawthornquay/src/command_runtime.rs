//! Runtime of commands that make calls.

use tokio::runtime::Builder;

use crate::CommandError;

/// Runs the calls of a command on this thread.
pub(crate) fn block_on<F: Future>(calls: F) -> Result<F::Output, CommandError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::RuntimeStart)?;
    Ok(runtime.block_on(calls))
}
