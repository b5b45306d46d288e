//! Bounded reading of a body.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::{Body, ReadError};

/// Longest time for which the rest of a body that is too large is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of such a rest that are read at most.
const DISCARD_BYTES: usize = 32 << 20;

/// Reads a whole body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Returns an error if the body is too large, too slow or breaks off.
pub async fn read_body(body: Body, limit: usize, timeout: Duration) -> Result<Bytes, ReadError> {
    tokio::time::timeout(timeout, read_all(body, limit))
        .await
        .map_err(|_| ReadError::Timeout)?
}

/// Reads a whole body as [`read_body`] does, and counts its bytes in `memory` until the last copy
/// of the returned bytes is dropped.
///
/// # Errors
///
/// Returns an error if `memory` has too few permits left, or the body is too large, too slow or
/// breaks off.
pub async fn read_body_with_budget(
    body: Body,
    limit: usize,
    timeout: Duration,
    memory: &'static Semaphore,
) -> Result<Bytes, ReadError> {
    let mut held = memory
        .try_acquire_many(0)
        .map_err(|_| ReadError::MemoryExhausted)?;
    let data = tokio::time::timeout(timeout, read_counted(body, limit, memory, &mut held))
        .await
        .map_err(|_| ReadError::Timeout)??;
    Ok(Bytes::from_owner(CountedBody { data, _held: held }))
}

/// Body with the permits for its memory.
struct CountedBody {
    data: BytesMut,
    _held: SemaphorePermit<'static>,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

async fn read_all(body: Body, limit: usize) -> Result<Bytes, ReadError> {
    let buf = read_parts(body, limit, |_| Ok(())).await?;
    Ok(buf.freeze())
}

async fn read_counted(
    body: Body,
    limit: usize,
    memory: &'static Semaphore,
    held: &mut SemaphorePermit<'static>,
) -> Result<BytesMut, ReadError> {
    let count = |len| {
        let permits = u32::try_from(len).map_err(|_| ReadError::MemoryExhausted)?;
        let part = memory.try_acquire_many(permits);
        held.merge(part.map_err(|_| ReadError::MemoryExhausted)?);
        Ok(())
    };
    read_parts(body, limit, count).await
}

async fn read_parts(
    mut body: Body,
    limit: usize,
    mut count: impl FnMut(usize) -> Result<(), ReadError>,
) -> Result<BytesMut, ReadError> {
    // A stated length over the limit is refused before any of the body is let in.
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > limit {
        tokio::spawn(discard(body));
        return Err(ReadError::TooLarge { limit });
    }
    // Growing by doubling would take up to twice the bytes that are counted.
    let mut buf = BytesMut::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(ReadError::Interrupted)?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            tokio::spawn(discard(body));
            return Err(ReadError::TooLarge { limit });
        }
        count(data.len())?;
        buf.extend_from_slice(&data);
    }
    Ok(buf)
}

/// Reads on for a while without keeping anything.
///
/// A connection that is closed while the sender still writes is reset, and the sender may then
/// never see the refusal.
async fn discard(mut body: Body) {
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, async {
        let mut left = DISCARD_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            if len > left {
                return;
            }
            left -= len;
        }
    })
    .await;
}
