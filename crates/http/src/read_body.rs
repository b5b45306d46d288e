//! Reading of request bodies with limits on size, time and memory.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::{Body, ReadError};

/// Maximum time for which the rest of a body that is not needed is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes of such a body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Reads a complete body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Returns an error if the body is larger than `limit`, does not arrive within `timeout`, or the
/// connection fails.
pub async fn read_body(
    mut body: Body,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, ReadError> {
    let read = tokio::time::timeout(timeout, read_all(&mut body, limit))
        .await
        .unwrap_or(Err(ReadError::Timeout));
    if read.is_err() {
        discard_body(body);
    }
    read
}

/// Reads a complete body like [`read_body`] and charges its bytes to a memory budget.
///
/// `memory` holds one permit for each free byte of the budget. The permits are released when the
/// last clone or slice of the returned bytes is dropped.
///
/// # Errors
///
/// Returns [`ReadError::MemoryExhausted`] if `memory` has too few permits left, and otherwise the
/// errors of [`read_body`].
pub async fn read_body_with_budget(
    mut body: Body,
    limit: usize,
    timeout: Duration,
    memory: &'static Semaphore,
) -> Result<Bytes, ReadError> {
    let mut permits = memory
        .try_acquire_many(0)
        .map_err(|_| ReadError::MemoryExhausted)?;
    let reading = read_charged(&mut body, limit, memory, &mut permits);
    let read = tokio::time::timeout(timeout, reading)
        .await
        .unwrap_or(Err(ReadError::Timeout));
    match read {
        Ok(data) => Ok(Bytes::from_owner(ChargedBody {
            data,
            _permits: permits,
        })),
        Err(error) => {
            discard_body(body);
            Err(error)
        }
    }
}

/// Body together with the permits for its bytes.
struct ChargedBody {
    data: BytesMut,
    _permits: SemaphorePermit<'static>,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

async fn read_all(body: &mut Body, limit: usize) -> Result<Bytes, ReadError> {
    let buf = read_frames(body, limit, |_| Ok(())).await?;
    Ok(buf.freeze())
}

async fn read_charged(
    body: &mut Body,
    limit: usize,
    memory: &'static Semaphore,
    charged: &mut SemaphorePermit<'static>,
) -> Result<BytesMut, ReadError> {
    let charge = |len| {
        let permits = u32::try_from(len).map_err(|_| ReadError::MemoryExhausted)?;
        let part = memory.try_acquire_many(permits);
        charged.merge(part.map_err(|_| ReadError::MemoryExhausted)?);
        Ok(())
    };
    read_frames(body, limit, charge).await
}

async fn read_frames(
    body: &mut Body,
    limit: usize,
    mut charge: impl FnMut(usize) -> Result<(), ReadError>,
) -> Result<BytesMut, ReadError> {
    // A declared length above the limit is rejected before any of the body is read.
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(ReadError::TooLarge { limit });
    }
    // The declared length is reserved up front: a buffer that grows by doubling could take up twice
    // the bytes that are charged.
    let mut buf = BytesMut::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(ReadError::Interrupted)?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(ReadError::TooLarge { limit });
        }
        charge(data.len())?;
        buf.extend_from_slice(&data);
    }
    Ok(buf)
}

/// Reads and discards the rest of a body in the background, within bounds.
///
/// Use this for a body that is not needed because its request is refused. If the server closes the
/// connection while the client is still writing, TCP resets the connection and the client may never
/// receive the response.
pub fn discard_body(mut body: Body) {
    if body.is_end_stream() {
        return;
    }
    tokio::spawn(tokio::time::timeout(DISCARD_TIMEOUT, async move {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            if len > left {
                return;
            }
            left -= len;
        }
    }));
}
