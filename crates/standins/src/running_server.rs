//! HTTP server of a stand-in, in its own runtime.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hawthornquay_http::{HttpServer, ServerLimits};
use tokio::{
    runtime::{Builder, Runtime},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use crate::endpoint::{Endpoint, endpoint_router};

const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
const WORKER_THREADS: usize = 2;

/// HTTP server of a stand-in; runs until it is stopped or dropped.
///
/// The server has its own runtime, so that a drop closes every connection, as the end of a process
/// would.
#[derive(Debug)]
pub(crate) struct RunningServer {
    address: SocketAddr,
    shutdown: CancellationToken,
    task: JoinHandle<bool>,
    runtime: Option<Runtime>,
}

impl RunningServer {
    /// Binds `address` and serves `endpoint`; runs `background` concurrently in the same runtime.
    pub(crate) async fn start<E: Endpoint>(
        address: SocketAddr,
        endpoint: &Arc<E>,
        background: impl Future<Output = ()> + Send + 'static,
    ) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        let limits = ServerLimits {
            drain_timeout: DRAIN_TIMEOUT,
            ..ServerLimits::default()
        };
        let router = endpoint_router(endpoint);
        let bound = runtime
            .spawn(HttpServer::bind(address, router, limits))
            .await;
        let server = match bound.map_err(io::Error::other).flatten() {
            Ok(server) => server,
            Err(err) => {
                runtime.shutdown_background();
                return Err(err);
            }
        };
        let address = server.local_addr()?;
        let shutdown = CancellationToken::new();
        runtime.spawn(background);
        let task = runtime.spawn(server.serve(shutdown.clone()));
        Ok(Self {
            address,
            shutdown,
            task,
            runtime: Some(runtime),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the requests in flight, at most for the drain timeout, and stops the server.
    ///
    /// Returns whether all requests ended.
    pub(crate) async fn stop(mut self) -> bool {
        self.shutdown.cancel();
        (&mut self.task).await.unwrap_or(false)
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
