//! Connection to a backend server on which no request is in flight.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, StatusCode, header};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::{
    BackendError, BackendRequest, BackendResponse, ResponseBody,
    bounded_stream::{BoundedStream, ReceivedBytes},
    connection_pool::ConnectionPool,
    request_progress::{RequestBody, RequestProgress},
};

/// Maximum time for which sent data may remain unacknowledged (`TCP_USER_TIMEOUT`).
///
/// It covers several TCP retransmissions on a lossy path within a region.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a connection's read buffer, and so of a response head.
pub(crate) const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// Open connection that can send one request.
///
/// Dropping the connection or the future returned by [`Connection::send`] closes it.
#[derive(Debug)]
pub struct Connection {
    pub(crate) address: SocketAddr,
    pub(crate) open: OpenConnection,
    pub(crate) pool: Arc<ConnectionPool>,
}

impl Connection {
    pub(crate) async fn open(
        address: SocketAddr,
        pool: Arc<ConnectionPool>,
    ) -> Result<Self, BackendError> {
        let limit = pool.limits.connect_timeout;
        let open = timeout(limit, OpenConnection::open(address))
            .await
            .map_err(|_| BackendError::ConnectTimeout { address, limit })??;
        Ok(Self {
            address,
            open,
            pool,
        })
    }

    /// Returns the address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns an error whose [`BackendError::execution`] is `NotRun` if no byte of the request was
    /// written, and `Unknown` otherwise.
    pub async fn send(mut self, req: BackendRequest) -> Result<BackendResponse, BackendError> {
        let address = self.address;
        let limit = req.head_timeout.unwrap_or(self.pool.limits.head_timeout);
        let req = req
            .into_http(address)?
            .map(|body| self.open.request.begin(body));
        let res = match timeout(limit, self.open.sender.try_send_request(req)).await {
            Ok(Ok(res)) => res,
            Ok(Err(mut error)) => {
                self.pool.close_idle_to(address);
                // hyper returns the request only if it has not written any of it.
                return Err(match error.take_message() {
                    Some(_) => BackendError::ClosedBeforeSend { address },
                    None => BackendError::Send {
                        address,
                        source: error.into_error(),
                    },
                });
            }
            Err(_) => {
                self.pool.close_idle_to(address);
                return Err(BackendError::HeadTimeout { address, limit });
            }
        };
        self.open.received.reset();
        let (head, body) = res.into_parts();
        if !is_final_status(head.status) {
            self.pool.close_idle_to(address);
            return Err(BackendError::InvalidStatus {
                address,
                status: head.status,
            });
        }
        if !has_known_framing(&head.headers) {
            self.pool.close_idle_to(address);
            return Err(BackendError::UnknownTransferCoding { address });
        }
        let ends_with_connection = !head.headers.contains_key(header::CONTENT_LENGTH)
            && !head.headers.contains_key(header::TRANSFER_ENCODING);
        Ok(BackendResponse {
            head,
            body: ResponseBody::new(self, body, ends_with_connection),
        })
    }
}

/// Returns whether a status can end a request: one of the classes of HTTP, but not an informational
/// one.
///
/// hyper skips informational responses except 101, which no request here asks for, and accepts
/// statuses of three digits that HTTP does not define.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether the body has no transfer coding but chunks.
///
/// hyper ignores the length of a response with any other coding and reads until the connection
/// closes, so that part of a body would appear complete.
fn has_known_framing(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    codings.next().is_none_or(|coding| {
        coding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked")
            && codings.next().is_none()
    })
}

/// Request sender of an HTTP/1.1 connection and the task that performs its I/O.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    pub(crate) sender: SendRequest<RequestBody>,
    pub(crate) received: ReceivedBytes,
    pub(crate) request: RequestProgress,
    driver: AbortHandle,
}

impl OpenConnection {
    async fn open(address: SocketAddr) -> Result<Self, BackendError> {
        let connect_error = |source| BackendError::Connect { address, source };
        let stream = TcpStream::connect(address).await.map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        // Closing resets the connection and discards unsent data. Otherwise the request could reach
        // the server after a network partition has healed, when it has already been reported as
        // failed.
        stream.set_zero_linger().map_err(connect_error)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
            .map_err(connect_error)?;
        let received = ReceivedBytes::default();
        let request = RequestProgress::default();
        let stream = BoundedStream::new(stream, received.clone(), request.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|source| BackendError::Http { address, source })?;
        // The result is ignored: a connection error also fails the request in flight.
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        })
        .abort_handle();
        Ok(Self {
            sender,
            received,
            request,
            driver,
        })
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        // Closes the socket immediately. hyper would close it only once it notices that the sender
        // and the response body have been dropped.
        self.driver.abort();
    }
}
