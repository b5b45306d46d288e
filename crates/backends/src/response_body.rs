//! Body of a response.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, Sleep, sleep};

use crate::{BackendError, Connection};

/// Stream of a response's body.
///
/// The connection returns to the pool only after the complete body has been read. Dropping the
/// stream earlier closes the connection, which cancels the request at the backend server.
#[derive(Debug)]
pub struct ResponseBody {
    connection: Option<Connection>,
    body: Incoming,
    /// Whether the body has neither a length nor chunks.
    ends_with_connection: bool,
    idle_timer: Pin<Box<Sleep>>,
}

impl ResponseBody {
    pub(crate) fn new(connection: Connection, body: Incoming, ends_with_connection: bool) -> Self {
        let idle_timer = Box::pin(sleep(connection.pool.limits.body_idle_timeout));
        let mut this = Self {
            connection: Some(connection),
            body,
            ends_with_connection,
            idle_timer,
        };
        this.release_if_complete();
        this
    }

    /// Returns whether the body has neither a length nor chunks, so that only the close of the
    /// connection ends it.
    pub const fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// Reads the complete body into memory, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, if a body without a length or chunks ends before the
    /// request has been written, if no data arrives within the body idle time-out,
    /// or if the body is larger than `limit`.
    pub async fn read(mut self, limit: usize) -> Result<Bytes, BackendError> {
        let address = self.connection.as_ref().map(Connection::address);
        let mut buf = BytesMut::new();
        while let Some(data) = self.next().await {
            let data = data?;
            if let Some(address) = address
                && buf.len() + data.len() > limit
            {
                return Err(BackendError::TooLarge { address, limit });
            }
            buf.extend_from_slice(&data);
        }
        Ok(buf.freeze())
    }

    fn release_if_complete(&mut self) {
        if self.body.is_end_stream() {
            self.release();
        }
    }

    fn release(&mut self) {
        if let Some(Connection {
            address,
            open,
            pool,
        }) = self.connection.take()
        {
            pool.put(address, open);
        }
    }

    fn close(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.pool.close_idle_to(connection.address);
        }
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BackendError>>> {
        let Some(connection) = &self.connection else {
            return Poll::Ready(None);
        };
        let address = connection.address;
        let limit = connection.pool.limits.body_idle_timeout;
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => {
                    ready!(self.idle_timer.as_mut().poll(cx));
                    self.close();
                    return Poll::Ready(Some(Err(BackendError::BodyTimeout { address, limit })));
                }
                Poll::Ready(None)
                    if self.ends_with_connection && connection.open.request.is_interrupted() =>
                {
                    self.close();
                    return Poll::Ready(Some(Err(BackendError::BodyTruncated { address })));
                }
                Poll::Ready(None) => {
                    self.release();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(source))) => {
                    self.close();
                    return Poll::Ready(Some(Err(BackendError::BodyInterrupted {
                        address,
                        source,
                    })));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    connection.open.received.reset();
                    self.idle_timer.as_mut().reset(Instant::now() + limit);
                    self.release_if_complete();
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

impl Stream for ResponseBody {
    type Item = Result<Bytes, BackendError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.get_mut().poll_data(cx)
    }
}
