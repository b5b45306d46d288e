//! Client of backend servers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hawthornquay_decisions::{LoadReport, ModelName, OrderList, OrderRequest, PrefixEvents};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::{Deserialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    BackendError, BackendRequest, ClientLimits, Connection, OrderResponse,
    connection_pool::ConnectionPool,
};

/// Longest wait for a pooled connection to finish its last exchange.
const READY_TIMEOUT: Duration = Duration::from_millis(5);

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelItem>,
}

#[derive(Deserialize)]
struct ModelItem {
    id: ModelName,
}

/// Client with a small pool of idle connections to each backend server.
#[derive(Clone, Debug)]
pub struct BackendClient {
    pool: Arc<ConnectionPool>,
}

impl BackendClient {
    /// Builds a client.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            pool: Arc::new(ConnectionPool::new(limits)),
        }
    }

    /// Takes an idle connection or opens one, without sending anything.
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

    /// Opens a connection even if an idle one exists.
    ///
    /// A request that must not be repeated uses this, because the server may close an idle
    /// connection while the request is being written, and its outcome would be unknown.
    ///
    /// # Errors
    ///
    /// Returns an error with execution `NotRun` if no connection could be opened in time.
    pub async fn connect_fresh(&self, address: SocketAddr) -> Result<Connection, BackendError> {
        Connection::open(address, Arc::clone(&self.pool)).await
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired(&self) {
        self.pool.close_expired();
    }

    /// Returns the number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.pool.len()
    }

    /// Reads the load report of a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if the server does not send a well-formed report in time.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, BackendError> {
        self.report(address, "/load").await
    }

    /// Reads the cache events of an engine from `after` on.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not send well-formed events in time.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<PrefixEvents, BackendError> {
        self.report(address, &format!("/cache-events?after={after}"))
            .await
    }

    /// Reads the models that an engine has loaded.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not send a well-formed list in time.
    pub async fn models(&self, address: SocketAddr) -> Result<Vec<ModelName>, BackendError> {
        let list: ModelList = self.report(address, "/v1/models").await?;
        Ok(list.data.into_iter().map(|model| model.id).collect())
    }

    /// Reads back the orders of an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not send a well-formed list in time.
    pub async fn orders(&self, address: SocketAddr) -> Result<OrderList, BackendError> {
        self.report(address, "/orders").await
    }

    /// Sends an order to an engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine neither accepts nor refuses the order in time; unless its
    /// execution is `NotRun`, the engine may have accepted it.
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
        let (status, _) = self.exchange(address, req).await?;
        match status {
            status if status.is_success() => Ok(OrderResponse::Accepted),
            StatusCode::CONFLICT => Ok(OrderResponse::Fenced),
            status => Err(BackendError::Status { address, status }),
        }
    }

    async fn report<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, BackendError> {
        let req = BackendRequest::new(Method::GET, path);
        let (status, body) = self.exchange(address, req).await?;
        if status != StatusCode::OK {
            return Err(BackendError::Status { address, status });
        }
        serde_json::from_slice(&body).map_err(|source| BackendError::Malformed { address, source })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        req: BackendRequest,
    ) -> Result<(StatusCode, Bytes), BackendError> {
        let connection = self.connect(address).await?;
        let limit = self.pool.limits.control_call_timeout;
        let exchange = async {
            let answer = connection.send(req).await?;
            let body = answer
                .body
                .read(self.pool.limits.max_control_response_bytes)
                .await?;
            Ok((answer.head.status, body))
        };
        timeout(limit, exchange).await.unwrap_or_else(|_| {
            self.pool.close_idle_to(address);
            Err(BackendError::HeadTimeout { address, limit })
        })
    }
}
