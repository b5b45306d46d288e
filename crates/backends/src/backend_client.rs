//! Client of backend servers.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornquay_decisions::{LoadReport, ModelName, OrderList, OrderRequest, PrefixEvents};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header, response};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time::timeout};

use crate::{
    BackendError, BackendRequest, ClientLimits, Connection, OrderResponse, ProbeAnswer,
    connection_pool::ConnectionPool,
};

/// Maximum wait for a pooled connection to become ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

/// Maximum time for the body of the answer to a probe.
const PROBE_BODY_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelItem>,
}

#[derive(Deserialize)]
struct ModelItem {
    id: ModelName,
}

/// HTTP client with a pool of idle connections to each backend server.
#[derive(Clone, Debug)]
pub struct BackendClient {
    pool: Arc<ConnectionPool>,
}

impl BackendClient {
    /// Creates a client without open connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new(limits)),
        }
    }

    /// Takes an idle connection from the pool or opens a new one. Sends no request.
    ///
    /// # Errors
    ///
    /// Returns an error with execution `NotRun` if no connection could be opened in time.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, BackendError> {
        while let Some(mut open) = self.pool.take(address) {
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, open.sender.ready()).await {
                return Ok(Connection {
                    address,
                    open,
                    pool: Arc::clone(&self.pool),
                });
            }
        }
        self.connect_fresh(address).await
    }

    /// Opens a new connection even if the pool has an idle one.
    ///
    /// Use this for a request that must not run twice: the server may close an idle connection
    /// while the request is being written, and the outcome of the request would then be unknown.
    ///
    /// # Errors
    ///
    /// Returns an error with execution `NotRun` if no connection could be opened in time.
    pub async fn connect_fresh(&self, address: SocketAddr) -> Result<Connection, BackendError> {
        Connection::open(address, Arc::clone(&self.pool)).await
    }

    /// Opens a connection to check whether a server has ended; returns whether it is refused.
    ///
    /// Returns `false` if the connection is accepted, or is neither accepted nor refused within the
    /// connect time-out. No data is sent.
    pub async fn refuses_connections(&self, address: SocketAddr) -> bool {
        let connect = TcpStream::connect(address);
        match timeout(self.pool.limits.connect_timeout, connect).await {
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        }
    }

    /// Asks a backend server for `path` on a new connection, to find out whether it can be reached.
    pub async fn probe(&self, address: SocketAddr, path: &str, limit: Duration) -> ProbeAnswer {
        let ask = async {
            let req = BackendRequest::new(Method::GET, path).head_timeout(limit);
            let response = self.connect_fresh(address).await?.send(req).await?;
            let status = response.head.status;
            if status != StatusCode::OK {
                return Err(BackendError::Status { address, status });
            }
            // A server that has begun to respond can be reached.
            let body = response
                .body
                .read(self.pool.limits.max_control_response_bytes);
            Ok(timeout(PROBE_BODY_TIMEOUT, body).await)
        };
        match ask.await {
            Ok(Ok(Ok(body))) => ProbeAnswer::Body(body),
            Err(BackendError::ConnectTimeout { .. } | BackendError::HeadTimeout { .. }) => {
                ProbeAnswer::Nothing
            }
            Err(BackendError::Connect { source, .. })
                if source.kind() == io::ErrorKind::ConnectionRefused =>
            {
                ProbeAnswer::Refused
            }
            _ => ProbeAnswer::Other,
        }
    }

    /// Requests `path` of a backend server on a new connection, and returns the head of its response
    /// with any status. The connection is closed without reading the body.
    ///
    /// # Errors
    ///
    /// Returns an error if no head arrives within `limit`.
    pub async fn read_head(
        &self,
        address: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<response::Parts, BackendError> {
        let req = BackendRequest::new(Method::GET, path).head_timeout(limit);
        let response = self.connect_fresh(address).await?.send(req).await?;
        Ok(response.head)
    }

    /// Closes the connections that have been idle for longer than [`ClientLimits::idle_timeout`].
    pub fn close_expired(&self) {
        self.pool.close_expired();
    }

    /// Returns the number of idle connections in the pool, over all backend servers.
    pub fn idle_connections(&self) -> usize {
        self.pool.len()
    }

    /// Reads the load report of a backend server (`GET /load`).
    ///
    /// # Errors
    ///
    /// Returns an error if no valid report arrives within the control-call time-out.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, BackendError> {
        self.get_json(address, "/load").await
    }

    /// Reads the cache events of an engine that follow sequence number `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid list of events arrives within the control-call time-out.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<PrefixEvents, BackendError> {
        self.get_json(address, &format!("/cache-events?after={after}"))
            .await
    }

    /// Reads the names of the models that an engine has loaded.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid list arrives within the control-call time-out.
    pub async fn models(&self, address: SocketAddr) -> Result<Vec<ModelName>, BackendError> {
        let list: ModelList = self.get_json(address, "/v1/models").await?;
        Ok(list.data.into_iter().map(|model| model.id).collect())
    }

    /// Reads the orders that an engine has accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid list arrives within the control-call time-out.
    pub async fn orders(&self, address: SocketAddr) -> Result<OrderList, BackendError> {
        self.get_json(address, "/orders").await
    }

    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine neither accepts the order nor rejects it with a conflict
    /// within the control-call time-out. Unless the error's execution is `NotRun`, the engine may
    /// have accepted the order.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &OrderRequest,
    ) -> Result<OrderResponse, BackendError> {
        let body = serde_json::to_vec(order)
            .map_err(|source| BackendError::Malformed { address, source })?;
        let mut headers = HeaderMap::new();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        let req = BackendRequest::new(Method::POST, "/orders")
            .caller_headers(&headers)
            .body(body.into());
        // A used connection may deliver a second copy of the response to an earlier order.
        let connection = self.connect_fresh(address).await?;
        let (status, _) = self.exchange(connection, req).await?;
        match status {
            status if status.is_success() => Ok(OrderResponse::Accepted),
            StatusCode::CONFLICT => Ok(OrderResponse::Fenced),
            status => Err(BackendError::Status { address, status }),
        }
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, BackendError> {
        let req = BackendRequest::new(Method::GET, path);
        let connection = self.connect(address).await?;
        let (status, body) = self.exchange(connection, req).await?;
        if status != StatusCode::OK {
            return Err(BackendError::Status { address, status });
        }
        serde_json::from_slice(&body).map_err(|source| BackendError::Malformed { address, source })
    }

    async fn exchange(
        &self,
        connection: Connection,
        req: BackendRequest,
    ) -> Result<(StatusCode, Bytes), BackendError> {
        let address = connection.address();
        let limit = self.pool.limits.control_call_timeout;
        let exchange = async {
            let response = connection.send(req).await?;
            let body = response
                .body
                .read(self.pool.limits.max_control_response_bytes)
                .await?;
            Ok((response.head.status, body))
        };
        timeout(limit, exchange).await.unwrap_or_else(|_| {
            self.pool.close_idle_to(address);
            Err(BackendError::HeadTimeout { address, limit })
        })
    }
}
