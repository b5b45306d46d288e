//! Reading of request bodies with limits on size, time and memory.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::{Body, MemoryBudget, MemoryCharge, ReadError};

/// Size of the first buffer of a body, unless a smaller length is declared. A client gets no more
/// before it has sent as much.
const FIRST_BUFFER_BYTES: usize = 32 << 10;

/// Reads a complete body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Returns an error if the body is larger than `limit`, does not arrive within `timeout`, or the
/// connection fails.
pub async fn read_body(body: Body, limit: usize, timeout: Duration) -> Result<Bytes, ReadError> {
    tokio::time::timeout(timeout, read_all(body, limit))
        .await
        .map_err(|_| ReadError::Timeout)?
}

/// Reads a complete body like [`read_body`] and charges its buffer to a memory budget.
///
/// The buffer is charged before it is reserved and is never larger than its charge, which is
/// released when the last clone or slice of the returned bytes is dropped. In calm conditions, a
/// declared length is reserved at once. Otherwise the buffer grows with the bytes that arrive: a
/// client that only declares a length holds little.
///
/// # Errors
///
/// Returns [`ReadError::MemoryExhausted`] if the budget does not allow the buffer, and otherwise the
/// errors of [`read_body`].
pub async fn read_charged_body(
    body: Body,
    limit: usize,
    timeout: Duration,
    memory: &MemoryBudget,
) -> Result<Bytes, ReadError> {
    let (data, charge) = tokio::time::timeout(timeout, read_grown(body, limit, memory))
        .await
        .map_err(|_| ReadError::Timeout)??;
    Ok(charge.hold_with(data))
}

async fn read_grown(
    mut body: Body,
    limit: usize,
    memory: &MemoryBudget,
) -> Result<(Vec<u8>, MemoryCharge), ReadError> {
    let hint = body.size_hint();
    let declared = usize::try_from(hint.lower()).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(ReadError::TooLarge { limit });
    }
    let most = hint
        .upper()
        .and_then(|upper| usize::try_from(upper).ok())
        .map_or(limit, |upper| upper.min(limit));
    let (mut buf, mut charge) = match memory.try_charge_calmly(declared) {
        Some(charge) => (Vec::with_capacity(declared), charge),
        None => (Vec::new(), memory.charge(0)),
    };
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(ReadError::Interrupted)?.into_data() else {
            continue;
        };
        let len = buf.len() + data.len();
        if len > limit {
            return Err(ReadError::TooLarge { limit });
        }
        if len > buf.capacity() {
            let capacity = (buf.capacity() * 2).max(FIRST_BUFFER_BYTES).min(most);
            grow(&mut buf, capacity.max(len), &mut charge)?;
        }
        buf.extend_from_slice(&data);
    }
    if buf.len() < buf.capacity() {
        let len = buf.len();
        // The copy exists beside the buffer for a moment.
        charge.resize(buf.capacity() + len);
        buf.shrink_to_fit();
        charge.resize(buf.capacity());
    }
    Ok((buf, charge))
}

/// Moves `buf` to a buffer of `capacity` bytes. Both exist for a moment, and are charged.
fn grow(buf: &mut Vec<u8>, capacity: usize, charge: &mut MemoryCharge) -> Result<(), ReadError> {
    if !charge.try_resize(buf.capacity() + capacity) {
        return Err(ReadError::MemoryExhausted);
    }
    buf.reserve_exact(capacity - buf.len());
    charge.resize(buf.capacity());
    Ok(())
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
    body: Body,
    limit: usize,
    timeout: Duration,
    memory: &'static Semaphore,
) -> Result<Bytes, ReadError> {
    let mut permits = memory
        .try_acquire_many(0)
        .map_err(|_| ReadError::MemoryExhausted)?;
    let data = tokio::time::timeout(timeout, read_charged(body, limit, memory, &mut permits))
        .await
        .map_err(|_| ReadError::Timeout)??;
    Ok(Bytes::from_owner(ChargedBody {
        data,
        _permits: permits,
    }))
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

async fn read_all(body: Body, limit: usize) -> Result<Bytes, ReadError> {
    let buf = read_frames(body, limit, |_| Ok(())).await?;
    Ok(buf.freeze())
}

async fn read_charged(
    body: Body,
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
    mut body: Body,
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
