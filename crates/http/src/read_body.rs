//! Bounded reading of a body.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;

use crate::{Body, ReadError};

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

async fn read_all(mut body: Body, limit: usize) -> Result<Bytes, ReadError> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            return Err(ReadError::TooLarge { limit });
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
