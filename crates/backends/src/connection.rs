//! Connection on which no request is outstanding.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::AbortHandle, time::timeout};

use crate::{
    BackendError, BackendRequest, BackendResponse, ResponseBody, connection_pool::ConnectionPool,
};

/// Longest time for which sent bytes may stay unacknowledged; several times the retransmissions of
/// a lossy path within a region.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Open connection, ready to send one request.
///
/// Dropping it, or the future of [`Connection::send`], closes it.
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

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error with [`BackendError::execution`] `NotRun` if no byte was written, and
    /// `Unknown` if one may have been.
    pub async fn send(mut self, req: BackendRequest) -> Result<BackendResponse, BackendError> {
        let address = self.address;
        let limit = req.head_timeout.unwrap_or(self.pool.limits.head_timeout);
        let req = req.into_http(address)?;
        let res = match timeout(limit, self.open.sender.try_send_request(req)).await {
            Ok(Ok(res)) => res,
            Ok(Err(mut error)) => {
                self.pool.close_idle_to(address);
                // hyper hands the request back only if it never began to write it.
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
        let (head, body) = res.into_parts();
        Ok(BackendResponse {
            head,
            body: ResponseBody::new(self, body),
        })
    }
}

/// Sending half of a connection with the task that drives it.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl OpenConnection {
    async fn open(address: SocketAddr) -> Result<Self, BackendError> {
        let connect_error = |source| BackendError::Connect { address, source };
        let stream = TcpStream::connect(address).await.map_err(connect_error)?;
        stream.set_nodelay(true).map_err(connect_error)?;
        // A request that is given up must not reach the server later, from behind a partition.
        stream.set_zero_linger().map_err(connect_error)?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
            .map_err(connect_error)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|source| BackendError::Http { address, source })?;
        // The sender learns of a failed connection through its own request.
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        })
        .abort_handle();
        Ok(Self { sender, driver })
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        // Closes the socket at once, without relying on hyper to notice that both halves are gone.
        self.driver.abort();
    }
}
