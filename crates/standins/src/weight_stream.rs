//! Streamed object of the weight store.

use std::{io, sync::Arc, time::Duration};

use crate::{pause::pause_until, platform_core::PlatformCore};
use bytes::Bytes;
use futures_util::{Stream, stream};
use hyper::body::Frame;

const CHUNK_BYTES: usize = 64 * 1024;

/// Returns a stream of one object, at the throughput that all readers of the store share.
pub(crate) fn weight_stream(
    core: Arc<PlatformCore>,
) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send {
    let chunk = Bytes::from(vec![0x5a; CHUNK_BYTES]);
    let remaining = core.settings.weight_bytes;
    stream::unfold((core, remaining), move |(core, remaining)| {
        let data = chunk.slice(..remaining.min(CHUNK_BYTES));
        async move {
            if data.is_empty() {
                return None;
            }
            let seconds = data.len() as f64 / core.settings.weight_bytes_per_s.max(1) as f64;
            let ready_at = core.with_state(|state, now| {
                state.counters.weight_bytes += data.len() as u64;
                state.weights_free_at =
                    state.weights_free_at.max(now) + Duration::from_secs_f64(seconds);
                state.weights_free_at
            });
            pause_until(ready_at).await;
            let remaining = remaining - data.len();
            Some((Ok(Frame::data(data)), (core, remaining)))
        }
    })
}
